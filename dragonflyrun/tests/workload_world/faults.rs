//! Rare faults of the model: losses of power at all hosts, hosts that are lost for good, workers that
//! refuse every start or answer no call, agents that restart again and again, are away or read no
//! orders, planners that read old reports, and a store that nobody reaches, wholly or for reports.

use dragonflyrun::port::StartOutcome;
use rand::{Rng, seq::IndexedRandom};

use super::{World, agent, planner, worker};

/// Jobs that are submitted just before a loss of power.
const LAST_JOBS: u32 = 3;

/// Milliseconds from their submission to the loss of power.
const LAST_JOBS_MS: u64 = 300;

/// Share of the workers, one in so many, that may refuse every start at the same time, and of the
/// hosts that may be lost.
const FAULTY_SHARE: usize = 4;

/// Mean milliseconds between two restarts of an agent that restarts again and again.
const FLAP_INTERVAL_MS: u64 = 1_000;

/// The ways in which a start is refused.
const REFUSALS: [StartOutcome; 9] = [
    StartOutcome::Fenced,
    StartOutcome::Superseded,
    StartOutcome::Expired,
    StartOutcome::NoRoom,
    StartOutcome::NoTicket,
    StartOutcome::Malformed,
    StartOutcome::Unhealthy,
    StartOutcome::OtherLife,
    StartOutcome::Draining,
];

/// The rare faults that last.
#[derive(Debug)]
pub(crate) struct Outages {
    /// When all hosts lose power, if jobs have been submitted just before.
    power_loss_at: Option<u64>,
    no_planner_until: u64,
    store_cut_until: u64,
    /// The time until which reports can neither be stored nor read.
    reports_cut_until: u64,
    /// The time until which each agent restarts again and again.
    flapping_until: Vec<u64>,
    /// The time until which each worker answers no call.
    hung_until: Vec<u64>,
    /// The time until which each agent's reads of orders get no answer.
    reads_lost_until: Vec<u64>,
    /// Whether each host is lost for good.
    lost: Vec<bool>,
}

impl Outages {
    /// Returns the state of so many hosts without any fault.
    pub(crate) fn new(hosts: usize) -> Self {
        Self {
            power_loss_at: None,
            no_planner_until: 0,
            store_cut_until: 0,
            reports_cut_until: 0,
            flapping_until: vec![0; hosts],
            hung_until: vec![0; hosts],
            reads_lost_until: vec![0; hosts],
            lost: vec![false; hosts],
        }
    }

    /// Returns whether a planner can claim a term.
    pub(crate) fn may_claim(&self, now: u64) -> bool {
        now >= self.no_planner_until.max(self.store_cut_until)
    }

    /// Returns whether nobody reaches the store.
    pub(crate) fn is_store_cut(&self, now: u64) -> bool {
        now < self.store_cut_until
    }

    /// Returns whether reports can neither be stored nor read.
    pub(crate) fn are_reports_cut(&self, now: u64) -> bool {
        now < self.reports_cut_until.max(self.store_cut_until)
    }

    /// Returns whether a worker answers no call.
    pub(crate) fn is_hung(&self, now: u64, i: usize) -> bool {
        now < self.hung_until[i]
    }

    /// Returns whether an agent's reads of orders get no answer.
    pub(crate) fn loses_reads(&self, now: u64, i: usize) -> bool {
        now < self.reads_lost_until[i]
    }

    /// Returns whether a fault keeps a worker from running tasks: it answers no call, or its agent
    /// restarts again and again or reads no orders.
    pub(crate) fn is_faulty(&self, now: u64, i: usize) -> bool {
        now < self.flapping_until[i] || self.is_hung(now, i) || self.loses_reads(now, i)
    }
}

/// Injects the rare faults of this step.
pub(crate) fn inject_rare(world: &mut World) {
    let rare = world.fault_rates.rare;
    if world.outages.power_loss_at.is_none() && world.happens_every(rare.power_losses) {
        for _ in 0..LAST_JOBS {
            world.submit();
        }
        world.outages.power_loss_at = Some(world.now + LAST_JOBS_MS);
    }
    if world
        .outages
        .power_loss_at
        .is_some_and(|at| at <= world.now)
    {
        world.outages.power_loss_at = None;
        lose_power(world);
    }
    if world.happens_every(rare.lost_hosts) {
        let i = world.rng.random_range(0..world.workers.len());
        lose_host(world, i);
    }
    if world.happens_every(rare.refusals) {
        let i = world.rng.random_range(0..world.workers.len());
        refuse_starts(world, i);
    }
    if world.happens_every(rare.flaps) {
        let i = world.rng.random_range(0..world.workers.len());
        world.outages.flapping_until[i] = world.now + world.rng.random_range(5_000..30_000);
    }
    if world.happens_every(rare.hung_workers) {
        let until = world.now + world.rng.random_range(5_000..60_000);
        for i in neighbors(world) {
            world.outages.hung_until[i] = until;
        }
    }
    if world.happens_every(rare.lost_reads) {
        // An agent that reads no orders is found out only by an order that it doesn't read.
        let i = world.rng.random_range(0..world.workers.len());
        world.outages.reads_lost_until[i] = world.now + world.rng.random_range(5_000..20_000);
    }
    if world.happens_every(rare.store_cuts) {
        cut_store(world);
    }
    if world.happens_every(rare.rereads) {
        planner::read_again(world, None);
    }
    if world.happens_every(rare.absences) {
        let i = world.rng.random_range(0..world.workers.len());
        let away_ms = planner::MAX_SILENCE_MS + world.rng.random_range(100..1_000);
        agent::restart(world, i, away_ms);
    }
    if world.happens_every(rare.report_cuts) {
        let until = world.now + world.rng.random_range(2_000..8_000);
        world.outages.reports_cut_until = until;
        world.progress.disturb(until);
    }
    for i in 0..world.agents.len() {
        let is_flapping = world.now < world.outages.flapping_until[i] && !world.outages.lost[i];
        if is_flapping && agent::is_connected(world, i) && world.happens_every(FLAP_INTERVAL_MS) {
            agent::restart(world, i, agent::RESTART_MS);
        }
    }
}

/// Draws some hosts next to each other, which have faults together.
fn neighbors(world: &mut World) -> std::ops::Range<usize> {
    let hosts = world.workers.len();
    let count = world.rng.random_range(1..=hosts / FAULTY_SHARE);
    let first = world.rng.random_range(0..=hosts - count);
    first..first + count
}

/// Takes all hosts and planners down for 0.5 to 2 s; one host of 20 is lost for good.
fn lose_power(world: &mut World) {
    planner::end_all(world);
    let back_at = world.now + world.rng.random_range(500..2_000);
    world.outages.no_planner_until = back_at + world.rng.random_range(200..1_500);
    world.progress.disturb(world.outages.no_planner_until);
    for i in 0..world.workers.len() {
        let until = back_at + world.rng.random_range(0..1_000);
        agent::take_down(world, i, until);
        worker::take_down(world, i, until);
        if world.rng.random_range(0..20) == 0 {
            lose_host(world, i);
        }
    }
    if world.rng.random_range(0..3) == 0 {
        cut_store(world);
    }
    // Hosts that were lost before have no power to lose.
    for i in 0..world.workers.len() {
        if world.outages.lost[i] {
            take_down_for_good(world, i);
        }
    }
}

/// Cuts all planners and agents off the store for 1 to 6 s.
fn cut_store(world: &mut World) {
    let until = world.now + world.rng.random_range(1_000..6_000);
    world.outages.store_cut_until = until;
    world.progress.disturb(until);
    for i in 0..world.agents.len() {
        agent::disconnect(world, i, until);
    }
    planner::read_again(world, Some(until));
}

/// Takes a host down for good, unless too many are.
fn lose_host(world: &mut World, i: usize) {
    let lost = world.outages.lost.iter().filter(|lost| **lost).count();
    if lost < world.workers.len() / FAULTY_SHARE {
        world.outages.lost[i] = true;
        take_down_for_good(world, i);
    }
}

fn take_down_for_good(world: &mut World, i: usize) {
    agent::take_down(world, i, u64::MAX);
    worker::take_down(world, i, u64::MAX);
}

/// Makes a worker refuse every start, one time in three until it restarts.
fn refuse_starts(world: &mut World, i: usize) {
    let now = world.now;
    let refusing = world.workers.iter();
    let refusing = refusing.filter(|w| w.refusal(now).is_some()).count();
    if refusing >= world.workers.len() / FAULTY_SHARE {
        return;
    }
    let until = match world.rng.random_range(0..3) {
        0 => u64::MAX,
        _ => now + world.rng.random_range(5_000..60_000),
    };
    let refusal = *REFUSALS
        .choose(&mut world.rng)
        .unwrap_or(&StartOutcome::NoRoom);
    world.workers[i].refusal = Some((refusal, until));
}
