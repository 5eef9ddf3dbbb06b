//! An example: its deployment, document and workload.

use std::{
    fs,
    io,
    path::Path, //
};

use dragonflyrun::{
    job::{JobId, JobSpec},
    utils::Name,
    version::Section,
};
use serde::{Deserialize, de::DeserializeOwned};

/// The sections of an example's document, in the order in which they are put on the log.
const SECTIONS: [&str; 5] = [
    "administration",
    "failure-domains",
    "services",
    "workspaces",
    "limits",
];

/// All that an example's folder holds.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its processes.
    pub deployment: DeploymentPlan,
    /// Its document.
    pub sections: Vec<NamedSection>,
    /// Its jobs, requests and drains.
    pub workload: Workload,
}

/// A section with its name.
#[derive(Clone, Debug)]
pub struct NamedSection {
    /// The name.
    pub name: Name,
    /// The section.
    pub section: Section,
}

/// The processes of a deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentPlan {
    /// Who edits the document.
    pub editor: Name,
    /// The names of the entries.
    pub entries: Vec<Name>,
    /// The workers, each with the agent and the backend server beside it.
    pub workers: Vec<WorkerPlan>,
}

/// A worker with the backend server beside it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerPlan {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Its rack.
    pub rack: Name,
    /// Its accelerators.
    pub accelerators: u32,
    /// The service of its backend server.
    pub service: Name,
    /// Requests that the backend server runs at once.
    pub slots: u32,
    /// Connections that the backend server takes at once.
    pub connections: u32,
}

/// What is asked of a deployment, and when.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Jobs.
    pub jobs: Vec<JobPlan>,
    /// Streams of requests.
    pub requests: Vec<RequestPlan>,
    /// Failure domains that are taken out and returned.
    #[serde(default)]
    pub drains: Vec<DrainPlan>,
}

/// A job.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobPlan {
    /// Milliseconds after the start at which it is submitted.
    pub after_ms: u64,
    /// Its name.
    pub job: JobId,
    /// What has to become of it.
    pub expect: Expected,
    /// What it asks for.
    pub spec: JobSpec,
}

/// What has to become of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Expected {
    /// It runs to its end.
    Finished,
    /// It is refused at once.
    Refused,
    /// It fails as often as it may.
    Failed,
}

/// A stream of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestPlan {
    /// Milliseconds after the start at which the first is sent.
    pub after_ms: u64,
    /// The service.
    pub service: Name,
    /// How many are sent.
    pub count: u32,
    /// Milliseconds between two.
    pub every_ms: u64,
    /// Milliseconds for which each runs.
    pub work_ms: u64,
    /// Bytes of each answer.
    pub answer_bytes: usize,
    /// Milliseconds within which each is answered.
    pub deadline_ms: u64,
}

/// A failure domain that is taken out of service and returned.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainPlan {
    /// Milliseconds after the start at which it is taken out.
    pub after_ms: u64,
    /// The failure domain.
    pub failure_domain: Name,
    /// Milliseconds for which it stays out.
    pub for_ms: u64,
}

impl Plan {
    /// Reads an example's folder.
    ///
    /// # Errors
    ///
    /// Where a file is missing or not of its form; the error names the file.
    pub fn read(example: &Path) -> io::Result<Self> {
        let sections = SECTIONS.iter().map(|name| {
            let path = example.join("document").join(format!("{name}.json"));
            let section = read(&path)?;
            Ok(NamedSection {
                name: Name::from(*name),
                section,
            })
        });
        Ok(Self {
            deployment: read(&example.join("deployment.json"))?,
            sections: sections.collect::<io::Result<_>>()?,
            workload: read(&example.join("workload.json"))?,
        })
    }

    /// Returns whether requests of `service` may run more than once.
    pub fn is_repeatable(&self, service: &str) -> bool {
        let services = self.sections.iter().flat_map(|s| &s.section.services);
        services
            .into_iter()
            .any(|s| *s.name == *service && s.repeatable)
    }
}

fn read<T: DeserializeOwned>(path: &Path) -> io::Result<T> {
    let named =
        |error: &dyn std::fmt::Display| io::Error::other(format!("{}: {error}", path.display()));
    let text = fs::read(path).map_err(|e| named(&e))?;
    serde_json::from_slice(&text).map_err(|e| named(&e))
}
