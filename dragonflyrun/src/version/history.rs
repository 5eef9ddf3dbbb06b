//! Folds the edits on the log into the configuration in force.
//!
//! Every process folds the same records in the order of their offsets, by the same rules, and so
//! reaches the same verdict on each edit without asking another process. All state that the rules
//! depend on is in [`History`] and in the configuration that the planner repeats on the log, so a
//! process that starts from a repeated configuration behaves exactly like one that has folded the
//! log from its first record.

use std::{
    collections::{BTreeMap, VecDeque},
    mem,
    sync::Arc, //
};

use serde::{Deserialize, Serialize};

use crate::{
    connection::{Edit, RepeatedConfiguration, RepeatedSection, RepeatedState},
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

/// The number of recent edit ids that are kept to detect a second copy of an edit.
///
/// An editor that got no answer sends its edit again. A second copy of an accepted edit would only
/// be stale, but a second copy of a rejected edit may have become valid since, and must not take
/// effect after its editor was told that it was rejected.
const MAX_RECENT_EDIT_IDS: usize = 1_024;

/// The maximum number of edits that are kept while the configuration before them is unknown.
const MAX_PENDING_EDITS: usize = 1_024;

/// The outcome of an edit, which is the same in every process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum Verdict {
    /// The edit is in force.
    Accepted,
    /// The section has changed since the version that the edit is based on.
    Stale {
        /// The current version of the section.
        current: u64,
    },
    /// The editor may not make this change.
    NotOwner,
    /// The resulting document would be invalid.
    Invalid {
        /// All findings in the edited section.
        findings: Vec<Finding>,
    },
}

/// An edit that was read from the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedEdit {
    /// The offset of its record.
    pub offset: u64,
    /// The id of its record.
    pub id: Name,
    /// The editor who wrote it.
    pub editor: Name,
    /// The change to a section that the editor requests.
    pub edit: Edit,
}

impl LoggedEdit {
    /// Returns the version that the edit creates if it is accepted. This is the offset after its
    /// own, so that an edit at offset 0 differs from version 0, where there is no edit.
    pub fn version(&self) -> u64 {
        self.offset + 1
    }
}

/// Whether a process has seen all edits of the configuration.
#[derive(Clone, Debug)]
enum Completeness {
    /// The process has seen all edits.
    Complete,
    /// The log has dropped records that this process has not read. It has seen all edits from
    /// offset `complete_from` on and keeps them in `edits`.
    Gap {
        complete_from: u64,
        edits: VecDeque<LoggedEdit>,
    },
    /// The process has seen all edits, provided that there was none before `complete_from`. `edits`
    /// are those since.
    PresumedComplete {
        complete_from: u64,
        edits: VecDeque<LoggedEdit>,
    },
    /// The document is in a newer format than this program supports.
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
    /// Returns the version of the configuration in force.
    pub fn current(&self) -> &Arc<Version> {
        &self.current
    }

    /// Returns the version of each section.
    pub fn section_versions(&self) -> &BTreeMap<Name, u64> {
        &self.section_versions
    }

    /// Returns whether this process knows all edits up to the offset up to which it has folded the
    /// log.
    ///
    /// If not, it may have missed that a failure domain was taken out of service. It keeps its
    /// version of the configuration, but must not start anything until the history is complete
    /// again.
    pub fn is_complete(&self) -> bool {
        matches!(
            self.completeness,
            Completeness::Complete | Completeness::PresumedComplete { .. }
        )
    }

    /// Returns whether the history is complete only if there was no configuration before a gap.
    pub fn is_presumed_complete(&self) -> bool {
        matches!(self.completeness, Completeness::PresumedComplete { .. })
    }

    /// Returns the format of the document if it is newer than this program supports.
    ///
    /// The program can't evaluate later edits correctly, so it stops folding edits and has to be
    /// upgraded.
    pub fn unsupported_format(&self) -> Option<u32> {
        match self.completeness {
            Completeness::UnsupportedFormat { format } => Some(format),
            _ => None,
        }
    }

    /// Folds an edit.
    ///
    /// Returns `None` for a second copy of an edit, for an edit whose id is too long, for an edit
    /// that changes to an unsupported format, and if the history is not
    /// [complete](Self::is_complete). An edit after a gap is evaluated later, once a repeated
    /// configuration has closed the gap.
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

    /// Marks the history as incomplete: the log dropped records before this process read them, and
    /// the process continues at offset `first`.
    pub fn mark_incomplete(&mut self, first: u64) {
        if !matches!(self.completeness, Completeness::UnsupportedFormat { .. }) {
            self.completeness = Completeness::Gap {
                complete_from: first,
                edits: VecDeque::new(),
            };
        }
    }

    /// Presumes that there was no configuration before the gap, as the log shows no trace of one,
    /// and evaluates the edits since.
    ///
    /// This does nothing if the process already knows a configuration. Otherwise it may still be
    /// wrong: after a long outage the log may also have dropped every configuration that the
    /// planner repeated. So the process still accepts a repeated configuration.
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

    /// Folds a configuration that the planner repeated at `offset`.
    ///
    /// A complete history ignores it: it has this state or a later one, and must not go back. A
    /// history with a gap adopts it if it has seen every edit since the planner took the snapshot,
    /// and then evaluates those edits. So an edit that reached the log between the snapshot and its
    /// record is not lost.
    pub fn adopt(&mut self, offset: u64, repeated: &RepeatedConfiguration) {
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
            (min_version..=repeated.as_of).contains(&repeated.version) && repeated.as_of <= offset;
        if repeated.as_of < complete_from || !is_consistent {
            return;
        }
        let edits = mem::take(edits);
        self.replace_state(repeated);
        for logged in edits.iter().filter(|e| e.offset >= repeated.as_of) {
            self.fold(logged);
        }
    }

    /// Returns the state that the planner of `term` repeats on the log, or `None` if the history is
    /// incomplete. `as_of` is the offset up to which this process has folded the log.
    pub fn state_to_repeat(&self, term: u64, as_of: u64) -> Option<RepeatedState> {
        if !self.is_complete() {
            return None;
        }
        let sections = self.section_versions.iter().map(|(section, version)| {
            let section = section.clone();
            let version = *version;
            RepeatedSection { section, version }
        });
        Some(RepeatedState::Configuration(RepeatedConfiguration {
            term,
            as_of,
            version: self.current.offset,
            sections: sections.collect(),
            recent: self.recent_ids.iter().cloned().collect(),
            document: self.current.document.clone(),
        }))
    }

    fn replace_state(&mut self, repeated: &RepeatedConfiguration) {
        let document = repeated.document.clone();
        if document.format() > FORMAT {
            self.stop_at_format(repeated.as_of, document.format());
            return;
        }
        self.index = Index::default();
        for (name, section) in &document.sections {
            self.index.insert(name, section);
        }
        let sections = repeated.sections.iter();
        self.section_versions = sections.map(|s| (s.section.clone(), s.version)).collect();
        self.recent_ids = repeated.recent.iter().cloned().collect();
        self.current = Arc::new(Version::new(repeated.version, document));
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

    /// Returns the document with the section replaced by `content`, or removed if that is `None`,
    /// and updates the index accordingly.
    ///
    /// # Errors
    ///
    /// All findings; the index is unchanged then.
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
        // The first edit sets the administrators; any editor with a key may make it.
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

/// Keeps an edit until a repeated configuration shows the state before it.
fn push_pending(complete_from: &mut u64, edits: &mut VecDeque<LoggedEdit>, logged: &LoggedEdit) {
    edits.push_back(logged.clone());
    if edits.len() > MAX_PENDING_EDITS
        && let Some(dropped) = edits.pop_front()
    {
        *complete_from = dropped.offset + 1;
    }
}

/// Adds a finding if `section` changes the format to any but the next one.
///
/// A program that does not support the new format stops at the change. It can't tell a wrong number
/// from a later format, so a wrong number must be rejected.
fn check_format(current: u32, name: &Name, section: &Section, findings: &mut Findings) {
    let format = section.format.unwrap_or(1);
    let next = current.saturating_add(1);
    if **name == *ADMINISTRATION && format != current && format != next {
        let what = format!("The format in force is {current}; it can only be raised to {next}.");
        findings.add(Place::Root("/sections/administration/format"), what);
    }
}
