//! A planner of the model, which may go on acting long after it has been replaced.

use std::{collections::VecDeque, time::Duration};

use dragonflyrun::{
    Timestamp,
    port::Configuration,
    utils::HashSet,
    workload::{JobRecord, JobTable, Planner, PlannerBounds, ReportReads, View, WorkerOrder},
};
use rand::Rng;

use super::{
    LEASE_MS, World, planners_mut,
    store::{MAX_LATE_APPEND_MS, ModelStore, Write},
};

/// Silence in milliseconds after which an agent's session is closed.
pub(crate) const MAX_SILENCE_MS: u64 = 1_000;

/// Milliseconds from the storing of a fence to the expiry of the last lease.
pub(crate) const LEASE_EXPIRY_MS: u64 = LEASE_MS + LEASE_MS * 3 / 100;

/// Longest time in milliseconds for which a planner pauses.
pub(crate) const MAX_PAUSE_MS: u64 = 4_000;

/// A planner with the writes that it has not finished.
pub(crate) struct ModelPlanner {
    planner: Planner,
    term: u64,
    jobs_read: usize,
    /// The number of reports read, `None` before the newest ones of all workers are.
    reports_read: Option<usize>,
    writes: VecDeque<(u64, Write)>,
    next_write: u64,
    retry_at: u64,
    next_step_at: u64,
    report_reads: ReportReads,
    is_replaced: bool,
}

impl ModelPlanner {
    /// Returns a planner that has just won the next term.
    pub(crate) fn take_over(world: &mut World) -> Self {
        world.store.term += 1;
        let mut job_table = JobTable::default();
        for record in &world.store.jobs {
            job_table.fold(Timestamp::from_millis(world.now), record.clone());
        }
        let bounds = PlannerBounds {
            max_silence: Duration::from_millis(MAX_SILENCE_MS),
            lease_expiry: Duration::from_millis(LEASE_EXPIRY_MS),
            keep_ended: Duration::from_secs(10_000),
            far_factor: 3.0,
            checkpoint_every: Duration::from_secs(2),
            min_close_workers: world.min_close_workers,
        };
        let planner = Planner::take_over(bounds, &job_table, Timestamp::from_millis(world.now));
        let workers = planner.fleet().workers().map(|(name, _)| name.to_string());
        let fences = workers.map(Write::Fence);
        let writes: VecDeque<_> = (0_u64..).zip(fences).collect();
        Self {
            next_write: writes.len() as u64,
            planner,
            term: world.store.term,
            jobs_read: world.store.jobs.len(),
            reports_read: None,
            writes,
            retry_at: 0,
            next_step_at: world.now,
            report_reads: ReportReads::new(1),
            is_replaced: false,
        }
    }

    /// Returns whether the planner holds the newest term.
    pub(crate) fn holds_term(&self, store: &ModelStore) -> bool {
        !self.is_replaced && self.term == store.term
    }
}

/// Makes all planners read the newest reports again, as after a gap in what the store has kept. If they
/// can't read any before `readable_from`, the silence until then says nothing.
pub(crate) fn read_again(world: &mut World, readable_from: Option<u64>) {
    for planner in planners_mut(world) {
        planner.reports_read = None;
        if let Some(from) = readable_from {
            let reads = &mut planner.report_reads;
            reads.set_readable(Timestamp::from_millis(from), 0, false);
            reads.set_readable(Timestamp::from_millis(from), 0, true);
        }
    }
}

/// Ends all planners. The store may still execute their newest writes.
pub(crate) fn end_all(world: &mut World) {
    for mut planner in std::mem::take(planners_mut(world)) {
        if let Some((id, write)) = planner.writes.pop_front()
            && world.rng.random_bool(0.5)
        {
            let at = world.now + world.rng.random_range(0..MAX_LATE_APPEND_MS);
            world.store.write_late(at, planner.term, id, write);
        }
    }
}

/// Lets all planners act, including replaced ones that have not noticed yet.
pub(crate) fn step_all(world: &mut World) {
    let mut planners = std::mem::take(planners_mut(world));
    for planner in &mut planners {
        step(world, planner);
    }
    planners.retain(|p| !p.is_replaced);
    let newer = std::mem::replace(planners_mut(world), planners);
    planners_mut(world).extend(newer);
}

fn step(world: &mut World, planner: &mut ModelPlanner) {
    let now = world.now;
    if now < planner.next_step_at || world.outages.is_store_cut(now) {
        return;
    }
    // Occasionally a planner is delayed for up to 4 s and then continues as if nothing had
    // happened.
    let pause = if world.rng.random_range(0..400) == 0 {
        MAX_PAUSE_MS
    } else {
        40
    };
    planner.next_step_at = now + world.rng.random_range(10..=pause);
    if let Some((id, write)) = planner.writes.front().cloned() {
        execute_write(world, planner, id, write);
        return;
    }
    read(world, planner);
    if planner.reports_read.is_none() {
        return;
    }
    let configuration = Configuration {
        version: 1,
        ..Configuration::default()
    };
    let decisions = planner.planner.decide(&View {
        now: Timestamp::from_millis(now),
        unix_ms: now,
        configuration: &configuration,
        evacuated: &HashSet::default(),
        is_fresh: true,
        report_reads: &planner.report_reads,
        store_delay: Duration::ZERO,
    });
    let plans: Vec<JobRecord> = decisions
        .plans
        .iter()
        .filter_map(JobRecord::decode)
        .collect();
    if !plans.is_empty() {
        queue_write(planner, Write::Plans(plans));
    }
    for order in decisions.orders {
        queue_write(planner, Write::Order(order));
    }
}

fn queue_write(planner: &mut ModelPlanner, write: Write) {
    planner.writes.push_back((planner.next_write, write));
    planner.next_write += 1;
}

fn read(world: &mut World, planner: &mut ModelPlanner) {
    for record in &world.store.jobs[planner.jobs_read..] {
        planner.planner.apply_job_record(record);
    }
    planner.jobs_read = world.store.jobs.len();
    let now = Timestamp::from_millis(world.now);
    let is_readable = !world.outages.are_reports_cut(world.now);
    planner.report_reads.set_readable(now, 0, is_readable);
    if !is_readable {
        return;
    }
    planner.report_reads.set_complete(now, 0);
    if let Some(read) = planner.reports_read {
        for report in &world.store.reports[read..] {
            planner.planner.apply_report(now, report.clone());
        }
    } else {
        for report in world.store.newest_reports.values() {
            let report = report.clone();
            planner.planner.apply_stored_report(now, world.now, report);
        }
    }
    planner.reports_read = Some(world.store.reports.len());
}

fn execute_write(world: &mut World, planner: &mut ModelPlanner, id: u64, write: Write) {
    if world.now < planner.retry_at {
        return;
    }
    let (late, lost) = (
        world.fault_rates.late_appends,
        world.fault_rates.lost_answers,
    );
    if world.happens(late) {
        let at = world.now + world.rng.random_range(1_000..MAX_LATE_APPEND_MS);
        world.store.write_late(at, planner.term, id, write);
        planner.retry_at = world.now + 800;
        return;
    }
    let Some(offset) = world.store.write(planner.term, id, &write) else {
        planner.is_replaced = true;
        return;
    };
    if world.happens(lost) {
        planner.retry_at = world.now + 800;
        return;
    }
    planner.writes.pop_front();
    write_answered(world, planner, &write, offset);
}

fn write_answered(world: &World, planner: &mut ModelPlanner, write: &Write, offset: u64) {
    let now = Timestamp::from_millis(world.now);
    match write {
        Write::Plans(_) => {}
        Write::Order(order) => {
            let order: &WorkerOrder = order;
            planner.planner.order_stored(now, order, offset);
        }
        Write::Fence(worker) => planner.planner.set_orders_end(worker, offset),
    }
}
