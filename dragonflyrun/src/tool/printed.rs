//! What a command prints, and the exit code it ends with.

use std::{
    fmt,
    process::ExitCode, //
};

use serde::Serialize;
use serde_json::Value;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// It did what was asked.
    Done,
    /// It was refused, or there are findings.
    Refused,
    /// The command line or the settings are wrong; nothing was tried.
    Usage,
    /// It is not known whether it took effect, or nobody could be asked.
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

/// What a command prints, for operators and for machines.
#[derive(Clone, Debug, PartialEq)]
pub struct Printed {
    /// For operators, without a newline at the end.
    pub text: String,
    /// For machines.
    pub json: Value,
    /// How the command ended.
    pub exit: Exit,
}

impl Printed {
    /// Returns `answer` in both forms.
    pub fn new<T: fmt::Display + Serialize>(answer: &T, exit: Exit) -> Self {
        Self {
            text: answer.to_string(),
            // The answers have only string keys and whole numbers, so this can't fail.
            json: serde_json::to_value(answer).unwrap_or_default(),
            exit,
        }
    }
}
