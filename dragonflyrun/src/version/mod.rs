//! What lives for one version of the configuration.

mod check;
mod document;
mod history;
mod tables;

pub use check::{Finding, check};
pub use document::{
    ADMINISTRATION, Adjacency, Document, FailureDomain, Guarantee, Limits, Section, Service,
    Urgency, Workspace,
};
pub use history::{History, Verdict};
pub use tables::Version;
