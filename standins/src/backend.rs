//! A stand-in for a guarded backend server. It announces itself to the agent on its host.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Condvar,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use dragonflyrun::{process::TOKEN_HEADER, utils::Name};
use oxhttp::model::{Body, Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::{self, Refusal};

/// Interval between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// The settings of a backend server.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The HTTP listener of the agent on its host; none to send no announcements.
    pub agent: Option<SocketAddr>,
    /// The address that it announces; none to announce its own.
    pub announced: Option<SocketAddr>,
    /// Its name.
    pub name: Name,
    /// The service that it runs.
    pub service: Name,
    /// Maximum number of concurrent requests that it announces.
    pub slots: u32,
    /// Maximum number of concurrent connections that it announces.
    pub connections: u32,
    /// Its key in hexadecimal, sent with its announcements.
    pub token: String,
    /// The work of a request whose body specifies none.
    pub work: Work,
}

/// The work of a request. It is read from the request's body as JSON; a body of another form gets
/// [`BackendSettings::work`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Work {
    /// Run time in milliseconds.
    pub work_ms: u64,
    /// Size of the answer in bytes.
    pub answer_bytes: usize,
}

impl Default for Work {
    fn default() -> Self {
        Self {
            work_ms: 5,
            answer_bytes: 64,
        }
    }
}

/// How the server behaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendMode {
    /// Normal operation.
    #[default]
    Up,
    /// Each request runs and is answered with status 500.
    Failing,
    /// Each request runs, and its connection is closed in the middle of the answer.
    Truncating,
    /// No request runs; each is answered with status 503.
    Refusing,
}

/// The body of `POST /control`. Absent fields leave the current value unchanged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendControl {
    /// How the server behaves.
    pub mode: Option<BackendMode>,
    /// Additional run time of each request in milliseconds.
    pub delay_ms: Option<u64>,
    /// Whether the server announces that it is leaving.
    pub leaving: Option<bool>,
    /// Whether the server sends announcements.
    pub announcing: Option<bool>,
}

/// One run of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// The request's id, from the header `Dragonfly-Request`.
    pub request: Name,
    /// The key, from the header `Idempotency-Key`.
    pub key: Option<Name>,
    /// The service, from the header `Dragonfly-Service`.
    pub service: Name,
    /// The [`digest`] of the body.
    pub digest: u64,
    /// Start of the run in milliseconds of unix time, by the server's clock.
    pub started_unix_ms: u64,
    /// End of the run in milliseconds of unix time; none while it runs.
    pub ended_unix_ms: Option<u64>,
}

/// The answer to `GET /v1/record`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct BackendRecord {
    /// All runs, in the order of their start.
    pub runs: Vec<Run>,
    /// Maximum number of concurrent runs so far.
    pub most_running: usize,
    /// Number of runs that have not ended.
    pub running: usize,
    /// Number of requests that were refused without a run.
    pub refused: u64,
}

#[derive(Serialize)]
struct Announcement<'a> {
    name: &'a str,
    service: &'a str,
    address: String,
    slots: u32,
    connections: u32,
    leaving: bool,
}

/// A running backend server.
#[derive(Clone)]
pub struct Backend {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    settings: BackendSettings,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    mode: BackendMode,
    delay: Duration,
    leaving: bool,
    silent: bool,
    record: BackendRecord,
}

impl Backend {
    /// Starts a backend server, which announces itself from now on if its settings name an agent.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(settings: BackendSettings) -> io::Result<Self> {
        let address = settings.address;
        let shared = Arc::new(Shared {
            settings,
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let served = shared.clone();
        let address = http::serve(address, move |req| served.answer(req))?;
        let announcing = shared.clone();
        thread::Builder::new()
            .name("announce".to_owned())
            .spawn(move || announcing.announce(address))?;
        Ok(Self { address, shared })
    }

    /// Returns the address at which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the server behaves.
    pub fn control(&self, control: BackendControl) {
        self.shared.control(control);
    }

    /// Returns the record of its runs.
    pub fn record(&self) -> BackendRecord {
        self.shared.lock().record.clone()
    }

    /// Announces that the server is leaving and waits until no request has run for `quiet_time`.
    pub fn leave(&self, quiet_time: Duration) {
        self.control(BackendControl {
            leaving: Some(true),
            ..BackendControl::default()
        });
        self.shared.wait_until_idle(quiet_time);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn control(&self, control: BackendControl) {
        let mut state = self.lock();
        state.mode = control.mode.unwrap_or(state.mode);
        state.leaving = control.leaving.unwrap_or(state.leaving);
        if let Some(announcing) = control.announcing {
            state.silent = !announcing;
        }
        if let Some(ms) = control.delay_ms {
            state.delay = Duration::from_millis(ms);
        }
        self.changed.notify_all();
    }

    /// Announces the server at a fixed interval, and immediately when it starts to leave.
    fn announce(&self, address: SocketAddr) {
        let Some(agent) = self.settings.agent else {
            return;
        };
        loop {
            let (leaving, silent) = {
                let state = self.lock();
                (state.leaving, state.silent)
            };
            if !silent && let Err(error) = self.announce_once(agent, address, leaving) {
                log::debug!(agent:% = agent, error:% = error; "announcement_failed");
            }
            let state = self.lock();
            let unchanged = |s: &mut State| s.leaving == leaving && s.silent == silent;
            let waited = self
                .changed
                .wait_timeout_while(state, ANNOUNCE_INTERVAL, unchanged);
            drop(waited.unwrap_or_else(PoisonError::into_inner));
        }
    }

    fn announce_once(
        &self,
        agent: SocketAddr,
        address: SocketAddr,
        leaving: bool,
    ) -> io::Result<()> {
        let announcement = Announcement {
            name: &self.settings.name,
            service: &self.settings.service,
            address: self.settings.announced.unwrap_or(address).to_string(),
            slots: self.settings.slots,
            connections: self.settings.connections,
            leaving,
        };
        let answer = http::call(
            agent,
            Method::POST,
            "/v1/backends",
            &[
                ("Content-Type", "application/json"),
                (TOKEN_HEADER, &self.settings.token),
            ],
            serde_json::to_vec(&announcement)?,
            ANNOUNCE_TIMEOUT,
        )?;
        match answer.status.is_success() {
            true => Ok(()),
            false => Err(io::Error::other(answer.status.to_string())),
        }
    }

    fn answer(&self, req: &mut Request<Body>) -> Result<Response<Body>, Refusal> {
        match (req.method().clone(), req.uri().path()) {
            (Method::POST, "/control") => {
                let control = http::read_json(req)?;
                self.control(control);
                Ok(http::json(StatusCode::OK, &control))
            }
            (Method::GET, "/v1/record") => Ok(http::json(StatusCode::OK, &self.lock().record)),
            (Method::POST, "/v1/run") => self.run(req),
            _ => Err(Refusal::new(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    fn run(&self, req: &mut Request<Body>) -> Result<Response<Body>, Refusal> {
        let body = http::read_body(req)?;
        let work = serde_json::from_slice(&body).unwrap_or(self.settings.work);
        let Some((number, delay)) = self.start_run(req, &body) else {
            let reason = "the server takes no request";
            return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason));
        };
        thread::sleep(Duration::from_millis(work.work_ms) + delay);
        let mode = self.end_run(number);
        let answer = answer_to(&body, work.answer_bytes);
        match mode {
            BackendMode::Failing => {
                let reason = "the server failed";
                Err(Refusal::new(StatusCode::INTERNAL_SERVER_ERROR, reason))
            }
            BackendMode::Truncating => Ok(http::cut_off(answer[..answer.len() / 2].to_vec())),
            BackendMode::Up | BackendMode::Refusing => Ok(http::bytes(
                StatusCode::OK,
                "application/octet-stream",
                answer,
            )),
        }
    }

    /// Records the start of a run and returns its index and additional run time; none if the server
    /// refuses requests.
    fn start_run(&self, req: &Request<Body>, body: &[u8]) -> Option<(usize, Duration)> {
        let mut state = self.lock();
        if state.mode == BackendMode::Refusing {
            state.record.refused += 1;
            return None;
        }
        let record = &mut state.record;
        record.running += 1;
        record.most_running = record.most_running.max(record.running);
        record.runs.push(Run {
            request: header(req, "Dragonfly-Request").unwrap_or_default(),
            key: header(req, "Idempotency-Key"),
            service: header(req, "Dragonfly-Service").unwrap_or_default(),
            digest: digest(body),
            started_unix_ms: unix_ms(),
            ended_unix_ms: None,
        });
        Some((record.runs.len() - 1, state.delay))
    }

    fn end_run(&self, number: usize) -> BackendMode {
        let mut state = self.lock();
        state.record.running -= 1;
        state.record.runs[number].ended_unix_ms = Some(unix_ms());
        self.changed.notify_all();
        state.mode
    }

    fn wait_until_idle(&self, quiet_time: Duration) {
        let mut state = self.lock();
        loop {
            let seen = (state.record.running, state.record.runs.len());
            let unchanged = |s: &mut State| (s.record.running, s.record.runs.len()) == seen;
            let (next, waited) = self
                .changed
                .wait_timeout_while(state, quiet_time, unchanged)
                .unwrap_or_else(PoisonError::into_inner);
            if waited.timed_out() && seen.0 == 0 {
                return;
            }
            state = next;
        }
    }
}

/// Returns a hash of the body.
pub fn digest(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    hasher.finish()
}

/// Returns the answer to a request with `body`, `bytes` bytes long. Each part of the answer depends
/// on the complete body and on its position, so that missing, repeated or swapped parts are
/// detected.
pub fn answer_to(body: &[u8], bytes: usize) -> Vec<u8> {
    let seed = digest(body);
    let bytes = bytes.min(MAX_ANSWER_BYTES);
    let mut answer = Vec::with_capacity(bytes + 16);
    let mut chunk = 0_u64;
    while answer.len() < bytes {
        let mut hasher = DefaultHasher::new();
        (seed, chunk).hash(&mut hasher);
        answer.extend_from_slice(format!("{:016x}", hasher.finish()).as_bytes());
        chunk += 1;
    }
    answer.truncate(bytes);
    answer
}

fn header(req: &Request<Body>, name: &str) -> Option<Name> {
    let value = req.headers().get(name)?;
    value.to_str().ok().map(Name::from)
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
