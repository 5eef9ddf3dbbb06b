//! The fold of the edits on the log into the configuration in force.
//!
//! Every process folds the same records in the order of their offsets, by the same rules, and so
//! reaches the same verdict on each edit without asking another process. What the rules look at is
//! all in [`History`] and is all repeated in a carried configuration, so that a process that
//! starts there goes on exactly like one that has folded the log from its first record.

use std::{
    collections::{BTreeMap, VecDeque},
    mem,
    sync::Arc, //
};

use serde::{Deserialize, Serialize};

use crate::{
    connection::{Carried, CarriedConfiguration, CarriedSection, Edit},
    utils::Name,
    version::{
        ADMINISTRATION,
        Document,
        FORMAT,
        Finding,
        MAX_NAME_CHARACTERS,
        Section,
        Version,
        check::check_section,
        finding::{Findings, Place},
        index::Index, //
    },
};

/// Ids of edits that are remembered to drop a second copy, which comes from an editor who sent
/// again after a lost answer. A copy of an accepted edit would only be stale; a copy of a refused
/// one may have become valid since, and must not take effect after its editor was told no.
const MAX_RECENT_EDIT_IDS: usize = 1_024;

/// Edits that are kept while the configuration before them is not known, at the most.
const MAX_PENDING_EDITS: usize = 1_024;

/// What became of an edit; the same in every process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum Verdict {
    /// It is in force.
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

/// An edit as it stands on the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedEdit {
    /// Its offset.
    pub offset: u64,
    /// The id of its record.
    pub id: Name,
    /// Who wrote it.
    pub editor: Name,
    /// What it says.
    pub edit: Edit,
}

impl LoggedEdit {
    /// Returns the version that the edit makes if it is accepted: the offset after its own, so
    /// that an edit at the start of the log differs from there being none.
    pub fn version(&self) -> u64 {
        self.offset + 1
    }
}

/// How much of the configuration a process knows.
#[derive(Clone, Debug)]
enum Completeness {
    /// All of it.
    Complete,
    /// The log has dropped edits that this process has not seen. `from` is the offset as of which
    /// it has seen all, and `edits` are those since.
    Gap {
        complete_from: u64,
        edits: VecDeque<LoggedEdit>,
    },
    /// All of it, provided that there was none before `from`; `edits` are those since.
    PresumedComplete {
        complete_from: u64,
        edits: VecDeque<LoggedEdit>,
    },
    /// The document is in a newer format than this program knows.
    UnsupportedFormat { format: u32 },
}

/// The configuration in force and the versions of its sections.
#[derive(Clone, Debug)]
pub struct History {
    current: Arc<Version>,
    section_versions: BTreeMap<Name, u64>,
    index: Index,
    recent_ids: VecDeque<Name>,
    completeness: Completeness,
}

impl Default for History {
    fn default() -> Self {
        Self {
            current: Arc::new(Version::new(0, Document::default())),
            section_versions: BTreeMap::new(),
            index: Index::default(),
            recent_ids: VecDeque::new(),
            completeness: Completeness::Complete,
        }
    }
}

impl History {
    /// Returns the version in force.
    pub fn current(&self) -> &Arc<Version> {
        &self.current
    }

    /// Returns the version of each section.
    pub fn section_versions(&self) -> &BTreeMap<Name, u64> {
        &self.section_versions
    }

    /// Returns whether this process knows all edits up to where it has folded the log.
    ///
    /// One that does not may have missed that a failure domain was taken out. It keeps the version
    /// that it has, but must start nothing until it is whole again.
    pub fn is_complete(&self) -> bool {
        matches!(
            self.completeness,
            Completeness::Complete | Completeness::PresumedComplete { .. }
        )
    }

    /// Returns whether it is whole only provided that there was no configuration before a gap.
    pub fn is_presumed_complete(&self) -> bool {
        matches!(self.completeness, Completeness::PresumedComplete { .. })
    }

    /// Returns the format of the document, where it is newer than this program knows.
    ///
    /// The program has no right verdict on any later edit, so it goes no further. It has to be
    /// replaced by a newer one.
    pub fn unsupported_format(&self) -> Option<u32> {
        match self.completeness {
            Completeness::UnsupportedFormat { format } => Some(format),
            _ => None,
        }
    }

    /// Folds an edit.
    ///
    /// Returns none for a second copy of an edit, and where this process is not
    /// [whole](Self::is_complete). An edit in a gap is judged later, when a carried configuration
    /// closes the gap.
    pub fn fold(&mut self, logged: &LoggedEdit) -> Option<Verdict> {
        match &mut self.completeness {
            Completeness::Complete => self.evaluate(logged),
            Completeness::PresumedComplete {
                complete_from,
                edits,
            } => {
                push_pending(complete_from, edits, logged);
                self.evaluate(logged)
            }
            Completeness::Gap {
                complete_from,
                edits,
            } => {
                push_pending(complete_from, edits, logged);
                None
            }
            Completeness::UnsupportedFormat { .. } => None,
        }
    }

    /// Takes note that the log has dropped records before this process has read them, and that it
    /// reads on at offset `first`.
    pub fn mark_incomplete(&mut self, first: u64) {
        if !matches!(self.completeness, Completeness::UnsupportedFormat { .. }) {
            self.completeness = Completeness::Gap {
                complete_from: first,
                edits: VecDeque::new(),
            };
        }
    }

    /// Presumes that there was no configuration before the gap, as the log shows no trace of one,
    /// and judges the edits seen since.
    ///
    /// A process that knows a configuration knows that there was one. One that knows none may still
    /// be mistaken, where all that the planner has repeated is dropped as well after a long outage,
    /// so it goes on looking for a carried configuration.
    pub fn presume_complete(&mut self) {
        if self.current.offset > 0 {
            return;
        }
        if let Completeness::Gap {
            complete_from,
            edits,
        } = &mut self.completeness
        {
            let (complete_from, pending) = (*complete_from, mem::take(edits));
            let edits = VecDeque::new();
            self.completeness = Completeness::PresumedComplete {
                complete_from,
                edits,
            };
            for logged in &pending {
                self.fold(logged);
            }
        }
    }

    /// Folds a carried configuration that stands at `offset`.
    ///
    /// A process that is whole has no use for it: it holds this state or a later one, and must not
    /// go back. One with a gap takes it over if it has seen every edit since the state was taken,
    /// and then judges those, so that an edit that reached the log between the taking and the
    /// carrying of the state is not lost.
    pub fn adopt(&mut self, offset: u64, carried: &CarriedConfiguration) {
        let (complete_from, min_version, edits) = match &mut self.completeness {
            Completeness::Gap {
                complete_from,
                edits,
            } => (*complete_from, self.current.offset, edits),
            Completeness::PresumedComplete {
                complete_from,
                edits,
            } => (*complete_from, 0, edits),
            Completeness::Complete | Completeness::UnsupportedFormat { .. } => return,
        };
        let is_consistent =
            (min_version..=carried.as_of).contains(&carried.version) && carried.as_of <= offset;
        if carried.as_of < complete_from || !is_consistent {
            return;
        }
        let edits = mem::take(edits);
        self.replace_state(carried);
        for logged in edits.iter().filter(|e| e.offset >= carried.as_of) {
            self.fold(logged);
        }
    }

    /// Returns the state as the planner of `term` repeats it on the log, where `as_of` is the
    /// offset up to which this process has folded the log; none where it is not whole.
    pub fn state_to_repeat(&self, term: u64, as_of: u64) -> Option<Carried> {
        if !self.is_complete() {
            return None;
        }
        let sections = self.section_versions.iter().map(|(section, version)| {
            let section = section.clone();
            let version = *version;
            CarriedSection { section, version }
        });
        Some(Carried::Configuration(CarriedConfiguration {
            term,
            as_of,
            version: self.current.offset,
            sections: sections.collect(),
            recent: self.recent_ids.iter().cloned().collect(),
            document: self.current.document.clone(),
        }))
    }

    fn replace_state(&mut self, carried: &CarriedConfiguration) {
        let document = carried.document.clone();
        if document.format() > FORMAT {
            self.stop_at_format(carried.as_of, document.format());
            return;
        }
        self.index = Index::default();
        for (name, section) in &document.sections {
            self.index.insert(name, section);
        }
        let sections = carried.sections.iter();
        self.section_versions = sections.map(|s| (s.section.clone(), s.version)).collect();
        self.recent_ids = carried.recent.iter().cloned().collect();
        self.current = Arc::new(Version::new(carried.version, document));
        self.completeness = Completeness::Complete;
    }

    fn stop_at_format(&mut self, offset: u64, format: u32) {
        log::error!(offset = offset, format = format; "format_unsupported");
        self.completeness = Completeness::UnsupportedFormat { format };
    }

    fn record_first_copy(&mut self, id: &Name) -> bool {
        if id.len() > MAX_NAME_CHARACTERS || self.recent_ids.contains(id) {
            return false;
        }
        self.recent_ids.push_back(id.clone());
        if self.recent_ids.len() > MAX_RECENT_EDIT_IDS {
            self.recent_ids.pop_front();
        }
        true
    }

    fn evaluate(&mut self, logged: &LoggedEdit) -> Option<Verdict> {
        if !self.record_first_copy(&logged.id) {
            return None;
        }
        let edit = &logged.edit;
        let current = self
            .section_versions
            .get(&edit.section)
            .copied()
            .unwrap_or(0);
        if edit.base != current {
            return Some(Verdict::Stale { current });
        }
        let pointer = Place::Root("/sections").key(&edit.section).to_string();
        let content = match edit.content.as_ref().map(|c| c.parse(&pointer)) {
            None => None,
            Some(Ok(section)) => Some(Arc::new(section)),
            Some(Err(findings)) => return Some(Verdict::Invalid { findings }),
        };
        if !self.may_edit(&logged.editor, &edit.section, content.as_deref()) {
            return Some(Verdict::NotOwner);
        }
        match self.replace_section(&edit.section, content) {
            Ok(document) if document.format() > FORMAT => {
                self.stop_at_format(logged.offset, document.format());
                None
            }
            Ok(document) => {
                self.put_in_force(logged, document);
                Some(Verdict::Accepted)
            }
            Err(findings) => Some(Verdict::Invalid { findings }),
        }
    }

    /// Returns the document with `content` in the place of the section.
    fn replace_section(
        &mut self,
        name: &Name,
        content: Option<Arc<Section>>,
    ) -> Result<Document, Vec<Finding>> {
        let mut findings = Findings::default();
        let mut document = self.current.document.clone();
        let old = document.sections.remove(name);
        if let Some(section) = &old {
            self.index.remove(section);
        }
        match &content {
            Some(section) => {
                check_section(name, section, &mut findings);
                self.index.check(name, section, &mut findings);
                check_format(self.current.document.format(), name, section, &mut findings);
            }
            None if **name == *ADMINISTRATION => {
                let what = "It can't be removed; without it nobody could add a section.";
                findings.add(Place::Root("/sections/administration"), what);
            }
            None => {}
        }
        let kept = if findings.is_empty() { content } else { old };
        if let Some(section) = kept {
            self.index.insert(name, &section);
            document.sections.insert(name.clone(), section);
        }
        if findings.is_empty() {
            Ok(document)
        } else {
            Err(findings.into_vec())
        }
    }

    fn put_in_force(&mut self, logged: &LoggedEdit, document: Document) {
        let name = &logged.edit.section;
        if document.sections.contains_key(name) {
            self.section_versions.insert(name.clone(), logged.version());
        } else {
            self.section_versions.remove(name);
        }
        self.current = Arc::new(Version::new(logged.version(), document));
    }

    fn may_edit(&self, editor: &Name, name: &Name, content: Option<&Section>) -> bool {
        let document = &self.current.document;
        // The very first edit names the administrators; whoever holds a key may make it.
        let Some(administration) = document.sections.get(ADMINISTRATION) else {
            return document.sections.is_empty() && **name == *ADMINISTRATION;
        };
        if administration.owners.contains(editor) {
            return true;
        }
        document.sections.get(name).is_some_and(|section| {
            let same_owners = content.is_some_and(|c| c.owners == section.owners);
            section.owners.contains(editor) && same_owners
        })
    }
}

/// Keeps an edit for when a carried configuration tells what was before it.
fn push_pending(complete_from: &mut u64, edits: &mut VecDeque<LoggedEdit>, logged: &LoggedEdit) {
    edits.push_back(logged.clone());
    if edits.len() > MAX_PENDING_EDITS
        && let Some(dropped) = edits.pop_front()
    {
        *complete_from = dropped.offset + 1;
    }
}

/// Adds a finding where `section` would change the format in any way but to the next one.
///
/// Programs that do not know the next format stop at the change, so a mistaken number must not get
/// through: those that know no such format could not tell it from a later one.
fn check_format(current: u32, name: &Name, section: &Section, findings: &mut Findings) {
    let format = section.format.unwrap_or(1);
    let next = current.saturating_add(1);
    if **name == *ADMINISTRATION && format != current && format != next {
        let what = format!("The format in force is {current}; it can only be raised to {next}.");
        findings.add(Place::Root("/sections/administration/format"), what);
    }
}
