//! Shares of capacity: how much of a service each workspace is entitled to while capacity is short.
//!
//! The load behind this is one workspace that submits many times as much as the others at once. The
//! objective of an old job comes before that of a new one, so in order of objectives alone every
//! workspace waits behind the burst of one.
//!
//! A workspace's share is its dominant share: the largest share that it has of any kind of resource
//! (Ghodsi et al., "Dominant Resource Fairness", NSDI 2011). Entitlements come from progressive
//! filling: the shares of all workspaces grow in proportion to their weights until each has what it
//! asks for, or a kind of resource that it needs is used up. A workspace that asks for little leaves
//! the rest to the others, so no capacity is kept idle. All is computed from the plan and the
//! configuration in each pass, and a new planner comes to the same shares.
//! `docs/design/workspace-shares.md` compares this with decayed use.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    port::Configuration,
    utils::{HashMap, HashSet, Name, Timestamp},
    workload::{Demand, Fleet, Resources, Room, demands, live::LiveJob},
};

/// Number of kinds of resources.
const KINDS: usize = 3;

/// Difference between two shares that is due to rounding.
const ROUNDING: f64 = 1e-9;

/// Largest factor by which the share of a workspace changes the cost of stopping its runs, in both
/// directions. The cost is mostly lost work, and a larger factor would discard much more work for a
/// small difference in shares.
const MAX_COST_FACTOR: f64 = 1.5;

/// Time after which a decision for the same workspace is logged again. A burst lasts for many
/// passes, of which there are ten and more per second.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of decisions that are logged in one pass, whatever the number of workspaces.
const MAX_LOGGED_PER_PASS: usize = 3;

/// The share that a workspace has of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceShare {
    /// The service.
    pub service: Name,
    /// The workspace; `None` for all jobs of public queues together.
    pub workspace: Option<Name>,
    /// The accelerators that the configuration guarantees to the workspace.
    pub guaranteed: u32,
    /// The accelerators that its runs hold.
    pub held_accelerators: u64,
    /// The accelerators that it holds beyond its guarantee.
    pub borrowed_accelerators: u64,
    /// Its dominant share of the capacity.
    pub held: f64,
    /// What its dominant share would be if everything that waits were started too.
    pub asked: f64,
    /// The dominant share that it is entitled to.
    pub entitlement: f64,
    /// Whether all workspaces together ask for more than the service has.
    pub is_short: bool,
    /// The number of its waiting gangs and single tasks.
    pub waiting_demands: usize,
    /// The accelerators for which they wait.
    pub waiting_accelerators: u64,
    /// The Unix time in milliseconds since which the oldest of them has been waiting.
    pub waiting_since_ms: Option<u64>,
}

impl WorkspaceShare {
    /// Returns whether the workspace holds more than it is entitled to while capacity is short.
    pub fn is_above_entitlement(&self) -> bool {
        self.is_short && self.held > self.entitlement + ROUNDING
    }
}

/// Demands of a workspace that come later because the workspace would exceed its entitlement.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ShareDecision {
    /// The job of the first such demand.
    pub(super) job: Name,
    /// The workspace.
    pub(super) workspace: Option<Name>,
    /// The dominant share that the workspace holds with work of this or a more urgent priority.
    pub(super) held: f64,
    /// The dominant share that it is entitled to for such work.
    pub(super) entitlement: f64,
    /// The number of demands that are served before it.
    pub(super) before: usize,
}

/// The shares of all workspaces during a pass.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    services: BTreeMap<Name, ServiceShares>,
}

/// The shares of one service.
#[derive(Clone, Debug, Default)]
struct ServiceShares {
    capacity: Resources,
    /// The largest amount of each resource that any worker has.
    largest: Resources,
    workers: u64,
    /// By workspace, in this order for equal results in each pass.
    workspaces: BTreeMap<Option<Name>, Usage>,
    /// By priority: the shares of all work of this or a more urgent priority. Less urgent work makes
    /// room for it, and therefore doesn't make capacity short for it.
    layers: BTreeMap<u32, Layer>,
}

/// The use that a workspace makes of a service.
#[derive(Clone, Debug, Default)]
struct Usage {
    index: usize,
    guaranteed: u32,
    /// What the workspace holds and asks for, by priority.
    by_priority: BTreeMap<u32, HeldAndAsked>,
    waiting_demands: usize,
    waiting_accelerators: u64,
    waiting_since_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct HeldAndAsked {
    held: Resources,
    /// What is held and what waits.
    asked: Resources,
}

/// The shares of the work of one priority and all more urgent ones.
#[derive(Clone, Debug, Default)]
struct Layer {
    is_short: bool,
    /// By the index of the workspace.
    shares: Vec<LayerShare>,
}

/// The share of a workspace in a layer.
#[derive(Clone, Copy, Debug, Default)]
struct LayerShare {
    held: Resources,
    asked: Resources,
    entitlement: f64,
}

impl Shares {
    /// Returns the shares for the running work and for all waiting demands.
    pub(super) fn of(
        configuration: &Configuration,
        fleet: &Fleet,
        rooms: &[Room],
        jobs: &BTreeMap<Name, LiveJob>,
        demands: &[Demand<'_>],
    ) -> Self {
        let mut shares = Self::default();
        for room in rooms {
            let service = shares.service(&room.service);
            service.capacity = service.capacity.plus(&room.capacity);
            service.largest = service.largest.max(&room.capacity);
            service.workers += 1;
        }
        shares.add_running(fleet, rooms, jobs);
        for of_step in demands.chunk_by(is_same_step) {
            shares.add_demands(of_step, jobs);
        }
        let guarantees = configuration.workspaces.iter();
        let guarantees = guarantees.map(|w| (&*w.name, w.guaranteed_accelerators));
        let guarantees: HashMap<&str, u32> = guarantees.collect();
        for service in shares.services.values_mut() {
            for (workspace, usage) in &mut service.workspaces {
                let name = workspace.as_deref().unwrap_or_default();
                usage.guaranteed = guarantees.get(name).copied().unwrap_or(0);
            }
            service.fill();
        }
        shares
    }

    fn service(&mut self, name: &Name) -> &mut ServiceShares {
        if !self.services.contains_key(name) {
            self.services.insert(name.clone(), ServiceShares::default());
        }
        self.services.entry(name.clone()).or_default()
    }

    /// Adds all runs to what their workspaces hold. The runs on a worker that accepts no tasks use
    /// capacity that nothing else can have, so they add as much to the capacity.
    fn add_running(&mut self, fleet: &Fleet, rooms: &[Room], jobs: &BTreeMap<Name, LiveJob>) {
        let in_service: HashSet<&Name> = rooms.iter().map(|r| &r.worker).collect();
        for (name, worker) in fleet.workers() {
            let reported = worker.report.as_ref().map(|r| &r.heartbeat.service);
            for (run, state) in &worker.runs {
                let live = jobs.get(&run.task.job);
                let Some(service) = reported.or_else(|| live.map(|l| &l.job.service)) else {
                    continue;
                };
                let service = self.service(service);
                if !in_service.contains(name) {
                    service.capacity = service.capacity.plus(&state.needs);
                }
                let workspace = live.and_then(|l| l.job.workspace.as_ref());
                let priority = live.map_or(0, |l| l.job.priority);
                let by_priority = &mut service.usage(workspace).by_priority;
                let usage = by_priority.entry(priority).or_default();
                usage.held = usage.held.plus(&state.needs);
                usage.asked = usage.asked.plus(&state.needs);
            }
        }
    }

    /// Adds demands of the same step. A step may have thousands of them, and they differ only in the
    /// tasks.
    fn add_demands(&mut self, demands: &[Demand<'_>], jobs: &BTreeMap<Name, LiveJob>) {
        let Some(first) = demands.first() else {
            return;
        };
        let live = jobs.get(&first.job);
        let since_ms = live.map(|l| l.waiting_since_ms(first.occurrence));
        let tasks: usize = demands.iter().map(|d| d.indexes.len()).sum();
        let needs = first.shape.needs.times(tasks as u64);
        let service = self.service(&first.service);
        // Work that is too large for every worker would make the capacity short for good.
        let can_run =
            service.largest.fits(&first.shape.needs) && service.capacity.fits(&first.needs());
        let usage = service.usage(first.workspace.as_ref());
        if can_run {
            let of_priority = usage.by_priority.entry(first.priority).or_default();
            of_priority.asked = of_priority.asked.plus(&needs);
        }
        usage.waiting_demands += demands.len();
        usage.waiting_accelerators = usage
            .waiting_accelerators
            .saturating_add(needs.accelerators);
        usage.waiting_since_ms = match (usage.waiting_since_ms, since_ms) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
    }

    /// Puts the demands with which their workspaces exceed what they are entitled to behind others of
    /// the same priority. Returns the first such demand of each workspace that now comes later.
    pub(super) fn order(&self, demands: &mut [Demand<'_>]) -> Vec<ShareDecision> {
        if !self.mark(demands) {
            return Vec::new();
        }
        let before_sort = first_marked(demands);
        demands::sort(demands);
        let mut moved = first_marked(demands);
        moved.retain(|key, position| before_sort.get(key).is_some_and(|old| old < position));
        let mut positions: Vec<usize> = moved.into_values().collect();
        positions.sort_unstable();
        let decisions = positions.into_iter().filter_map(|before| {
            let demand = &demands[before];
            let service = self.services.get(&demand.service)?;
            let usage = service.workspaces.get(&demand.workspace)?;
            let share = service.contended(demand.priority, usage)?;
            Some(ShareDecision {
                job: demand.job.clone(),
                workspace: demand.workspace.clone(),
                held: share.held.share_of(&service.capacity),
                entitlement: share.entitlement,
                before,
            })
        });
        decisions.collect()
    }

    /// Marks the demands with which their workspaces exceed what they are entitled to.
    ///
    /// Each demand adds to the use of its workspace, in the given order, which is by priority. A
    /// demand that begins below the entitlement is not marked even if it ends above it; otherwise a
    /// gang that is larger than its workspace's entitlement would always come last. Returns whether
    /// any demand is marked.
    fn mark(&self, demands: &mut [Demand<'_>]) -> bool {
        let mut any = false;
        let mut waiting: HashMap<&Name, Vec<Resources>> = HashMap::default();
        for of_step in demands.chunk_by_mut(|a, b| is_same_step(a, b)) {
            let service = of_step
                .first()
                .and_then(|d| Some((d, self.services.get_key_value(&d.service)?)));
            let Some((first, (name, service))) = service else {
                continue;
            };
            let Some(usage) = service.workspaces.get(&first.workspace) else {
                continue;
            };
            let share = service.contended(first.priority, usage);
            let waiting = waiting
                .entry(name)
                .or_insert_with(|| vec![Resources::default(); service.workspaces.len()]);
            let waiting = &mut waiting[usage.index];
            for demand in of_step {
                if let Some(share) = share {
                    let used = share.held.plus(waiting).share_of(&service.capacity);
                    let exceeds_share = used + ROUNDING >= share.entitlement;
                    demand.exceeds_share = exceeds_share && !demand.guaranteed;
                    any |= demand.exceeds_share;
                }
                *waiting = waiting.plus(&demand.needs());
            }
        }
        any
    }

    /// Returns the factor for the cost of stopping a run of a workspace: below 1 for a workspace that
    /// holds more than it is entitled to, above 1 for one that holds less.
    pub(super) fn stop_cost_factor(
        &self,
        service: &Name,
        workspace: Option<&Name>,
        priority: u32,
    ) -> f64 {
        let Some(service) = self.services.get(service) else {
            return 1.0;
        };
        let usage = service.workspaces.get(&workspace.cloned());
        let share = usage.and_then(|usage| service.contended(priority, usage));
        let held = share.map_or(0.0, |s| s.held.share_of(&service.capacity));
        match share {
            Some(share) if held > ROUNDING => {
                (share.entitlement / held).clamp(1.0 / MAX_COST_FACTOR, MAX_COST_FACTOR)
            }
            _ => 1.0,
        }
    }

    /// Returns the share of each workspace that holds or asks for something.
    pub(super) fn list(&self) -> Vec<WorkspaceShare> {
        let services = self.services.iter();
        let all = services.flat_map(|(name, service)| {
            let all_work = service.layers.values().next_back();
            let workspaces = service.workspaces.iter();
            workspaces.map(move |(workspace, usage)| {
                let share = all_work.and_then(|layer| layer.shares.get(usage.index));
                let share = share.copied().unwrap_or_default();
                WorkspaceShare {
                    service: name.clone(),
                    workspace: workspace.clone(),
                    guaranteed: usage.guaranteed,
                    held_accelerators: share.held.accelerators,
                    borrowed_accelerators: share
                        .held
                        .accelerators
                        .saturating_sub(u64::from(usage.guaranteed)),
                    held: share.held.share_of(&service.capacity),
                    asked: share.asked.share_of(&service.capacity),
                    entitlement: share.entitlement,
                    is_short: all_work.is_some_and(|layer| layer.is_short),
                    waiting_demands: usage.waiting_demands,
                    waiting_accelerators: usage.waiting_accelerators,
                    waiting_since_ms: usage.waiting_since_ms,
                }
            })
        });
        all.collect()
    }
}

impl ServiceShares {
    fn usage(&mut self, workspace: Option<&Name>) -> &mut Usage {
        self.workspaces.entry(workspace.cloned()).or_default()
    }

    /// Returns the smallest weight: the accelerators of one worker. A workspace without a guarantee,
    /// or with a smaller one, counts as if one worker were guaranteed to it.
    fn min_weight(&self) -> f64 {
        let mean = self.capacity.accelerators as f64 / self.workers.max(1) as f64;
        mean.max(1.0)
    }

    /// Returns the share of a workspace in the layer of a priority, if capacity is short there and
    /// several workspaces use the service.
    fn contended(&self, priority: u32, usage: &Usage) -> Option<&LayerShare> {
        let layer = self.layers.get(&priority)?;
        let contended = layer.is_short && self.workspaces.len() > 1;
        contended.then(|| layer.shares.get(usage.index)).flatten()
    }

    /// Computes the entitlements of all layers.
    fn fill(&mut self) {
        let min_weight = self.min_weight();
        let mut priorities = BTreeSet::new();
        for (index, usage) in self.workspaces.values_mut().enumerate() {
            usage.index = index;
            priorities.extend(usage.by_priority.keys().copied());
        }
        let mut shares = vec![LayerShare::default(); self.workspaces.len()];
        for priority in priorities {
            let mut filling = Filling::default();
            for (usage, share) in self.workspaces.values().zip(&mut shares) {
                if let Some(more) = usage.by_priority.get(&priority) {
                    share.held = share.held.plus(&more.held);
                    share.asked = share.asked.plus(&more.asked);
                }
                let weight = f64::from(usage.guaranteed).max(min_weight);
                filling.add(shares_of_kinds(&share.asked, &self.capacity), weight);
            }
            let is_short = filling.run();
            for (share, asker) in shares.iter_mut().zip(&filling.askers) {
                share.entitlement = asker.entitlement;
            }
            let layer = Layer {
                is_short,
                shares: shares.clone(),
            };
            self.layers.insert(priority, layer);
        }
    }
}

fn is_same_step(a: &Demand<'_>, b: &Demand<'_>) -> bool {
    a.job == b.job && a.occurrence == b.occurrence && a.step == b.step
}

/// Returns the position of the first marked demand of each workspace and service.
fn first_marked(demands: &[Demand<'_>]) -> HashMap<(Name, Option<Name>), usize> {
    let mut first = HashMap::default();
    for (position, demand) in demands.iter().enumerate().filter(|(_, d)| d.exceeds_share) {
        let key = (demand.service.clone(), demand.workspace.clone());
        first.entry(key).or_insert(position);
    }
    first
}

/// Returns the share of each kind of resource that `part` has of `whole`.
fn shares_of_kinds(part: &Resources, whole: &Resources) -> [f64; KINDS] {
    let kinds = [
        (part.cpu_millis, whole.cpu_millis),
        (part.memory_mb, whole.memory_mb),
        (part.accelerators, whole.accelerators),
    ];
    kinds.map(|(part, whole)| match whole {
        0 => 0.0,
        _ => part as f64 / whole as f64,
    })
}

/// A workspace during progressive filling.
#[derive(Clone, Debug)]
struct Asker {
    /// The asked shares of the kinds of resources.
    asked: [f64; KINDS],
    weight: f64,
    entitlement: f64,
    is_done: bool,
}

impl Asker {
    fn dominant(&self) -> f64 {
        self.asked.iter().copied().fold(0.0, f64::max)
    }

    /// Returns the level at which the workspace has all that it asks for.
    fn full_level(&self) -> f64 {
        self.dominant() / self.weight
    }

    /// Returns how much of a kind the workspace uses more for each unit of the level.
    fn rate(&self, kind: usize) -> f64 {
        let dominant = self.dominant();
        if dominant <= 0.0 {
            return 0.0;
        }
        self.weight * self.asked[kind] / dominant
    }
}

/// Progressive filling: a common level rises, and each workspace has its weight times the level.
#[derive(Clone, Debug, Default)]
struct Filling {
    askers: Vec<Asker>,
    level: f64,
    used: [f64; KINDS],
    rates: [f64; KINDS],
}

impl Filling {
    fn add(&mut self, asked: [f64; KINDS], weight: f64) {
        self.askers.push(Asker {
            asked,
            weight,
            entitlement: 0.0,
            is_done: false,
        });
    }

    /// Fills until no workspace can have more. Returns whether some workspace has less than it asks
    /// for.
    fn run(&mut self) -> bool {
        for kind in 0..KINDS {
            self.rates[kind] = self.askers.iter().map(|a| a.rate(kind)).sum();
        }
        let mut order: Vec<usize> = (0..self.askers.len()).collect();
        order.sort_by(|a, b| {
            let level = |i: &usize| self.askers[*i].full_level();
            level(a).total_cmp(&level(b))
        });
        let mut is_short = false;
        for i in order {
            let full_level = self.askers[i].full_level();
            while !self.askers[i].is_done {
                match self.next_exhausted() {
                    Some((kind, level)) if level + ROUNDING < full_level => {
                        self.rise(level);
                        self.exhaust(kind);
                        is_short = true;
                    }
                    _ => {
                        self.rise(full_level);
                        self.finish(i, self.askers[i].dominant());
                    }
                }
            }
        }
        is_short
    }

    /// Returns the kind that is used up first if the level goes on rising, and the level then.
    fn next_exhausted(&self) -> Option<(usize, f64)> {
        let kinds = (0..KINDS).filter(|kind| self.rates[*kind] > ROUNDING);
        let levels = kinds.map(|kind| {
            let left = (1.0 - self.used[kind]).max(0.0);
            (kind, self.level + left / self.rates[kind])
        });
        levels.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    fn rise(&mut self, level: f64) {
        let by = (level - self.level).max(0.0);
        for (used, rate) in self.used.iter_mut().zip(&self.rates) {
            *used += rate * by;
        }
        self.level = self.level.max(level);
    }

    /// Ends the growth of all workspaces that need a kind that is used up.
    fn exhaust(&mut self, kind: usize) {
        for i in 0..self.askers.len() {
            if !self.askers[i].is_done && self.askers[i].asked[kind] > 0.0 {
                self.finish(i, self.askers[i].weight * self.level);
            }
        }
        self.rates[kind] = 0.0;
    }

    fn finish(&mut self, i: usize, entitlement: f64) {
        for kind in 0..KINDS {
            self.rates[kind] -= self.askers[i].rate(kind);
        }
        self.askers[i].entitlement = entitlement;
        self.askers[i].is_done = true;
    }
}

/// Logs decisions, at most one per workspace and interval.
#[derive(Clone, Debug, Default)]
pub(super) struct ShareLog {
    logged_at: HashMap<Option<Name>, Timestamp>,
}

impl ShareLog {
    /// Logs those of a pass's decisions that are due.
    pub(super) fn log(&mut self, now: Timestamp, decisions: Vec<ShareDecision>) {
        self.logged_at
            .retain(|_, logged_at| now.since(*logged_at) < LOG_INTERVAL);
        let logged_at = &mut self.logged_at;
        let due = decisions
            .into_iter()
            .filter(|d| !logged_at.contains_key(&d.workspace));
        let due: Vec<ShareDecision> = due.take(MAX_LOGGED_PER_PASS).collect();
        for decision in due {
            log::info!(
                job:% = decision.job, workspace:% = decision.workspace.as_deref().unwrap_or(""),
                held = decision.held, entitlement = decision.entitlement, before = decision.before;
                "share_decided"
            );
            self.logged_at.insert(decision.workspace, now);
        }
    }
}
