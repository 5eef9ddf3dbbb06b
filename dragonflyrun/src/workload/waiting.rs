//! Why something waits, as the planner's newest pass found it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What a gang, or a task that stands alone, waits for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Waiting {
    /// Its step.
    pub step: u32,
    /// Tasks that have to start together.
    pub tasks: usize,
    /// Why it waits.
    pub reason: WaitReason,
    /// Demands that come before it.
    pub before: usize,
    /// Milliseconds until its objective is lost even if it starts at once; negative where it is lost.
    pub slack_ms: i64,
}

/// Why a demand was not started in a pass.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WaitReason {
    /// No worker that takes tasks now could ever run it: none of its service, with its label and of
    /// its size.
    NoSuitableWorker,
    /// Too few of the suitable workers have room.
    NoRoom {
        /// Workers that could run a task of it if they were empty.
        suitable: usize,
        /// Those of them that have room for a task now.
        with_room: usize,
    },
    /// Other runs are being stopped for it.
    RoomBeingMade,
    /// Room that will be free is kept for it.
    RoomHeld,
    /// The planner can't prove that what it knows of operators' changes is current.
    ConfigurationStale,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSuitableWorker => f.write_str("no worker that takes tasks could run it"),
            Self::NoRoom {
                suitable,
                with_room,
            } => write!(
                f,
                "{with_room} of {suitable} suitable workers have room for a task"
            ),
            Self::RoomBeingMade => f.write_str("other runs are being stopped for it"),
            Self::RoomHeld => f.write_str("room that is becoming free is kept for it"),
            Self::ConfigurationStale => {
                f.write_str("the planner has no fresh proof of the configuration")
            }
        }
    }
}
