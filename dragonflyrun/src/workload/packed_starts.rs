//! Compact serialization of the starts in an order: the payload of a job is written once for all of
//! its tasks.
//!
//! A planner on a host with a slow link may start a step of hundreds of small tasks at once. Each
//! worker gets several of the tasks, and repeating the payload in each start would delay all
//! messages behind the order.

use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::workload::{RunId, TaskStart};

/// A start in its serialized form.
#[derive(Deserialize, Serialize)]
struct PackedStart {
    #[serde(rename = "r")]
    run: RunId,
    /// `None` if it is the same as in the previous start.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    payload: Option<Arc<str>>,
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    checkpoint: String,
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    ticket: Option<String>,
}

/// Serializes starts.
pub(super) fn serialize<S: Serializer>(starts: &[TaskStart], to: S) -> Result<S::Ok, S::Error> {
    let mut previous: Option<&Arc<str>> = None;
    let packed = starts.iter().map(|start| {
        let same = previous == Some(&start.payload);
        previous = Some(&start.payload);
        PackedStart {
            run: start.run.clone(),
            payload: (!same).then(|| start.payload.clone()),
            checkpoint: start.checkpoint.clone(),
            ticket: start.ticket.clone(),
        }
    });
    to.collect_seq(packed)
}

/// Deserializes starts.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<TaskStart>, D::Error> {
    let packed = Vec::<PackedStart>::deserialize(from)?;
    let mut previous: Arc<str> = Arc::from("");
    let starts = packed.into_iter().map(|start| {
        previous = start.payload.unwrap_or_else(|| previous.clone());
        TaskStart {
            run: start.run,
            payload: previous.clone(),
            checkpoint: start.checkpoint,
            ticket: start.ticket,
        }
    });
    Ok(starts.collect())
}
