//! Why a command did not do what was asked.

use quick_error::quick_error;
use serde_json::{Value, json};

use crate::{tool::Exit, version::Finding};

quick_error! {
    /// Why a command did not do what was asked.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ToolError {
        /// The command line is wrong.
        Usage(what: String) {
            display("{what}")
        }
        /// The tool's settings are wrong.
        Settings(findings: Vec<Finding>) {
            display("the settings are not valid:{}", list(findings))
        }
        /// A file is wrong, with all that was found.
        Findings(findings: Vec<Finding>) {
            display("not valid:{}", list(findings))
        }
        /// It was refused; nothing took effect.
        Refused(what: String) {
            display("{what}")
        }
        /// It is not known whether it took effect, or nobody could be asked.
        NotKnown(what: String) {
            display("{what}")
        }
    }
}

impl ToolError {
    /// Returns how the command ends.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::Settings(_) => Exit::Usage,
            Self::Findings(_) | Self::Refused(_) => Exit::Refused,
            Self::NotKnown(_) => Exit::NotKnown,
        }
    }

    /// Returns the error for machines.
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
