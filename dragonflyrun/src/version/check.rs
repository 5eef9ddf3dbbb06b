//! The checks of a document: all findings are collected with their place and reported together.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::version::Document;

/// Something wrong in a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// A JSON pointer to the place.
    pub place: String,
    /// What is wrong there, as a whole sentence.
    pub what: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.what)
    }
}

/// Returns all that is wrong in `document`, in the order of its places.
pub fn check(document: &Document) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (name, section) in &document.sections {
        if section.owners.is_empty() {
            findings.push(Finding {
                place: format!("/sections/{name}/owners"),
                what: "A section needs an owner.".to_owned(),
            });
        }
    }
    findings
}
