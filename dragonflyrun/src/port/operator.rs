//! What operators have in force.

use std::time::Duration;

use crate::utils::Name;

/// The configuration that operators write, as one document with a version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The pools of workers.
    pub services: Vec<Service>,
    /// The workspaces.
    pub workspaces: Vec<Workspace>,
}

/// A queue of jobs, which callers reach by host and path.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Name,
    /// The host in callers' requests.
    pub host: Name,
    /// What the path begins with.
    pub prefix: Name,
    /// The service whose workers run its tasks.
    pub service: Name,
    /// 0 comes first and may take the place of others.
    pub priority: u32,
    /// Runs of a task that may end as failed.
    pub max_attempts: u32,
    /// The objective is this many times the longest chain of work, and `target` more.
    pub stretch: f64,
    /// See `stretch`.
    pub target: Duration,
    /// Whether callers need no key.
    pub public: bool,
    /// Set where only some workers may run the queue's steps, and the advisor knows which.
    pub advice: Option<Advice>,
}

/// How long the advisor takes for a question.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Advice {
    /// For any question.
    pub base: Duration,
    /// More for each worker that is asked about.
    pub each: Duration,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Whether its workers themselves refuse what does not fit.
    pub rejects_overload: bool,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: Name,
    /// The keys of its callers.
    pub keys: Vec<Name>,
    /// Accelerators that belong to its jobs of priority 0 at all times.
    pub guaranteed_accelerators: u32,
}

/// One record of the operators' topic.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// A new configuration in full.
    Configuration(Box<Configuration>),
    /// A failure domain is out of service, or back in it.
    Evacuation {
        /// The failure domain.
        failure_domain: Name,
        /// Whether it is out.
        out: bool,
    },
    /// Something that does not concern this program.
    Other,
}

impl Configuration {
    /// Returns the queue for a request: the longest prefix on its host, and the rest of the path.
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
