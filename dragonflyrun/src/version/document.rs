//! The operators' document, as it is written in JSON.
//!
//! `docs/OPERATIONS.md` describes each section with its defaults and an example.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use serde::{Deserialize, Serialize};

use crate::utils::Name;

/// The section whose owners may add and remove sections and change their owners.
pub const ADMINISTRATION: &str = "administration";

/// The newest format of the document that this program can judge; see `docs/OPERATIONS.md`,
/// changes of the format.
pub const FORMAT: u32 = 1;

/// The whole configuration: sections by name, each owned by a team.
///
/// A new version shares the sections that an edit left alone with the one before it: at 160
/// sections, copying them all took most of the time of a fold.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The sections by name.
    #[serde(default)]
    pub sections: BTreeMap<Name, Arc<Section>>,
}

impl Document {
    /// Returns the format that the sections are written in.
    pub fn format(&self) -> u32 {
        self.sections
            .get(ADMINISTRATION)
            .and_then(|s| s.format)
            .unwrap_or(1)
    }
}

/// One team's part of the document.
///
/// The lists of all sections together make up the effective tables; a name may be defined in one
/// section only.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Section {
    /// Editors who may change this section.
    pub owners: Vec<Name>,
    /// The format of the whole document, in section `administration` only; none means 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub format: Option<u32>,
    /// Workspaces with their guarantees.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<Workspace>,
    /// Failure domains, in or out of service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failure_domains: Vec<FailureDomain>,
    /// Services that callers may send requests to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<Service>,
    /// Limits of the whole system; one section at most may set them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<Limits>,
}

impl Section {
    /// Returns how many things the section lists, guarantees and owners included.
    pub fn items(&self) -> usize {
        let guarantees: usize = self.workspaces.iter().map(|w| w.guarantees.len()).sum();
        let entries = self.workspaces.len() + self.failure_domains.len() + self.services.len();
        self.owners.len() + entries + guarantees
    }
}

/// A customer of the system with what it has been promised.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The name that jobs give.
    pub name: Name,
    /// Shapes that this workspace can have at any time.
    #[serde(default)]
    pub guarantees: Vec<Guarantee>,
    /// Accelerators in use at once, at the most; none means no bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota_accelerators: Option<u32>,
}

impl Workspace {
    /// Returns the accelerators of all guarantees together.
    pub fn guaranteed_accelerators(&self) -> u64 {
        let totals = self.guarantees.iter().map(Guarantee::total_accelerators);
        // A section that has not been checked yet may hold any numbers.
        totals.fold(0, u64::saturating_add)
    }
}

/// A shape that a workspace can have at any time, also when others are using it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Tasks that run together.
    pub tasks: u32,
    /// Accelerators of each task.
    pub accelerators: u32,
    /// How near to each other the tasks are.
    #[serde(default)]
    pub adjacency: Adjacency,
}

impl Guarantee {
    /// Returns the accelerators of all tasks together.
    pub fn total_accelerators(&self) -> u64 {
        u64::from(self.tasks) * u64::from(self.accelerators)
    }
}

/// How near to each other the tasks of a gang have to be.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// Anywhere.
    #[default]
    Any,
    /// All in one failure domain.
    FailureDomain,
    /// All in one rack.
    Rack,
    /// All on one worker.
    Worker,
}

/// A set of workers that operators take out of service and return as one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// The name that the settings of agents give.
    pub name: Name,
    /// The region it lies in.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<Name>,
    /// Whether tasks and requests may start in it.
    #[serde(default = "default_true")]
    pub in_service: bool,
}

/// How soon a request or a job is needed.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Somebody waits for it.
    Urgent,
    /// It can wait a little.
    #[default]
    Normal,
    /// It can wait long.
    Patient,
}

/// A service that backend servers run and callers send requests to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name in the request's path.
    pub name: Name,
    /// How soon its answers are needed.
    #[serde(default)]
    pub urgency: Urgency,
    /// Milliseconds within which a request is answered, unless it states less.
    #[serde(default = "Service::default_deadline_ms")]
    pub deadline_ms: u64,
    /// Whether running a request twice does no harm. Where it does, callers send a key.
    #[serde(default)]
    pub repeatable: bool,
    /// Requests that wait at one entry, at the most.
    #[serde(default = "Service::default_queue_limit")]
    pub queue_limit: u32,
    /// Milliseconds for which a key is remembered.
    #[serde(default = "Service::default_key_window_ms")]
    pub key_window_ms: u64,
}

impl Service {
    /// Returns the milliseconds within which a request is answered at the most.
    ///
    /// A caller that has waited for its answer in vain asks again with the same key. The key has
    /// to be remembered then, so a request gets no more than half of that time.
    pub fn max_deadline_ms(&self) -> u64 {
        if self.repeatable {
            return self.deadline_ms;
        }
        self.deadline_ms.min(self.key_window_ms / 2)
    }

    const fn default_deadline_ms() -> u64 {
        10_000
    }

    const fn default_queue_limit() -> u32 {
        256
    }

    const fn default_key_window_ms() -> u64 {
        600_000
    }
}

/// Limits of the whole system.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Bytes of a request's or an answer's body, at the most.
    pub body_bytes: u64,
    /// Jobs that wait or run at once, at the most.
    pub live_jobs: u32,
    /// Retries as a share of first attempts, in percent.
    pub retry_percent: u32,
    /// Failed starts in a row after which a worker is set aside.
    pub worker_failures: u32,
    /// Milliseconds for which a worker that was set aside is left alone.
    pub quarantine_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 8 << 20,
            live_jobs: 20_000,
            retry_percent: 20,
            worker_failures: 3,
            quarantine_ms: 60_000,
        }
    }
}

const fn default_true() -> bool {
    true
}
