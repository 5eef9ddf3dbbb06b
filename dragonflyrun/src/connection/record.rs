//! The records that the system writes to the platform's log; see `docs/DESIGN.md`, log records.

use serde::{Deserialize, Serialize};

use crate::{
    job::{JobId, JobSpec, LiveJob},
    utils::Name,
    version::{Document, RawSection}, //
};

/// A record with its author and unique id.
///
/// A writer whose answer was lost uses the id to look for its record before it writes the record
/// again. Readers use it to drop duplicates.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// An id that is unique among all records.
    pub id: Name,
    /// The editor or the process that wrote it.
    pub author: Name,
    /// The content.
    pub body: RecordBody,
}

/// The content of a record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum RecordBody {
    /// An operator edited one section of the configuration.
    Edit(Edit),
    /// An entry claims to be the planner.
    Term {
        /// The name of the entry.
        entry: Name,
        /// The claimed term; the claim is valid only if this term follows the current one.
        term: u64,
    },
    /// An entry has started.
    EntryJoined {
        /// The name of the entry.
        entry: Name,
        /// The address of its peer listener.
        address: Name,
    },
    /// An entry has stopped, or has been unreachable for a long time.
    EntryLeft {
        /// The name of the entry.
        entry: Name,
    },
    /// The agents that own keys from this record on.
    Ring {
        /// The term of the planner that wrote the record.
        term: u64,
        /// The names of the agents, which own the keys.
        members: Vec<Name>,
    },
    /// A job was accepted. It will either finish or be refused with the true reason.
    JobAccepted {
        /// The id of the job.
        job: JobId,
        /// The specification of the job.
        spec: JobSpec,
    },
    /// An attempt has been reserved on all of its workers and starts.
    JobStarted {
        /// The term of the planner that wrote the record.
        term: u64,
        /// The id of the job.
        job: JobId,
        /// The number of the attempt, counted from 1.
        attempt: u32,
        /// The workers that its members run on.
        placements: Vec<Placement>,
    },
    /// An attempt has certainly ended on all of its workers, and the job waits again.
    JobStopped {
        /// The term of the planner that wrote the record.
        term: u64,
        /// The id of the job.
        job: JobId,
        /// The number of the attempt, counted from 1.
        attempt: u32,
        /// Whether the next attempt resumes from a checkpoint.
        checkpointed: bool,
        /// Whether a task failed. The number of failed attempts of a job is limited.
        failed: bool,
    },
    /// The planner can't reach a member of an attempt. No entry renews the attempt's leases after
    /// this record, so the member is known to have stopped once they have lapsed.
    JobFenced {
        /// The term of the planner that wrote the record.
        term: u64,
        /// The id of the job.
        job: JobId,
        /// The number of the attempt, counted from 1.
        attempt: u32,
    },
    /// A job ended.
    JobEnded {
        /// The term of the planner that wrote the record.
        term: u64,
        /// The id of the job.
        job: JobId,
        /// How it ended.
        end: JobEnd,
    },
    /// The cancellation of a job was requested.
    JobCancelled {
        /// The id of the job.
        job: JobId,
    },
    /// The planner repeats live state before the log drops the records that it was built from.
    #[serde(rename = "carried")]
    RepeatedState(RepeatedState),
}

impl RecordBody {
    /// Returns the term under which a planner wrote the record, or `None` for a record that is not
    /// written by a planner.
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
    /// The complete configuration.
    Configuration(RepeatedConfiguration),
    /// A live job.
    Job {
        /// The term of the planner that wrote the record.
        term: u64,
        /// The job as built from the log.
        job: Box<LiveJob>,
    },
    /// The current term, the entries and the owners of keys.
    Membership(RepeatedMembership),
}

/// All state that applying an edit depends on; see [`History`](crate::version::History).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RepeatedConfiguration {
    /// The term of the planner that wrote the record.
    pub term: u64,
    /// The offset up to which the planner had applied the log when it captured this state. The log
    /// may contain edits between that offset and this record.
    pub as_of: u64,
    /// The offset after the last accepted edit.
    pub version: u64,
    /// The version of each section.
    pub sections: Vec<RepeatedSection>,
    /// The ids of the last edits, used to drop duplicates.
    pub recent: Vec<Name>,
    /// The configuration document.
    pub document: Document,
}

/// The version of one section in a repeated configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RepeatedSection {
    /// The name of the section.
    pub section: Name,
    /// The offset after its last accepted edit.
    pub version: u64,
}

/// The current term, the entries and the owners of keys, as the planner repeats them on the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RepeatedMembership {
    /// The current term, which is the term of the writer.
    pub term: u64,
    /// The offset of the last record that changed this state.
    pub updated: u64,
    /// The name of the entry that holds the current term.
    pub planner: Name,
    /// The entries with their addresses.
    pub entries: Vec<RepeatedEntry>,
    /// The names of the agents that own keys.
    pub ring: Vec<Name>,
}

/// An entry in a repeated membership.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RepeatedEntry {
    /// The name of the entry.
    pub entry: Name,
    /// The address of its peer listener.
    pub address: Name,
}

/// An operator's edit of one section.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Edit {
    /// The section's name.
    pub section: Name,
    /// The version of the section that the edit is based on; 0 for a new section.
    pub base: u64,
    /// The new content; `None` removes the section.
    pub content: Option<RawSection>,
}

/// The number of tasks of a gang on one worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// The name of the worker, which is also that of its agent.
    pub worker: Name,
    /// Number of tasks on the worker.
    pub tasks: u32,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobEnd {
    /// All tasks succeeded.
    Finished,
    /// The job reached the limit of failed attempts.
    Failed,
    /// The job was cancelled.
    Cancelled,
    /// The job's requirements can no longer be met.
    Impossible,
}
