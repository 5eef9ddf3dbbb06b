//! Decides which requests an entry accepts.

use std::time::Duration;

use rand::Rng;

use super::{
    DEFAULT_RETRY_AFTER_MS,
    Due,
    EntryTable,
    LEAVING_RETRY_AFTER_MS,
    MAX_RETRY_AFTER_MS,
    NO_BACKEND_RETRY_AFTER_MS,
    Pending,
    Stage, //
};
use crate::{
    connection::NotRun,
    request::{CallerRequest, Refusal, Waiting},
    utils::{Name, Timestamp},
    version::Service,
};

/// Lower limit of a retry delay before its random part is added, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;

impl EntryTable {
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        number: u64,
        req: CallerRequest,
    ) -> Result<(), Refusal> {
        if self.leaving {
            return Err(Refusal::new(NotRun::Leaving, LEAVING_RETRY_AFTER_MS));
        }
        let version = self.version.clone();
        let service = version
            .service(&req.service)
            .ok_or(Refusal::new(NotRun::UnknownService, MAX_RETRY_AFTER_MS))?;
        let pending = self.check(now, service, req)?;
        let must_claim = !pending.repeatable;
        if must_claim && now < self.claims_paused_until {
            return Err(Refusal::new(NotRun::NotFresh, LEAVING_RETRY_AFTER_MS));
        }
        let repeat = must_claim && pending.attempt > 1;
        let waiting = pending.waiting(number);
        // The owner's record may answer a repeat, which then needs no slot.
        if !repeat {
            self.ensure_queue_room(now, service, waiting)?;
        }
        self.budget.earn(version.limits.retry_percent);
        self.due.insert(Due {
            at: pending.deadline,
            number,
        });
        self.requests.insert(number, pending);
        if must_claim {
            self.claim(now, number);
        } else {
            self.enqueue(now, number);
        }
        Ok(())
    }

    /// Checks a request against the service and the limits in the configuration.
    fn check(
        &self,
        now: Timestamp,
        service: &Service,
        req: CallerRequest,
    ) -> Result<Pending, Refusal> {
        let key_missing = !service.repeatable && req.key.is_none();
        if req.attempt == 0 || key_missing {
            return Err(Refusal::new(NotRun::Malformed, MAX_RETRY_AFTER_MS));
        }
        if req.body.len() as u64 > self.version.limits.body_bytes {
            return Err(Refusal::new(NotRun::TooLarge, MAX_RETRY_AFTER_MS));
        }
        // A grant must be used or expired long before the owner removes the key.
        let max_deadline_ms = service.max_deadline_ms();
        let deadline_ms = req
            .deadline_ms
            .unwrap_or(max_deadline_ms)
            .min(max_deadline_ms);
        Ok(Pending {
            service: service.name.clone(),
            urgency: req
                .urgency
                .map_or(service.urgency, |u| u.max(service.urgency)),
            repeatable: service.repeatable,
            key: req.key,
            attempt: req.attempt,
            deadline: now + Duration::from_millis(deadline_ms),
            body: req.body,
            stage: Stage::Queued,
            granted_by: None,
            may_have_run: false,
        })
    }

    /// Ensures that the queue has room for one more request, if necessary by refusing a less urgent
    /// one; returns a refusal if there is no room or the deadline would be missed.
    pub(super) fn ensure_queue_room(
        &mut self,
        now: Timestamp,
        service: &Service,
        waiting: Waiting,
    ) -> Result<(), Refusal> {
        let capacity = self.loads.capacity(now, &service.name);
        if capacity.out_of_service {
            return Err(Refusal::new(
                NotRun::OutOfService,
                NO_BACKEND_RETRY_AFTER_MS,
            ));
        }
        if capacity.slots == 0 {
            return Err(Refusal::new(NotRun::NoBackend, NO_BACKEND_RETRY_AFTER_MS));
        }
        let run_time_bound = self.run_time_bound(now, &service.name, waiting.urgency);
        let state = self.services.entry(service.name.clone()).or_default();
        let wait = state.expected_wait(
            capacity.available.max(1),
            state.queue.ahead_of(waiting.urgency),
        );
        let ready = now + wait + run_time_bound;
        if waiting.deadline <= now || ready > waiting.deadline {
            return Err(Refusal::new(
                NotRun::Deadline,
                self.retry_after(now, &service.name),
            ));
        }
        if state.queue.len() < service.queue_limit as usize {
            return Ok(());
        }
        let displaced = state.queue.displaced_by(waiting.urgency);
        let retry_after = self.retry_after(now, &service.name);
        let refusal = Refusal::new(NotRun::QueueFull, retry_after);
        let displaced = displaced.ok_or(refusal)?;
        self.finish(displaced.number, refusal.outcome());
        Ok(())
    }

    /// Returns after how many milliseconds half of the queued requests are expected to be gone,
    /// plus a random part so that callers that were refused together do not retry together.
    pub(super) fn retry_after(&mut self, now: Timestamp, service: &Name) -> u64 {
        let capacity = self.loads.capacity(now, service);
        let Some(state) = self.services.get(service) else {
            return DEFAULT_RETRY_AFTER_MS;
        };
        let wait = state.expected_wait(capacity.available.max(1), state.queue.len() / 2 + 1);
        let ms = u64::try_from(wait.as_millis()).unwrap_or(MAX_RETRY_AFTER_MS);
        let ms = ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        ms + self.rng.random_range(0..=ms / 2)
    }
}
