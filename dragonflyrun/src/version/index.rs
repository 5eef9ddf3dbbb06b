//! Which section defines what, so that an edit of one section can be checked against the others
//! without reading them all again.

use crate::{
    utils::{HashMap, Name},
    version::{
        Section,
        check::{DOCUMENT_ITEMS, SECTIONS},
        finding::{Findings, Place}, //
    },
};

/// Something that one section only may define.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Definition {
    Workspace(Name),
    FailureDomain(Name),
    Service(Name),
    Limits,
}

/// What the sections of a document define.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    sections: HashMap<Definition, Name>,
    count: usize,
    items: usize,
}

impl Index {
    /// Adds what forbids to insert `section` beside the others. Where a section of this name was
    /// inserted already, remove it first.
    pub(super) fn check(&self, name: &Name, section: &Section, findings: &mut Findings) {
        let root = Place::Root("/sections");
        let place = root.key(name);
        if self.count >= SECTIONS {
            findings.add(place, format!("There are {SECTIONS} sections already."));
        }
        if self.items + section.items() > DOCUMENT_ITEMS {
            let what = format!("All sections together have more than {DOCUMENT_ITEMS} items.");
            findings.add(place, what);
        }
        let list = place.key("workspaces");
        for (i, w) in section.workspaces.iter().enumerate() {
            let definition = Definition::Workspace(w.name.clone());
            self.check_one(&definition, list.index(i).key("name"), findings);
        }
        let list = place.key("failure_domains");
        for (i, d) in section.failure_domains.iter().enumerate() {
            let definition = Definition::FailureDomain(d.name.clone());
            self.check_one(&definition, list.index(i).key("name"), findings);
        }
        let list = place.key("services");
        for (i, s) in section.services.iter().enumerate() {
            let definition = Definition::Service(s.name.clone());
            self.check_one(&definition, list.index(i).key("name"), findings);
        }
        if section.limits.is_some() {
            self.check_one(&Definition::Limits, place.key("limits"), findings);
        }
    }

    fn check_one(&self, definition: &Definition, place: Place<'_>, findings: &mut Findings) {
        if let Some(other) = self.sections.get(definition) {
            findings.add(place, format!("Section `{other}` defines it already."));
        }
    }

    /// Inserts what `section` defines.
    pub(super) fn insert(&mut self, name: &Name, section: &Section) {
        self.count += 1;
        self.items += section.items();
        for definition in definitions(section) {
            self.sections.insert(definition, name.clone());
        }
    }

    /// Removes what `section` defines.
    pub(super) fn remove(&mut self, section: &Section) {
        self.count -= 1;
        self.items -= section.items();
        for definition in definitions(section) {
            self.sections.remove(&definition);
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
