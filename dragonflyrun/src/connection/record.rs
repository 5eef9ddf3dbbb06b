//! The records that the system keeps on the platform's log; see `docs/DESIGN.md`, log records.

use serde::{Deserialize, Serialize};

use crate::{
    job::{JobId, JobSpec, LiveJob},
    utils::Name,
    version::{Document, RawSection}, //
};

/// One record: who wrote it, its unique id, and what it says.
///
/// The id lets a writer whose answer was lost look for its record before it writes again, and
/// lets readers drop a second copy.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Unique among all records.
    pub id: Name,
    /// The editor or the process that wrote it.
    pub author: Name,
    /// What it says.
    pub body: RecordBody,
}

/// What a record says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum RecordBody {
    /// An operator's edit of one section.
    Edit(Edit),
    /// An entry claims to be planner.
    Term {
        /// The entry.
        entry: Name,
        /// The claimed term; valid only where it follows the current one.
        term: u64,
    },
    /// An entry has started.
    EntryJoined {
        /// The entry.
        entry: Name,
        /// Where its peer listener is reached.
        address: Name,
    },
    /// An entry has stopped or is long gone.
    EntryLeft {
        /// The entry.
        entry: Name,
    },
    /// The agents that own keys from here on.
    Ring {
        /// The planner's term.
        term: u64,
        /// The agents.
        members: Vec<Name>,
    },
    /// A job was accepted and will finish or be truthfully refused.
    JobAccepted {
        /// The job.
        job: JobId,
        /// What it asks for.
        spec: JobSpec,
    },
    /// An attempt is reserved on all its workers and starts.
    JobStarted {
        /// The planner's term.
        term: u64,
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: u32,
        /// Where its members run.
        placements: Vec<Placement>,
    },
    /// An attempt ended on all its workers for certain, and the job waits again.
    JobStopped {
        /// The planner's term.
        term: u64,
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: u32,
        /// Whether the next attempt goes on from a checkpoint.
        checkpointed: bool,
        /// Whether a task failed, which a job may do a few times only.
        failed: bool,
    },
    /// The planner can't reach some member of an attempt: no entry renews its leases from here on,
    /// so that the member is known to have stopped once they have lapsed.
    JobFenced {
        /// The planner's term.
        term: u64,
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: u32,
    },
    /// A job came to its end.
    JobEnded {
        /// The planner's term.
        term: u64,
        /// The job.
        job: JobId,
        /// How it ended.
        end: JobEnd,
    },
    /// Somebody asked to cancel a job.
    JobCancelled {
        /// The job.
        job: JobId,
    },
    /// The planner repeats a live state before the log drops the records it came from.
    #[serde(rename = "carried")]
    RepeatedState(RepeatedState),
}

impl RecordBody {
    /// Returns the term under which a planner wrote the record; none where no planner writes it.
    pub fn planner_term(&self) -> Option<u64> {
        match self {
            Self::Ring { term, .. }
            | Self::JobStarted { term, .. }
            | Self::JobStopped { term, .. }
            | Self::JobFenced { term, .. }
            | Self::JobEnded { term, .. }
            | Self::RepeatedState(
                RepeatedState::Configuration(RepeatedConfiguration { term, .. })
                | RepeatedState::Job { term, .. }
                | RepeatedState::Membership(RepeatedMembership { term, .. }),
            ) => Some(*term),
            Self::Edit(_)
            | Self::Term { .. }
            | Self::EntryJoined { .. }
            | Self::EntryLeft { .. }
            | Self::JobAccepted { .. }
            | Self::JobCancelled { .. } => None,
        }
    }
}

/// State that the planner repeats on the log; see `docs/DESIGN.md`, retention.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum RepeatedState {
    /// The whole configuration.
    Configuration(RepeatedConfiguration),
    /// A live job.
    Job {
        /// The planner's term.
        term: u64,
        /// The job as it was folded.
        job: Box<LiveJob>,
    },
    /// The terms, entries and key owners.
    Membership(RepeatedMembership),
}

/// All that the fold of the edits looks at; see [`History`](crate::version::History).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RepeatedConfiguration {
    /// The planner's term.
    pub term: u64,
    /// The offset up to which the planner had folded the log when it took this state. Edits may
    /// stand between there and this record.
    pub as_of: u64,
    /// The offset after the last accepted edit.
    pub version: u64,
    /// The version of each section.
    pub sections: Vec<RepeatedSection>,
    /// The ids of the last edits, to drop a second copy.
    pub recent: Vec<Name>,
    /// The document.
    pub document: Document,
}

/// The version of one section in a carried configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RepeatedSection {
    /// The section.
    pub section: Name,
    /// The offset after its last accepted edit.
    pub version: u64,
}

/// The terms, entries and key owners, as the planner repeats them on the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RepeatedMembership {
    /// The current term, which is the writer's.
    pub term: u64,
    /// The offset of the last record that changed them.
    pub updated: u64,
    /// The planner.
    pub planner: Name,
    /// Entries with their addresses.
    pub entries: Vec<RepeatedEntry>,
    /// Owners of keys.
    pub ring: Vec<Name>,
}

/// An entry in a carried membership.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RepeatedEntry {
    /// The entry.
    pub entry: Name,
    /// Where its peer listener is reached.
    pub address: Name,
}

/// An operator's edit of one section.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Edit {
    /// The section's name.
    pub section: Name,
    /// The version of the section that the editor saw; 0 for a new section.
    pub base: u64,
    /// The new content; none removes the section.
    pub content: Option<RawSection>,
}

/// How many tasks of a gang run on one worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// The worker.
    pub worker: Name,
    /// Tasks of the gang on it.
    pub tasks: u32,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobEnd {
    /// All tasks ended well.
    Finished,
    /// It failed as often as it may.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// Its shape can no longer be had.
    Impossible,
}
