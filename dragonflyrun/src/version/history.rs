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
    connection::{Edit, RepeatedConfiguration, RepeatedSection, RepeatedState},
    utils::Name,
    version::{
        ADMINISTRATION,
        Document,
        FORMAT,
        Finding,
        NAME_CHARACTERS,
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
const RECENT_EDITS: usize = 1_024;

/// Edits that are kept while the configuration before them is not known, at the most.
const PENDING_EDITS: usize = 1_024;

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
enum Standing {
    /// All of it.
    Whole,
    /// The log has dropped edits that this process has not seen. `from` is the offset as of which
    /// it has seen all, and `edits` are those since.
    Gap {
        from: u64,
        edits: VecDeque<LoggedEdit>,
    },
    /// All of it, provided that there was none before `from`; `edits` are those since.
    Presumed {
        from: u64,
        edits: VecDeque<LoggedEdit>,
    },
    /// The document is in a newer format than this program knows.
    Unsupported { format: u32 },
}

/// The configuration in force and the versions of its sections.
#[derive(Clone, Debug)]
pub struct History {
    current: Arc<Version>,
    sections: BTreeMap<Name, u64>,
    index: Index,
    recent: VecDeque<Name>,
    standing: Standing,
}

impl Default for History {
    fn default() -> Self {
        Self {
            current: Arc::new(Version::new(0, Document::default())),
            sections: BTreeMap::new(),
            index: Index::default(),
            recent: VecDeque::new(),
            standing: Standing::Whole,
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

    /// Returns whether this process knows all edits up to where it has folded the log.
    ///
    /// One that does not may have missed that a failure domain was taken out. It keeps the version
    /// that it has, but must start nothing until it is whole again.
    pub fn is_whole(&self) -> bool {
        matches!(self.standing, Standing::Whole | Standing::Presumed { .. })
    }

    /// Returns whether it is whole only provided that there was no configuration before a gap.
    pub fn is_presumed(&self) -> bool {
        matches!(self.standing, Standing::Presumed { .. })
    }

    /// Returns the format of the document, where it is newer than this program knows.
    ///
    /// The program has no right verdict on any later edit, so it goes no further. It has to be
    /// replaced by a newer one.
    pub fn unsupported_format(&self) -> Option<u32> {
        match self.standing {
            Standing::Unsupported { format } => Some(format),
            _ => None,
        }
    }

    /// Folds an edit.
    ///
    /// Returns none for a second copy of an edit, and where this process is not
    /// [whole](Self::is_whole). An edit in a gap is judged later, when a carried configuration
    /// closes the gap.
    pub fn fold(&mut self, logged: &LoggedEdit) -> Option<Verdict> {
        match &mut self.standing {
            Standing::Whole => self.judge(logged),
            Standing::Presumed { from, edits } => {
                remember(from, edits, logged);
                self.judge(logged)
            }
            Standing::Gap { from, edits } => {
                remember(from, edits, logged);
                None
            }
            Standing::Unsupported { .. } => None,
        }
    }

    /// Takes note that the log has dropped records before this process has read them, and that it
    /// reads on at offset `first`.
    pub fn gap(&mut self, first: u64) {
        if !matches!(self.standing, Standing::Unsupported { .. }) {
            self.standing = Standing::Gap {
                from: first,
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
    pub fn begin(&mut self) {
        if self.current.offset > 0 {
            return;
        }
        if let Standing::Gap { from, edits } = &mut self.standing {
            let (from, pending) = (*from, mem::take(edits));
            let edits = VecDeque::new();
            self.standing = Standing::Presumed { from, edits };
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
    pub fn adopt(&mut self, offset: u64, carried: &RepeatedConfiguration) {
        let (from, least, edits) = match &mut self.standing {
            Standing::Gap { from, edits } => (*from, self.current.offset, edits),
            Standing::Presumed { from, edits } => (*from, 0, edits),
            Standing::Whole | Standing::Unsupported { .. } => return,
        };
        let sound = (least..=carried.as_of).contains(&carried.version) && carried.as_of <= offset;
        if carried.as_of < from || !sound {
            return;
        }
        let edits = mem::take(edits);
        self.install(carried);
        for logged in edits.iter().filter(|e| e.offset >= carried.as_of) {
            self.fold(logged);
        }
    }

    /// Returns the state as the planner of `term` repeats it on the log, where `as_of` is the
    /// offset up to which this process has folded the log; none where it is not whole.
    pub fn carried(&self, term: u64, as_of: u64) -> Option<RepeatedState> {
        if !self.is_whole() {
            return None;
        }
        let sections = self.sections.iter().map(|(section, version)| {
            let section = section.clone();
            let version = *version;
            RepeatedSection { section, version }
        });
        Some(RepeatedState::Configuration(RepeatedConfiguration {
            term,
            as_of,
            version: self.current.offset,
            sections: sections.collect(),
            recent: self.recent.iter().cloned().collect(),
            document: self.current.document.clone(),
        }))
    }

    fn install(&mut self, carried: &RepeatedConfiguration) {
        let document = carried.document.clone();
        if document.format() > FORMAT {
            self.give_up(carried.as_of, document.format());
            return;
        }
        self.index = Index::default();
        for (name, section) in &document.sections {
            self.index.insert(name, section);
        }
        let sections = carried.sections.iter();
        self.sections = sections.map(|s| (s.section.clone(), s.version)).collect();
        self.recent = carried.recent.iter().cloned().collect();
        self.current = Arc::new(Version::new(carried.version, document));
        self.standing = Standing::Whole;
    }

    fn give_up(&mut self, offset: u64, format: u32) {
        log::error!(offset = offset, format = format; "format_unsupported");
        self.standing = Standing::Unsupported { format };
    }

    fn is_first_copy(&mut self, id: &Name) -> bool {
        if id.len() > NAME_CHARACTERS || self.recent.contains(id) {
            return false;
        }
        self.recent.push_back(id.clone());
        if self.recent.len() > RECENT_EDITS {
            self.recent.pop_front();
        }
        true
    }

    fn judge(&mut self, logged: &LoggedEdit) -> Option<Verdict> {
        if !self.is_first_copy(&logged.id) {
            return None;
        }
        let edit = &logged.edit;
        let current = self.sections.get(&edit.section).copied().unwrap_or(0);
        if edit.base != current {
            return Some(Verdict::Stale { current });
        }
        let pointer = Place::Root("/sections").key(&edit.section).to_string();
        let content = match edit.content.as_ref().map(|c| c.parse(&pointer)) {
            None => None,
            Some(Ok(section)) => Some(Arc::new(section)),
            Some(Err(findings)) => return Some(Verdict::Invalid { findings }),
        };
        if !self.owns(&logged.editor, &edit.section, content.as_deref()) {
            return Some(Verdict::NotOwner);
        }
        match self.replace(&edit.section, content) {
            Ok(document) if document.format() > FORMAT => {
                self.give_up(logged.offset, document.format());
                None
            }
            Ok(document) => {
                self.advance(logged, document);
                Some(Verdict::Accepted)
            }
            Err(findings) => Some(Verdict::Invalid { findings }),
        }
    }

    /// Returns the document with `content` in the place of the section.
    fn replace(
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

    fn advance(&mut self, logged: &LoggedEdit, document: Document) {
        let name = &logged.edit.section;
        if document.sections.contains_key(name) {
            self.sections.insert(name.clone(), logged.version());
        } else {
            self.sections.remove(name);
        }
        self.current = Arc::new(Version::new(logged.version(), document));
    }

    fn owns(&self, editor: &Name, name: &Name, content: Option<&Section>) -> bool {
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
fn remember(from: &mut u64, edits: &mut VecDeque<LoggedEdit>, logged: &LoggedEdit) {
    edits.push_back(logged.clone());
    if edits.len() > PENDING_EDITS
        && let Some(dropped) = edits.pop_front()
    {
        *from = dropped.offset + 1;
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
