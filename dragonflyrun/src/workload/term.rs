//! The election of the planner among the entries. There is one planner at a time, determined by terms
//! in the store.
//!
//! A candidate claims a term with an append that the store executes only if the partition still ends
//! at the offset up to which the candidate has read. The number of the term is the fencing token of
//! all later appends of the planner. Of two candidates therefore only one wins, and a planner that
//! was replaced can't append any more, however late its calls arrive.
//!
//! A planner that is alive but can't do all of its work is impaired, and its heartbeats say why. Only an
//! entry that can do that work replaces it; if no entry can, the planner keeps its term and continues
//! with the rest of the work (`docs/incidents/planner-without-configuration.md`). There are two causes:
//! it can't prove that its configuration is in force, so that it starts no tasks, or it can't read some
//! partitions of reports, so that it doesn't learn of ends. The first an entry can prove by what it
//! follows itself; for the second it has to read those partitions.

use std::time::Duration;

use crate::{
    utils::{Name, Timestamp, stable_hash},
    workload::{Term, entries::is_standby},
};

/// Time without a heartbeat or a plan after which a planner is replaced if the store answers without
/// delay: three heartbeat intervals and the pause between two reads of another entry. A claim fails
/// if any record, such as a late heartbeat, was appended to the partition in the meantime, so a
/// planner that is alive isn't replaced by mistake.
const MAX_SILENCE: Duration = Duration::from_millis(800);

/// Additional silence, as a multiple of the store's delay: on a slow store the planner's heartbeats
/// and plans queue behind all other appends.
const SILENCE_STORE_DELAYS: u32 = 8;

/// How long a planner has to be impaired before another entry takes over. Its next heartbeat may
/// already report that it no longer is.
const IMPAIRED_GRACE: Duration = Duration::from_millis(250);

/// Additional wait of a candidate that can't prove its configuration, as a multiple of the allowed
/// silence. As planner it would start no tasks, and other entries may have the proof.
const UNVERIFIED_EXTRA_SILENCES: u32 = 2;

/// Time between the claims of two entries that stand by: a claim is stored and read by the next
/// entry within it.
const RANK_STAGGER: Duration = Duration::from_millis(60);

/// The same time on a slow store, as a multiple of the store's delay that is added.
const RANK_STAGGER_STORE_DELAYS: u32 = 2;

/// Number of steps of the stagger between candidates; the hash of a candidate's name and of the term
/// selects its step.
const STAGGER_STEPS: u32 = 1 << 10;

/// Number of term numbers per round, from which each process draws its own. Two candidates must not
/// claim the same number: the store would take the second append for a repeat of the first and
/// confirm it, and both would plan. Term numbers stay below 2^53, which every codec represents
/// exactly.
const NONCES: u64 = 1 << 20;

/// What an entry has to do in the election.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TermStep {
    /// Do nothing.
    Wait,
    /// Try to become planner by claiming this term.
    Claim(Term),
    /// Likewise, but only if these partitions of reports can be read.
    ClaimIfReadable(Term, Vec<u32>),
}

/// The conditions under which a candidate would plan.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The usual time that the store takes to answer this entry.
    pub store_delay: Duration,
    /// Whether the entry can prove that its configuration is in force, so that it would start tasks.
    pub has_fresh_configuration: bool,
    /// The entry's rank in the succession; `None` if it isn't known.
    pub rank: Option<usize>,
}

/// An entry's view of the planner and of the election.
#[derive(Clone, Debug)]
pub struct Election {
    entry: Name,
    nonce: u64,
    term: Term,
    seen: Timestamp,
    /// Since when the planner has been reporting that it is impaired.
    impaired_since: Option<Timestamp>,
    /// The number of claims since the newest term that the store refused because it had seen a higher
    /// number.
    refused: u64,
}

impl Election {
    /// Returns the view of an entry that has seen no planner yet. `nonce` is a random number drawn at
    /// the start of the process.
    pub fn new(entry: Name, nonce: u64, now: Timestamp) -> Self {
        Self {
            entry,
            nonce: nonce % NONCES,
            term: Term::default(),
            seen: now,
            impaired_since: None,
            refused: 0,
        }
    }

    /// Applies a heartbeat of a planner. Those of earlier terms are ignored.
    pub fn saw_heartbeat(&mut self, now: Timestamp, term: &Term) {
        if term.number >= self.term.number {
            let is_same = term.number == self.term.number;
            let since = self.impaired_since.filter(|_| is_same);
            self.impaired_since = term.is_impaired().then(|| since.unwrap_or(now));
            self.refused = 0;
            self.term = term.clone();
            self.seen = now;
        }
    }

    /// Records that the planner has stored a plan, which proves that it is alive.
    pub fn saw_plan(&mut self, now: Timestamp) {
        if !self.term.resigned {
            self.seen = now;
        }
    }

    /// Records that the store could not be read until now. The planner's silence counts from here, and
    /// so does the time for which it has been impaired, since it may no longer be.
    pub fn store_regained(&mut self, now: Timestamp) {
        self.seen = now;
        self.impaired_since = self.impaired_since.map(|_| now);
    }

    /// Returns the newest term.
    pub fn term(&self) -> &Term {
        &self.term
    }

    /// Returns when the planner last proved that it is alive.
    pub fn seen(&self) -> Timestamp {
        self.seen
    }

    /// Records that the store refused a claim because it has seen a higher number. The next claim
    /// skips a round of numbers.
    ///
    /// The store remembers the number of a claim even if it doesn't execute it because the partition
    /// has grown. If that candidate then crashed, all other candidates would claim lower numbers of
    /// the same round again and again, and there would be no planner any more.
    pub fn claim_refused(&mut self) {
        self.refused += 1;
    }

    /// Returns what to do at `now`.
    pub fn step(&self, now: Timestamp, candidate: Candidate) -> TermStep {
        let silence = MAX_SILENCE + candidate.store_delay * SILENCE_STORE_DELAYS;
        let stagger = self.stagger(candidate, silence);
        let wait = if self.was_own_term() {
            Duration::ZERO
        } else if self.term.resigned || self.term.number == 0 {
            stagger / 4
        } else {
            silence + stagger
        };
        let extra_wait = match candidate.has_fresh_configuration {
            true => Duration::ZERO,
            false => silence * UNVERIFIED_EXTRA_SILENCES,
        };
        let is_silent = now.since(self.seen) >= wait + extra_wait;
        let impaired = self
            .impaired_since
            .filter(|_| candidate.has_fresh_configuration);
        // The reads that have to succeed before the claim take a part of the stagger.
        let impaired_stagger = match self.term.stale {
            true => stagger / 4,
            false => stagger,
        };
        let delays = candidate.store_delay * SILENCE_STORE_DELAYS;
        let grace = IMPAIRED_GRACE + delays + impaired_stagger;
        let is_impaired = impaired.is_some_and(|since| now.since(since) >= grace);
        if !is_silent && !is_impaired {
            return TermStep::Wait;
        }
        let term = Term {
            number: (self.term.number / NONCES + 1 + self.refused) * NONCES + self.nonce,
            entry: self.entry.clone(),
            resigned: false,
            stale: !candidate.has_fresh_configuration,
            unread_reports: Vec::new(),
        };
        if is_silent || self.term.stale {
            return TermStep::Claim(term);
        }
        TermStep::ClaimIfReadable(term, self.term.unread_reports.clone())
    }

    /// Returns whether an earlier process of this entry held the term until it ended.
    ///
    /// Only entries that don't plan ask this, so there is certainly no planner. After a power loss of
    /// all hosts, without this rule no entry would claim a term until the allowed silence is over.
    fn was_own_term(&self) -> bool {
        self.term.entry == self.entry && !self.term.resigned
    }

    /// Returns how much later than the first candidate this entry claims the next term.
    ///
    /// The entries that stand by claim one after the other. The others come after all of them, since
    /// they see the planner's heartbeats only when they read, at intervals.
    fn stagger(&self, candidate: Candidate, silence: Duration) -> Duration {
        match candidate.rank {
            Some(rank) if is_standby(rank) => {
                let step = RANK_STAGGER + candidate.store_delay * RANK_STAGGER_STORE_DELAYS;
                step * u32::try_from(rank).unwrap_or(u32::MAX)
            }
            Some(_) => silence.mul_f64(1.0 + self.stagger_fraction()),
            None => silence.mul_f64(self.stagger_fraction().powi(2)),
        }
    }

    /// Returns the stagger of this entry among the candidates for the next term, from 0 to 1.
    ///
    /// Its square spreads the waits so that the first few of many candidates claim one after the
    /// other, while the first of only three candidates still claims soon.
    fn stagger_fraction(&self) -> f64 {
        let step =
            stable_hash(&format!("{}/{}", self.entry, self.term.number)) % u64::from(STAGGER_STEPS);
        step as f64 / f64::from(STAGGER_STEPS)
    }
}
