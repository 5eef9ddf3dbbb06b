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
    editor: Name,
    key: String,
}

impl fmt::Display for KeyAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.key)
    }
}

/// Prints the key of an editor.
pub(super) fn issue(
    settings: &ToolSettings,
    options: &IssueKeyOptions,
) -> Result<Printed, ToolError> {
    let editor = options.editor.clone();
    if !is_name(&editor) {
        return Err(ToolError::Usage(format!("`{editor}` is not a name")));
    }
    let key = AuthorKey::of_editor(settings.secret()?, &editor).to_hex();
    Ok(Printed::new(&KeyAnswer { editor, key }, Exit::Done))
}
