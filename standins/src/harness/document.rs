//! The configuration document of test deployments.

use dragonflyrun::{
    utils::Name,
    version::{Adjacency, FailureDomain, Guarantee, Section, Service, Urgency, Workspace},
};

use crate::harness::{EDITOR, SERVICE, WORKSPACE};

/// Returns the sections in the order in which they are written to the log.
pub(super) fn sections(domains: &[&str], repeatable: bool) -> [(&'static str, Section); 4] {
    [
        ("administration", operator_section()),
        ("failure-domains", failure_domains(domains)),
        ("services", services(repeatable)),
        ("workspaces", workspaces()),
    ]
}

fn operator_section() -> Section {
    Section {
        owners: vec![Name::from(EDITOR)],
        ..Section::default()
    }
}

fn failure_domains(names: &[&str]) -> Section {
    let mut names = names.to_vec();
    names.sort_unstable();
    names.dedup();
    let failure_domains = names.into_iter().map(|name| FailureDomain {
        name: Name::from(name),
        region: None,
        in_service: true,
    });
    Section {
        failure_domains: failure_domains.collect(),
        ..operator_section()
    }
}

fn services(repeatable: bool) -> Section {
    let service = Service {
        name: Name::from(SERVICE),
        urgency: Urgency::Normal,
        deadline_ms: 10_000,
        repeatable,
        queue_limit: 256,
        key_window_ms: 600_000,
    };
    Section {
        services: vec![service],
        ..operator_section()
    }
}

fn workspaces() -> Section {
    let guarantee = Guarantee {
        tasks: 1,
        accelerators: 1,
        adjacency: Adjacency::Any,
    };
    let workspace = Workspace {
        name: Name::from(WORKSPACE),
        guarantees: vec![guarantee],
        quota_accelerators: None,
    };
    Section {
        workspaces: vec![workspace],
        ..operator_section()
    }
}
