//! The records of the jobs' topic and their encoding.
//!
//! Each kind of record has its own keys, and the store keeps the newest record of each key. A late
//! duplicate of a submission therefore can't undo the cancellation of its job. Folding is monotone:
//! the state depends neither on the order of the records nor on repeats.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    port::StoreRecord,
    utils::{Name, exact_number},
    workload::{EntryRecord, Job, JobPlan, LoadRecord},
};

/// The key of the record that holds the planner's term.
const PLANNER_KEY: &str = "planner";

/// The key of the record that holds the load as the planner publishes it.
const LOAD_KEY: &str = "load";

const JOB_PREFIX: &str = "j/";

/// Maximum length of a key in the store, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Maximum length of a job's name, in bytes: the keys of its records consist of a prefix and the name.
pub const MAX_JOB_NAME_BYTES: usize = MAX_KEY_BYTES - JOB_PREFIX.len();
const CANCEL_PREFIX: &str = "c/";
const PLAN_PREFIX: &str = "p/";
const ENTRY_PREFIX: &str = "e/";

/// The term of a planner, stored as its claim and heartbeats.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Term {
    /// The number of the term, which is the fencing token of the planner's appends. It increases with
    /// each change of the planner.
    #[serde(deserialize_with = "exact_number")]
    pub number: u64,
    /// The entry that is planner in this term.
    pub entry: Name,
    /// Whether the planner has resigned, so that another entry may take over at once.
    #[serde(default)]
    pub resigned: bool,
    /// Whether the planner starts no tasks because it can't prove that its configuration is in force.
    /// An entry that can prove it may take over.
    #[serde(default)]
    pub stale: bool,
    /// The numbers of the partitions of reports that the planner has been unable to read for some time,
    /// so that it learns of no end there. An entry that can read them may take over.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unread_reports: Vec<u32>,
}

impl Term {
    /// Returns whether the planner is alive but can't do all of its work.
    pub fn is_impaired(&self) -> bool {
        self.stale || !self.unread_reports.is_empty()
    }
}

/// A record of the jobs' topic.
#[derive(Clone, Debug, PartialEq)]
pub enum JobRecord {
    /// A job was accepted, with the settings that its queue had then.
    Accepted(Box<Job>),
    /// The job of this name was cancelled by a caller.
    Cancelled(Name),
    /// The plan of the job of this name; `None` deletes the job with all its keys.
    Plan(Name, Option<Box<JobPlan>>),
    /// The planner's term: a claim, a heartbeat or a resignation.
    Planner(Term),
    /// The announcement of an entry.
    Entry(EntryRecord),
    /// The entry of this name is gone.
    EntryGone(Name),
    /// The load, by which entries refuse jobs that would come too late.
    Load(LoadRecord),
}

impl JobRecord {
    /// Decodes a record; returns `None` if it is malformed or of another kind.
    pub fn decode(record: &StoreRecord) -> Option<Self> {
        let value = record.value.as_deref();
        if &*record.key == PLANNER_KEY {
            return Some(Self::Planner(decode(value?)?));
        }
        if &*record.key == LOAD_KEY {
            return Some(Self::Load(decode(value?)?));
        }
        if let Some(name) = record.key.strip_prefix(JOB_PREFIX) {
            let Some(value) = value else {
                return Some(Self::Plan(name.into(), None));
            };
            let job: Job = decode(value)?;
            return (&*job.name == name).then(|| Self::Accepted(Box::new(job)));
        }
        if let Some(name) = record.key.strip_prefix(CANCEL_PREFIX) {
            return Some(match value {
                Some(_) => Self::Cancelled(name.into()),
                None => Self::Plan(name.into(), None),
            });
        }
        if let Some(name) = record.key.strip_prefix(ENTRY_PREFIX) {
            return Some(match value {
                Some(value) => Self::Entry(decode(value)?),
                None => Self::EntryGone(name.into()),
            });
        }
        let name = record.key.strip_prefix(PLAN_PREFIX)?;
        let plan = match value {
            Some(value) => Some(Box::new(decode(value)?)),
            None => None,
        };
        Some(Self::Plan(name.into(), plan))
    }

    /// Encodes the record.
    pub fn encode(&self) -> StoreRecord {
        let (key, value) = match self {
            Self::Accepted(job) => (format!("{JOB_PREFIX}{}", job.name), Some(encode(job))),
            Self::Cancelled(name) => (format!("{CANCEL_PREFIX}{name}"), Some(vec![1])),
            Self::Plan(name, plan) => (format!("{PLAN_PREFIX}{name}"), plan.as_deref().map(encode)),
            Self::Planner(term) => (PLANNER_KEY.to_owned(), Some(encode(term))),
            Self::Entry(entry) => (format!("{ENTRY_PREFIX}{}", entry.name), Some(encode(entry))),
            Self::EntryGone(name) => (format!("{ENTRY_PREFIX}{name}"), None),
            Self::Load(load) => (LOAD_KEY.to_owned(), Some(encode(load))),
        };
        StoreRecord {
            key: key.into(),
            value,
        }
    }

    /// Returns the records that delete a job from the store.
    pub fn tombstones(name: &Name) -> [StoreRecord; 3] {
        [JOB_PREFIX, CANCEL_PREFIX, PLAN_PREFIX].map(|prefix| StoreRecord {
            key: format!("{prefix}{name}").into(),
            value: None,
        })
    }
}

/// Encodes a value as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buf = Vec::new();
    if let Err(error) = ciborium::into_writer(value, &mut buf) {
        // Writing to memory can't fail, and no serializer of the encoded types returns an error.
        log::error!(error:% = error; "encoding_failed");
    }
    buf
}

/// Decodes a value from CBOR; returns `None` if it is malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
