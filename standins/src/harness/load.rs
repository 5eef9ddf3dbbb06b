//! Callers that send requests continuously while a test injects faults.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering}, //
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use dragonflyrun::utils::Name;

use crate::{
    backend::{BackendRecord, answer_to},
    caller::{Caller, Reply, RequestOutcome},
    harness::{SERVICE, wait_until},
};

/// Maximum delay before a caller sends a refused request again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The number of callers and the requests that they send.
#[derive(Clone, Copy, Debug)]
pub struct LoadShape {
    /// Number of callers. Each has one request in flight.
    pub callers: usize,
    /// Run time of each request in milliseconds.
    pub work_ms: u64,
    /// Size of each answer in bytes.
    pub answer_bytes: usize,
    /// Deadline of each attempt in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of attempts per request.
    pub attempts: u32,
}

impl Default for LoadShape {
    fn default() -> Self {
        Self {
            callers: 8,
            work_ms: 20,
            answer_bytes: 500,
            deadline_ms: 3_000,
            attempts: 12,
        }
    }
}

/// A request with all replies that its caller received.
#[derive(Debug)]
pub struct TrackedRequest {
    /// The idempotency key under which the caller sends and repeats the request.
    pub key: Name,
    /// The expected answer.
    pub answer: Vec<u8>,
    /// The reply to each attempt.
    pub replies: Vec<Reply>,
}

impl TrackedRequest {
    /// Returns whether an attempt was answered with status 200.
    pub fn is_done(&self) -> bool {
        self.replies.iter().any(Reply::is_done)
    }

    /// Returns whether a connection broke after it was accepted, or the outcome of an attempt is
    /// unknown.
    pub fn was_cut_off(&self) -> bool {
        let is_certain = |reply: &Reply| reply.is_done() || reply.certainly_not_run();
        !self.replies.iter().all(is_certain)
    }

    /// Returns the key and a short description of each reply.
    pub fn summary(&self) -> String {
        let replies: Vec<String> = self.replies.iter().map(Reply::to_string).collect();
        format!("{}: {}", self.key, replies.join(", "))
    }

    fn certainly_not_run(&self) -> bool {
        self.replies.iter().all(Reply::certainly_not_run)
    }

    fn has_wrong_body(&self) -> bool {
        self.replies.iter().any(|reply| match reply {
            Reply::Final(RequestOutcome::Done { status: 200, body }) => *body != self.answer,
            _ => false,
        })
    }
}

/// Running callers. Each request is sent to the entries in turn until it is done.
pub struct Load {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<Vec<TrackedRequest>>>,
}

struct Shared {
    callers: Vec<Caller>,
    shape: LoadShape,
    stopping: AtomicBool,
    done: AtomicUsize,
}

impl Load {
    /// Starts the callers, which use the entries of `callers` in turn.
    pub fn start(callers: Vec<Caller>, shape: LoadShape) -> Self {
        let shared = Arc::new(Shared {
            callers,
            shape,
            stopping: AtomicBool::new(false),
            done: AtomicUsize::new(0),
        });
        let threads = (0..shape.callers)
            .map(|number| {
                let shared = shared.clone();
                thread::spawn(move || shared.run_caller(number))
            })
            .collect();
        Self { shared, threads }
    }

    /// Waits until `more` additional requests are done.
    ///
    /// # Panics
    ///
    /// If they are not within [`WAIT_TIMEOUT`](crate::harness::WAIT_TIMEOUT).
    #[track_caller]
    pub fn wait_for_done(&self, more: usize) {
        let wanted = self.shared.done.load(Ordering::Relaxed) + more;
        wait_until("requests to be done under load", || {
            self.shared.done.load(Ordering::Relaxed) >= wanted
        });
    }

    /// Lets each caller finish its current request, and returns all requests.
    ///
    /// # Panics
    ///
    /// If a caller received an answer that is not part of the interface.
    pub fn stop(self) -> Vec<TrackedRequest> {
        self.shared.stopping.store(true, Ordering::Relaxed);
        let requests = self.threads.into_iter().map(|thread| match thread.join() {
            Ok(requests) => requests,
            Err(panic) => std::panic::resume_unwind(panic),
        });
        requests.flatten().collect()
    }
}

impl Shared {
    fn run_caller(&self, number: usize) -> Vec<TrackedRequest> {
        let mut requests = Vec::new();
        while !self.stopping.load(Ordering::Relaxed) {
            requests.push(self.send_until_done(number, requests.len()));
        }
        requests
    }

    fn send_until_done(&self, caller: usize, number: usize) -> TrackedRequest {
        let shape = &self.shape;
        let key = Name::from(format!("ticket-{caller}-{number}"));
        let body = format!(
            r#"{{"ticket":"{key}","work_ms":{},"answer_bytes":{}}}"#,
            shape.work_ms, shape.answer_bytes
        );
        let mut replies = Vec::new();
        let mut attempt = 1;
        for turn in 0..shape.attempts as usize {
            let entry = caller + number + turn;
            let entry = &self.callers[entry % self.callers.len()];
            let deadline = Duration::from_millis(shape.deadline_ms);
            let reply = entry.request(SERVICE, Some(&key), attempt, deadline, body.as_bytes());
            let delay = retry_delay(&reply);
            // The interface counts only attempts that may have run.
            attempt += u32::from(!reply.certainly_not_run());
            replies.push(reply);
            let Some(delay) = delay else {
                self.done.fetch_add(1, Ordering::Relaxed);
                break;
            };
            thread::sleep(delay);
        }
        TrackedRequest {
            key,
            answer: answer_to(body.as_bytes(), shape.answer_bytes),
            replies,
        }
    }
}

/// Returns the delay before the next attempt; none if the request is done.
fn retry_delay(reply: &Reply) -> Option<Duration> {
    match reply {
        Reply::Final(RequestOutcome::Done { .. }) => None,
        Reply::Final(RequestOutcome::NotRun { retry_after_ms, .. }) => {
            Some(Duration::from_millis(*retry_after_ms).min(MAX_RETRY_DELAY))
        }
        Reply::Final(RequestOutcome::Unknown) | Reply::Broken(_) => Some(MAX_RETRY_DELAY),
    }
}

/// Returns a description of each request whose replies contradict the backend servers' records:
/// an answer that belongs to another request, "done" without a run, and "not run" for all
/// attempts of a request that ran.
pub fn contradicted_answers(requests: &[TrackedRequest], records: &[BackendRecord]) -> Vec<String> {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for key in records
        .iter()
        .flat_map(|r| &r.runs)
        .filter_map(|r| r.key.as_deref())
    {
        *runs.entry(key).or_default() += 1;
    }
    let contradicted = requests.iter().filter_map(|request| {
        let ran = runs.contains_key(&*request.key);
        if request.has_wrong_body() {
            Some(format!("{}: the answer to another request", request.key))
        } else if request.is_done() && !ran {
            Some(format!("{}: done, but never ran", request.key))
        } else if request.certainly_not_run() && ran {
            Some(format!(
                "{}: not run, but ran: {:?}",
                request.key, request.replies
            ))
        } else {
            None
        }
    });
    contradicted.collect()
}
