//! Client of a platform worker: leases on its accelerators and the tasks that run under them.

use std::{
    io::{self, Read},
    net::SocketAddr,
    time::Duration, //
};

use oxhttp::{
    Client,
    model::{Body, Method, Request, StatusCode, Uri}, //
};
use quick_error::quick_error;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::utils::Name;

/// Maximum size of an answer of a worker in bytes.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

quick_error! {
    /// The reason why a call of a worker failed.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum WorkerError {
        /// The accelerators are not free; the call had no effect.
        NotFree {
            display("the accelerators are not free")
        }
        /// The lease does not exist, has lapsed, or has ended; the call had no effect.
        LeaseEnded {
            display("the lease has ended")
        }
        /// The worker refused the call or was not reached; the call had no effect.
        Refused(reason: String) {
            display("the worker refused: {reason}")
        }
        /// The request was sent, but no complete answer arrived; the call may have taken effect.
        Uncertain(reason: String) {
            display("the worker's answer was lost: {reason}")
        }
    }
}

/// The lifecycle state of a worker's lease.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseState {
    /// The lease holds the accelerators, and no task is running.
    Held,
    /// The tasks are running.
    Running,
    /// All tasks succeeded.
    Finished,
    /// A task failed.
    Failed,
    /// The tasks were stopped.
    Stopped,
    /// The lease was not renewed in time, and its tasks were stopped.
    Lapsed,
}

/// A lease as reported by its worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerLease {
    /// The name of the lease.
    pub lease: Name,
    /// The state of the lease.
    pub state: LeaseState,
    /// Number of accelerators that the lease holds.
    #[serde(default)]
    pub accelerators: u32,
    /// Milliseconds until the lease lapses.
    #[serde(default)]
    pub ttl_ms: u64,
    /// Whether the tasks saved a checkpoint when they were stopped.
    #[serde(default)]
    pub checkpointed: bool,
    /// The measured usage of the tasks; `None` if nothing has been measured.
    #[serde(default)]
    pub usage: Option<TaskUsage>,
}

/// The measured usage of tasks.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskUsage {
    /// Run time of the tasks in milliseconds.
    pub ran_ms: u64,
}

/// A worker with all of its leases.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerView {
    /// The name of the worker.
    pub name: Name,
    /// Number of accelerators of the worker.
    pub accelerators: u32,
    /// All leases that have not been removed.
    pub leases: Vec<WorkerLease>,
}

/// The tasks to start under a lease.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct StartTasks {
    /// The name of the job that the tasks belong to.
    pub job: Name,
    /// The number of the attempt.
    pub attempt: u32,
    /// The number of the member in its gang.
    pub member: u32,
    /// Number of tasks to start.
    pub tasks: u32,
    /// The program that the tasks run.
    pub program: Name,
    /// Whether to resume from a checkpoint.
    pub resume: bool,
}

#[derive(Serialize)]
struct ObtainBody {
    accelerators: u32,
    ttl_ms: u64,
}

#[derive(Serialize)]
struct RenewBody {
    ttl_ms: u64,
}

#[derive(Serialize)]
struct StopBody {
    checkpoint: bool,
}

/// Obtains leases from one worker and runs tasks under them.
///
/// Each call blocks until the worker answers or the timeout expires.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    address: SocketAddr,
    timeout: Duration,
}

impl WorkerClient {
    /// Returns a client of the worker at `address` that waits up to `timeout` for an answer.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }

    /// Returns the worker with all of its leases.
    ///
    /// # Errors
    ///
    /// Returns any [`WorkerError`]. A read changes nothing.
    pub fn view(&self) -> Result<WorkerView, WorkerError> {
        self.call(Method::GET, "/v1/worker", &())
    }

    /// Obtains `lease` on `accelerators` for `ttl`. Repeating the call only sets the remaining time
    /// of the lease.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerError::Uncertain`] if the lease may have been obtained.
    pub fn obtain(
        &self,
        lease: &str,
        accelerators: u32,
        ttl: Duration,
    ) -> Result<WorkerLease, WorkerError> {
        let body = ObtainBody {
            accelerators,
            ttl_ms: millis(ttl),
        };
        self.call(Method::PUT, &lease_path(lease, ""), &body)
    }

    /// Sets the remaining time of `lease` to `ttl`.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerError::LeaseEnded`] if the lease has lapsed, which can't be undone.
    pub fn renew(&self, lease: &str, ttl: Duration) -> Result<WorkerLease, WorkerError> {
        let body = RenewBody {
            ttl_ms: millis(ttl),
        };
        self.call(Method::POST, &lease_path(lease, "/renew"), &body)
    }

    /// Starts `tasks` under `lease`. Starting the same tasks again has no effect.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerError::LeaseEnded`] if the lease has lapsed or was stopped.
    pub fn start(&self, lease: &str, tasks: &StartTasks) -> Result<WorkerLease, WorkerError> {
        self.call(Method::POST, &lease_path(lease, "/start"), tasks)
    }

    /// Returns `lease`.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerError::LeaseEnded`] if the worker does not know the lease.
    pub fn lease(&self, lease: &str) -> Result<WorkerLease, WorkerError> {
        self.call(Method::GET, &lease_path(lease, ""), &())
    }

    /// Stops the tasks of `lease`, or releases the lease if no task is running.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerError::LeaseEnded`] if the worker does not know the lease.
    pub fn stop(&self, lease: &str, checkpoint: bool) -> Result<WorkerLease, WorkerError> {
        self.call(
            Method::POST,
            &lease_path(lease, "/stop"),
            &StopBody { checkpoint },
        )
    }

    /// Removes `lease` from the worker and stops its tasks.
    ///
    /// # Errors
    ///
    /// Returns any [`WorkerError`]. Removing a lease again is harmless.
    pub fn remove(&self, lease: &str) -> Result<(), WorkerError> {
        self.send(Method::DELETE, &lease_path(lease, ""), &())?;
        Ok(())
    }

    fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, WorkerError> {
        let answer = self.send(method, path, body)?;
        serde_json::from_slice(&answer).map_err(|e| WorkerError::Uncertain(e.to_string()))
    }

    fn send(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Vec<u8>, WorkerError> {
        let body = if method == Method::GET || method == Method::DELETE {
            Vec::new()
        } else {
            serde_json::to_vec(body).map_err(|e| WorkerError::Refused(e.to_string()))?
        };
        let uri: Uri = format!("http://{}{path}", self.address)
            .parse()
            .map_err(|_| {
                WorkerError::Refused("the lease name is not valid in a path".to_owned())
            })?;
        let req = Request::builder()
            .method(method)
            .uri(uri)
            .header("Content-Type", "application/json")
            .body(Body::from(body))
            .map_err(|e| WorkerError::Refused(e.to_string()))?;
        let client = Client::new().with_global_timeout(self.timeout);
        let answer = client.request(req).map_err(|e| classify_error(&e))?;
        let status = answer.status();
        let mut buf = Vec::new();
        answer
            .into_body()
            .take(MAX_ANSWER_BYTES)
            .read_to_end(&mut buf)
            .map_err(|e| WorkerError::Uncertain(e.to_string()))?;
        check_status(status).map(|()| buf)
    }
}

fn classify_error(error: &io::Error) -> WorkerError {
    if error.kind() == io::ErrorKind::ConnectionRefused {
        WorkerError::Refused(error.to_string())
    } else {
        WorkerError::Uncertain(error.to_string())
    }
}

/// Returns an error unless `status` is a success. Workers document that a call answered with 4xx or
/// 503 had no effect; after any other error it may have taken effect.
fn check_status(status: StatusCode) -> Result<(), WorkerError> {
    match status {
        s if s.is_success() => Ok(()),
        StatusCode::CONFLICT => Err(WorkerError::NotFree),
        StatusCode::NOT_FOUND | StatusCode::GONE => Err(WorkerError::LeaseEnded),
        s if s.is_client_error() || s == StatusCode::SERVICE_UNAVAILABLE => {
            Err(WorkerError::Refused(format!("status {s}")))
        }
        s => Err(WorkerError::Uncertain(format!("status {s}"))),
    }
}

fn lease_path(lease: &str, verb: &str) -> String {
    format!("/v1/leases/{lease}{verb}")
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
