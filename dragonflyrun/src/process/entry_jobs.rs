//! Jobs at an entry: takes them in, renews gangs, and plans while the entry holds the term.

use std::{
    sync::{
        Arc,
        Mutex,
        atomic::{AtomicBool, Ordering}, //
    },
    time::Duration,
};

use crate::{
    connection::{
        Carried,
        CarriedSection,
        GangMessage,
        MemberReport,
        Message,
        Peer,
        RecordBody,
        Report,
        Role, //
    },
    job::{
        AUTONOMY, ElectionView, Item, JobId, JobRecord, JobSpec, LiveJob, Planner, PlannerAction,
        PlannerView, Purpose, Renewals, WorkerInfo,
    },
    process::{
        AppendError, Context, Folded, JobAnswer, JobRefusal, JobState, JobStatus, JobsAnswer,
        Ledger, PeerState, SILENCE, lock,
    },
    utils::{HashMap, Name, Timestamp},
};

/// How long a submitter waits for its job to be on the log.
const ACCEPT_WAIT: Duration = Duration::from_secs(10);

/// Time after which a job that was refused is worth another attempt.
const RETRY_LOG_MS: u64 = 2_000;
const RETRY_FRESH_MS: u64 = 1_000;
const RETRY_LIMIT_MS: u64 = 5_000;

/// Characters of a job's name, at the most; it is part of the names of leases.
const JOB_NAME: usize = 128;

/// Time between two looks for silent agents.
const LOOK_PERIOD: Duration = Duration::from_millis(500);

/// Time between two ticks that shows that this process was frozen in between. What its peers sent
/// then still waits to be read, so nobody counts as silent until it was.
const FROZEN: Duration = Duration::from_millis(1_000);

/// What was last taken from an agent's state in the roster.
#[derive(Clone, Copy, Debug, Default)]
struct Taken {
    incarnation: u64,
    report_number: u64,
    /// Whether its worker may get work.
    up: bool,
    /// Whether it has been silent for so long that its members count as lost.
    lost: bool,
}

#[derive(Debug, Default)]
struct Heard {
    renewals: Renewals,
    agents: HashMap<Name, Taken>,
    next_look: Timestamp,
    last_tick: Timestamp,
    /// Until when no agent counts as silent.
    grace: Timestamp,
    /// When this entry last knew the latest state of the log.
    fresh_at: Option<Timestamp>,
}

/// The jobs of one entry.
pub struct EntryJobs {
    cx: Arc<Context>,
    heard: Mutex<Heard>,
    planner: Mutex<Planner>,
    leaving: AtomicBool,
    next_id: std::sync::atomic::AtomicU64,
}

/// What changed at an agent.
struct Change {
    incarnation: u64,
    members: Vec<MemberReport>,
    /// Its worker; none while it may get no work.
    worker: Option<WorkerInfo>,
}

impl EntryJobs {
    /// Returns the jobs of an entry that has just started.
    pub fn new(cx: Arc<Context>) -> Self {
        let planner = Planner::new(cx.identity.name.clone(), cx.version());
        Self {
            cx,
            heard: Mutex::default(),
            planner: Mutex::new(planner),
            leaving: AtomicBool::new(false),
            next_id: std::sync::atomic::AtomicU64::new(1),
        }
    }

    /// Takes a message about gangs; agents tell all they have to in their heartbeats.
    pub fn on_message(&self, from: &Name, message: GangMessage) {
        log::debug!(from:% = from, message:? = message; "gang_message_ignored");
    }

    /// Takes note of a heartbeat that the roster has taken, and answers it with renewals.
    pub fn on_heartbeat(&self, from: &Name) {
        let now = self.cx.now();
        let Some((change, confirmed, sent_ms)) = self.read_agent(now, from) else {
            return;
        };
        if let Some(change) = change {
            self.take_change(now, from, change);
        }
        let renewal = {
            let mut heard = lock(&self.heard);
            let may_renew = heard.fresh_at.is_some_and(|at| now.since(at) <= AUTONOMY);
            let renewal = heard.renewals.heard(now, from, confirmed, sent_ms);
            renewal.filter(|_| may_renew)
        };
        if let Some(renewal) = renewal {
            self.send(from, renewal);
        }
    }

    /// Takes note that the link to a peer ended.
    ///
    /// An agent gets no new work from then on. What it runs goes on: the link may come back, and an
    /// agent whose process was replaced may go on with its members.
    pub fn on_peer_down(&self, peer: &Peer) {
        let now = self.cx.now();
        if peer.role == Role::Agent && self.set_down(&peer.name) {
            lock(&self.planner).worker_down(now, &peer.name);
        }
    }

    /// Follows a record that was folded.
    pub fn on_folded(&self, folded: &Folded) {
        let now = self.cx.now();
        let (live, ended, version) = {
            let ledger = lock(&self.cx.ledger);
            let job = job_of(&folded.record.body);
            let live = job.and_then(|j| ledger.jobs.live(j)).cloned();
            let ended = job.and_then(|j| ledger.jobs.ended(j));
            (live, ended, ledger.history.current().clone())
        };
        self.fence(&folded.record.body, live.as_ref());
        let took_over = {
            let mut planner = lock(&self.planner);
            planner.configure(&version);
            planner.on_record(
                now,
                JobRecord {
                    offset: folded.offset,
                    record: &folded.record,
                    live: live.as_ref(),
                    ended,
                },
            )
        };
        if took_over {
            // Each agent's next heartbeat then counts as a change and reaches the planner.
            lock(&self.heard)
                .agents
                .values_mut()
                .for_each(|a| a.report_number = 0);
        }
    }

    /// Takes note that a record of this process is not known to be on the log.
    pub fn on_append_failed(&self, id: &Name, error: &AppendError) {
        log::debug!(id:% = id, error:% = error; "record_given_up");
        lock(&self.planner).append_failed(self.cx.now(), id);
    }

    /// Does what is due; to be called every 100 ms.
    pub fn tick(&self) {
        let now = self.cx.now();
        let fresh = self.cx.is_fresh();
        self.look_for_silence(now, fresh);
        if self.leaving.load(Ordering::Relaxed) {
            return;
        }
        let view = self.view(now, fresh);
        let mut carried = Vec::new();
        {
            let mut planner = lock(&self.planner);
            for action in planner.tick(now, &view) {
                self.follow(&mut planner, action, &mut carried);
            }
        }
        for item in carried {
            self.carry(item);
        }
    }

    /// Takes a job in. `id` lets the submitter ask again without doubling the job.
    pub fn submit(&self, id: Option<Name>, spec: JobSpec) -> JobAnswer {
        let job = id.unwrap_or_else(|| self.new_id());
        if let Some(answer) = self.refuse(&job, &spec) {
            if let JobAnswer::NotRun { reason, .. } = &answer {
                log::info!(job:% = job, reason:? = reason; "job_refused");
                self.cx.counters.event("job_refused");
            }
            return answer;
        }
        let body = RecordBody::JobAccepted {
            job: job.clone(),
            spec: spec.clone(),
        };
        let answer = self.append(job.clone(), body);
        // Somebody else may have taken the name in the meantime.
        match lock(&self.cx.ledger).jobs.live(&job) {
            Some(live) if live.spec != spec => taken(),
            _ => answer,
        }
    }

    /// Asks for the end of a job.
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

    /// Returns what is known of a job.
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

    /// Takes no job from now on and plans no more. Gangs go on under the next planner.
    pub fn stop(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    fn read_agent(
        &self,
        now: Timestamp,
        from: &Name,
    ) -> Option<(Option<Change>, Option<Timestamp>, u64)> {
        let roster = lock(&self.cx.roster);
        let peer = roster.peer(from)?;
        let Some(Report::Agent(report)) = &peer.report else {
            return None;
        };
        let taken = Taken {
            incarnation: peer.peer.incarnation,
            report_number: peer.report_number,
            up: is_up(peer, now),
            lost: false,
        };
        let changed = lock(&self.heard)
            .agents
            .insert(from.clone(), taken)
            .is_none_or(|before| {
                before.incarnation != taken.incarnation
                    || before.report_number != taken.report_number
                    || before.up != taken.up
            });
        let change = changed.then(|| Change {
            incarnation: taken.incarnation,
            members: report.members.clone(),
            worker: taken.up.then(|| WorkerInfo {
                name: from.clone(),
                rack: report.rack.clone(),
                failure_domain: report.failure_domain.clone(),
                accelerators: report.accelerators,
            }),
        });
        Some((change, peer.confirmed, peer.sent_ms))
    }

    fn take_change(&self, now: Timestamp, agent: &Name, change: Change) {
        let actions = {
            let mut planner = lock(&self.planner);
            let knows_worker = change.worker.is_some();
            match change.worker {
                Some(info) => planner.worker_up(now, info),
                None => planner.worker_down(now, agent),
            }
            planner.report(now, agent, &change.members, knows_worker)
        };
        for action in actions {
            if let PlannerAction::Send { to, message } = action {
                self.send(&to, message);
            }
        }
        let incarnation = change.incarnation;
        let notices = lock(&self.heard)
            .renewals
            .report(agent, incarnation, change.members);
        for notice in notices {
            self.send(&notice.to, notice.message);
        }
    }

    fn set_down(&self, agent: &Name) -> bool {
        let mut heard = lock(&self.heard);
        let taken = heard.agents.get_mut(agent);
        taken.is_some_and(|t| std::mem::take(&mut t.up))
    }

    fn agent_lost(&self, now: Timestamp, agent: &Name) {
        log::info!(agent:% = agent; "agent_lost");
        if let Some(taken) = lock(&self.heard).agents.get_mut(agent) {
            taken.up = false;
            taken.lost = true;
        }
        let mut planner = lock(&self.planner);
        planner.worker_down(now, agent);
        planner.worker_lost(now, agent);
    }

    fn look_for_silence(&self, now: Timestamp, fresh: bool) {
        let agents: Vec<Name> = {
            let mut heard = lock(&self.heard);
            if now.since(heard.last_tick) > FROZEN {
                heard.grace = now + SILENCE;
            }
            heard.last_tick = now;
            if fresh {
                heard.fresh_at = Some(now);
            }
            heard.renewals.tick(now);
            if now < heard.next_look || now < heard.grace {
                return;
            }
            heard.next_look = now + LOOK_PERIOD;
            let present = heard.agents.iter().filter(|(_, a)| !a.lost);
            present.map(|(name, _)| name.clone()).collect()
        };
        let silent: Vec<Name> = {
            let roster = lock(&self.cx.roster);
            let is_silent = |p: &PeerState| now.since(p.heard) > SILENCE;
            let lost = |name: &Name| roster.peer(name).is_none_or(is_silent);
            agents.into_iter().filter(lost).collect()
        };
        for agent in silent {
            self.agent_lost(now, &agent);
        }
    }

    fn view(&self, now: Timestamp, fresh: bool) -> PlannerView {
        let (membership, next_offset) = {
            let ledger = lock(&self.cx.ledger);
            (ledger.membership.clone(), ledger.next_offset())
        };
        let me = &self.cx.identity.name;
        let roster = lock(&self.cx.roster);
        let planner = membership.planner().cloned();
        let heard = planner.as_ref().and_then(|p| roster.peer(p));
        let smaller = roster
            .live(now, Role::Entry)
            .filter(|p| p.peer.name < *me)
            .count();
        let folded_by_all = membership
            .entries()
            .keys()
            .filter(|name| *name != me)
            .map(|name| roster.peer(name))
            .filter(|peer| !peer.is_some_and(|p| p.is_leaving() && !p.linked))
            .map(|peer| peer.map_or(0, |p| p.log.next_offset))
            .fold(next_offset, u64::min);
        PlannerView {
            election: ElectionView {
                term: membership.term(),
                planner_heard: heard.is_some_and(|p| p.is_live(now)),
                planner,
                fresh,
                rank: u32::try_from(smaller).unwrap_or(u32::MAX),
            },
            next_offset,
            folded_by_all,
            owners: membership.ring().to_vec(),
        }
    }

    /// Carries out an action while the planner is locked, so that a record can't be folded before
    /// the planner knows its id. None of this waits.
    fn follow(&self, planner: &mut Planner, action: PlannerAction, carried: &mut Vec<Item>) {
        match action {
            PlannerAction::Send { to, message } => self.send(&to, message),
            PlannerAction::Append { body, purpose } => {
                let id = self.cx.appender.append(*body);
                planner.appended(id, purpose);
            }
            PlannerAction::Carry(item) => carried.push(item),
        }
    }

    /// Repeats a state as the ledger has it now.
    fn carry(&self, item: Item) {
        let body = {
            let ledger = lock(&self.cx.ledger);
            carried_body(&ledger, &item)
        };
        if let Some(body) = body {
            let mut planner = lock(&self.planner);
            let id = self.cx.appender.append(RecordBody::Carried(body));
            planner.appended(id, Purpose::Carry(item));
        }
    }

    fn fence(&self, body: &RecordBody, live: Option<&LiveJob>) {
        let mut heard = lock(&self.heard);
        match body {
            RecordBody::JobStopped { job, .. } | RecordBody::JobEnded { job, .. } => {
                heard.renewals.settled(job);
            }
            _ => {
                if let Some(live) = live.filter(|l| l.fenced) {
                    heard.renewals.fence(live.gang());
                }
            }
        }
    }

    /// Returns the answer to a job that is not to be put on the log.
    fn refuse(&self, job: &JobId, spec: &JobSpec) -> Option<JobAnswer> {
        if self.leaving.load(Ordering::Relaxed) {
            return Some(not_run(JobRefusal::Leaving, Some(RETRY_FRESH_MS)));
        }
        if !is_job_name(job) {
            let rule = "a job's name has up to 128 letters, digits, '.', '_' and '-'";
            return Some(not_run(JobRefusal::Malformed(rule.to_owned()), None));
        }
        if !self.cx.is_fresh() {
            return Some(not_run(JobRefusal::NotFresh, Some(RETRY_FRESH_MS)));
        }
        {
            let ledger = lock(&self.cx.ledger);
            if let Some(live) = ledger.jobs.live(job) {
                let same = live.spec == *spec;
                return Some(if same { accepted(job) } else { taken() });
            }
            if ledger.jobs.ended(job).is_some() {
                return Some(accepted(job));
            }
            let version = ledger.history.current();
            if version.workspace(&spec.workspace).is_none() {
                return Some(not_run(JobRefusal::UnknownWorkspace, None));
            }
            if ledger.jobs.all_live().count() >= version.limits.live_jobs as usize {
                return Some(not_run(JobRefusal::TooManyJobs, Some(RETRY_LIMIT_MS)));
            }
        }
        let why = lock(&self.planner).possible(spec).err()?;
        Some(not_run(JobRefusal::Impossible(why), None))
    }

    fn append(&self, job: JobId, body: RecordBody) -> JobAnswer {
        match self.cx.appender.append_and_wait(body, ACCEPT_WAIT) {
            Ok(_) => JobAnswer::Accepted { job },
            Err(AppendError::Refused(_)) => not_run(JobRefusal::LogUnavailable, Some(RETRY_LOG_MS)),
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
        // What is lost here is sent again: orders until they are followed, renewals with the next
        // heartbeat, and a gang that is not told that it is broken stops at the end of its lease.
        if let Err(error) = self.cx.links.send(to, Message::Gang(message)) {
            log::debug!(to:% = to, error:% = error; "gang_message_not_sent");
        }
    }
}

fn is_up(peer: &PeerState, now: Timestamp) -> bool {
    let has_worker = match &peer.report {
        Some(Report::Agent(report)) => report.accelerators > 0,
        _ => false,
    };
    has_worker && peer.is_live(now)
}

fn is_job_name(name: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    !name.is_empty() && name.len() <= JOB_NAME && name.chars().all(is_plain)
}

fn job_of(body: &RecordBody) -> Option<&JobId> {
    match body {
        RecordBody::JobAccepted { job, .. }
        | RecordBody::JobStarted { job, .. }
        | RecordBody::JobStopped { job, .. }
        | RecordBody::JobFenced { job, .. }
        | RecordBody::JobEnded { job, .. }
        | RecordBody::JobCancelled { job } => Some(job),
        RecordBody::Carried(Carried::Job { job, .. }) => Some(&job.job),
        _ => None,
    }
}

fn carried_body(ledger: &Ledger, item: &Item) -> Option<Carried> {
    let term = ledger.membership.term();
    match item {
        Item::Membership => ledger.membership.carried(),
        Item::Configuration => {
            let version = ledger.history.current();
            let sections = ledger.history.sections().iter();
            Some(Carried::Configuration {
                term,
                version: version.offset,
                sections: sections
                    .map(|(section, version)| CarriedSection {
                        section: section.clone(),
                        version: *version,
                    })
                    .collect(),
                document: version.document.clone(),
            })
        }
        Item::Job(job) => ledger.jobs.live(job).map(|live| Carried::Job {
            term,
            job: Box::new(live.clone()),
        }),
    }
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

fn taken() -> JobAnswer {
    let rule = "the name is that of another job";
    not_run(JobRefusal::Malformed(rule.to_owned()), None)
}

fn not_run(reason: JobRefusal, retry_after_ms: Option<u64>) -> JobAnswer {
    JobAnswer::NotRun {
        reason,
        retry_after_ms,
    }
}
