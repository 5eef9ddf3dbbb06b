//! A planner with simulated workers that execute its orders immediately, for tests of single
//! decisions.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::time::Duration;

use dragonflyrun::{
    Timestamp,
    port::{
        Configuration,
        End,
        EndKind,
        Heartbeat,
        Queue,
        RunningTask,
        Service,
        StartOutcome,
        Workspace, //
    },
    utils::{HashSet, Name},
    workload::{
        Attention, Decisions, Job, JobPlan, JobRecord, JobRequest, JobTable, Outcome, Planner,
        PlannerBounds, Report, ReportReads, Resources, RunId, Step, View,
    },
};

/// The Unix time in milliseconds at which every test starts.
pub(crate) const EPOCH_MS: u64 = 1_000_000;

/// A planner and its simulated workers.
pub(crate) struct Harness {
    pub(crate) planner: Planner,
    pub(crate) now_ms: u64,
    pub(crate) configuration: Configuration,
    pub(crate) evacuated: HashSet<Name>,
    pub(crate) is_fresh: bool,
    pub(crate) store_delay: Duration,
    /// The newest report of each worker.
    pub(crate) reports: Vec<Report>,
    /// All jobs that were submitted.
    pub(crate) accepted_records: Vec<JobRecord>,
    /// All plan records that the planner has written.
    pub(crate) written_records: Vec<JobRecord>,
    offset: u64,
}

/// Returns a step of one task with the given number of accelerators.
pub(crate) fn task(accelerators: u64) -> Step {
    Step {
        tasks: 1,
        needs: Resources {
            cpu_millis: 1_000,
            memory_mb: 1_000,
            accelerators,
        },
        estimate_ms: 2_000,
        ..Step::default()
    }
}

pub(crate) fn bounds() -> PlannerBounds {
    PlannerBounds {
        max_silence: Duration::from_secs(3),
        lease_expiry: Duration::from_secs(6),
        keep_ended: Duration::from_secs(120),
        far_factor: 3.0,
        checkpoint_every: Duration::from_secs(2),
        min_close_workers: usize::MAX,
    }
}

/// Returns the state of reads that have not been interrupted since `since`, or fail now.
pub(crate) fn reads_since(since: Option<Timestamp>) -> ReportReads {
    let mut reads = ReportReads::new(1);
    reads.set_readable(since.unwrap_or_default(), 0, since.is_some());
    reads
}

/// Returns the state of reads that have never been interrupted and have just returned everything.
pub(crate) fn complete_reads(now: Timestamp) -> ReportReads {
    let mut reads = reads_since(Some(Timestamp::default()));
    reads.set_complete(now, 0);
    reads
}

impl Harness {
    /// Returns a planner with the given number of workers of 8 accelerators, three per rack.
    pub(crate) fn new(workers: usize) -> Self {
        Self::with_bounds(workers, bounds())
    }

    /// Returns a planner with workers of 8 accelerators in racks of the given size.
    pub(crate) fn with_racks(workers: usize, per_rack: usize) -> Self {
        let mut harness = Self::new(0);
        for i in 0..workers {
            harness.add_worker(&format!("w{i}"), &format!("r{}", i / per_rack));
        }
        harness
    }

    /// Returns a planner with other bounds and the same workers.
    pub(crate) fn with_bounds(workers: usize, bounds: PlannerBounds) -> Self {
        let mut harness = Self {
            planner: Planner::take_over(bounds, &JobTable::default(), Timestamp::default()),
            now_ms: 0,
            configuration: configuration(),
            evacuated: HashSet::default(),
            is_fresh: true,
            store_delay: Duration::ZERO,
            reports: Vec::new(),
            accepted_records: Vec::new(),
            written_records: Vec::new(),
            offset: 10,
        };
        for i in 0..workers {
            harness.add_worker(&format!("w{i}"), &format!("r{}", i / 3));
        }
        harness
    }

    /// Adds a worker and sends its first report.
    pub(crate) fn add_worker(&mut self, name: &str, rack: &str) {
        self.reports.push(Report {
            heartbeat: Heartbeat {
                worker: name.into(),
                born_ms: 1,
                address: format!("{name}:1").into(),
                service: "svc".into(),
                failure_domain: format!("d{}", rack.trim_start_matches('r')).into(),
                draining: false,
                capacity: Resources {
                    cpu_millis: 64_000,
                    memory_mb: 128_000,
                    accelerators: 8,
                },
                labels: vec!["a".into(), rack.into()],
                rack: Some(rack.into()),
                remaining_ms: None,
                sequence: 1,
            },
            session: 1,
            sequence: 1,
            sent_ms: EPOCH_MS,
            orders_seen: 2,
            starting: Vec::new(),
            refused: Vec::new(),
            running: Vec::new(),
            progress: Vec::new(),
            paces: Vec::new(),
            ends: Vec::new(),
            end_totals_ms: Vec::new(),
            closed: false,
            left: false,
            unreachable: false,
            attention: Attention::Close,
            speed: None,
            succession: None,
        });
        self.report(name);
    }

    /// Submits a job of the workspace `w` and returns its name.
    pub(crate) fn submit(&mut self, name: &str, priority: u32, steps: Vec<Step>) -> Name {
        self.submit_as("w", name, priority, steps)
    }

    /// Submits a job of a workspace and returns its name.
    pub(crate) fn submit_as(
        &mut self,
        workspace: &str,
        name: &str,
        priority: u32,
        steps: Vec<Step>,
    ) -> Name {
        let job = self.job(workspace, name, priority, steps);
        let name = job.name.clone();
        let record = JobRecord::Accepted(Box::new(job));
        self.planner.apply_job_record(&record);
        self.accepted_records.push(record);
        name
    }

    /// Returns a job that is accepted now.
    pub(crate) fn job(&self, workspace: &str, name: &str, priority: u32, steps: Vec<Step>) -> Job {
        Job {
            name: name.into(),
            queue: "q".into(),
            service: "svc".into(),
            workspace: Some(workspace.into()),
            priority,
            max_attempts: 3,
            stretch: 3.0,
            target_ms: 1_000,
            accepted_ms: EPOCH_MS + self.now_ms,
            request: JobRequest {
                payload: "text".into(),
                steps,
                occurrences: None,
            },
        }
    }

    /// Replaces the planner by a successor that has just read the stored records and reads all reports.
    pub(crate) fn change_planner(&mut self) {
        self.change_planner_to(self.now_ms);
    }

    /// Replaces the planner by one whose process has read the stored records at `read_at_ms`.
    pub(crate) fn change_planner_to(&mut self, read_at_ms: u64) {
        let mut table = JobTable::default();
        let records = self.accepted_records.iter().chain(&self.written_records);
        for record in records {
            table.fold(Timestamp::from_millis(read_at_ms), record.clone());
        }
        let now = Timestamp::from_millis(self.now_ms);
        self.planner = Planner::take_over(bounds(), &table, now);
        for report in &self.reports {
            let worker = &report.heartbeat.worker;
            self.planner.set_orders_end(worker, self.offset + 1);
        }
        self.report_all();
    }

    /// Runs one pass of the planner and lets the workers execute its orders.
    pub(crate) fn pass(&mut self) -> Decisions {
        let decisions = self.planner.decide(&View {
            now: Timestamp::from_millis(self.now_ms),
            unix_ms: EPOCH_MS + self.now_ms,
            configuration: &self.configuration,
            evacuated: &self.evacuated,
            is_fresh: self.is_fresh,
            report_reads: &complete_reads(Timestamp::from_millis(self.now_ms)),
            store_delay: self.store_delay,
        });
        for record in decisions.plans.iter().filter_map(JobRecord::decode) {
            self.planner.apply_job_record(&record);
            self.written_records.push(record);
        }
        for order in &decisions.orders {
            self.offset += 1;
            self.planner
                .order_stored(Timestamp::from_millis(self.now_ms), order, self.offset);
            let report = self
                .reports
                .iter_mut()
                .find(|r| r.heartbeat.worker == order.worker);
            let Some(report) = report else { continue };
            report.orders_seen = self.offset + 1;
            report.attention = order.order.attention_after().unwrap_or(report.attention);
            report.ends.retain(|e| e.number > order.order.confirmed);
            for start in &order.order.starts {
                report.running.push(RunningTask {
                    run: start.run.clone(),
                    checkpoint: String::new(),
                    percent: 100,
                });
            }
        }
        decisions
    }

    /// Sends a report of every worker.
    pub(crate) fn report_all(&mut self) {
        let names: Vec<Name> = self
            .reports
            .iter()
            .map(|r| r.heartbeat.worker.clone())
            .collect();
        for name in names {
            self.report(&name);
        }
    }

    /// Sends a report of one worker.
    pub(crate) fn report(&mut self, worker: &str) {
        let now = Timestamp::from_millis(self.now_ms);
        let report = self
            .reports
            .iter_mut()
            .find(|r| &*r.heartbeat.worker == worker);
        if let Some(report) = report {
            report.sequence += 1;
            self.planner.apply_report(now, report.clone());
        }
    }

    /// Advances the time. All workers that follow closely report every second, the others every 20 s.
    pub(crate) fn advance(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += (end_ms - self.now_ms).min(1_000);
            let seldom_due = self.now_ms % 20_000 < 1_000;
            let due = self.reports.iter();
            let due = due.filter(|r| seldom_due || r.attention == Attention::Close);
            let due: Vec<Name> = due.map(|r| r.heartbeat.worker.clone()).collect();
            for name in due {
                self.report(&name);
            }
        }
    }

    /// Ends all runs of a job in the given way and sends the reports.
    pub(crate) fn end_runs(&mut self, job: &str, kind: EndKind) {
        let runs: Vec<RunId> = self.running(job).into_iter().map(|(_, run)| run).collect();
        for run in runs {
            self.end_run(&run, kind);
        }
        self.report_all();
    }

    /// Ends one run without sending a report.
    pub(crate) fn end_run(&mut self, run: &RunId, kind: EndKind) {
        for report in &mut self.reports {
            let before = report.running.len();
            report.running.retain(|r| r.run != *run);
            if report.running.len() < before {
                let last = report
                    .ends
                    .last()
                    .map_or(report.sequence * 100, |e| e.number);
                report.ends.push(End {
                    number: last + 1,
                    run: run.clone(),
                    kind,
                    checkpoint: String::new(),
                });
            }
        }
    }

    /// Returns the runs of a job with their workers.
    pub(crate) fn running(&self, job: &str) -> Vec<(Name, RunId)> {
        let reports = self.reports.iter();
        let runs = reports.flat_map(|r| {
            r.running
                .iter()
                .map(move |t| (r.heartbeat.worker.clone(), t.run.clone()))
        });
        runs.filter(|(_, run)| &*run.task.job == job).collect()
    }

    /// Returns the outcome of a job in its newest plan.
    pub(crate) fn outcome(&self, job: &str) -> Option<Outcome> {
        self.plan(job).and_then(|p| p.outcome)
    }

    /// Returns the newest plan of a job.
    pub(crate) fn plan(&self, job: &str) -> Option<&JobPlan> {
        self.written_records
            .iter()
            .rev()
            .find_map(|record| match record {
                JobRecord::Plan(name, Some(plan)) if &**name == job => Some(&**plan),
                _ => None,
            })
    }

    /// Changes a worker's report permanently and sends it.
    pub(crate) fn change_report(&mut self, worker: &str, change: impl FnOnce(&mut Report)) {
        if let Some(report) = self
            .reports
            .iter_mut()
            .find(|r| &*r.heartbeat.worker == worker)
        {
            change(report);
        }
        self.report(worker);
    }

    /// Replaces a running run by a refusal and sends the reports.
    pub(crate) fn refuse_run(&mut self, run: &RunId, outcome: StartOutcome) {
        for report in &mut self.reports {
            if report.running.iter().any(|r| r.run == *run) {
                report.running.retain(|r| r.run != *run);
                report.refused.push((run.clone(), outcome));
            }
        }
        self.report_all();
    }
}

/// Returns the queue of all jobs.
pub(crate) fn queue() -> Queue {
    Queue {
        name: "q".into(),
        host: "host".into(),
        prefix: "/q/".into(),
        service: "svc".into(),
        priority: 1,
        max_attempts: 3,
        stretch: 3.0,
        target: Duration::from_secs(1),
        public: true,
        advice: None,
    }
}

fn configuration() -> Configuration {
    Configuration {
        version: 1,
        queues: vec![queue()],
        services: vec![Service {
            name: "svc".into(),
            rejects_overload: true,
        }],
        workspaces: vec![
            Workspace {
                name: "w".into(),
                keys: Vec::new(),
                guaranteed_accelerators: 0,
            },
            Workspace {
                name: "sure".into(),
                keys: Vec::new(),
                guaranteed_accelerators: 16,
            },
        ],
    }
}
