//! The operators' records: the configuration, and failure domains that are out of service.

use std::time::Duration;

use crate::utils::Name;

/// The operators' configuration: one document with a version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Increases with each change, not always by one.
    pub version: u64,
    /// The queues that callers submit jobs to.
    pub queues: Vec<Queue>,
    /// The pools of workers.
    pub services: Vec<Service>,
    /// The workspaces that callers submit jobs for, with their keys.
    pub workspaces: Vec<Workspace>,
}

/// A queue of jobs, which callers address by host and path.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Name,
    /// The host in callers' requests.
    pub host: Name,
    /// The path prefix in callers' requests.
    pub prefix: Name,
    /// The service whose workers run the queue's tasks.
    pub service: Name,
    /// 0 is the most urgent, and may evict work of other priorities.
    pub priority: u32,
    /// Number of runs of a task that may end as failed.
    pub max_attempts: u32,
    /// A job's objective is this multiple of its critical path, plus `target`.
    pub stretch: f64,
    /// The constant part of the objective; see `stretch`.
    pub target: Duration,
    /// Whether callers need no workspace key.
    pub public: bool,
    /// Set if only some workers may run the queue's steps and the advisor decides which.
    pub advice: Option<Advice>,
}

/// How long the advisor takes to answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Advice {
    /// The time for any question.
    pub base: Duration,
    /// The additional time for each worker in the question.
    pub each: Duration,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Whether the workers themselves reject tasks that exceed their free capacity.
    pub rejects_overload: bool,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: Name,
    /// The keys that callers of the workspace use.
    pub keys: Vec<Name>,
    /// Accelerators that are guaranteed to its jobs of priority 0 at all times.
    pub guaranteed_accelerators: u32,
}

/// One record of the operators' topic.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// A complete new configuration.
    Configuration(Box<Configuration>),
    /// A failure domain was taken out of service or put back into service.
    Evacuation {
        /// The failure domain.
        failure_domain: Name,
        /// Whether it is out of service.
        out_of_service: bool,
    },
    /// A record that this program does not use.
    Other,
}

impl Configuration {
    /// Returns the queue with the longest matching prefix on the request's host, and the rest of
    /// the path.
    pub fn queue_of<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let matches = self.queues.iter().filter(|q| &*q.host == host);
        let matches = matches.filter_map(|q| Some((q, path.strip_prefix(&*q.prefix)?)));
        matches.max_by_key(|(q, _)| q.prefix.len())
    }

    /// Returns the workspace that `key` belongs to.
    pub fn workspace_of(&self, key: &str) -> Option<&Workspace> {
        self.workspaces
            .iter()
            .find(|w| w.keys.iter().any(|k| &**k == key))
    }
}
