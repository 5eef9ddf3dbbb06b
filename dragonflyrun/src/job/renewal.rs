//! Which gangs an entry may renew: those whose members it knows to run, all of them.
//!
//! Every entry keeps this table, from what the agents report, without the log and without the
//! planner. So a gang goes on as long as one entry hears all its members, and stops within its
//! lease as soon as none does.
//!
//! The work for a heartbeat grows with the members of that agent and not with the size of their
//! gangs: an agent that was not heard for [`LATE`] is marked at each of its gangs, and a gang
//! without such a mark has all members alive since [`LATE`] at the latest.

use std::time::Duration;

use crate::{
    connection::{GangMessage, MemberReport, MemberState},
    job::{GANG_LEASE, GangId, JobId},
    utils::{HashMap, HashSet, Name, Timestamp},
};

/// Age of the last proof that an agent was alive up to which its gangs are renewed without a look
/// at each member.
pub const LATE: Duration = Duration::from_millis(750);

/// A message for an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct Notice {
    /// The agent.
    pub to: Name,
    /// The message.
    pub message: GangMessage,
}

#[derive(Debug, Default)]
struct Agent {
    incarnation: u64,
    confirmed: Option<Timestamp>,
    late: bool,
    members: Vec<MemberReport>,
}

#[derive(Debug, Default)]
struct Gang {
    members: u32,
    states: HashMap<Name, MemberState>,
    running: u32,
    /// Members that have finished. They stay so when their agents are gone: the rest goes on.
    finished: HashSet<Name>,
    lost: u32,
    late: u32,
    /// Whether the members were told that it is broken. They are told once: each of them that
    /// stops is lost in its turn, and whoever is not reached stops at the end of its lease.
    told: bool,
}

/// The gangs and their members as one entry hears them.
#[derive(Debug, Default)]
pub struct Renewals {
    agents: HashMap<Name, Agent>,
    gangs: HashMap<GangId, Gang>,
    fenced: HashSet<GangId>,
    /// When the agents that were not heard for a while were last marked.
    marked: Timestamp,
}

impl Renewals {
    /// Takes an agent's report in place of its last one, and returns what the other members of
    /// broken gangs are to be told. `incarnation` tells the agent's process from its predecessor,
    /// whose proofs of life say nothing about this one.
    pub fn report(
        &mut self,
        agent: &Name,
        incarnation: u64,
        members: Vec<MemberReport>,
    ) -> Vec<Notice> {
        let known = self.agents.remove(agent).unwrap_or_default();
        self.leave(agent, &known);
        let mut next = Agent {
            members,
            incarnation,
            // Nothing was proved for the new report before its agent is heard again.
            confirmed: None,
            late: true,
        };
        if known.incarnation == incarnation {
            next.confirmed = known.confirmed;
            next.late = known.late;
        }
        self.join(agent, &next);
        let lost = next.members.iter().filter(|m| is_lost(m.state));
        let notices = lost.flat_map(|m| self.broken(&m.gang)).collect();
        self.agents.insert(agent.clone(), next);
        notices
    }

    /// Takes note of a heartbeat, and returns the renewal that answers it. `confirmed` is a moment
    /// of this entry's clock at which the agent was alive for certain.
    pub fn heard(
        &mut self,
        now: Timestamp,
        agent: &Name,
        confirmed: Option<Timestamp>,
        sent_ms: u64,
    ) -> Option<GangMessage> {
        let state = self.agents.get_mut(agent)?;
        state.confirmed = state.confirmed.max(confirmed);
        let late = is_late(now, state.confirmed);
        if late != state.late {
            self.mark(agent, late);
        }
        self.renewal(now, agent, sent_ms)
    }

    /// Marks the agents that were not heard for a while; to be called several times within
    /// [`LATE`].
    pub fn tick(&mut self, now: Timestamp) {
        self.marked = now;
        let late: Vec<Name> = self
            .agents
            .iter()
            .filter(|(_, a)| !a.late && is_late(now, a.confirmed))
            .map(|(name, _)| name.clone())
            .collect();
        for agent in late {
            self.mark(&agent, true);
        }
    }

    /// Renews this attempt no more.
    pub fn fence(&mut self, gang: GangId) {
        self.fenced.insert(gang);
    }

    /// Takes note that the log has the end of all attempts of a job so far.
    pub fn settled(&mut self, job: &JobId) {
        self.fenced.retain(|gang| gang.job != *job);
    }

    /// Forgets an agent that is gone.
    pub fn gone(&mut self, agent: &Name) {
        if let Some(state) = self.agents.remove(agent) {
            self.leave(agent, &state);
        }
    }

    fn renewal(&self, now: Timestamp, agent: &Name, echo_ms: u64) -> Option<GangMessage> {
        let mut age = Duration::ZERO;
        let mut members = Vec::new();
        for member in &self.agents.get(agent)?.members {
            if member.state != MemberState::Running || self.fenced.contains(&member.gang) {
                continue;
            }
            if let Some(gang_age) = self.age(now, &member.gang) {
                age = age.max(gang_age);
                members.push(member.number);
            }
        }
        (!members.is_empty()).then(|| GangMessage::Renewal {
            echo_ms,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            members,
        })
    }

    /// Returns a time since which all members of the gang were alive and running; none where that
    /// is not known, or so long ago that a renewal would be worth nothing.
    fn age(&self, now: Timestamp, gang: &GangId) -> Option<Duration> {
        let gang = self.gangs.get(gang)?;
        let whole = gang.running as usize + gang.finished.len() == gang.members as usize;
        if gang.lost > 0 || !whole {
            return None;
        }
        if gang.late == 0 {
            // This process may have been frozen since it marked the late ones, and then some of
            // those that are not marked were not heard for that much longer.
            let age = LATE + now.since(self.marked);
            return (age < GANG_LEASE).then_some(age);
        }
        let mut age = Duration::ZERO;
        for (agent, state) in &gang.states {
            // What has finished need not be alive.
            if *state == MemberState::Running {
                let confirmed = self.agents.get(agent)?.confirmed?;
                age = age.max(now.since(confirmed));
            }
        }
        (age < GANG_LEASE).then_some(age)
    }

    fn broken(&mut self, gang: &GangId) -> Vec<Notice> {
        let Some(members) = self.gangs.get_mut(gang).filter(|g| !g.told) else {
            return Vec::new();
        };
        members.told = true;
        members
            .states
            .iter()
            .filter(|(_, s)| matches!(s, MemberState::Running | MemberState::Reserved))
            .map(|(agent, _)| Notice {
                to: agent.clone(),
                message: GangMessage::Broken { gang: gang.clone() },
            })
            .collect()
    }

    fn mark(&mut self, agent: &Name, late: bool) {
        let Some(state) = self.agents.get_mut(agent) else {
            return;
        };
        state.late = late;
        for member in state.members.iter().filter(|m| needs_life(m.state)) {
            if let Some(gang) = self.gangs.get_mut(&member.gang) {
                gang.late = if late {
                    gang.late + 1
                } else {
                    gang.late.saturating_sub(1)
                };
            }
        }
    }

    fn join(&mut self, agent: &Name, state: &Agent) {
        for member in &state.members {
            let gang = self.gangs.entry(member.gang.clone()).or_default();
            gang.members = gang.members.max(member.members);
            gang.states.insert(agent.clone(), member.state);
            if member.state == MemberState::Finished {
                gang.finished.insert(agent.clone());
            }
            gang.count(member.state, state.late, |n| n + 1);
        }
    }

    fn leave(&mut self, agent: &Name, state: &Agent) {
        for member in &state.members {
            let Some(gang) = self.gangs.get_mut(&member.gang) else {
                continue;
            };
            gang.states.remove(agent);
            gang.count(member.state, state.late, |n| n - 1);
            if gang.states.is_empty() {
                self.gangs.remove(&member.gang);
            }
        }
    }
}

impl Gang {
    fn count(&mut self, state: MemberState, late: bool, change: impl Fn(u32) -> u32) {
        match state {
            MemberState::Running => self.running = change(self.running),
            s if is_lost(s) => self.lost = change(self.lost),
            _ => {}
        }
        if late && needs_life(state) {
            self.late = change(self.late);
        }
    }
}

fn is_late(now: Timestamp, confirmed: Option<Timestamp>) -> bool {
    confirmed.is_none_or(|at| now.since(at) > LATE)
}

fn needs_life(state: MemberState) -> bool {
    state == MemberState::Running
}

fn is_lost(state: MemberState) -> bool {
    matches!(
        state,
        MemberState::Refused
            | MemberState::Stopping
            | MemberState::Failed
            | MemberState::Stopped { .. }
    )
}
