//! The waits of jobs: of which jobs nothing runs although the turn of one of their tasks has come, since
//! when, and what holds them up.
//!
//! To a caller it looks the same whether a job finds no room, every start of it is refused, or one of
//! its runs is neither running nor proven to be over. Operators have to tell these apart, so the
//! planner describes each wait at the end of a pass. No decision depends on it.

use std::{collections::BTreeMap, fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    port::{EndKind, StartOutcome},
    utils::{HashMap, Name, Timestamp},
    workload::{
        Fleet,
        FleetWorker,
        GoneProof,
        Place,
        ReportReads,
        RunId,
        RunOverReason,
        SessionState,
        Step,
        TaskId,
        WaitReason,
        Waiting,
        WorkerRun,
        live::LiveJob,
        planner::View, //
    },
};

/// Wait from which on a job is logged. Starts take a few hundred milliseconds, so a job that has waited
/// longer is held up by something else.
const LOG_AFTER: Duration = Duration::from_secs(2);

/// Time from the first log line about a wait to the second. It doubles with each further line.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Most log lines about waits in one pass, the longest waits first. Thousands of jobs may wait in a full
/// pool.
const MAX_LOGGED_PER_PASS: usize = 8;

/// Time within which a run that was ordered is expected to be listed as running.
const EXPECTED_START: Duration = LOG_AFTER;

/// The wait of a job of which nothing runs although the turn of one of its tasks has come, as the
/// planner knew it at the end of a pass.
///
/// A gang runs only while all of its tasks do, and a task that lasts waits by itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobWait {
    /// The index of the step whose turn has come.
    pub step: u32,
    /// The number of its tasks that are not done.
    pub tasks: usize,
    /// The number of the step's newest run: how many times it has been ordered.
    pub runs: u32,
    /// What holds the job up.
    pub cause: WaitCause,
    /// Milliseconds since the cause has been the same kind.
    pub cause_ms: u64,
    /// Milliseconds for which nothing of the job has been running, as far as the planner knows. A new
    /// planner doesn't know since when a job waits that has been ordered before.
    pub waited_ms: u64,
    /// The starts that have failed in this planner's term.
    pub failed_starts: Option<FailedStarts>,
    /// The place that isn't free. If there are several, the one whose agent has been silent longest.
    pub place: Option<PlaceStatus>,
}

/// What holds up a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitCause {
    /// Its demand was not served in the last pass.
    NotServed(WaitReason),
    /// Its runs were ordered a moment ago.
    Starting,
    /// A run isn't running and isn't proven to be over, so its task can't be started again.
    PlaceNotFree,
    /// It has no run, and the last pass did not know of a demand of it.
    NotOffered,
}

/// The starts of a job that have failed: they were refused, or the run was over before it was seen
/// running. The members of a gang fail together and count once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FailedStarts {
    /// Their number.
    pub count: u32,
    /// The worker of the newest one.
    pub worker: Name,
    /// Why the newest one failed.
    pub reason: Name,
}

/// The place of a run that isn't running and isn't proven to be over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlaceStatus {
    /// The run.
    pub run: RunId,
    /// Its worker.
    pub worker: Name,
    /// The session that it was ordered in.
    pub session: u64,
    /// The state of the session of the worker's agent.
    pub session_state: PlaceSession,
    /// Milliseconds since the fence of the session was stored, if it is fenced.
    pub fenced_ms: Option<u64>,
    /// Milliseconds since the planner has heard from the agent, or has known of it.
    pub silent_ms: u64,
    /// Whether the planner has ever read a report of the agent.
    pub has_reported: bool,
    /// Whether the agent's report proves which of the incarnations at its address the worker is. Only
    /// then can a successor there end the run.
    pub has_succession: bool,
    /// How far the order that starts the run is.
    pub order: OrderState,
    /// Milliseconds since this planner ordered the run or took it over.
    pub ordered_ms: u64,
    /// Whether the run is ordered to stop.
    pub stopping: bool,
}

/// The state of the session of a place.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlaceSession {
    /// The session accepts orders.
    Open,
    /// The planner has decided to fence it.
    FenceOrdered,
    /// Its fence is stored.
    Fenced,
    /// No run of it exists any more.
    Closed,
    /// The planner doesn't know the worker.
    Unknown,
}

/// How far the order of a run is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// The order isn't known to be stored.
    NotStored,
    /// The order is stored, and the agent has not reported that it has read it.
    Stored,
    /// The agent has read the order.
    Read,
    /// The planner's state of the worker has no such run.
    Unknown,
}

impl WaitCause {
    /// Returns a short name of the kind of cause.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotServed(reason) => reason.label(),
            Self::Starting => "starting",
            Self::PlaceNotFree => "place_not_free",
            Self::NotOffered => "not_offered",
        }
    }
}

impl PlaceSession {
    /// Returns the name of the state.
    pub fn label(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::FenceOrdered => "fence_ordered",
            Self::Fenced => "fenced",
            Self::Closed => "closed",
            Self::Unknown => "unknown",
        }
    }
}

impl OrderState {
    /// Returns the name of the state.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotStored => "not_stored",
            Self::Stored => "stored",
            Self::Read => "read",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for JobWait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "nothing has been running for {} ms: step {}, {} tasks, ordered {} times; {} for {} ms",
            self.waited_ms,
            self.step,
            self.tasks,
            self.runs,
            self.cause.label(),
            self.cause_ms
        )?;
        if let Some(failed) = &self.failed_starts {
            write!(f, "\n{failed}")?;
        }
        if let Some(place) = &self.place {
            write!(f, "\n{place}")?;
        }
        Ok(())
    }
}

impl fmt::Display for FailedStarts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} failed starts, the newest on {}: {}",
            self.count, self.worker, self.reason
        )
    }
}

impl fmt::Display for PlaceStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "run {} on {} is not over: session {} {}, silent for {} ms, order {}, ordered {} ms ago",
            self.run,
            self.worker,
            self.session,
            self.session_state.label(),
            self.silent_ms,
            self.order.label(),
            self.ordered_ms
        )?;
        if let Some(fenced_ms) = self.fenced_ms {
            write!(f, ", fenced {fenced_ms} ms ago")?;
        }
        if self.stopping {
            f.write_str(", ordered to stop")?;
        }
        if !self.has_reported {
            f.write_str(", no report read")?;
        }
        Ok(())
    }
}

/// The waits and the failed starts of all jobs that have not ended.
#[derive(Debug, Default)]
pub(super) struct JobWaits {
    waits: HashMap<Name, WaitTimes>,
    failed_starts: HashMap<Name, StartFailures>,
    new_failures: Vec<&'static str>,
}

/// The times of one wait.
#[derive(Debug)]
struct WaitTimes {
    /// When the wait was first seen.
    since: Timestamp,
    /// How long the job had waited by then.
    before: Duration,
    cause: &'static str,
    cause_since: Timestamp,
    /// The wait from which on the next log line is due.
    next_log: Duration,
    log_interval: Duration,
}

#[derive(Debug)]
struct StartFailures {
    told: FailedStarts,
    /// The newest run that was counted, by its first task if it is a gang's.
    run: RunId,
    /// Whether the reason is only that other members of the gang did not start.
    is_consequence: bool,
}

impl WaitTimes {
    fn waited(&self, now: Timestamp) -> Duration {
        self.before + now.since(self.since)
    }

    fn is_logged(&self) -> bool {
        self.next_log > LOG_AFTER
    }
}

impl JobWaits {
    /// Records that a run is over. It counts as a failed start if the planner has not seen it running.
    pub(super) fn run_over(
        &mut self,
        run: &RunId,
        is_gang: bool,
        worker: &Name,
        why: &RunOverReason,
        has_run: bool,
    ) {
        let Some(event) = start_failure(why, has_run) else {
            return;
        };
        let run = run.of_gang(is_gang);
        let is_consequence = is_consequence(why);
        let known = self.failed_starts.get(&run.task.job);
        let counted = known.filter(|f| f.run == run);
        if counted.is_some_and(|f| is_consequence || !f.is_consequence) {
            return;
        }
        if counted.is_none() {
            self.new_failures.push(event);
        }
        let count = known.map_or(0, |f| f.told.count) + u32::from(counted.is_none());
        let told = FailedStarts {
            count,
            worker: worker.clone(),
            reason: event.strip_prefix(EVENT_PREFIX).unwrap_or(event).into(),
        };
        let job = run.task.job.clone();
        let failures = StartFailures {
            told,
            run,
            is_consequence,
        };
        self.failed_starts.insert(job, failures);
    }

    /// Returns the events of the failed starts since the last call.
    pub(super) fn take_failures(&mut self) -> Vec<&'static str> {
        std::mem::take(&mut self.new_failures)
    }

    /// Returns the waits at the end of a pass that did not serve the demands in `waiting`, and logs
    /// those that are due. An agent is silent after `max_silence`.
    pub(super) fn observe(
        &mut self,
        view: &View<'_>,
        jobs: &BTreeMap<Name, LiveJob>,
        fleet: &Fleet,
        waiting: &HashMap<Name, Waiting>,
        max_silence: Duration,
    ) -> HashMap<Name, JobWait> {
        let runs = Runs {
            fleet,
            now: view.now,
            report_reads: view.report_reads,
            max_silence,
        };
        let mut found = HashMap::default();
        for (name, live) in jobs.iter().filter(|(_, l)| l.plan.outcome.is_none()) {
            if let Some(turn) = runs.waiting_step(live, view.unix_ms) {
                let wait = self.wait(view, live, &runs, turn, waiting.get(name));
                found.insert(name.clone(), wait);
            }
        }
        self.end_waits(view.now, jobs, &found);
        self.log_due(view.now, &found);
        found
    }

    fn wait(
        &mut self,
        view: &View<'_>,
        live: &LiveJob,
        runs: &Runs<'_>,
        (occurrence, step): (u32, u32),
        waiting: Option<&Waiting>,
    ) -> JobWait {
        let name = &live.job.name;
        let place = runs.place(live, occurrence, step);
        let cause = match (waiting, &place) {
            (Some(waiting), _) => WaitCause::NotServed(waiting.reason),
            (None, Some(place)) if place.is_starting() => WaitCause::Starting,
            (None, Some(_)) => WaitCause::PlaceNotFree,
            (None, None) => WaitCause::NotOffered,
        };
        let times = self.waits.entry(name.clone()).or_insert_with(|| {
            let begin_ms = match has_just_begun(live, place.as_ref()) {
                true => live.waiting_since_ms(occurrence),
                false => view.unix_ms,
            };
            let before_ms = view.unix_ms.saturating_sub(begin_ms);
            WaitTimes {
                since: view.now,
                before: Duration::from_millis(before_ms),
                cause: cause.label(),
                cause_since: view.now,
                next_log: LOG_AFTER,
                log_interval: LOG_INTERVAL,
            }
        });
        if times.cause != cause.label() {
            times.cause = cause.label();
            times.cause_since = view.now;
        }
        let numbers = live.job.task_numbers(occurrence, step);
        let tasks = numbers.clone().filter(|n| !live.plan.is_done(*n));
        let known = numbers.filter_map(|n| live.plan.tasks.get(&n));
        JobWait {
            step,
            tasks: tasks.count(),
            runs: known.map(|t| t.run).max().unwrap_or(0),
            cause,
            cause_ms: as_ms(view.now.since(times.cause_since)),
            waited_ms: as_ms(times.waited(view.now)),
            failed_starts: self.failed_starts.get(name).map(|f| f.told.clone()),
            place,
        }
    }

    /// Ends the waits that a pass did not find, and removes the state of ended jobs.
    fn end_waits(
        &mut self,
        now: Timestamp,
        jobs: &BTreeMap<Name, LiveJob>,
        found: &HashMap<Name, JobWait>,
    ) {
        let has_ended = |name: &Name| jobs.get(name).is_none_or(|l| l.plan.outcome.is_some());
        let failed_starts = &self.failed_starts;
        self.waits.retain(|name, times| {
            if found.contains_key(name) {
                return true;
            }
            if times.is_logged() && !has_ended(name) {
                let failed = failed_starts.get(name);
                log::info!(
                    job:% = name, waited_ms = as_ms(times.waited(now)),
                    starts_failed = failed.map_or(0, |f| f.told.count);
                    "job_waited"
                );
            }
            false
        });
        self.failed_starts.retain(|name, _| !has_ended(name));
    }

    fn log_due(&mut self, now: Timestamp, found: &HashMap<Name, JobWait>) {
        let due = found.iter().filter(|(name, _)| {
            let times = self.waits.get(*name);
            times.is_some_and(|t| t.waited(now) >= t.next_log)
        });
        let mut due: Vec<(&Name, &JobWait)> = due.collect();
        due.sort_by_key(|(_, wait)| std::cmp::Reverse(wait.waited_ms));
        for (name, wait) in due.into_iter().take(MAX_LOGGED_PER_PASS) {
            if let Some(times) = self.waits.get_mut(name) {
                times.next_log = times.waited(now) + times.log_interval;
                times.log_interval *= 2;
            }
            log_wait(name, wait);
        }
    }
}

impl PlaceStatus {
    fn is_starting(&self) -> bool {
        self.session_state == PlaceSession::Open
            && !self.stopping
            && self.order != OrderState::Unknown
            && self.ordered_ms < as_ms(EXPECTED_START)
    }
}

/// Returns whether nothing of a job was ordered before this pass, by the place of one of its runs.
fn has_just_begun(live: &LiveJob, place: Option<&PlaceStatus>) -> bool {
    let mut tasks = live.plan.tasks.values();
    tasks.all(|t| t.run == 0 || (t.run == 1 && t.place.is_some()))
        && place.is_none_or(|p| p.ordered_ms == 0)
}

fn log_wait(job: &Name, wait: &JobWait) {
    let failed = wait.failed_starts.as_ref();
    let starts_failed = failed.map_or(0, |f| f.count);
    let last_worker = failed.map_or("", |f| &f.worker);
    let last_reason = failed.map_or("", |f| &f.reason);
    if let Some(place) = &wait.place {
        log::info!(
            job:% = job, step = wait.step, tasks = wait.tasks, runs = wait.runs,
            reason = wait.cause.label(), since_ms = wait.cause_ms, waited_ms = wait.waited_ms,
            starts_failed, last_worker, last_reason,
            place_run:% = place.run, place_worker:% = place.worker, place_session = place.session,
            session_state = place.session_state.label(), fenced_ms = place.fenced_ms,
            silent_ms = place.silent_ms, has_reported = place.has_reported,
            has_succession = place.has_succession, order = place.order.label(),
            ordered_ms = place.ordered_ms, stopping = place.stopping;
            "job_waits"
        );
        return;
    }
    let workers = match wait.cause {
        WaitCause::NotServed(WaitReason::NoRoom {
            suitable,
            with_room,
            ready,
            barred,
        }) => Some((suitable, with_room, ready, barred)),
        _ => None,
    };
    log::info!(
        job:% = job, step = wait.step, tasks = wait.tasks, runs = wait.runs,
        reason = wait.cause.label(), since_ms = wait.cause_ms, waited_ms = wait.waited_ms,
        starts_failed, last_worker, last_reason,
        suitable = workers.map(|w| w.0), with_room = workers.map(|w| w.1),
        ready = workers.map(|w| w.2), barred = workers.map(|w| w.3);
        "job_waits"
    );
}

/// The runs that a pass knows of.
struct Runs<'a> {
    fleet: &'a Fleet,
    now: Timestamp,
    report_reads: &'a ReportReads,
    /// The silence after which an agent's last list of its runs is outdated, if its reports can be read.
    max_silence: Duration,
}

impl Runs<'_> {
    /// Returns the occurrence and the step whose turn has come, if nothing of the job runs or a task
    /// that lasts doesn't.
    fn waiting_step(&self, live: &LiveJob, unix_ms: u64) -> Option<(u32, u32)> {
        let steps = &live.job.request.steps;
        let has_lasting = steps.iter().any(|s| s.lasting);
        let (mut found, mut is_running) = (None, false);
        let occurrences = 0..live.job.request.repeats();
        for occurrence in occurrences.take_while(|o| live.job.due_ms(*o) <= unix_ms) {
            for (step, shape) in (0_u32..).zip(steps) {
                let is_done = |step: u32| live.plan.is_step_done(&live.job, occurrence, step);
                if is_done(step) || !shape.after.iter().all(|a| is_done(*a)) {
                    continue;
                }
                if self.is_step_running(live, occurrence, step, shape) {
                    if !has_lasting {
                        return None;
                    }
                    is_running = true;
                } else if shape.lasting {
                    return Some((occurrence, step));
                } else {
                    found = found.or(Some((occurrence, step)));
                }
            }
        }
        found.filter(|_| !is_running)
    }

    fn is_step_running(&self, live: &LiveJob, occurrence: u32, step: u32, shape: &Step) -> bool {
        let numbers = live.job.task_numbers(occurrence, step);
        let mut tasks = (0_u32..)
            .zip(numbers)
            .filter(|(_, n)| !live.plan.is_done(*n));
        let is_running = |(index, number): (u32, u32)| {
            let placed = self.placed_run(live, (occurrence, step, index), number);
            placed.is_some_and(|p| self.is_running(&p))
        };
        if shape.gang || shape.lasting {
            tasks.all(is_running)
        } else {
            tasks.any(is_running)
        }
    }

    /// Returns the run of a task that has a place.
    fn placed_run<'b>(
        &'b self,
        live: &'b LiveJob,
        (occurrence, step, index): (u32, u32, u32),
        number: u32,
    ) -> Option<PlacedRun<'b>> {
        let plan = live.plan.tasks.get(&number)?;
        let place = plan.place.as_ref()?;
        let id = RunId {
            task: TaskId {
                job: live.job.name.clone(),
                occurrence,
                step,
                index,
            },
            number: plan.run,
        };
        let worker = self.fleet.get(&place.worker);
        let state = worker.and_then(|w| w.runs.get(&id));
        Some(PlacedRun {
            id,
            place,
            worker,
            state,
        })
    }

    fn is_running(&self, placed: &PlacedRun<'_>) -> bool {
        let is_listed = placed
            .state
            .is_some_and(|run| run.running_since.is_some() && !run.stopping);
        is_listed
            && placed.worker.is_some_and(|worker| {
                let silent = self.now.since(worker.reported_at);
                let is_readable = self.report_reads.since(&placed.place.worker).is_some();
                let is_outdated = is_readable && silent > self.max_silence;
                worker.session_state == SessionState::Open && !is_outdated
            })
    }

    /// Returns the place of a step that isn't free and whose run isn't running. If there are several,
    /// it is the one whose agent has been silent longest.
    fn place(&self, live: &LiveJob, occurrence: u32, step: u32) -> Option<PlaceStatus> {
        let numbers = (0_u32..).zip(live.job.task_numbers(occurrence, step));
        let placed = numbers.filter_map(|(index, number)| {
            self.placed_run(live, (occurrence, step, index), number)
                .filter(|p| !self.is_running(p))
        });
        let silence = |p: &PlacedRun<'_>| p.worker.map(|w| self.now.since(w.reported_at));
        placed
            .max_by_key(silence)
            .map(|placed| placed.status(self.now))
    }
}

/// A run that has a place in the plan, with what the planner knows of it.
struct PlacedRun<'a> {
    id: RunId,
    place: &'a Place,
    worker: Option<&'a FleetWorker>,
    state: Option<&'a WorkerRun>,
}

impl PlacedRun<'_> {
    fn status(self, now: Timestamp) -> PlaceStatus {
        let since = |at: Timestamp| as_ms(now.since(at));
        let report = self.worker.and_then(|w| w.report.as_ref());
        let session = self.worker.map(|w| w.session_state);
        let seen = report.map_or(0, |r| r.orders_seen);
        let order = match self.state.map(|run| run.order_offset) {
            None => OrderState::Unknown,
            Some(None) => OrderState::NotStored,
            Some(Some(offset)) if offset < seen => OrderState::Read,
            Some(Some(_)) => OrderState::Stored,
        };
        PlaceStatus {
            run: self.id,
            worker: self.place.worker.clone(),
            session: self.place.session,
            session_state: match session {
                Some(SessionState::Open) => PlaceSession::Open,
                Some(SessionState::FenceOrdered) => PlaceSession::FenceOrdered,
                Some(SessionState::Fenced(_)) => PlaceSession::Fenced,
                Some(SessionState::Closed) => PlaceSession::Closed,
                None => PlaceSession::Unknown,
            },
            fenced_ms: match session {
                Some(SessionState::Fenced(at)) => Some(since(at)),
                _ => None,
            },
            silent_ms: self.worker.map_or(0, |w| since(w.reported_at)),
            has_reported: report.is_some(),
            has_succession: report.is_some_and(|r| r.succession.is_some()),
            order,
            ordered_ms: self.state.map_or(0, |run| since(run.placed_at)),
            stopping: self.state.is_some_and(|run| run.stopping),
        }
    }
}

/// The prefix of the events that count failed starts, before the reason.
const EVENT_PREFIX: &str = "start_failed_";

/// Returns the event that counts a run that is over as a failed start; `None` if it ran, was done, or
/// ended because it was stopped.
fn start_failure(why: &RunOverReason, has_run: bool) -> Option<&'static str> {
    match why {
        RunOverReason::Refused(outcome) => match outcome {
            StartOutcome::Started => None,
            StartOutcome::Fenced => Some("start_failed_fenced"),
            StartOutcome::Superseded => Some("start_failed_superseded"),
            StartOutcome::Expired => Some("start_failed_expired"),
            StartOutcome::NoRoom => Some("start_failed_no_room"),
            StartOutcome::NoTicket => Some("start_failed_no_ticket"),
            StartOutcome::Malformed => Some("start_failed_malformed"),
            StartOutcome::Unhealthy => Some("start_failed_unhealthy"),
            StartOutcome::OtherLife => Some("start_failed_other_life"),
            StartOutcome::Draining => Some("start_failed_draining"),
        },
        RunOverReason::Gone(_) | RunOverReason::Ended(_) if has_run => None,
        RunOverReason::Gone(proof) => Some(match proof {
            GoneProof::Unlisted => "start_failed_unlisted",
            GoneProof::SessionClosed => "start_failed_session_closed",
            GoneProof::Replaced => "start_failed_replaced",
            GoneProof::LeaseExpired => "start_failed_session_expired",
        }),
        RunOverReason::Ended(end) => match end.kind {
            EndKind::Done | EndKind::Stopped | EndKind::GangBroken => None,
            EndKind::Failed => Some("start_failed_at_once"),
            EndKind::LeaseExpired => Some("start_failed_lease_expired"),
            EndKind::GangIncomplete => Some("start_failed_gang_incomplete"),
            EndKind::Other => Some("start_failed_other"),
        },
    }
}

/// Returns whether a run failed to start only because other members of its gang did.
fn is_consequence(why: &RunOverReason) -> bool {
    matches!(why, RunOverReason::Ended(end) if end.kind == EndKind::GangIncomplete)
}

fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
