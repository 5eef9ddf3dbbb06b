//! The programs of the worker's tasks, which are only timers.

use std::time::Duration;

/// How a program ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// All tasks finish successfully.
    Success,
    /// A task fails.
    Failure,
}

/// A parsed program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Program {
    /// `sleep:MS`: succeeds after that much work.
    Sleep(Duration),
    /// `fail` or `fail:MS`: fails after that time.
    Fail(Duration),
    /// `forever`: runs until it is stopped.
    Forever,
}

impl Program {
    /// Parses a program. An unknown one fails as soon as it is started.
    pub(super) fn parse(text: &str) -> Self {
        let (name, argument) = text.split_once(':').unwrap_or((text, ""));
        let time = argument.parse().map(Duration::from_millis);
        match (name, time) {
            ("sleep", Ok(time)) => Self::Sleep(time),
            ("fail", Ok(time)) => Self::Fail(time),
            ("forever", _) => Self::Forever,
            _ => Self::Fail(Duration::ZERO),
        }
    }

    /// Returns when it ends after its start, and how; none if it runs until stopped. `done` is the
    /// work restored from a checkpoint.
    pub(super) fn end_after(self, done: Duration) -> Option<(Duration, End)> {
        match self {
            Self::Sleep(time) => Some((time.saturating_sub(done), End::Success)),
            Self::Fail(time) => Some((time, End::Failure)),
            Self::Forever => None,
        }
    }
}
