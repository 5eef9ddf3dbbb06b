//! The programs that the worker's tasks run: timers.

use std::time::Duration;

/// How a program ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// All tasks end well.
    Success,
    /// A task ends badly.
    Failure,
}

/// A program in the worker's own terms.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Program {
    /// `sleep:MS`: ends well after that much work.
    Sleep(Duration),
    /// `fail` or `fail:MS`: ends badly after that time.
    Fail(Duration),
    /// `forever`: runs until it is stopped.
    Forever,
}

impl Program {
    /// Reads a program; one that the worker does not know fails as soon as it is started.
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

    /// Returns after what time it ends and how, where `done` of its work was done before.
    pub(super) fn end_after(self, done: Duration) -> Option<(Duration, End)> {
        match self {
            Self::Sleep(time) => Some((time.saturating_sub(done), End::Success)),
            Self::Fail(time) => Some((time, End::Failure)),
            Self::Forever => None,
        }
    }
}
