//! The files of an example: its deployment, document and workload.

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

/// The sections of an example's document, in the order in which they are written to the log.
const SECTIONS: [&str; 5] = [
    "administration",
    "failure-domains",
    "services",
    "workspaces",
    "limits",
];

/// The content of an example's folder.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The processes.
    pub deployment: DeploymentPlan,
    /// The document.
    pub sections: Vec<NamedSection>,
    /// The jobs, requests and drains.
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
    /// The editor of the document.
    pub editor: Name,
    /// The names of the entries.
    pub entries: Vec<Name>,
    /// The workers, each with an agent and a backend server on the same host.
    pub workers: Vec<WorkerPlan>,
}

/// A worker and the backend server on the same host.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerPlan {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Its rack.
    pub rack: Name,
    /// Number of its accelerators.
    pub accelerators: u32,
    /// The service of its backend server.
    pub service: Name,
    /// Maximum number of concurrent requests of the backend server.
    pub slots: u32,
    /// Maximum number of concurrent connections of the backend server.
    pub connections: u32,
}

/// The workload of a deployment over time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Jobs.
    pub jobs: Vec<JobPlan>,
    /// Streams of requests.
    pub requests: Vec<RequestPlan>,
    /// Failure domains that are taken out of service and returned.
    #[serde(default)]
    pub drains: Vec<DrainPlan>,
}

/// A job.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobPlan {
    /// Time of its submission in milliseconds after the start.
    pub after_ms: u64,
    /// Its name.
    pub job: JobId,
    /// The expected outcome.
    pub expect: Expected,
    /// The specification of the job.
    pub spec: JobSpec,
}

/// The expected outcome of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Expected {
    /// It finishes.
    Finished,
    /// It is refused on submission.
    Refused,
    /// It fails in all permitted attempts.
    Failed,
}

/// A stream of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestPlan {
    /// Time of the first request in milliseconds after the start.
    pub after_ms: u64,
    /// The service.
    pub service: Name,
    /// Number of requests.
    pub count: u32,
    /// Interval between two requests in milliseconds.
    pub every_ms: u64,
    /// Run time of each request in milliseconds.
    pub work_ms: u64,
    /// Size of each answer in bytes.
    pub answer_bytes: usize,
    /// Deadline of each request in milliseconds.
    pub deadline_ms: u64,
}

/// A failure domain that is taken out of service and returned.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainPlan {
    /// Time of the drain in milliseconds after the start.
    pub after_ms: u64,
    /// The failure domain.
    pub failure_domain: Name,
    /// Time out of service in milliseconds.
    pub for_ms: u64,
}

impl Plan {
    /// Reads an example's folder.
    ///
    /// # Errors
    ///
    /// If a file is missing or malformed; the error names the file.
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
