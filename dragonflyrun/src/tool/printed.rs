//! The output and the exit code of a command.

use std::{
    fmt,
    process::ExitCode, //
};

use serde::Serialize;
use serde_json::Value;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command was refused, or there are findings.
    Refused,
    /// The command line or the settings are invalid; nothing was attempted.
    Usage,
    /// It is unknown whether the command took effect, or no process could be asked.
    NotKnown,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::NotKnown => 3,
        })
    }
}

/// The output of a command as text and as JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct Printed {
    /// The text for operators, without a trailing newline.
    pub text: String,
    /// The machine-readable form.
    pub json: Value,
    /// How the command ended.
    pub exit: Exit,
}

impl Printed {
    /// Returns the output with `answer` as text and as JSON.
    pub fn new<T: fmt::Display + Serialize>(answer: &T, exit: Exit) -> Self {
        Self {
            text: answer.to_string(),
            // This can't fail, as answers have only string keys.
            json: serde_json::to_value(answer).unwrap_or_default(),
            exit,
        }
    }
}
