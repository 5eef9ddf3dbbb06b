//! The JSON schema of a document: its keys and their types.
//!
//! Deserializing into the types of `document.rs` stops at the first mistake. Operators need to see
//! all mistakes with their places, so the JSON value is checked against this schema first.

use serde_json::Value;

use crate::version::finding::{Findings, Place};

/// The expected type of a value.
enum ValueKind {
    Text,
    Flag,
    Count { max: u64 },
    Choice(&'static [&'static str]),
    List(&'static ValueKind),
    Object(&'static [Field]),
    Map(&'static ValueKind),
}

/// Whether a key is required.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Presence {
    Required,
    Optional,
    /// The key may be missing, or its value `null`.
    Nullable,
}

struct Field {
    name: &'static str,
    presence: Presence,
    kind: ValueKind,
}

const fn field(name: &'static str, presence: Presence, kind: ValueKind) -> Field {
    Field {
        name,
        presence,
        kind,
    }
}

use Presence::{Nullable, Optional, Required};

const U32: ValueKind = ValueKind::Count {
    max: u32::MAX as u64,
};
const U64: ValueKind = ValueKind::Count { max: u64::MAX };

const ADJACENCIES: &[&str] = &["any", "failure_domain", "rack", "worker"];
const URGENCIES: &[&str] = &["urgent", "normal", "patient"];

const GUARANTEE: ValueKind = ValueKind::Object(&[
    field("tasks", Required, U32),
    field("accelerators", Required, U32),
    field("adjacency", Optional, ValueKind::Choice(ADJACENCIES)),
]);

const WORKSPACE: ValueKind = ValueKind::Object(&[
    field("name", Required, ValueKind::Text),
    field("guarantees", Optional, ValueKind::List(&GUARANTEE)),
    field("quota_accelerators", Nullable, U32),
]);

const FAILURE_DOMAIN: ValueKind = ValueKind::Object(&[
    field("name", Required, ValueKind::Text),
    field("region", Nullable, ValueKind::Text),
    field("in_service", Optional, ValueKind::Flag),
]);

const SERVICE: ValueKind = ValueKind::Object(&[
    field("name", Required, ValueKind::Text),
    field("urgency", Optional, ValueKind::Choice(URGENCIES)),
    field("deadline_ms", Optional, U64),
    field("repeatable", Optional, ValueKind::Flag),
    field("queue_limit", Optional, U32),
    field("key_window_ms", Optional, U64),
]);

const LIMITS: ValueKind = ValueKind::Object(&[
    field("body_bytes", Optional, U64),
    field("live_jobs", Optional, U32),
    field("retry_percent", Optional, U32),
    field("worker_failures", Optional, U32),
    field("quarantine_ms", Optional, U64),
]);

const SECTION: ValueKind = ValueKind::Object(&[
    field("owners", Required, ValueKind::List(&ValueKind::Text)),
    field("format", Nullable, U32),
    field("workspaces", Optional, ValueKind::List(&WORKSPACE)),
    field(
        "failure_domains",
        Optional,
        ValueKind::List(&FAILURE_DOMAIN),
    ),
    field("services", Optional, ValueKind::List(&SERVICE)),
    field("limits", Nullable, LIMITS),
]);

const DOCUMENT: ValueKind =
    ValueKind::Object(&[field("sections", Optional, ValueKind::Map(&SECTION))]);

/// Adds a finding for each key and type in the document `value` that does not match the schema.
pub(super) fn check_document(value: &Value, place: Place<'_>, findings: &mut Findings) {
    check(&DOCUMENT, value, place, findings);
}

/// Adds a finding for each key and type in the section `value` that does not match the schema.
pub(super) fn check_section(value: &Value, place: Place<'_>, findings: &mut Findings) {
    check(&SECTION, value, place, findings);
}

fn check(kind: &ValueKind, value: &Value, place: Place<'_>, findings: &mut Findings) {
    match (kind, value) {
        (ValueKind::Text, Value::String(_)) | (ValueKind::Flag, Value::Bool(_)) => {}
        (ValueKind::Count { max }, Value::Number(n)) if n.as_u64().is_some_and(|n| n <= *max) => {}
        (ValueKind::Choice(choices), Value::String(s)) if choices.contains(&s.as_str()) => {}
        (ValueKind::List(element), Value::Array(list)) => {
            for (i, value) in list.iter().enumerate() {
                check(element, value, place.index(i), findings);
            }
        }
        (ValueKind::Map(element), Value::Object(map)) => {
            for (key, value) in map {
                check(element, value, place.key(key), findings);
            }
        }
        (ValueKind::Object(fields), Value::Object(map)) => {
            for (key, value) in map {
                match fields.iter().find(|f| f.name == key) {
                    Some(f) if f.presence == Nullable && value.is_null() => {}
                    Some(f) => check(&f.kind, value, place.key(key), findings),
                    None => findings.add(place.key(key), unknown_key(fields)),
                }
            }
            for f in fields.iter().filter(|f| f.presence == Required) {
                if !map.contains_key(f.name) {
                    findings.add(place.key(f.name), "It is required.");
                }
            }
        }
        _ => findings.add(place, wrong_type(kind, value)),
    }
}

fn unknown_key(fields: &[Field]) -> String {
    let names: Vec<&str> = fields.iter().map(|f| f.name).collect();
    format!("There is no such key; there are {}.", names.join(", "))
}

fn wrong_type(kind: &ValueKind, value: &Value) -> String {
    let expected = match kind {
        ValueKind::Text => "a string".to_owned(),
        ValueKind::Flag => "true or false".to_owned(),
        ValueKind::Count { max } => format!("a whole number up to {max}"),
        ValueKind::Choice(choices) => format!("one of {}", choices.join(", ")),
        ValueKind::List(_) => "a list".to_owned(),
        ValueKind::Object(_) | ValueKind::Map(_) => "an object".to_owned(),
    };
    let found = match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "another number",
        Value::String(_) => "another string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    };
    format!("It has to be {expected}, and is {found}.")
}
