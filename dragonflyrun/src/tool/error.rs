//! The errors of commands.

use quick_error::quick_error;
use serde_json::{Value, json};

use crate::{tool::Exit, version::Finding};

quick_error! {
    /// The reason why a command failed.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ToolError {
        /// The command line is invalid.
        Usage(what: String) {
            display("{what}")
        }
        /// The settings of the tool are invalid.
        Settings(findings: Vec<Finding>) {
            display("the settings are not valid:{}", list(findings))
        }
        /// A file is invalid; holds all findings.
        Findings(findings: Vec<Finding>) {
            display("not valid:{}", list(findings))
        }
        /// The command was refused and had no effect.
        Refused(what: String) {
            display("{what}")
        }
        /// It is unknown whether the command took effect, or no process could be asked.
        NotKnown(what: String) {
            display("{what}")
        }
    }
}

impl ToolError {
    /// Returns how the command ended.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::Settings(_) => Exit::Usage,
            Self::Findings(_) | Self::Refused(_) => Exit::Refused,
            Self::NotKnown(_) => Exit::NotKnown,
        }
    }

    /// Returns the error in its machine-readable form.
    pub fn to_json(&self) -> Value {
        let (error, findings) = match self {
            Self::Usage(_) => ("usage", None),
            Self::Settings(findings) => ("settings", Some(findings)),
            Self::Findings(findings) => ("findings", Some(findings)),
            Self::Refused(_) => ("refused", None),
            Self::NotKnown(_) => ("not_known", None),
        };
        match findings {
            Some(findings) => json!({ "error": error, "findings": findings }),
            None => json!({ "error": error, "what": self.to_string() }),
        }
    }
}

fn list(findings: &[Finding]) -> String {
    let lines = findings.iter().map(|finding| format!("\n  {finding}"));
    lines.collect()
}
