//! The leases of a worker and the tasks that run under them.

use std::{collections::BTreeMap, time::Duration};

use dragonflyrun::utils::Name;

use crate::worker::{
    lease::{Checkpoints, Interval, LeaseError, LeaseState, LeaseView, Start, Usage, millis},
    program::{End, Program},
};

/// If the table was not advanced for longer than this, the process was suspended in between, and
/// its tasks did not run during that time.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct Lease {
    accelerators: u32,
    expires_at: Duration,
    state: LeaseState,
    checkpointed: bool,
    run: Option<Run>,
}

#[derive(Debug)]
struct Run {
    start: Start,
    planned_end: Option<(Duration, End)>,
    started_at: Duration,
    restored_work: Duration,
    interval_index: usize,
}

/// The leases and records of a worker. All times are relative to the start of its clock.
#[derive(Debug)]
pub struct LeaseTable {
    accelerators: u32,
    failure_domain: Name,
    /// The start of the clock as unix time.
    epoch: Duration,
    usage_lag: Duration,
    checkpoints: Checkpoints,
    /// Whether all tasks fail as soon as they are started.
    pub broken: bool,
    advanced_at: Duration,
    leases: BTreeMap<Name, Lease>,
    intervals: Vec<Interval>,
}

impl LeaseTable {
    /// Returns an empty table.
    pub fn new(
        accelerators: u32,
        failure_domain: Name,
        epoch: Duration,
        usage_lag: Duration,
        checkpoints: Checkpoints,
    ) -> Self {
        Self {
            accelerators,
            failure_domain,
            epoch,
            usage_lag,
            checkpoints,
            broken: false,
            advanced_at: Duration::ZERO,
            leases: BTreeMap::new(),
            intervals: Vec::new(),
        }
    }

    /// Advances all leases and tasks to `now`. Every change of the table does this first, so that a
    /// worker that was suspended detects lapsed leases before it serves a call.
    pub fn advance(&mut self, now: Duration) {
        let frozen = now.saturating_sub(self.advanced_at) > FREEZE_THRESHOLD;
        if frozen {
            self.split_intervals(now);
        }
        self.advanced_at = self.advanced_at.max(now);
        let names: Vec<Name> = self.leases.keys().cloned().collect();
        for name in names {
            self.advance_lease(&name, now);
        }
    }

    fn advance_lease(&mut self, name: &Name, now: Duration) {
        let Some(lease) = self.leases.get_mut(name) else {
            return;
        };
        if !lease.is_live() {
            return;
        }
        if lease.expires_at <= now {
            lease.state = LeaseState::Lapsed;
            let at = now;
            self.close_interval(name, at);
            return;
        }
        let ended = lease.run.as_ref().and_then(|r| r.planned_end);
        if let Some((at, end)) = ended
            && lease.state == LeaseState::Running
            && at <= now
        {
            lease.state = match end {
                End::Success => LeaseState::Finished,
                End::Failure => LeaseState::Failed,
            };
            self.close_interval(name, now);
        }
    }

    /// Splits the intervals of all running tasks after a suspension of the process: ends them at its
    /// start and begins new ones at `now` for tasks whose lease has not lapsed. The time in between
    /// does not count as work.
    fn split_intervals(&mut self, now: Duration) {
        let frozen_at = self.advanced_at;
        let gap = now - frozen_at;
        let running: Vec<Name> = self
            .leases
            .iter()
            .filter(|(_, l)| l.state == LeaseState::Running)
            .map(|(name, _)| name.clone())
            .collect();
        for name in running {
            self.close_interval(&name, frozen_at);
            let Some(lease) = self.leases.get_mut(&name) else {
                continue;
            };
            if lease.expires_at <= now {
                lease.state = LeaseState::Lapsed;
                continue;
            }
            if let Some(run) = &mut lease.run {
                run.started_at += gap;
                run.planned_end = run.planned_end.map(|(at, end)| (at + gap, end));
            }
            self.open_interval(&name, now);
        }
    }

    /// Obtains a lease. A repeated call for a live lease only extends its time to live.
    ///
    /// # Errors
    ///
    /// [`LeaseError::NotFree`] if too few accelerators are free, [`LeaseError::Conflict`] if the
    /// lease is live with another number of them, and [`LeaseError::Ended`] if it has ended.
    pub fn obtain(
        &mut self,
        now: Duration,
        name: &Name,
        accelerators: u32,
        ttl: Duration,
    ) -> Result<(), LeaseError> {
        self.advance(now);
        if let Some(lease) = self.leases.get_mut(name) {
            return match (lease.is_live(), lease.accelerators == accelerators) {
                (true, true) => {
                    lease.expires_at = lease.expires_at.max(now + ttl);
                    Ok(())
                }
                (true, false) => Err(LeaseError::Conflict),
                (false, _) => Err(LeaseError::Ended),
            };
        }
        if accelerators > self.free_accelerators() {
            return Err(LeaseError::NotFree);
        }
        let lease = Lease {
            accelerators,
            expires_at: now + ttl,
            state: LeaseState::Held,
            checkpointed: false,
            run: None,
        };
        self.leases.insert(name.clone(), lease);
        Ok(())
    }

    /// Sets the time at which a lease lapses, which may be earlier than before.
    ///
    /// # Errors
    ///
    /// [`LeaseError::Unknown`] if there is no such lease, and [`LeaseError::Ended`] if it has lapsed
    /// or ended, which is final.
    pub fn renew(&mut self, now: Duration, name: &Name, ttl: Duration) -> Result<(), LeaseError> {
        self.advance(now);
        self.live_lease(name)?.expires_at = now + ttl;
        Ok(())
    }

    /// Starts tasks under a lease. A repeated start of the same tasks has no effect.
    ///
    /// # Errors
    ///
    /// [`LeaseError::Unknown`] if there is no such lease, [`LeaseError::Ended`] if it has lapsed or
    /// ended, and [`LeaseError::Conflict`] if other tasks were started under it.
    pub fn start(&mut self, now: Duration, name: &Name, start: Start) -> Result<(), LeaseError> {
        self.advance(now);
        let (broken, checkpoints) = (self.broken, self.checkpoints.clone());
        let lease = self.live_lease(name)?;
        if let Some(run) = &lease.run {
            return match run.start == start {
                true => Ok(()),
                false => Err(LeaseError::Conflict),
            };
        }
        let restored_work = match start.resume {
            true => checkpoints.load(&start.job, start.member),
            false => Duration::ZERO,
        };
        let program = match broken {
            true => Program::Fail(Duration::ZERO),
            false => Program::parse(&start.program),
        };
        lease.run = Some(Run {
            planned_end: program
                .end_after(restored_work)
                .map(|(after, end)| (now + after, end)),
            start,
            started_at: now,
            restored_work,
            interval_index: 0,
        });
        lease.state = LeaseState::Running;
        self.open_interval(name, now);
        self.advance(now);
        Ok(())
    }

    /// Stops the tasks of a lease, or releases a lease without tasks. This has no effect on a lease
    /// that has ended.
    ///
    /// # Errors
    ///
    /// [`LeaseError::Unknown`] if there is no such lease.
    pub fn stop(&mut self, now: Duration, name: &Name, checkpoint: bool) -> Result<(), LeaseError> {
        self.advance(now);
        let checkpoints = self.checkpoints.clone();
        let lease = self.leases.get_mut(name).ok_or(LeaseError::Unknown)?;
        if !lease.is_live() {
            return Ok(());
        }
        if let Some(run) = &lease.run
            && checkpoint
        {
            checkpoints.save(&run.start.job, run.start.member, run.work_done(now));
            lease.checkpointed = true;
        }
        lease.state = LeaseState::Stopped;
        self.close_interval(name, now);
        Ok(())
    }

    /// Stops the tasks of a lease and removes it.
    pub fn remove(&mut self, now: Duration, name: &Name) {
        self.advance(now);
        self.close_interval(name, now);
        self.leases.remove(name);
    }

    /// Returns a lease as the worker reports it; none if there is no such lease.
    pub fn view(&self, now: Duration, name: &Name) -> Option<LeaseView> {
        let lease = self.leases.get(name)?;
        let usage = lease
            .run
            .as_ref()
            .and_then(|r| r.usage(now, self.usage_lag));
        Some(LeaseView {
            lease: name.clone(),
            state: lease.state,
            accelerators: lease.accelerators,
            ttl_ms: millis(lease.expires_at.saturating_sub(now)),
            checkpointed: lease.checkpointed,
            usage,
        })
    }

    /// Returns all leases as the worker reports them.
    pub fn views(&self, now: Duration) -> Vec<LeaseView> {
        self.leases
            .keys()
            .filter_map(|name| self.view(now, name))
            .collect()
    }

    /// Returns the intervals in which tasks ran.
    pub fn intervals(&self) -> &[Interval] {
        &self.intervals
    }

    fn free_accelerators(&self) -> u32 {
        let held: u32 = self
            .leases
            .values()
            .filter(|l| l.is_live())
            .map(|l| l.accelerators)
            .sum();
        self.accelerators.saturating_sub(held)
    }

    fn live_lease(&mut self, name: &Name) -> Result<&mut Lease, LeaseError> {
        let lease = self.leases.get_mut(name).ok_or(LeaseError::Unknown)?;
        match lease.is_live() {
            true => Ok(lease),
            false => Err(LeaseError::Ended),
        }
    }

    fn open_interval(&mut self, name: &Name, at: Duration) {
        let Some(run) = self.leases.get_mut(name).and_then(|l| l.run.as_mut()) else {
            return;
        };
        run.interval_index = self.intervals.len();
        self.intervals.push(Interval {
            job: run.start.job.clone(),
            attempt: run.start.attempt,
            member: run.start.member,
            started_unix_ms: millis(self.epoch + at),
            stopped_unix_ms: None,
            failure_domain: self.failure_domain.clone(),
        });
    }

    fn close_interval(&mut self, name: &Name, at: Duration) {
        let Some(run) = self.leases.get(name).and_then(|l| l.run.as_ref()) else {
            return;
        };
        let at = millis(self.epoch + at);
        if let Some(interval) = self.intervals.get_mut(run.interval_index) {
            interval.stopped_unix_ms.get_or_insert(at);
        }
    }
}

impl Lease {
    fn is_live(&self) -> bool {
        matches!(self.state, LeaseState::Held | LeaseState::Running)
    }
}

impl Run {
    fn work_done(&self, now: Duration) -> Duration {
        self.restored_work + now.saturating_sub(self.started_at)
    }

    fn usage(&self, now: Duration, lag: Duration) -> Option<Usage> {
        let measured = now.checked_sub(lag).filter(|at| *at >= self.started_at)?;
        Some(Usage {
            ran_ms: millis(measured - self.started_at),
            age_ms: millis(lag),
        })
    }
}
