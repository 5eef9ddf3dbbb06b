//! A stand-in for the platform's append-only log service. It keeps its records in memory.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Condvar,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use dragonflyrun::connection::{LogPage, LogRecord};
use oxhttp::model::{Body, Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::{self, Refusal};

/// Maximum number of records in an answer.
const MAX_PAGE_RECORDS: usize = 1_000;

/// Maximum size in bytes of the records in an answer. The first record may be larger.
const MAX_PAGE_BYTES: usize = 8 << 20;

/// Maximum time for which a read waits for a record.
const MAX_READ_WAIT: Duration = Duration::from_secs(30);

/// How the service behaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogMode {
    /// Normal operation.
    #[default]
    Up,
    /// Each call is refused immediately and has no effect.
    Refuse,
    /// Calls are held and take effect only after the mode has changed.
    Hang,
    /// Each call takes effect, but its connection is closed before the end of the answer.
    LoseAnswers,
    /// As [`LogMode::LoseAnswers`], but only for appends; reads are answered.
    LoseAppends,
}

impl LogMode {
    fn serves_reads(self) -> bool {
        matches!(self, Self::Up | Self::LoseAppends)
    }
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Call {
    Append,
    Read,
}

/// The body of `POST /control`. Absent fields leave the current value unchanged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogControl {
    /// How the service behaves.
    pub mode: Option<LogMode>,
    /// Delay of each call in milliseconds.
    pub delay_ms: Option<u64>,
    /// Number of records to retain. Older records are dropped now and after each append.
    pub keep: Option<usize>,
}

/// The answer to `GET /control`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct LogStatus {
    /// How the service behaves.
    pub mode: LogMode,
    /// The offset of the oldest retained record.
    pub first: u64,
    /// The offset of the next record.
    pub head: u64,
    /// Number of appends that took effect.
    pub appends: u64,
    /// Number of reads that were answered.
    pub reads: u64,
}

#[derive(Deserialize)]
struct Append {
    records: Vec<String>,
}

#[derive(Serialize)]
struct Appended {
    first_offset: u64,
}

/// A running log service.
#[derive(Clone)]
pub struct LogService {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    mode: LogMode,
    delay: Duration,
    keep: Option<usize>,
    first: u64,
    records: VecDeque<String>,
    appends: u64,
    reads: u64,
}

impl LogService {
    /// Starts an empty log at `address`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let served = shared.clone();
        let address = http::serve(address, move |req| served.answer(req))?;
        Ok(Self { address, shared })
    }

    /// Returns the address at which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the service behaves.
    pub fn control(&self, control: LogControl) {
        self.shared.control(control);
    }

    /// Returns the mode and the state of the log.
    pub fn status(&self) -> LogStatus {
        self.shared.lock().status()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn control(&self, control: LogControl) {
        let mut state = self.lock();
        state.mode = control.mode.unwrap_or(state.mode);
        if let Some(ms) = control.delay_ms {
            state.delay = Duration::from_millis(ms);
        }
        state.keep = control.keep.or(state.keep);
        state.drop_old();
        self.changed.notify_all();
    }

    fn answer(&self, req: &mut Request<Body>) -> Result<Response<Body>, Refusal> {
        match (req.method().clone(), req.uri().path()) {
            (Method::POST, "/control") => {
                self.control(http::read_json(req)?);
                Ok(http::json(StatusCode::OK, &self.lock().status()))
            }
            (Method::GET, "/control") => Ok(http::json(StatusCode::OK, &self.lock().status())),
            (Method::POST, "/v1/records") => {
                let append = http::read_json(req)?;
                self.apply_fault(Call::Append, || self.append(append))
            }
            (Method::GET, "/v1/records") => self.read(req),
            _ => Err(Refusal::new(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    /// Applies the fault of the current mode to `call`.
    fn apply_fault(
        &self,
        kind: Call,
        call: impl FnOnce() -> Response<Body>,
    ) -> Result<Response<Body>, Refusal> {
        let delay = self.lock().delay;
        if !delay.is_zero() {
            std::thread::sleep(delay);
        }
        let state = self.lock();
        let state = self
            .changed
            .wait_while(state, |s| s.mode == LogMode::Hang)
            .unwrap_or_else(PoisonError::into_inner);
        let mode = state.mode;
        drop(state);
        match mode {
            LogMode::Refuse => {
                let reason = "the log is down";
                Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason))
            }
            LogMode::LoseAppends if kind == Call::Read => Ok(call()),
            LogMode::LoseAnswers | LogMode::LoseAppends => {
                call();
                Ok(http::cut_off(Vec::new()))
            }
            LogMode::Up | LogMode::Hang => Ok(call()),
        }
    }

    fn append(&self, append: Append) -> Response<Body> {
        let mut state = self.lock();
        let first_offset = state.head();
        state.records.extend(append.records);
        state.appends += 1;
        state.drop_old();
        self.changed.notify_all();
        http::json(StatusCode::OK, &Appended { first_offset })
    }

    fn read(&self, req: &Request<Body>) -> Result<Response<Body>, Refusal> {
        let from = http::query::<u64>(req, "from")
            .ok_or_else(|| Refusal::new(StatusCode::BAD_REQUEST, "from is required"))?;
        let limit = http::query(req, "limit").unwrap_or(MAX_PAGE_RECORDS);
        let wait = Duration::from_millis(http::query(req, "wait_ms").unwrap_or(0));
        self.wait_for_record(from, wait.min(MAX_READ_WAIT));
        self.apply_fault(Call::Read, || {
            let mut state = self.lock();
            state.reads += 1;
            http::json(
                StatusCode::OK,
                &state.page(from, limit.min(MAX_PAGE_RECORDS)),
            )
        })
    }

    /// Waits until there is a record at `from` or the mode no longer serves reads.
    fn wait_for_record(&self, from: u64, wait: Duration) {
        let none = |state: &mut State| state.mode.serves_reads() && state.head() <= from;
        let waited = self.changed.wait_timeout_while(self.lock(), wait, none);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }
}

impl State {
    fn head(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn status(&self) -> LogStatus {
        LogStatus {
            mode: self.mode,
            first: self.first,
            head: self.head(),
            appends: self.appends,
            reads: self.reads,
        }
    }

    fn drop_old(&mut self) {
        let Some(keep) = self.keep else {
            return;
        };
        while self.records.len() > keep {
            self.records.pop_front();
            self.first += 1;
        }
    }

    fn page(&self, from: u64, limit: usize) -> LogPage {
        let from = from.max(self.first);
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let records = self
            .records
            .iter()
            .zip(self.first..)
            .skip(skip)
            .take(limit)
            .take_while(|(data, _)| {
                let fits = bytes == 0 || bytes + data.len() <= MAX_PAGE_BYTES;
                bytes += data.len();
                fits
            })
            .map(|(data, offset)| LogRecord {
                offset,
                data: data.clone(),
            })
            .collect();
        LogPage {
            first: self.first,
            head: self.head(),
            records,
        }
    }
}
