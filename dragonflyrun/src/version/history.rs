//! The fold of the edits on the log into the configuration in force.
//!
//! Every process folds the same records in the order of their offsets, by the same rules, and so
//! reaches the same verdict on each edit without asking another process.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use serde::{Deserialize, Serialize};

use crate::{
    connection::{CarriedSection, Edit},
    utils::Name,
    version::{ADMINISTRATION, Document, Finding, Version, check},
};

/// What became of an edit; the same in every process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum Verdict {
    /// It is in force as of its offset.
    Accepted,
    /// The section has changed since the editor saw it.
    Stale {
        /// The section's version.
        current: u64,
    },
    /// The editor does not own the section.
    NotOwner,
    /// The document that results breaks the checks.
    Invalid {
        /// All that was found.
        findings: Vec<Finding>,
    },
}

/// The configuration in force and the versions of its sections.
#[derive(Clone, Debug)]
pub struct History {
    current: Arc<Version>,
    sections: BTreeMap<Name, u64>,
}

impl Default for History {
    fn default() -> Self {
        Self {
            current: Arc::new(Version::new(0, Document::default())),
            sections: BTreeMap::new(),
        }
    }
}

impl History {
    /// Returns the version in force.
    pub fn current(&self) -> &Arc<Version> {
        &self.current
    }

    /// Returns the version of each section.
    pub fn sections(&self) -> &BTreeMap<Name, u64> {
        &self.sections
    }

    /// Folds the edit at `offset` by `editor`.
    pub fn fold(&mut self, offset: u64, editor: &Name, edit: &Edit) -> Verdict {
        let current = self.sections.get(&edit.section).copied().unwrap_or(0);
        if edit.base != current {
            return Verdict::Stale { current };
        }
        if !self.owns(editor, edit) {
            return Verdict::NotOwner;
        }
        let mut document = self.current.document.clone();
        match &edit.content {
            Some(content) => document
                .sections
                .insert(edit.section.clone(), content.clone()),
            None => document.sections.remove(&edit.section),
        };
        let findings = check(&document);
        if !findings.is_empty() {
            return Verdict::Invalid { findings };
        }
        self.sections.insert(edit.section.clone(), offset);
        self.current = Arc::new(Version::new(offset, document));
        Verdict::Accepted
    }

    /// Takes over a carried configuration, unless what is in force is as new.
    ///
    /// A process that starts after the log has dropped the edits begins here. One that has folded
    /// them already holds the same or a later version, and must not go back.
    pub fn adopt(&mut self, version: u64, sections: &[CarriedSection], document: &Document) {
        if version <= self.current.offset {
            return;
        }
        self.sections = sections
            .iter()
            .map(|s| (s.section.clone(), s.version))
            .collect();
        self.current = Arc::new(Version::new(version, document.clone()));
    }

    fn owns(&self, editor: &Name, edit: &Edit) -> bool {
        let document = &self.current.document;
        // The very first edit names the administrators; whoever holds a key may make it.
        let Some(administration) = document.sections.get(ADMINISTRATION) else {
            return document.sections.is_empty() && *edit.section == *ADMINISTRATION;
        };
        if administration.owners.contains(editor) {
            return true;
        }
        document.sections.get(&edit.section).is_some_and(|section| {
            let same_owners = edit
                .content
                .as_ref()
                .is_some_and(|c| c.owners == section.owners);
            section.owners.contains(editor) && same_owners
        })
    }
}
