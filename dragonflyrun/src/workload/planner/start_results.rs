//! What becomes of the starts that the planner has ordered: which of them have failed, and on which
//! workers.

use std::time::Duration;

use crate::{
    port::{EndKind, StartOutcome},
    utils::{Name, Timestamp},
    workload::{
        FleetWorker, GoneProof, RunId, RunOver, RunOverReason, WorkerRun,
        failed_starts::{Blame, FailedStart},
        planner::{Planner, View},
    },
};

/// Time within which a worker answers a start that its agent has read. Its agent calls it on the same
/// machine and repeats a call without an answer after a quarter of a second.
const MAX_START_TIME: Duration = Duration::from_secs(3);

/// How often that time doubles at most.
const MAX_START_TIME_DOUBLINGS: u32 = 3;

/// The same time as a multiple of the store's usual delay, if that is longer.
const MAX_START_STORE_DELAYS: u32 = 12;

impl Planner {
    /// Records whether a run that is over has failed to start.
    pub(super) fn start_over(&mut self, now: Timestamp, over: &RunOver) {
        let RunOver {
            run,
            worker,
            running_since,
            was_stopping,
            ..
        } = over;
        let failed = |blame| FailedStart {
            worker,
            run,
            ordered_at: over.ordered_at.unwrap_or(now),
            blame,
        };
        match &over.why {
            RunOverReason::Ended(end) => {
                let ordered_at = over.ordered_at;
                match end.kind {
                    EndKind::Stopped => {}
                    // Neither is the task's own fault.
                    EndKind::LeaseExpired | EndKind::Other => {
                        self.failed_starts.add(now, &failed(Blame::Worker));
                    }
                    EndKind::Done
                    | EndKind::Failed
                    | EndKind::GangBroken
                    | EndKind::GangIncomplete => {
                        if let Some(ordered_at) = ordered_at {
                            self.failed_starts.started(worker, run, ordered_at);
                        }
                    }
                }
                if end.kind == EndKind::GangIncomplete {
                    self.blame_missing_members(now, run);
                }
            }
            RunOverReason::Refused(outcome) => {
                self.failed_starts.add(now, &failed(blame_of(*outcome)));
            }
            // The worker is another one now.
            RunOverReason::Gone(GoneProof::Replaced) => {}
            RunOverReason::Gone(_) if running_since.is_some() || *was_stopping => {}
            RunOverReason::Gone(_) => self.failed_starts.add(now, &failed(Blame::Worker)),
        }
    }

    /// Records a failed start for the members of a gang that were not running when another one had
    /// waited for them in vain.
    fn blame_missing_members(&mut self, now: Timestamp, run: &RunId) {
        let leader = run.of_gang(true);
        let is_missing = |(other, state): &(&RunId, &WorkerRun)| {
            state.running_since.is_none() && other.of_gang(true) == leader
        };
        let workers = self.fleet.workers();
        let missing = workers.flat_map(|(name, w)| {
            let runs = w.runs.iter().filter(is_missing);
            runs.map(move |(run, state)| FailedStart {
                worker: name,
                run,
                ordered_at: state.placed_at,
                blame: Blame::Worker,
            })
        });
        for failed in missing {
            self.failed_starts.add(now, &failed);
        }
    }

    /// Records the runs that a worker on which starts have failed executes now.
    pub(super) fn observe_started(&mut self, worker: &Name) {
        if self.failed_starts.is_empty() {
            return;
        }
        let runs = self.fleet.get(worker).into_iter().flat_map(|w| &w.runs);
        let seen = runs.filter(|(_, state)| state.running_since.is_some() && !state.stopping);
        for (run, state) in seen {
            self.failed_starts.started(worker, run, state.placed_at);
        }
    }

    /// Stops the runs whose start has had no answer for so long that none is expected any more. Each time
    /// the next one on the same worker has longer, so that a slow worker is not stopped for ever. None has
    /// so long that the worker would be fenced, which stops everything else on it.
    pub(super) fn stop_unanswered(&mut self, view: &View<'_>) {
        let limit = MAX_START_TIME.max(view.store_delay * MAX_START_STORE_DELAYS);
        let mut unanswered = Vec::new();
        for (name, worker) in self.fleet.workers() {
            let runs = worker.runs.iter();
            let late = runs.filter(|(run, state)| {
                let failed = self.failed_starts.count(name, &run.task.job);
                let limit = limit * (1 << failed.min(MAX_START_TIME_DOUBLINGS));
                let limit = limit.min(self.bounds.lease_expiry);
                is_unanswered(worker, run, state, limit)
            });
            unanswered
                .extend(late.map(|(run, state)| (name.clone(), run.clone(), state.placed_at)));
        }
        for (worker, run, ordered_at) in unanswered {
            let failed = FailedStart {
                worker: &worker,
                run: &run,
                ordered_at,
                blame: Blame::Worker,
            };
            self.failed_starts.add(view.now, &failed);
            self.stop(&worker, &run, "start_unanswered");
        }
    }
}

/// Returns whether the agent has read the start of a run and still lists it as unanswered in a report
/// that arrived `limit` later.
fn is_unanswered(worker: &FleetWorker, run: &RunId, state: &WorkerRun, limit: Duration) -> bool {
    let is_read_in = |orders_seen| state.order_offset.is_some_and(|o| o < orders_seen);
    !state.stopping
        && state.running_since.is_none()
        && worker.reported_at.since(state.stored_since) > limit
        && worker.report.as_ref().is_some_and(|r| {
            !r.unreachable && is_read_in(r.orders_seen) && r.starting.contains(run)
        })
}

fn blame_of(outcome: StartOutcome) -> Blame {
    match outcome {
        StartOutcome::Malformed | StartOutcome::Superseded | StartOutcome::NoTicket => Blame::Task,
        StartOutcome::Started
        | StartOutcome::Fenced
        | StartOutcome::Expired
        | StartOutcome::NoRoom
        | StartOutcome::Unhealthy
        | StartOutcome::OtherLife
        | StartOutcome::Draining => Blame::Worker,
    }
}
