//! What lives for one version of the configuration.

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
    DOCUMENT_ITEMS, GANG_TASKS, NAME_CHARACTERS, SECTION_ITEMS, SECTIONS, WORKER_ACCELERATORS,
    check, check_alone, is_name,
};
pub use document::{
    ADMINISTRATION, Adjacency, Document, FORMAT, FailureDomain, Guarantee, Limits, Section,
    Service, Urgency, Workspace,
};
pub use explain::{Explanation, Topic, TopicKind, explain};
pub use finding::Finding;
pub use history::{History, LoggedEdit, Verdict};
pub use parse::{DOCUMENT_BYTES, RawSection, parse_document, parse_section};
pub use tables::Version;
