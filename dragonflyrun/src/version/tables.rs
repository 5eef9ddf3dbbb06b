//! One version of the configuration with its lookup tables.

use std::sync::OnceLock;

use crate::{
    utils::{HashMap, Name},
    version::{Document, FailureDomain, Limits, Service, Workspace},
};

/// One version of the configuration. It is immutable and shared by all components that use it.
#[derive(Clone, Debug)]
pub struct Version {
    /// The offset after the edit that created this version, or 0 before the first edit. It only
    /// grows.
    pub offset: u64,
    /// The document of this version.
    pub document: Document,
    /// The limits in force.
    pub limits: Limits,
    /// Built on first use: a process that starts may fold the edits of a whole day at once, and
    /// makes decisions only under the last version.
    tables: OnceLock<Tables>,
}

#[derive(Clone, Debug)]
struct Tables {
    workspaces: HashMap<Name, Workspace>,
    failure_domains: HashMap<Name, FailureDomain>,
    services: HashMap<Name, Service>,
}

impl Tables {
    fn new(document: &Document) -> Self {
        let sections = document.sections.values();
        let workspaces = sections.clone().flat_map(|s| &s.workspaces);
        let failure_domains = sections.clone().flat_map(|s| &s.failure_domains);
        let services = sections.flat_map(|s| &s.services);
        Self {
            workspaces: workspaces.map(|w| (w.name.clone(), w.clone())).collect(),
            failure_domains: failure_domains
                .map(|d| (d.name.clone(), d.clone()))
                .collect(),
            services: services.map(|s| (s.name.clone(), s.clone())).collect(),
        }
    }
}

impl Version {
    /// Returns the version with `document` as of `offset`.
    pub fn new(offset: u64, document: Document) -> Self {
        let limits = document.sections.values().find_map(|s| s.limits);
        Self {
            offset,
            limits: limits.unwrap_or_default(),
            document,
            tables: OnceLock::new(),
        }
    }

    fn tables(&self) -> &Tables {
        self.tables.get_or_init(|| Tables::new(&self.document))
    }

    /// Returns the workspace called `name`.
    pub fn workspace(&self, name: &Name) -> Option<&Workspace> {
        self.tables().workspaces.get(name)
    }

    /// Returns all workspaces in unspecified order.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.tables().workspaces.values()
    }

    /// Returns the service called `name`.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.tables().services.get(name)
    }

    /// Returns all services in unspecified order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.tables().services.values()
    }

    /// Returns all failure domains in unspecified order.
    pub fn failure_domains(&self) -> impl Iterator<Item = &FailureDomain> {
        self.tables().failure_domains.values()
    }

    /// Returns whether tasks and requests may start in the failure domain called `name`.
    ///
    /// A failure domain that is missing from the document is out of service: operators could not
    /// drain a worker whose settings name a wrong failure domain, so nothing may start on it.
    pub fn in_service(&self, name: &Name) -> bool {
        let failure_domain = self.tables().failure_domains.get(name);
        failure_domain.is_some_and(|d| d.in_service)
    }
}
