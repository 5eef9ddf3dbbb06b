//! `issue-key`.

use std::fmt;

use serde::Serialize;

use crate::{
    connection::AuthorKey,
    tool::{Exit, Printed, ToolError, ToolSettings, options::IssueKeyOptions},
    utils::Name,
    version::is_name,
};

#[derive(Serialize)]
struct KeyAnswer {
    name: Name,
    key: String,
}

impl fmt::Display for KeyAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.key)
    }
}

/// Prints the key of an editor or of a backend server.
pub(super) fn issue(
    settings: &ToolSettings,
    options: &IssueKeyOptions,
) -> Result<Printed, ToolError> {
    let name = options.name.clone();
    if !is_name(&name) {
        return Err(ToolError::Usage(format!("`{name}` is not a name")));
    }
    let secret = settings.secret()?;
    let key = match options.backend {
        true => AuthorKey::of_backend(secret, &name),
        false => AuthorKey::of_editor(secret, &name),
    };
    let key = key.to_hex();
    Ok(Printed::new(&KeyAnswer { name, key }, Exit::Done))
}
