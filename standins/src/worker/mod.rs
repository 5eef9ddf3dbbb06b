//! A stand-in for a platform worker. It leases accelerators and runs tasks that are only timers.

mod lease;
mod program;
mod table;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use dragonflyrun::utils::Name;
use oxhttp::model::{Body, Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::{self, Refusal};

pub use lease::{Checkpoints, Interval, LeaseError, LeaseState, LeaseView, Start, Usage};
pub use table::LeaseTable;

/// Interval at which leases and tasks are advanced.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(10);

/// The settings of a worker.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its name.
    pub name: Name,
    /// Number of its accelerators.
    pub accelerators: u32,
    /// Its failure domain, used only in its record.
    pub failure_domain: Name,
    /// The age of the usage that it reports.
    pub usage_lag: Duration,
    /// The store in which its tasks save their progress.
    pub checkpoints: Checkpoints,
}

/// How the worker behaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerMode {
    /// Normal operation.
    #[default]
    Up,
    /// All tasks fail as soon as they are started.
    Broken,
    /// Each call is refused immediately and has no effect.
    Refuse,
    /// Each call takes effect, but its connection is closed before the end of the answer.
    LoseAnswers,
}

/// The body of `POST /control`. Absent fields leave the current value unchanged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkerControl {
    /// How the worker behaves.
    pub mode: Option<WorkerMode>,
    /// Delay of each call in milliseconds.
    pub delay_ms: Option<u64>,
}

/// The answer to `GET /v1/worker`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkerView {
    /// Its name.
    pub name: Name,
    /// Number of its accelerators.
    pub accelerators: u32,
    /// All leases that have not been removed.
    pub leases: Vec<LeaseView>,
}

#[derive(Deserialize)]
struct Obtain {
    accelerators: u32,
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct Renew {
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct Stop {
    #[serde(default)]
    checkpoint: bool,
}

/// A running worker.
#[derive(Clone)]
pub struct Worker {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    name: Name,
    accelerators: u32,
    clock: Instant,
    table: Mutex<LeaseTable>,
    control: Mutex<(WorkerMode, Duration)>,
}

impl Worker {
    /// Starts a worker without leases.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound or the thread cannot be started.
    pub fn start(settings: WorkerSettings) -> io::Result<Self> {
        let epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let table = LeaseTable::new(
            settings.accelerators,
            settings.failure_domain,
            epoch,
            settings.usage_lag,
            settings.checkpoints,
        );
        let shared = Arc::new(Shared {
            name: settings.name,
            accelerators: settings.accelerators,
            clock: Instant::now(),
            table: Mutex::new(table),
            control: Mutex::default(),
        });
        let served = shared.clone();
        let address = http::serve(settings.address, move |req| served.answer(req))?;
        let advancing = shared.clone();
        thread::Builder::new()
            .name("tasks".to_owned())
            .spawn(move || {
                loop {
                    advancing.advance();
                    thread::sleep(ADVANCE_INTERVAL);
                }
            })?;
        Ok(Self { address, shared })
    }

    /// Returns the address at which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the worker behaves.
    pub fn control(&self, control: WorkerControl) {
        self.shared.apply_control(control);
    }

    /// Returns the intervals in which tasks ran.
    pub fn record(&self) -> Vec<Interval> {
        self.shared.table().intervals().to_vec()
    }
}

impl Shared {
    fn table(&self) -> MutexGuard<'_, LeaseTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn advance(&self) {
        let mut table = self.table();
        table.advance(self.clock.elapsed());
    }

    fn apply_control(&self, control: WorkerControl) {
        let mut current = self.control.lock().unwrap_or_else(PoisonError::into_inner);
        current.0 = control.mode.unwrap_or(current.0);
        if let Some(ms) = control.delay_ms {
            current.1 = Duration::from_millis(ms);
        }
        self.table().broken = current.0 == WorkerMode::Broken;
    }

    fn answer(&self, req: &mut Request<Body>) -> Result<Response<Body>, Refusal> {
        let path = req.uri().path().to_owned();
        match (req.method().clone(), path.as_str()) {
            (Method::POST, "/control") => {
                let control = http::read_json(req)?;
                self.apply_control(control);
                Ok(http::json(StatusCode::OK, &control))
            }
            (Method::GET, "/v1/record") => {
                self.advance();
                Ok(http::json(StatusCode::OK, &self.table().intervals()))
            }
            _ => self.apply_fault(req, &path),
        }
    }

    fn apply_fault(&self, req: &mut Request<Body>, path: &str) -> Result<Response<Body>, Refusal> {
        let (mode, delay) = *self.control.lock().unwrap_or_else(PoisonError::into_inner);
        thread::sleep(delay);
        if mode == WorkerMode::Refuse {
            let reason = "the worker is down";
            return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason));
        }
        let answer = self.serve(req, path);
        if mode == WorkerMode::LoseAnswers {
            return Ok(http::cut_off(Vec::new()));
        }
        answer
    }

    fn serve(&self, req: &mut Request<Body>, path: &str) -> Result<Response<Body>, Refusal> {
        let method = req.method().clone();
        if method == Method::GET && path == "/v1/worker" {
            return Ok(self.view());
        }
        let rest = path.strip_prefix("/v1/leases/").ok_or_else(not_found)?;
        let (lease, verb) = rest.split_once('/').unwrap_or((rest, ""));
        let lease = Name::from(lease);
        match (method, verb) {
            (Method::GET, "") => self.update_lease(&lease, |_, _| Ok(())),
            (Method::PUT, "") => {
                let Obtain {
                    accelerators,
                    ttl_ms,
                } = http::read_json(req)?;
                let ttl = Duration::from_millis(ttl_ms);
                self.update_lease(&lease, |t, now| t.obtain(now, &lease, accelerators, ttl))
            }
            (Method::DELETE, "") => {
                let now = self.clock.elapsed();
                self.table().remove(now, &lease);
                Ok(http::json(StatusCode::OK, &()))
            }
            (Method::POST, "renew") => {
                let Renew { ttl_ms } = http::read_json(req)?;
                let ttl = Duration::from_millis(ttl_ms);
                self.update_lease(&lease, |t, now| t.renew(now, &lease, ttl))
            }
            (Method::POST, "start") => {
                let start: Start = http::read_json(req)?;
                self.update_lease(&lease, |t, now| t.start(now, &lease, start))
            }
            (Method::POST, "stop") => {
                let Stop { checkpoint } = http::read_json(req)?;
                self.update_lease(&lease, |t, now| t.stop(now, &lease, checkpoint))
            }
            _ => Err(not_found()),
        }
    }

    fn view(&self) -> Response<Body> {
        self.advance();
        let leases = self.table().views(self.clock.elapsed());
        let view = WorkerView {
            name: self.name.clone(),
            accelerators: self.accelerators,
            leases,
        };
        http::json(StatusCode::OK, &view)
    }

    /// Applies `call` to a lease and answers with the lease as it is afterwards.
    fn update_lease(
        &self,
        lease: &Name,
        call: impl FnOnce(&mut LeaseTable, Duration) -> Result<(), LeaseError>,
    ) -> Result<Response<Body>, Refusal> {
        let mut table = self.table();
        let now = self.clock.elapsed();
        table.advance(now);
        call(&mut table, now).map_err(lease_refusal)?;
        let view = table.view(now, lease).ok_or_else(not_found)?;
        Ok(http::json(StatusCode::OK, &view))
    }
}

fn lease_refusal(error: LeaseError) -> Refusal {
    match error {
        LeaseError::NotFree => Refusal::new(StatusCode::CONFLICT, "not free"),
        LeaseError::Conflict => Refusal::new(StatusCode::CONFLICT, "the lease is used otherwise"),
        LeaseError::Unknown => not_found(),
        LeaseError::Ended => Refusal::new(StatusCode::GONE, "the lease is over"),
    }
}

fn not_found() -> Refusal {
    Refusal::new(StatusCode::NOT_FOUND, "no such path or lease")
}
