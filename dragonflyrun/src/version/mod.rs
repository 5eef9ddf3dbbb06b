//! The configuration: its document, the checks of an edit, and the version in force.

mod check;
mod document;
mod explain;
mod finding;
mod history;
mod index;
mod parse;
mod schema;
mod tables;

pub use check::{
    MAX_ACCELERATORS_PER_WORKER, MAX_DOCUMENT_ITEMS, MAX_GANG_TASKS, MAX_NAME_CHARACTERS,
    MAX_SECTION_ITEMS, MAX_SECTIONS, check, check_single_section, is_name,
};
pub use document::{
    ADMINISTRATION, Adjacency, Document, FORMAT, FailureDomain, Guarantee, Limits, Section,
    Service, Urgency, Workspace,
};
pub use explain::{Explanation, Topic, TopicKind, explain};
pub use finding::Finding;
pub use history::{History, LoggedEdit, Verdict};
pub use parse::{MAX_DOCUMENT_BYTES, RawSection, parse_document, parse_section};
pub use tables::Version;
