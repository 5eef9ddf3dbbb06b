//! Jobs at an entry: accepts them, renews gangs, and plans while the entry holds the term.

use std::{
    sync::{
        Arc,
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering}, //
    },
    time::Duration,
};

use crate::{
    connection::{GangMessage, Message, Peer, RecordBody, Role},
    job::{AgentMessage, Item, JobId, JobSpec, LiveJob, PlannerAction, Purpose},
    process::{
        AppendError,
        Context,
        Folded,
        GangTable,
        JobAnswer,
        JobRefusal,
        JobState,
        JobStatus,
        JobsAnswer,
        TickView,
        lock,
        state_to_repeat, //
    },
    utils::Name,
};

/// How long a submitter waits for its job to reach the log.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(10);

/// Milliseconds after which a refused job may be submitted again: while the log is unavailable,
/// while the state of the entry is not fresh, and at the limit of live jobs.
const LOG_RETRY_AFTER_MS: u64 = 2_000;
const FRESHNESS_RETRY_AFTER_MS: u64 = 1_000;
const LIMIT_RETRY_AFTER_MS: u64 = 5_000;

/// Maximum length of a job's name in bytes; the name is part of lease names.
const MAX_JOB_NAME_BYTES: usize = 128;

/// Maximum size of a job's program and workspace together, in bytes: the log has to hold the job's
/// record many times over.
const MAX_JOB_TEXT_BYTES: usize = 64 << 10;

/// The jobs of one entry.
pub struct EntryJobs {
    cx: Arc<Context>,
    table: Mutex<GangTable>,
    leaving: AtomicBool,
    next_id: AtomicU64,
}

impl EntryJobs {
    /// Returns the state of an entry that has just started.
    pub fn new(cx: Arc<Context>) -> Self {
        let table = GangTable::new(cx.now(), cx.identity.name.clone(), cx.version());
        Self {
            cx,
            table: Mutex::new(table),
            leaving: AtomicBool::new(false),
            next_id: AtomicU64::new(1),
        }
    }

    /// Handles a message about gangs. Agents report everything in their heartbeats, so it is
    /// ignored.
    pub fn on_message(&self, from: &Name, message: GangMessage) {
        log::debug!(from:% = from, message:? = message; "gang_message_ignored");
    }

    /// Applies a heartbeat that the roster has processed, and answers it with renewals.
    pub fn on_heartbeat(&self, from: &Name) {
        // Other processes rely on an entry renewing nothing once its departure is on the log.
        if self.leaving.load(Ordering::Relaxed) {
            return;
        }
        let messages = {
            let roster = lock(&self.cx.roster);
            let Some(peer) = roster.peer(from).filter(|p| p.peer.role == Role::Agent) else {
                return;
            };
            lock(&self.table).on_heartbeat(self.cx.now(), peer)
        };
        for AgentMessage { to, message } in messages {
            self.send(&to, message);
        }
    }

    /// Handles the end of a link to a peer.
    pub fn on_peer_down(&self, peer: &Peer) {
        if peer.role == Role::Agent {
            lock(&self.table).on_link_down(self.cx.now(), &peer.name);
        }
    }

    /// Applies a folded record.
    pub fn on_folded(&self, folded: &Folded) {
        let ledger = lock(&self.cx.ledger);
        lock(&self.table).on_folded(self.cx.now(), folded, &ledger);
    }

    /// Handles a record of this process that is not known to be on the log.
    pub fn on_append_failed(&self, id: &Name, error: &AppendError) {
        log::debug!(id:% = id, error:% = error; "record_given_up");
        lock(&self.table).append_failed(self.cx.now(), id);
    }

    /// Performs the actions that are due. Called every 100 ms.
    pub fn tick(&self) {
        if self.leaving.load(Ordering::Relaxed) {
            return;
        }
        let fresh = self.cx.is_fresh();
        let view = {
            let ledger = lock(&self.cx.ledger);
            let roster = lock(&self.cx.roster);
            let me = &self.cx.identity.name;
            TickView::read(self.cx.now(), me, fresh, &ledger, &roster)
        };
        let mut items_to_repeat = Vec::new();
        {
            let mut table = lock(&self.table);
            for action in table.tick(self.cx.now(), &view) {
                self.perform(&mut table, action, &mut items_to_repeat);
            }
        }
        for item in items_to_repeat {
            self.repeat(item);
        }
    }

    /// Accepts a job. With an `id`, the submitter can repeat the call without creating a second
    /// job.
    pub fn submit(&self, id: Option<Name>, spec: JobSpec) -> JobAnswer {
        let job = id.unwrap_or_else(|| self.new_id());
        if let Some(answer) = self.refuse(&job, &spec) {
            if let JobAnswer::NotRun { reason, .. } = &answer {
                log::info!(job:% = job, reason:? = reason; "job_refused");
                self.cx.counters.job_refusal(reason);
            }
            return answer;
        }
        let body = RecordBody::JobAccepted {
            job: job.clone(),
            spec: spec.clone(),
        };
        let answer = self.append(job.clone(), body);
        // Another submitter may have used the name in the meantime.
        match lock(&self.cx.ledger).jobs.live(&job) {
            Some(live) if live.spec != spec => name_taken(),
            _ => answer,
        }
    }

    /// Cancels a job.
    pub fn cancel(&self, job: &JobId) -> JobAnswer {
        let known = {
            let ledger = lock(&self.cx.ledger);
            let cancelled = ledger.jobs.live(job).map(|l| l.cancelled);
            cancelled.or(ledger.jobs.ended(job).map(|_| true))
        };
        match known {
            None => not_run(JobRefusal::UnknownJob, None),
            Some(true) => JobAnswer::Accepted { job: job.clone() },
            Some(false) => {
                let body = RecordBody::JobCancelled { job: job.clone() };
                self.append(job.clone(), body)
            }
        }
    }

    /// Returns the status of a job, if it is known.
    pub fn job(&self, job: &JobId) -> Option<JobStatus> {
        let ledger = lock(&self.cx.ledger);
        if let Some(live) = ledger.jobs.live(job) {
            return Some(status(live));
        }
        let end = ledger.jobs.ended(job)?;
        Some(JobStatus {
            job: job.clone(),
            state: JobState::from(end),
            attempt: 0,
            placements: Vec::new(),
            workspace: None,
            urgency: None,
        })
    }

    /// Returns the live jobs in the order of their acceptance.
    pub fn jobs(&self) -> JobsAnswer {
        let ledger = lock(&self.cx.ledger);
        let mut live: Vec<&LiveJob> = ledger.jobs.all_live().collect();
        live.sort_by_key(|l| l.accepted);
        JobsAnswer {
            jobs: live.into_iter().map(status).collect(),
        }
    }

    /// Stops accepting jobs, renewing gangs and planning. Running gangs continue under the other
    /// entries and the next planner. Has to be called before the entry's departure is written to
    /// the log.
    pub fn stop(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Performs an action while the table is locked, so that no record can be folded before the
    /// planner knows its id. Nothing here blocks.
    fn perform(
        &self,
        table: &mut GangTable,
        action: PlannerAction,
        items_to_repeat: &mut Vec<Item>,
    ) {
        match action {
            PlannerAction::Send(AgentMessage { to, message }) => self.send(&to, message),
            PlannerAction::Append { body, purpose } => {
                let id = self.cx.appender.append(*body);
                table.appended(id, purpose);
            }
            PlannerAction::Repeat(item) => items_to_repeat.push(item),
        }
    }

    /// Appends the current state of `item` again.
    fn repeat(&self, item: Item) {
        let body = {
            let ledger = lock(&self.cx.ledger);
            state_to_repeat(&ledger, &item)
        };
        if let Some(body) = body {
            let mut table = lock(&self.table);
            let id = self.cx.appender.append(RecordBody::RepeatedState(body));
            table.appended(id, Purpose::Repeat(item));
        }
    }

    /// Returns the refusal of a job that must not be written to the log, if any.
    fn refuse(&self, job: &JobId, spec: &JobSpec) -> Option<JobAnswer> {
        if self.leaving.load(Ordering::Relaxed) {
            return Some(not_run(JobRefusal::Leaving, Some(FRESHNESS_RETRY_AFTER_MS)));
        }
        if !is_job_name(job) {
            let rule = "a job's name has up to 128 letters, digits, '.', '_' and '-'";
            return Some(not_run(JobRefusal::Malformed(rule.to_owned()), None));
        }
        if spec.program.len() + spec.workspace.len() > MAX_JOB_TEXT_BYTES {
            let rule = "a job's program and workspace have up to 65,536 bytes";
            return Some(not_run(JobRefusal::Malformed(rule.to_owned()), None));
        }
        if !self.cx.is_fresh() {
            return Some(not_run(
                JobRefusal::NotFresh,
                Some(FRESHNESS_RETRY_AFTER_MS),
            ));
        }
        {
            let ledger = lock(&self.cx.ledger);
            if let Some(live) = ledger.jobs.live(job) {
                let same = live.spec == *spec;
                return Some(if same { accepted(job) } else { name_taken() });
            }
            if ledger.jobs.ended(job).is_some() {
                return Some(accepted(job));
            }
            let version = ledger.history.current();
            if version.workspace(&spec.workspace).is_none() {
                return Some(not_run(JobRefusal::UnknownWorkspace, None));
            }
            if ledger.jobs.all_live().count() >= version.limits.live_jobs as usize {
                return Some(not_run(JobRefusal::TooManyJobs, Some(LIMIT_RETRY_AFTER_MS)));
            }
        }
        let why = lock(&self.table).check_possible(spec).err()?;
        Some(not_run(JobRefusal::Impossible(why), None))
    }

    fn append(&self, job: JobId, body: RecordBody) -> JobAnswer {
        match self.cx.appender.append_and_wait(body, ACCEPT_TIMEOUT) {
            Ok(_) => JobAnswer::Accepted { job },
            Err(AppendError::Refused(_)) => {
                not_run(JobRefusal::LogUnavailable, Some(LOG_RETRY_AFTER_MS))
            }
            Err(AppendError::Uncertain) => JobAnswer::Unknown { job },
        }
    }

    fn new_id(&self) -> JobId {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let Peer {
            name, incarnation, ..
        } = &self.cx.identity;
        format!("{name}-{incarnation:x}-{number}").into()
    }

    fn send(&self, to: &Name, message: GangMessage) {
        // Lost messages are replaced: orders are repeated until they are followed and renewals are
        // sent with the next heartbeat. A gang that does not receive the message that it is broken
        // stops when its lease expires.
        if let Err(error) = self.cx.links.send(to, Message::Gang(message)) {
            log::debug!(to:% = to, error:% = error; "gang_message_not_sent");
        }
    }
}

fn is_job_name(name: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    !name.is_empty() && name.len() <= MAX_JOB_NAME_BYTES && name.chars().all(is_plain)
}

fn status(live: &LiveJob) -> JobStatus {
    JobStatus {
        job: live.job.clone(),
        state: if live.is_placed() {
            JobState::Running
        } else {
            JobState::Waiting
        },
        attempt: live.attempt,
        placements: live.placements.clone(),
        workspace: Some(live.spec.workspace.clone()),
        urgency: Some(live.spec.urgency),
    }
}

fn accepted(job: &JobId) -> JobAnswer {
    JobAnswer::Accepted { job: job.clone() }
}

fn name_taken() -> JobAnswer {
    let rule = "the name is that of another job";
    not_run(JobRefusal::Malformed(rule.to_owned()), None)
}

fn not_run(reason: JobRefusal, retry_after_ms: Option<u64>) -> JobAnswer {
    JobAnswer::NotRun {
        reason,
        retry_after_ms,
    }
}
