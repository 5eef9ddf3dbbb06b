//! Why a demand waits, according to the planner's latest pass.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The state of a waiting gang or single task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Waiting {
    /// The index of its step.
    pub step: u32,
    /// The number of tasks that have to start together.
    pub tasks: usize,
    /// Why it waits.
    pub reason: WaitReason,
    /// The number of demands that are served before it.
    pub before: usize,
    /// Milliseconds for which the start can be delayed before the job misses its objective;
    /// negative if the objective is already missed.
    pub slack_ms: i64,
}

/// Why a demand was not started in a pass.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WaitReason {
    /// No worker that accepts tasks now could ever run it: none has its service, its label and its
    /// size.
    NoSuitableWorker,
    /// Too few of the suitable workers have room.
    NoRoom {
        /// Number of workers that could run one of its tasks if they were empty.
        suitable: usize,
        /// Number of those that have room for a task now.
        with_room: usize,
        /// Number of those on which a task could start at once: the agent follows closely, and the room
        /// isn't held for another demand. If it is large enough, they are in too many racks.
        #[serde(default)]
        ready: usize,
        /// Number of workers that have room for a task now and may not run it: they are reserved for
        /// more urgent work, have no ticket of the queue's policy, aren't proven to work, or run tasks
        /// beside which it may not run.
        #[serde(default)]
        barred: usize,
    },
    /// It has no room on the workers that are left while others are passed over for a moment, because
    /// starts there have failed.
    StartsFailed {
        /// Number of suitable workers that are passed over.
        workers: usize,
    },
    /// It has room on workers whose agents have been asked to report first.
    WorkersAsked,
    /// Other runs are being stopped to make room for it.
    RoomBeingMade,
    /// Room that will become free is held for it.
    RoomHeld,
    /// The planner can't prove that its configuration includes the operators' latest changes.
    ConfigurationStale,
}

impl WaitReason {
    /// Returns a short name of the kind of reason.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoSuitableWorker => "no_suitable_worker",
            Self::NoRoom { .. } => "no_room",
            Self::StartsFailed { .. } => "starts_failed",
            Self::WorkersAsked => "workers_asked",
            Self::RoomBeingMade => "room_being_made",
            Self::RoomHeld => "room_held",
            Self::ConfigurationStale => "configuration_stale",
        }
    }
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSuitableWorker => f.write_str("no worker that takes tasks could run it"),
            Self::NoRoom {
                suitable,
                with_room,
                ready,
                barred,
            } => write!(
                f,
                "{with_room} of {suitable} suitable workers have room for a task, {ready} of them at \
                 once; {barred} others have room and may not run it"
            ),
            Self::StartsFailed { workers } => write!(
                f,
                "starts have failed on {workers} suitable workers, which are tried again soon"
            ),
            Self::WorkersAsked => f.write_str("idle workers are asked whether they are alive"),
            Self::RoomBeingMade => f.write_str("other runs are being stopped for it"),
            Self::RoomHeld => f.write_str("room that is becoming free is held for it"),
            Self::ConfigurationStale => {
                f.write_str("the planner has no fresh proof of the configuration")
            }
        }
    }
}
