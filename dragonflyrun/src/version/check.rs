//! The checks of the values in a document. All findings are collected and reported together.
//!
//! Every process applies these checks to an edit, so changing a check changes the format: two
//! releases with different checks would put different configurations in force. `docs/DESIGN.md`,
//! verdicts, describes how to introduce a new format.
//!
//! A document does not tell whether the hardware suffices for the guarantees;
//! `dragonflyrun status` compares them with the accelerators in service.

use crate::{
    utils::{HashSet, Name},
    version::{
        ADMINISTRATION,
        Adjacency,
        Document,
        FailureDomain,
        Finding,
        Guarantee,
        Limits,
        Section,
        Service,
        Workspace,
        finding::{Findings, Place, truncate},
        index::Index, //
    },
};

/// The maximum number of characters in a name.
pub const MAX_NAME_CHARACTERS: usize = 64;

/// The maximum number of sections in a document.
pub const MAX_SECTIONS: usize = 512;

/// The maximum number of items in one section: its owners, workspaces, guarantees, failure domains
/// and services together.
pub const MAX_SECTION_ITEMS: usize = 2_048;

/// The maximum number of items in all sections together. The limit ensures that the planner can
/// always repeat the whole configuration in one log record.
pub const MAX_DOCUMENT_ITEMS: usize = 16_384;

/// The maximum number of tasks in a gang.
pub const MAX_GANG_TASKS: u32 = 256;

/// The maximum number of accelerators in a worker, and so also of one task.
pub const MAX_ACCELERATORS_PER_WORKER: u32 = 64;

const HOUR_MS: u64 = 3_600_000;
const DAY_MS: u64 = 24 * HOUR_MS;

/// Returns all findings in `document`, in the order of its sections.
pub fn check(document: &Document) -> Vec<Finding> {
    let mut findings = Findings::default();
    let root = Place::Root("/sections");
    if !document.sections.contains_key(ADMINISTRATION) {
        let what = "It is missing; without it nobody could add a section.";
        findings.add(root.key(ADMINISTRATION), what);
    }
    let mut index = Index::default();
    for (name, section) in &document.sections {
        check_section(name, section, &mut findings);
        index.check(name, section, &mut findings);
        index.insert(name, section);
    }
    findings.into_vec()
}

/// Returns all findings in the section called `name`, except conflicts with other sections.
pub fn check_single_section(name: &Name, section: &Section) -> Vec<Finding> {
    let mut findings = Findings::default();
    check_section(name, section, &mut findings);
    findings.into_vec()
}

/// Adds all findings in the section called `name`, except conflicts with other sections.
pub(super) fn check_section(name: &Name, section: &Section, findings: &mut Findings) {
    let root = Place::Root("/sections");
    let place = root.key(name);
    check_name(name, place, findings);
    check_owners(&section.owners, place.key("owners"), findings);
    if section.format.is_some() && **name != *ADMINISTRATION {
        let what = "Only the section `administration` sets the format.";
        findings.add(place.key("format"), what);
    }
    if section.format == Some(0) {
        findings.add(place.key("format"), "It begins at 1.");
    }
    if section.items() > MAX_SECTION_ITEMS {
        let what = format!("It has more than {MAX_SECTION_ITEMS} items.");
        findings.add(place, what);
        return;
    }
    check_list(&section.workspaces, place.key("workspaces"), findings);
    check_list(
        &section.failure_domains,
        place.key("failure_domains"),
        findings,
    );
    check_list(&section.services, place.key("services"), findings);
    if let Some(limits) = &section.limits {
        check_limits(limits, place.key("limits"), findings);
    }
}

/// An item of a section that has a name.
trait Named {
    /// Returns the name of the item.
    fn name(&self) -> &Name;

    /// Adds all findings in the item, except those about its name.
    fn check(&self, place: Place<'_>, findings: &mut Findings);
}

fn check_list<N: Named>(list: &[N], place: Place<'_>, findings: &mut Findings) {
    let mut seen = HashSet::default();
    for (i, named) in list.iter().enumerate() {
        let place = place.index(i);
        check_name(named.name(), place.key("name"), findings);
        if !seen.insert(named.name()) {
            let what = format!("`{}` stands twice in this section.", truncate(named.name()));
            findings.add(place.key("name"), what);
        }
        named.check(place, findings);
    }
}

impl Named for Workspace {
    fn name(&self) -> &Name {
        &self.name
    }

    fn check(&self, place: Place<'_>, findings: &mut Findings) {
        let list = place.key("guarantees");
        for (i, guarantee) in self.guarantees.iter().enumerate() {
            check_guarantee(guarantee, list.index(i), findings);
        }
        let Some(quota) = self.quota_accelerators else {
            return;
        };
        let place = place.key("quota_accelerators");
        let guaranteed = self.guaranteed_accelerators();
        if quota == 0 {
            findings.add(place, "It is zero, so that no job could ever run.");
        } else if guaranteed > u64::from(quota) {
            let what = format!("It is below the {guaranteed} accelerators that are guaranteed.");
            findings.add(place, what);
        }
    }
}

fn check_guarantee(guarantee: &Guarantee, place: Place<'_>, findings: &mut Findings) {
    let tasks = u64::from(guarantee.tasks);
    check_range(
        tasks,
        1,
        u64::from(MAX_GANG_TASKS),
        place.key("tasks"),
        findings,
    );
    let accelerators = u64::from(guarantee.accelerators);
    let max = u64::from(MAX_ACCELERATORS_PER_WORKER);
    check_range(accelerators, 1, max, place.key("accelerators"), findings);
    if guarantee.adjacency == Adjacency::Worker
        && accelerators <= max
        && guarantee.total_accelerators() > max
    {
        let what = format!(
            "All tasks on one worker need {} accelerators, and no worker has more than {max}.",
            guarantee.total_accelerators()
        );
        findings.add(place.key("adjacency"), what);
    }
}

impl Named for FailureDomain {
    fn name(&self) -> &Name {
        &self.name
    }

    fn check(&self, place: Place<'_>, findings: &mut Findings) {
        if let Some(region) = &self.region {
            check_name(region, place.key("region"), findings);
        }
    }
}

impl Named for Service {
    fn name(&self) -> &Name {
        &self.name
    }

    fn check(&self, place: Place<'_>, findings: &mut Findings) {
        let deadline = place.key("deadline_ms");
        check_range(self.deadline_ms, 1, HOUR_MS, deadline, findings);
        let queue = u64::from(self.queue_limit);
        check_range(queue, 1, 100_000, place.key("queue_limit"), findings);
        let window = place.key("key_window_ms");
        check_range(self.key_window_ms, 1_000, DAY_MS, window, findings);
        if !self.repeatable && self.key_window_ms < self.deadline_ms {
            // A caller that waits until the deadline and then retries would find its key forgotten.
            findings.add(window, "A key is forgotten before the request's deadline.");
        }
    }
}

fn check_limits(limits: &Limits, place: Place<'_>, findings: &mut Findings) {
    let ranges = [
        ("body_bytes", limits.body_bytes, 1, 16 << 20),
        ("live_jobs", limits.live_jobs.into(), 1, 100_000),
        ("retry_percent", limits.retry_percent.into(), 0, 100),
        ("worker_failures", limits.worker_failures.into(), 1, 1_000),
        ("quarantine_ms", limits.quarantine_ms, 1_000, DAY_MS),
    ];
    for (key, value, min, max) in ranges {
        check_range(value, min, max, place.key(key), findings);
    }
}

fn check_range(value: u64, min: u64, max: u64, place: Place<'_>, findings: &mut Findings) {
    if !(min..=max).contains(&value) {
        let what = format!("It has to be between {min} and {max}, and is {value}.");
        findings.add(place, what);
    }
}

fn check_owners(owners: &[Name], place: Place<'_>, findings: &mut Findings) {
    if owners.is_empty() {
        findings.add(place, "A section needs an owner.");
    }
    let mut seen = HashSet::default();
    for (i, owner) in owners.iter().enumerate() {
        check_name(owner, place.index(i), findings);
        if !seen.insert(owner) {
            let what = format!("`{}` stands here twice.", truncate(owner));
            findings.add(place.index(i), what);
        }
    }
}

fn check_name(name: &str, place: Place<'_>, findings: &mut Findings) {
    if !is_name(name) {
        let what = format!(
            "`{}` is not a name: 1 to {MAX_NAME_CHARACTERS} of a-z, A-Z, 0-9, `-`, `_`, `.` and \
             `@`, the first a letter or a digit.",
            truncate(name).escape_debug()
        );
        findings.add(place, what);
    }
}

/// Returns whether `text` is a valid name. Names appear in paths, headers and log lines, so they
/// contain no character that has to be quoted there.
pub fn is_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.@".contains(&b);
    text.len() <= MAX_NAME_CHARACTERS
        && text
            .bytes()
            .next()
            .is_some_and(|b| b.is_ascii_alphanumeric())
        && text.bytes().all(is_allowed)
}
