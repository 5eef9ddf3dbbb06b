//! How the starts of an order are written: what a caller handed in stands once for all tasks of a job.
//!
//! Load pattern answered here: a step of hundreds of small tasks is started at once by a planner whose
//! host has a slow link. Each worker takes several of the tasks, and the same text in each of their
//! starts would keep everything that comes after them waiting.

use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::workload::{RunId, TaskStart};

/// A start as it is written.
#[derive(Deserialize, Serialize)]
struct PackedStart {
    #[serde(rename = "r")]
    run: RunId,
    /// None for that of the start before.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    payload: Option<Arc<str>>,
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    checkpoint: String,
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    ticket: Option<String>,
}

/// Writes starts.
pub(super) fn serialize<S: Serializer>(starts: &[TaskStart], to: S) -> Result<S::Ok, S::Error> {
    let mut before: Option<&Arc<str>> = None;
    let packed = starts.iter().map(|start| {
        let same = before == Some(&start.payload);
        before = Some(&start.payload);
        PackedStart {
            run: start.run.clone(),
            payload: (!same).then(|| start.payload.clone()),
            checkpoint: start.checkpoint.clone(),
            ticket: start.ticket.clone(),
        }
    });
    to.collect_seq(packed)
}

/// Reads starts.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<TaskStart>, D::Error> {
    let packed = Vec::<PackedStart>::deserialize(from)?;
    let mut before: Arc<str> = Arc::from("");
    let starts = packed.into_iter().map(|start| {
        before = start.payload.unwrap_or_else(|| before.clone());
        TaskStart {
            run: start.run,
            payload: before.clone(),
            checkpoint: start.checkpoint,
            ticket: start.ticket,
        }
    });
    Ok(starts.collect())
}
