//! The shape of a document in JSON: which keys there are, and of which type each is.
//!
//! The types of `document.rs` would stop at the first mistake. An operator wants to see all of
//! them with their places, so the shape is checked against this table first.

use serde_json::Value;

use crate::version::finding::{Findings, Place};

/// What a value has to be.
enum Kind {
    Text,
    Flag,
    Count { most: u64 },
    Choice(&'static [&'static str]),
    List(&'static Kind),
    Object(&'static [Field]),
    Map(&'static Kind),
}

/// Whether a key has to be there.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Presence {
    Required,
    Optional,
    /// It may be left out or be `null`.
    Nullable,
}

struct Field {
    name: &'static str,
    presence: Presence,
    kind: Kind,
}

const fn field(name: &'static str, presence: Presence, kind: Kind) -> Field {
    Field {
        name,
        presence,
        kind,
    }
}

use Presence::{Nullable, Optional, Required};

const U32: Kind = Kind::Count {
    most: u32::MAX as u64,
};
const U64: Kind = Kind::Count { most: u64::MAX };

const ADJACENCIES: &[&str] = &["any", "failure_domain", "rack", "worker"];
const URGENCIES: &[&str] = &["urgent", "normal", "patient"];

const GUARANTEE: Kind = Kind::Object(&[
    field("tasks", Required, U32),
    field("accelerators", Required, U32),
    field("adjacency", Optional, Kind::Choice(ADJACENCIES)),
]);

const WORKSPACE: Kind = Kind::Object(&[
    field("name", Required, Kind::Text),
    field("guarantees", Optional, Kind::List(&GUARANTEE)),
    field("quota_accelerators", Nullable, U32),
]);

const FAILURE_DOMAIN: Kind = Kind::Object(&[
    field("name", Required, Kind::Text),
    field("region", Nullable, Kind::Text),
    field("in_service", Optional, Kind::Flag),
]);

const SERVICE: Kind = Kind::Object(&[
    field("name", Required, Kind::Text),
    field("urgency", Optional, Kind::Choice(URGENCIES)),
    field("deadline_ms", Optional, U64),
    field("repeatable", Optional, Kind::Flag),
    field("queue_limit", Optional, U32),
    field("key_window_ms", Optional, U64),
]);

const LIMITS: Kind = Kind::Object(&[
    field("body_bytes", Optional, U64),
    field("live_jobs", Optional, U32),
    field("retry_percent", Optional, U32),
    field("worker_failures", Optional, U32),
    field("quarantine_ms", Optional, U64),
]);

const SECTION: Kind = Kind::Object(&[
    field("owners", Required, Kind::List(&Kind::Text)),
    field("format", Nullable, U32),
    field("workspaces", Optional, Kind::List(&WORKSPACE)),
    field("failure_domains", Optional, Kind::List(&FAILURE_DOMAIN)),
    field("services", Optional, Kind::List(&SERVICE)),
    field("limits", Nullable, LIMITS),
]);

const DOCUMENT: Kind = Kind::Object(&[field("sections", Optional, Kind::Map(&SECTION))]);

/// Adds what is wrong with the shape of the document `value`.
pub(super) fn check_document(value: &Value, place: Place<'_>, findings: &mut Findings) {
    check(&DOCUMENT, value, place, findings);
}

/// Adds what is wrong with the shape of the section `value`.
pub(super) fn check_section(value: &Value, place: Place<'_>, findings: &mut Findings) {
    check(&SECTION, value, place, findings);
}

fn check(kind: &Kind, value: &Value, place: Place<'_>, findings: &mut Findings) {
    match (kind, value) {
        (Kind::Text, Value::String(_)) | (Kind::Flag, Value::Bool(_)) => {}
        (Kind::Count { most }, Value::Number(n)) if n.as_u64().is_some_and(|n| n <= *most) => {}
        (Kind::Choice(choices), Value::String(s)) if choices.contains(&s.as_str()) => {}
        (Kind::List(element), Value::Array(list)) => {
            for (i, value) in list.iter().enumerate() {
                check(element, value, place.index(i), findings);
            }
        }
        (Kind::Map(element), Value::Object(map)) => {
            for (key, value) in map {
                check(element, value, place.key(key), findings);
            }
        }
        (Kind::Object(fields), Value::Object(map)) => {
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

fn wrong_type(kind: &Kind, value: &Value) -> String {
    let wanted = match kind {
        Kind::Text => "a string".to_owned(),
        Kind::Flag => "true or false".to_owned(),
        Kind::Count { most } => format!("a whole number up to {most}"),
        Kind::Choice(choices) => format!("one of {}", choices.join(", ")),
        Kind::List(_) => "a list".to_owned(),
        Kind::Object(_) | Kind::Map(_) => "an object".to_owned(),
    };
    let got = match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "another number",
        Value::String(_) => "another string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    };
    format!("It has to be {wanted}, and is {got}.")
}
