//! Records of the jobs' topic, and their encoding.
//!
//! Every record has a key of its own kind, so that the store keeps the newest of each: a late
//! duplicate of a hand-in can't undo the cancelling of its job. Folding is monotone; any order of
//! arrival and any repeat gives the same state.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    port::StoreRecord,
    utils::Name,
    workload::{Job, JobPlan},
};

/// The key of the planner's own record.
const PLANNER_KEY: &str = "planner";

const JOB_PREFIX: &str = "j/";

/// Bytes that a key of the store holds at the most.
const MAX_KEY_BYTES: usize = 255;

/// Bytes of a job's name at the most: its records are kept under keys that have it behind a prefix.
pub const MAX_JOB_NAME_BYTES: usize = MAX_KEY_BYTES - JOB_PREFIX.len();
const CANCEL_PREFIX: &str = "c/";
const PLAN_PREFIX: &str = "p/";

/// Which entry is planner.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Term {
    /// Rises by one with each change; the fencing token of the planner's appends.
    pub number: u64,
    /// The entry.
    pub entry: Name,
    /// Whether it has stepped down, so that another may follow at once.
    #[serde(default)]
    pub resigned: bool,
    /// Whether it starts nothing since it can't prove the configuration: an entry that can may take over.
    #[serde(default)]
    pub stale: bool,
}

/// A record of the jobs' topic.
#[derive(Clone, Debug, PartialEq)]
pub enum JobRecord {
    /// A job was accepted.
    Accepted(Box<Job>),
    /// A job was cancelled.
    Cancelled(Name),
    /// How far a job is; none where it may be forgotten, which drops all its keys.
    Plan(Name, Option<Box<JobPlan>>),
    /// Who is planner.
    Planner(Term),
}

impl JobRecord {
    /// Decodes a record; `None` where it can't be read or is not one of these.
    pub fn decode(record: &StoreRecord) -> Option<Self> {
        let value = record.value.as_deref();
        if &*record.key == PLANNER_KEY {
            return Some(Self::Planner(decode(value?)?));
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
        };
        StoreRecord {
            key: key.into(),
            value,
        }
    }

    /// Returns the records that let the store forget a job altogether.
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
        // Writing into memory can't fail, and none of the types has a serializer that does.
        log::error!(error:% = error; "encoding_failed");
    }
    buf
}

/// Decodes a value from CBOR; `None` where it can't be read.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
