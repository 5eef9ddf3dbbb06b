//! Warnings about settings that are valid but may be a mistake.

use crate::version::{
    Adjacency,
    Document,
    FORMAT,
    Finding,
    Section,
    Workspace,
    finding::{Findings, Place}, //
};

/// The numbers of failure domains in and out of service.
#[derive(Clone, Copy, Default)]
struct DomainCounts {
    in_service: usize,
    out_of_service: usize,
}

/// Returns the warnings about `document`.
pub(super) fn warnings(document: &Document) -> Vec<Finding> {
    let mut findings = Findings::default();
    let root = Place::Root("/sections");
    if document.format() > FORMAT {
        let what = "The format is newer than this program; the explanation may be incomplete.";
        findings.add(Place::Root("/sections/administration/format"), what);
    }
    let domains = count_domains(document);
    if domains.in_service == 0 {
        let what = "No failure domain is in service, so nothing starts anywhere.";
        findings.add(root, what);
    }
    for (name, section) in &document.sections {
        check_section(section, domains, root.key(name), &mut findings);
    }
    findings.into_vec()
}

fn count_domains(document: &Document) -> DomainCounts {
    let mut domains = DomainCounts::default();
    for domain in document.sections.values().flat_map(|s| &s.failure_domains) {
        if domain.in_service {
            domains.in_service += 1;
        } else {
            domains.out_of_service += 1;
        }
    }
    domains
}

fn check_section(
    section: &Section,
    domains: DomainCounts,
    place: Place<'_>,
    findings: &mut Findings,
) {
    let list = place.key("failure_domains");
    for (i, domain) in section.failure_domains.iter().enumerate() {
        if !domain.in_service {
            findings.add(
                list.index(i),
                format!("`{}` is out of service.", domain.name),
            );
        }
    }
    let list = place.key("workspaces");
    for (i, workspace) in section.workspaces.iter().enumerate() {
        check_workspace(workspace, domains, list.index(i), findings);
    }
    let list = place.key("services");
    for (i, service) in section.services.iter().enumerate() {
        if service.max_deadline_ms() < service.deadline_ms {
            let what = format!(
                "The deadline is cut to {} ms, half of the time for which a key is remembered.",
                service.max_deadline_ms()
            );
            findings.add(list.index(i).key("deadline_ms"), what);
        }
    }
}

fn check_workspace(
    workspace: &Workspace,
    domains: DomainCounts,
    place: Place<'_>,
    findings: &mut Findings,
) {
    let list = place.key("guarantees");
    for (i, guarantee) in workspace.guarantees.iter().enumerate() {
        if domains.in_service == 0 {
            let what = "It can't be honoured while no failure domain is in service.";
            findings.add(list.index(i), what);
        } else if domains.in_service == 1 && guarantee.adjacency != Adjacency::Any {
            let lost = if domains.out_of_service == 0 {
                "lost"
            } else {
                "lost too"
            };
            let what = format!(
                "Only one failure domain is in service; if it is {lost}, nothing can hold this \
                 shape."
            );
            findings.add(list.index(i), what);
        }
    }
    if workspace.guarantees.is_empty() && workspace.quota_accelerators.is_none() {
        let what = "It has neither a guarantee nor a quota: it may take all that is free, and can \
                    lose all of it at any moment.";
        findings.add(place, what);
    }
}
