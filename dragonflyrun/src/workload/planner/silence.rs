//! Agents that are silent: which of them are lost, and which reports are only late.
//!
//! On a slow store the reports of all agents are late, and closing their sessions would stop all
//! running work. Where it can't be told apart from the loss of many hosts, agents that follow seldom
//! are asked for a report.

use std::time::Duration;

use crate::{
    utils::{HashMap, Name},
    workload::{
        Contact, FleetWorker, SessionState,
        attention::MAX_SELDOM_SILENCE,
        planner::{Planner, View},
    },
};

/// An agent is silent if its last report is older than this multiple of the median age of all
/// agents' last reports.
const SILENCE_RATIO: u32 = 4;

/// Number of agents that have not answered from which on their whole failure domain may be lost.
const DOUBTFUL_DOMAIN_AGENTS: usize = 3;

impl Planner {
    /// Closes the sessions of agents that are lost, by their silence.
    pub(super) fn fence_silent_agents(&mut self, view: &View<'_>) {
        self.ask_about_silence(view);
        let allowed = self.allowed_silence(view);
        let allowed_for = |w: &FleetWorker| match w.is_followed_closely() {
            true => allowed,
            false => MAX_SELDOM_SILENCE,
        };
        // Whether the agent is lost, or its worker, by signs that have lasted for `grace` beyond their
        // limits.
        let is_lost = |name: &Name, w: &FleetWorker, grace: Duration| {
            let Some(reports_since) = view.report_reads.since(name) else {
                return false;
            };
            let silence = view.now.since(w.reported_at.max(reports_since));
            // A worker that its agent can't reach may still run tasks under its last lease.
            let unreachable = w
                .unreachable_since
                .is_some_and(|s| view.now.since(s) > self.bounds.max_silence + grace);
            // An agent that reads no orders extends no lease. Its session is closed once all of its
            // leases must have expired. By then an agent that reads them has turned a start without
            // an answer into a stop, and a worker that hasn't carried out a stop may never do so.
            let without_effect = w
                .order_without_effect_since()
                .map(|s| view.now.since(s.max(reports_since)));
            let is_stuck =
                without_effect.is_some_and(|u| u > allowed + self.bounds.lease_expiry + grace);
            silence > allowed_for(w) + grace || unreachable || is_stuck
        };
        let lost = |grace: Duration| -> Vec<Name> {
            let open = self.fleet.workers();
            let open = open.filter(|(_, w)| w.session_state == SessionState::Open);
            let lost = open.filter(|(name, w)| is_lost(name, w, grace));
            lost.map(|(name, _)| name.clone()).collect()
        };
        let mut silent = lost(Duration::ZERO);
        let close = self.fleet.workers().filter(|(_, w)| is_open_and_close(w));
        let close = close.count();
        // Nothing is known of the agents whose reports can't be read.
        let unread = close - self.close_silences(view).len();
        let all_silent = unread == 0 && self.all_silent(view);
        if (silent.len() + unread) * 2 > close && !all_silent {
            // More than half of the agents rarely fail at once; more likely the store is slow.
            // Closing their sessions would stop all running work. An agent that stays lost for the
            // lease expiry time beyond the limit is still fenced.
            silent = lost(self.bounds.lease_expiry);
        }
        for name in silent {
            if let Some(worker) = self.fleet.get_mut(&name) {
                worker.session_state = SessionState::FenceOrdered;
                log::warn!(
                    worker:% = name, session = worker.session, runs = worker.runs.len(),
                    silent_ms = view.now.since(worker.reported_at).as_millis() as u64,
                    unread_ms = worker.unread_order_since().map(|s| view.now.since(s).as_millis() as u64),
                    without_effect_ms = worker.order_without_effect_since().map(|s| view.now.since(s).as_millis() as u64),
                    most_ms = allowed.as_millis() as u64;
                    "worker_silent"
                );
                self.orders.entry(name).or_default().fence = true;
            }
        }
    }

    /// Asks agents that follow seldom for a report while most of those that follow closely are late.
    ///
    /// The answers tell whether the store delays all reports, or whether the late agents are lost:
    /// most of the busy ones may be in one failure domain, and then they are no sign of a slow store.
    fn ask_about_silence(&mut self, view: &View<'_>) {
        let (mut late, mut on_time) = (0_usize, 0_usize);
        let open = |w: &FleetWorker| w.session_state == SessionState::Open;
        for (name, worker) in self.fleet.workers().filter(|(_, w)| open(w)) {
            let Some(silence) = silence(view, name, worker) else {
                continue;
            };
            match worker.contact {
                Contact::Close if silence > self.bounds.max_silence / 2 => late += 1,
                Contact::Close => on_time += 1,
                // An answer that is not overdue is expected to come.
                Contact::Asked(_) if !worker.contact.is_overdue(view.now, view.store_delay) => {
                    on_time += 1;
                }
                Contact::Asked(_) | Contact::Seldom => {}
            }
        }
        let missing = late.saturating_sub(on_time);
        if missing == 0 {
            return;
        }
        let seldom = self.fleet.workers();
        let seldom = seldom.filter(|(_, w)| w.contact == Contact::Seldom && open(w));
        let seldom: Vec<Name> = seldom.map(|(name, _)| name.clone()).collect();
        // Spread over the whole pool.
        let step = (seldom.len() / missing).max(1);
        for worker in seldom.into_iter().step_by(step) {
            self.ask(view.now, worker);
        }
    }

    /// Asks all agents of the failure domains in which several have not answered.
    ///
    /// Work would otherwise be placed on the idle workers of a lost failure domain, a few at a time,
    /// and wait for the answers of each of them.
    pub(super) fn ask_doubtful_domains(&mut self, view: &View<'_>) {
        let mut unanswered: HashMap<&Name, usize> = HashMap::default();
        for (_, worker) in self.fleet.workers() {
            let is_open = worker.session_state == SessionState::Open;
            if is_open
                && worker.contact.is_overdue(view.now, view.store_delay)
                && let Some(domain) = worker.failure_domain()
            {
                *unanswered.entry(domain).or_default() += 1;
            }
        }
        unanswered.retain(|_, count| *count >= DOUBTFUL_DOMAIN_AGENTS);
        if unanswered.is_empty() {
            return;
        }
        let in_doubt = self.fleet.workers().filter(|(_, w)| {
            let domain = w.failure_domain();
            w.contact == Contact::Seldom && domain.is_some_and(|d| unanswered.contains_key(d))
        });
        let in_doubt: Vec<Name> = in_doubt.map(|(name, _)| name.clone()).collect();
        for worker in in_doubt {
            self.ask(view.now, worker);
        }
    }

    /// Returns the silence up to which an agent is taken to be alive. It grows with the silence of
    /// the other agents, up to twice the configured limit.
    ///
    /// On a slow store the reports of all agents are delayed. With the limit for a fast store, the
    /// sessions of live agents would be closed one by one and all runs on their workers stopped.
    fn allowed_silence(&self, view: &View<'_>) -> Duration {
        let mut silences = self.close_silences(view);
        let silence = self.bounds.max_silence;
        let Some(last) = silences.len().checked_sub(1) else {
            return silence;
        };
        let (_, median, _) = silences.select_nth_unstable(last / 2);
        (*median * SILENCE_RATIO).clamp(silence, silence * 2)
    }

    /// Returns the silences of the agents that follow closely and whose reports can be read.
    fn close_silences(&self, view: &View<'_>) -> Vec<Duration> {
        let close = self.fleet.workers().filter(|(_, w)| is_open_and_close(w));
        close
            .filter_map(|(name, w)| silence(view, name, w))
            .collect()
    }

    /// Returns whether all agents whose reports can be read have been silent for more than twice the
    /// limit.
    fn all_silent(&self, view: &View<'_>) -> bool {
        let workers = self.fleet.workers();
        let silences = workers.filter_map(|(name, w)| silence(view, name, w));
        silences.min() > Some(self.bounds.max_silence * 2)
    }
}

/// Returns for how long an agent has been silent; `None` while its reports can't be read.
fn silence(view: &View<'_>, name: &Name, worker: &FleetWorker) -> Option<Duration> {
    let reports_since = view.report_reads.since(name)?;
    Some(view.now.since(worker.reported_at.max(reports_since)))
}

/// Returns whether the silence of a worker's agent says something about the store or the agent.
fn is_open_and_close(worker: &FleetWorker) -> bool {
    worker.session_state == SessionState::Open && worker.is_followed_closely()
}
