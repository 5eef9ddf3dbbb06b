//! An index of the section that defines each name.
//!
//! With it, an edit of one section is checked against the other sections without reading all of
//! them again.

use crate::{
    utils::{HashMap, Name},
    version::{
        Section,
        check::{MAX_DOCUMENT_ITEMS, MAX_SECTIONS},
        finding::{Findings, Place}, //
    },
};

/// Something that only one section may define.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Definition {
    Workspace(Name),
    FailureDomain(Name),
    Service(Name),
    Limits,
}

/// The definitions of all sections of a document.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    defined_in: HashMap<Definition, Name>,
    section_count: usize,
    item_count: usize,
}

impl Index {
    /// Adds a finding for each reason why `section` can't be inserted next to the other sections.
    /// If a section of this name was inserted before, it has to be removed first.
    pub(super) fn check(&self, name: &Name, section: &Section, findings: &mut Findings) {
        let root = Place::Root("/sections");
        let place = root.key(name);
        if self.section_count >= MAX_SECTIONS {
            findings.add(place, format!("There are {MAX_SECTIONS} sections already."));
        }
        if self.item_count + section.items() > MAX_DOCUMENT_ITEMS {
            let what = format!("All sections together have more than {MAX_DOCUMENT_ITEMS} items.");
            findings.add(place, what);
        }
        let list = place.key("workspaces");
        for (i, w) in section.workspaces.iter().enumerate() {
            let definition = Definition::Workspace(w.name.clone());
            self.check_definition(&definition, list.index(i).key("name"), findings);
        }
        let list = place.key("failure_domains");
        for (i, d) in section.failure_domains.iter().enumerate() {
            let definition = Definition::FailureDomain(d.name.clone());
            self.check_definition(&definition, list.index(i).key("name"), findings);
        }
        let list = place.key("services");
        for (i, s) in section.services.iter().enumerate() {
            let definition = Definition::Service(s.name.clone());
            self.check_definition(&definition, list.index(i).key("name"), findings);
        }
        if section.limits.is_some() {
            self.check_definition(&Definition::Limits, place.key("limits"), findings);
        }
    }

    fn check_definition(&self, definition: &Definition, place: Place<'_>, findings: &mut Findings) {
        if let Some(other) = self.defined_in.get(definition) {
            findings.add(place, format!("Section `{other}` defines it already."));
        }
    }

    /// Inserts the definitions of `section`.
    pub(super) fn insert(&mut self, name: &Name, section: &Section) {
        self.section_count += 1;
        self.item_count += section.items();
        for definition in definitions(section) {
            self.defined_in.insert(definition, name.clone());
        }
    }

    /// Removes the definitions of `section`.
    pub(super) fn remove(&mut self, section: &Section) {
        self.section_count -= 1;
        self.item_count -= section.items();
        for definition in definitions(section) {
            self.defined_in.remove(&definition);
        }
    }
}

fn definitions(section: &Section) -> impl Iterator<Item = Definition> + '_ {
    let workspaces = section.workspaces.iter();
    let failure_domains = section.failure_domains.iter();
    let services = section.services.iter();
    workspaces
        .map(|w| Definition::Workspace(w.name.clone()))
        .chain(failure_domains.map(|d| Definition::FailureDomain(d.name.clone())))
        .chain(services.map(|s| Definition::Service(s.name.clone())))
        .chain(section.limits.map(|_| Definition::Limits))
}
