//! Which entry is planner: one at a time, by terms in the store.
//!
//! A term is won by an append that the store does only where the partition still ends where the
//! candidate has read to; its number is the fencing token of all later appends of the planner. So
//! of two candidates one wins, and a planner that was replaced can append nothing any more,
//! however late its calls arrive.
//!
//! A planner that lives and can't prove the configuration starts nothing, and says so in its signs of life. It
//! goes on noting ends, so it is replaced only by an entry that has such a proof; where nobody has one, the
//! term stays with it (`docs/incidents/planner-without-configuration.md`).

use std::time::Duration;

use crate::{
    utils::{Name, Timestamp, spread},
    workload::Term,
};

/// Silence after which a planner is replaced on a store that answers at once: three of its signs of life,
/// and the pause with which other entries read them. A claim fails where another one has come meanwhile.
const MAX_SILENCE: Duration = Duration::from_millis(800);

/// Silence that is allowed beside that, in delays of the store: on a slow store the planner's signs of
/// life queue with everything else.
const SILENCE_STORE_DELAYS: u32 = 8;

/// How long a planner has to be stale before another entry takes over: its next sign of life may already say
/// that it no longer is.
const STALE_GRACE: Duration = Duration::from_millis(250);

/// How many times the silence that is allowed a candidate waits longer that can't prove the configuration:
/// it would start nothing, and others may have the proof.
const UNVERIFIED_EXTRA_SILENCES: u32 = 2;

/// Names are spread over so many places, which tells candidates apart.
const STAGGER_STEPS: u32 = 1 << 10;

/// Numbers that terms of one rank are drawn from. Two candidates must not try with the same term:
/// the store takes the second append for a repeat of the first and confirms it, and both would
/// plan. The number stays below 2^53, which every codec carries.
const NONCES: u64 = 1 << 20;

/// What an entry is to do about the planner's term.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TermStep {
    /// Nothing.
    Wait,
    /// Try to become planner, with this term.
    Claim(Term),
}

/// What a candidate knows of itself.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// How long the store takes to answer it.
    pub store_delay: Duration,
    /// Whether it can prove the configuration, so that it would start tasks.
    pub has_fresh_configuration: bool,
}

/// An entry's view of the planner.
#[derive(Clone, Debug)]
pub struct Election {
    entry: Name,
    nonce: u64,
    term: Term,
    seen: Timestamp,
    /// Since when the planner says that it is stale.
    stale_since: Option<Timestamp>,
    /// Claims that the store refused since the newest term, as lower than one that it has seen.
    refused: u64,
}

impl Election {
    /// Returns the view of an entry that has seen no planner yet. `nonce` is drawn at random at
    /// each start of a process.
    pub fn new(entry: Name, nonce: u64, now: Timestamp) -> Self {
        Self {
            entry,
            nonce: nonce % NONCES,
            term: Term::default(),
            seen: now,
            stale_since: None,
            refused: 0,
        }
    }

    /// Takes note of a sign of life.
    pub fn saw_heartbeat(&mut self, now: Timestamp, term: &Term) {
        if term.number >= self.term.number {
            let since = self.stale_since.filter(|_| term.number == self.term.number);
            self.stale_since = term.stale.then(|| since.unwrap_or(now));
            self.refused = 0;
            self.term = term.clone();
            self.seen = now;
        }
    }

    /// Takes note of a plan that the planner has written: it is alive.
    pub fn saw_plan(&mut self, now: Timestamp) {
        if !self.term.resigned {
            self.seen = now;
        }
    }

    /// Takes note that the store could not be read until now: silence counts from here, and the planner may
    /// no longer be stale.
    pub fn store_regained(&mut self, now: Timestamp) {
        self.seen = now;
        self.stale_since = self.stale_since.map(|_| now);
    }

    /// Returns the newest term.
    pub fn term(&self) -> &Term {
        &self.term
    }

    /// Returns when the newest sign of life of a planner was seen.
    pub fn seen(&self) -> Timestamp {
        self.seen
    }

    /// Takes note that the store refused a claim since it has seen a higher one.
    ///
    /// The store remembers the number of a claim also where it did not do it, since the partition had
    /// moved on. Where that candidate then died, all others drew lower numbers for the same term over
    /// and over, and nobody planned any more.
    pub fn claim_refused(&mut self) {
        self.refused += 1;
    }

    /// Returns what to do at `now`.
    pub fn step(&self, now: Timestamp, candidate: Candidate) -> TermStep {
        let silence = MAX_SILENCE + candidate.store_delay * SILENCE_STORE_DELAYS;
        let stagger = silence.mul_f64(self.stagger_fraction().powi(2));
        let wait = if self.has_no_planner() {
            stagger / 4
        } else {
            silence + stagger
        };
        let extra_wait = match candidate.has_fresh_configuration {
            true => Duration::ZERO,
            false => silence * UNVERIFIED_EXTRA_SILENCES,
        };
        let is_silent = now.since(self.seen) >= wait + extra_wait;
        let stale = self
            .stale_since
            .filter(|_| candidate.has_fresh_configuration);
        let grace = STALE_GRACE + candidate.store_delay * SILENCE_STORE_DELAYS + stagger / 4;
        let is_stale = stale.is_some_and(|since| now.since(since) >= grace);
        if !is_silent && !is_stale {
            return TermStep::Wait;
        }
        TermStep::Claim(Term {
            number: (self.term.number / NONCES + 1 + self.refused) * NONCES + self.nonce,
            entry: self.entry.clone(),
            resigned: false,
            stale: !candidate.has_fresh_configuration,
        })
    }

    /// Returns whether nobody plans.
    ///
    /// Whoever asks does not plan, so a term in its own name is one that an earlier process of it held.
    /// After a loss of power of all hosts nobody else would notice before its silence is over.
    fn has_no_planner(&self) -> bool {
        let own = self.term.entry == self.entry;
        own || self.term.resigned || self.term.number == 0
    }

    /// Returns the place of this entry among the candidates for the next term, from 0 to 1. Its square
    /// spreads them so that the first few of many stand one after the other, and that of three the first
    /// still stands soon.
    fn stagger_fraction(&self) -> f64 {
        let step =
            spread(&format!("{}/{}", self.entry, self.term.number)) % u64::from(STAGGER_STEPS);
        step as f64 / f64::from(STAGGER_STEPS)
    }
}
