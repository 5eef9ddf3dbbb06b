//! Consequences of a run that is over: the ends of tasks, gangs and jobs, and stops of runs that
//! are no longer wanted.

use std::time::Duration;

use crate::{
    port::{EndKind, StartOutcome},
    utils::{Name, Timestamp},
    workload::{
        Outcome, RunId, RunOver, RunOverReason,
        planner::{Planner, View},
        recent_failures::Failure,
        speed_samples::TimedRun,
    },
};

/// Time after a completed gang's first reported end in which the other members report theirs.
const GANG_END_REPORTS: Duration = Duration::from_secs(2);

impl Planner {
    /// Applies the end of a run to its task and its job.
    pub(super) fn run_over(&mut self, now: Timestamp, over: RunOver) {
        self.start_over(now, &over);
        let RunOver {
            run,
            worker,
            why,
            checkpoint,
            running_since,
            full_run_since,
            ..
        } = over;
        let Some(live) = self.jobs.get(&run.task.job) else {
            log::warn!(run:% = run, worker:% = worker, why:? = why; "run_over_of_unknown_job");
            return;
        };
        let Some(number) = live.job.task_number(&run.task) else {
            log::warn!(run:% = run, worker:% = worker, why:? = why; "run_over_of_unknown_task");
            return;
        };
        log::info!(
            job:% = run.task.job, run:% = run, worker:% = worker, why:% = reason_label(&why),
            proof:? = match &why {
                RunOverReason::Gone(proof) => Some(proof),
                _ => None,
            },
            ran_ms = running_since.map_or(0, |s| now.since(s).as_millis() as u64);
            "run_over"
        );
        if let (RunOverReason::Ended(end), Some(since)) = (&why, full_run_since)
            && end.kind == EndKind::Done
            && let Some(timed) = TimedRun::of(&self.fleet, &self.jobs, &worker, &run)
        {
            let took_ms = now.since(since).as_millis() as f64;
            let speeds = self.run_times.speeds_mut();
            self.samples.observe_done(speeds, &timed, took_ms);
        }
        let Some(live) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        self.changed.insert(run.task.job.clone());
        let step = run.task.step;
        let shape = &live.job.request.steps[step as usize];
        let has_run = running_since.is_some();
        self.job_waits
            .run_over(&run, shape.gang, &worker, &why, has_run);
        let numbers = live.job.task_numbers(run.task.occurrence, step);
        let leader = if shape.gang { numbers.start } else { number };
        let task = live.plan.tasks.entry(number).or_default();
        let current = task.run == run.number;
        let is_here = task.place.as_ref().is_some_and(|p| p.worker == worker);
        if current && is_here {
            task.place = None;
        }
        if current && !checkpoint.is_empty() {
            task.checkpoint.clone_from(&checkpoint);
            if shape.gang {
                for member in numbers.clone() {
                    live.plan
                        .tasks
                        .entry(member)
                        .or_default()
                        .checkpoint
                        .clone_from(&checkpoint);
                }
            }
        }
        let RunOverReason::Ended(end) = why else {
            if matches!(why, RunOverReason::Refused(StartOutcome::NoTicket)) {
                let task = &run.task;
                let tickets = self.tickets.get_mut();
                tickets.drop_ticket(&task.job, task.occurrence, task.step, &worker);
            }
            return;
        };
        let job = &run.task.job;
        if end.kind == EndKind::Done {
            self.failures.task_done(job);
            if let Some(known) = self.fleet.get_mut(&worker) {
                known.failures = 0;
            }
        }
        match end.kind {
            EndKind::Done if shape.lasting => {}
            EndKind::Done => {
                let done = if shape.gang {
                    numbers
                } else {
                    number..number + 1
                };
                for member in done {
                    live.plan.tasks.entry(member).or_default().done = true;
                }
                if let Some(placed_at) = full_run_since {
                    let took_ms = now.since(placed_at).as_millis() as f64;
                    let caller_estimate_ms = shape.estimate_ms;
                    self.run_times
                        .learn(&live.job.queue, &worker, caller_estimate_ms, took_ms);
                }
            }
            EndKind::Failed => {
                let counted = live.plan.tasks.entry(leader).or_default();
                if counted.failed_run < run.number {
                    counted.failed_run = run.number;
                    counted.failed += 1;
                }
                live.failed_at = Some(now);
                live.record_failed_on(&worker);
                // Limited attempts bound what a job that fails everywhere can cost, and faulty workers have
                // to be found also where a gang fails on several of them.
                let blames_worker =
                    live.limits_attempts() || self.failures.blames_worker(&worker, job);
                let consecutive = self.fleet.get_mut(&worker).map_or(1, |known| {
                    known.failures += u32::from(blames_worker);
                    known.failures
                });
                let ran = running_since.map_or(Duration::ZERO, |since| now.since(since));
                log::info!(
                    job:% = job, run:% = run, worker:% = worker, blames_worker, consecutive,
                    ran_ms = ran.as_millis() as u64;
                    "run_failed"
                );
                self.failures.add(Failure {
                    at: now,
                    job: job.clone(),
                    worker,
                    ran,
                    consecutive,
                    blames_worker,
                    is_job_proven: false,
                });
            }
            EndKind::Stopped
            | EndKind::LeaseExpired
            | EndKind::GangBroken
            | EndKind::GangIncomplete
            | EndKind::Other => {}
        }
    }

    /// Ends the jobs that are complete, failed or cancelled, and stops runs that are no longer
    /// wanted.
    pub(super) fn finish_jobs(&mut self, view: &View<'_>) {
        for (name, live) in &mut self.jobs {
            if live.plan.outcome.is_none() {
                let outcome = live.outcome();
                if let Some(outcome) = outcome {
                    let last = live.job.request.repeats().saturating_sub(1);
                    let objective_ms = live.objective_ms(&self.run_times, last);
                    let in_time = match outcome {
                        Outcome::Completed => view.unix_ms <= objective_ms,
                        Outcome::Failed => false,
                        // Nobody waits for the result any more.
                        Outcome::Cancelled => true,
                    };
                    let in_vain = self.eviction_records.job_ended(name, in_time);
                    if in_vain > 0 {
                        log::info!(
                            job:% = name, evictions = in_vain, objective_ms,
                            late_ms = view.unix_ms.saturating_sub(objective_ms);
                            "eviction_in_vain"
                        );
                    }
                    live.plan.end(outcome, view.unix_ms.max(1));
                    live.ended_at = Some(view.now);
                    self.changed.insert(name.clone());
                    log::info!(
                        job:% = name, outcome:? = outcome,
                        took_ms = view.unix_ms.saturating_sub(live.job.accepted_ms);
                        "job_ended"
                    );
                }
            }
        }
        self.stop_unwanted(view);
    }

    /// Orders stops of all runs that aren't part of any plan.
    fn stop_unwanted(&mut self, view: &View<'_>) {
        let mut stops = Vec::new();
        for (name, worker) in self.fleet.workers() {
            for (run, state) in &worker.runs {
                // A run whose start order isn't stored yet is stopped once it is.
                if !state.stopping
                    && state.order_offset.is_some()
                    && !self.is_wanted(view, name, run)
                {
                    stops.push((name.clone(), run.clone()));
                }
            }
        }
        for (worker, run) in stops {
            self.stop(&worker, &run, "not_wanted");
        }
    }

    pub(super) fn stop(&mut self, worker: &Name, run: &RunId, why: &str) {
        let known = self.fleet.get_mut(worker);
        let state = known.and_then(|w| w.runs.get_mut(run));
        if let Some(state) = state.filter(|s| !s.stopping) {
            state.stopping = true;
            self.orders
                .entry(worker.clone())
                .or_default()
                .stops
                .push(run.clone());
            log::info!(job:% = run.task.job, run:% = run, worker:% = worker, why; "run_stopped");
        }
    }

    fn is_wanted(&self, view: &View<'_>, worker: &Name, run: &RunId) -> bool {
        let Some(live) = self.jobs.get(&run.task.job) else {
            return false;
        };
        match live.plan.outcome {
            // The members of a gang end together, so the ends of the others will be reported soon.
            Some(Outcome::Completed) => {
                let ended_at = live.ended_at.unwrap_or(view.now);
                return view.now.since(ended_at) < GANG_END_REPORTS;
            }
            Some(Outcome::Failed | Outcome::Cancelled) => return false,
            None => {}
        }
        let Some(number) = live.job.task_number(&run.task) else {
            return false;
        };
        let Some(task) = live.plan.tasks.get(&number) else {
            return false;
        };
        let is_here = task.place.as_ref().is_some_and(|p| p.worker == *worker);
        if !(is_here && task.run == run.number) {
            return false;
        }
        let shape = &live.job.request.steps[run.task.step as usize];
        if !shape.gang {
            return !task.done;
        }
        // A gang can't complete once one of its members is over.
        let mut members = live.job.task_numbers(run.task.occurrence, run.task.step);
        let whole = members.all(|m| {
            let member = live.plan.tasks.get(&m);
            member.is_some_and(|t| t.run == run.number && t.place.is_some())
        });
        whole || task.done
    }
}

fn reason_label(why: &RunOverReason) -> String {
    match why {
        RunOverReason::Ended(end) => format!("{:?}", end.kind),
        RunOverReason::Refused(outcome) => format!("refused:{outcome:?}"),
        RunOverReason::Gone(_) => "gone".to_owned(),
    }
}
