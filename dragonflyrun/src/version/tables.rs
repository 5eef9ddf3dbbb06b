//! One version of the configuration with its effective tables.

use crate::{
    utils::{HashMap, Name},
    version::{Document, FailureDomain, Limits, Service, Workspace},
};

/// One version of the configuration; immutable, shared by all that decide under it.
#[derive(Clone, Debug)]
pub struct Version {
    /// The offset of the edit that made it.
    pub offset: u64,
    /// The document.
    pub document: Document,
    /// The limits in force.
    pub limits: Limits,
    workspaces: HashMap<Name, Workspace>,
    failure_domains: HashMap<Name, FailureDomain>,
    services: HashMap<Name, Service>,
}

impl Version {
    /// Returns the version that `document` makes at `offset`.
    pub fn new(offset: u64, document: Document) -> Self {
        let sections = document.sections.values();
        let limits = sections.clone().find_map(|s| s.limits).unwrap_or_default();
        let workspaces = sections
            .clone()
            .flat_map(|s| &s.workspaces)
            .map(|w| (w.name.clone(), w.clone()))
            .collect();
        let failure_domains = sections
            .clone()
            .flat_map(|s| &s.failure_domains)
            .map(|d| (d.name.clone(), d.clone()))
            .collect();
        let services = sections
            .flat_map(|s| &s.services)
            .map(|s| (s.name.clone(), s.clone()))
            .collect();
        Self {
            offset,
            limits,
            workspaces,
            failure_domains,
            services,
            document,
        }
    }

    /// Returns the workspace called `name`.
    pub fn workspace(&self, name: &Name) -> Option<&Workspace> {
        self.workspaces.get(name)
    }

    /// Returns all workspaces, in no order.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.values()
    }

    /// Returns the service called `name`.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns whether tasks and requests may start in the failure domain called `name`.
    ///
    /// One that the document does not name is out of service: nothing may start on a worker whose
    /// settings are mistaken, since no operator could take it out.
    pub fn in_service(&self, name: &Name) -> bool {
        self.failure_domains.get(name).is_some_and(|d| d.in_service)
    }
}
