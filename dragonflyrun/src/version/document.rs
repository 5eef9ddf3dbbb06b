//! The configuration document that operators write in JSON.
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

/// The newest document format that this program supports; see `docs/OPERATIONS.md`, changes of the
/// format.
pub const FORMAT: u32 = 1;

/// The whole configuration: sections by name, each owned by a team.
///
/// A new version shares the sections that an edit did not change with the version before it: with
/// 160 sections, copying all of them took most of the time of folding an edit.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The sections by name.
    #[serde(default)]
    pub sections: BTreeMap<Name, Arc<Section>>,
}

impl Document {
    /// Returns the format of the document, which is 1 unless section `administration` sets it.
    pub fn format(&self) -> u32 {
        self.sections
            .get(ADMINISTRATION)
            .and_then(|s| s.format)
            .unwrap_or(1)
    }
}

/// One team's part of the document.
///
/// The lists of all sections are merged into the tables of a
/// [`Version`](super::Version), so each name may be defined in one section only.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Section {
    /// The editors who may change this section.
    pub owners: Vec<Name>,
    /// The format of the whole document; allowed in section `administration` only. `None` means 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub format: Option<u32>,
    /// The workspaces with their guarantees.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<Workspace>,
    /// The failure domains, in or out of service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failure_domains: Vec<FailureDomain>,
    /// The services that callers may send requests to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<Service>,
    /// The limits of the whole system; at most one section may set them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<Limits>,
}

impl Section {
    /// Returns the number of items in the section: its owners, workspaces, guarantees, failure
    /// domains and services.
    pub fn items(&self) -> usize {
        let guarantees: usize = self.workspaces.iter().map(|w| w.guarantees.len()).sum();
        let entries = self.workspaces.len() + self.failure_domains.len() + self.services.len();
        self.owners.len() + entries + guarantees
    }
}

/// A workspace with its guarantees and its quota.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The name by which jobs refer to the workspace.
    pub name: Name,
    /// The gangs that this workspace can run at any time.
    #[serde(default)]
    pub guarantees: Vec<Guarantee>,
    /// The maximum number of accelerators in use at once; `None` means no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota_accelerators: Option<u32>,
}

impl Workspace {
    /// Returns the total number of accelerators of all guarantees.
    pub fn guaranteed_accelerators(&self) -> u64 {
        let totals = self.guarantees.iter().map(Guarantee::total_accelerators);
        // An unchecked section may hold numbers whose sum overflows.
        totals.fold(0, u64::saturating_add)
    }
}

/// A gang that a workspace can run at any time, even if other jobs are using the accelerators.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// The number of tasks that run together.
    pub tasks: u32,
    /// The number of accelerators of each task.
    pub accelerators: u32,
    /// How close to each other the tasks have to run.
    #[serde(default)]
    pub adjacency: Adjacency,
}

impl Guarantee {
    /// Returns the total number of accelerators of all tasks.
    pub fn total_accelerators(&self) -> u64 {
        u64::from(self.tasks) * u64::from(self.accelerators)
    }
}

/// How close to each other the tasks of a gang have to run.
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

/// A set of workers that operators take out of service and return to service together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// The name by which the settings of agents refer to the failure domain.
    pub name: Name,
    /// The region that the failure domain is in.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<Name>,
    /// Whether tasks and requests may start in it.
    #[serde(default = "default_true")]
    pub in_service: bool,
}

/// The priority class of a request or a job.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Somebody is waiting for the result.
    Urgent,
    /// A short wait is acceptable.
    #[default]
    Normal,
    /// A long wait is acceptable.
    Patient,
}

/// A service that backend servers run and callers send requests to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name in the path of a request.
    pub name: Name,
    /// The urgency of its requests, unless a request states a lower one.
    #[serde(default)]
    pub urgency: Urgency,
    /// The deadline of a request in milliseconds, unless the request states a shorter one.
    #[serde(default = "Service::default_deadline_ms")]
    pub deadline_ms: u64,
    /// Whether running a request twice does no harm. Otherwise callers have to send an
    /// idempotency key.
    #[serde(default)]
    pub repeatable: bool,
    /// The maximum number of requests that wait at one entry.
    #[serde(default = "Service::default_queue_limit")]
    pub queue_limit: u32,
    /// How long an idempotency key is remembered, in milliseconds.
    #[serde(default = "Service::default_key_window_ms")]
    pub key_window_ms: u64,
}

impl Service {
    /// Returns the longest deadline of a request, in milliseconds.
    ///
    /// If requests are not repeatable, a caller that got no answer within the deadline retries with
    /// the same idempotency key. The key still has to be remembered then, so the deadline is at
    /// most half of the time for which keys are remembered.
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
    /// The maximum size of the body of a request or an answer, in bytes.
    pub body_bytes: u64,
    /// The maximum number of jobs that wait or run at once.
    pub live_jobs: u32,
    /// The maximum number of retries, in percent of the number of first attempts.
    pub retry_percent: u32,
    /// The number of consecutive failed task starts after which a worker is quarantined.
    pub worker_failures: u32,
    /// How long a quarantined worker gets no tasks at first, in milliseconds.
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
