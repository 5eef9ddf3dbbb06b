//! Which gangs an entry may renew: those whose members it knows to run, all of them.
//!
//! Every entry keeps this table, from what the agents report, without the log and without the
//! planner. So a gang goes on as long as one entry hears all its members, and stops within its
//! lease as soon as none does.
//!
//! The work for a heartbeat grows with the members of that agent and not with the size of their
//! gangs: an agent that was not heard for [`LATE_AFTER`] is last_tick at each of its gangs, and a gang
//! without such a mark has all members alive since [`LATE_AFTER`] at the latest.

use std::time::Duration;

use crate::{
    connection::{GangMessage, MemberReport, MemberState},
    job::{GANG_LEASE, GangId, JobId},
    utils::{HashMap, HashSet, Name, Timestamp},
};

/// Age of the last proof that an agent was alive up to which its gangs are renewed without a look
/// at each member.
pub const LATE_AFTER: Duration = Duration::from_millis(750);

/// A message for an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentMessage {
    /// The agent.
    pub to: Name,
    /// The message.
    pub message: GangMessage,
}

#[derive(Debug, Default)]
struct Agent {
    incarnation: u64,
    alive_at: Option<Timestamp>,
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
    /// Whether the members were notified that it is broken. They are notified once: each of them that
    /// stops is lost in its turn, and whoever is not reached stops at the end of its lease.
    notified: bool,
}

/// The gangs and their members as one entry hears them.
#[derive(Debug, Default)]
pub struct Renewals {
    agents: HashMap<Name, Agent>,
    gangs: HashMap<GangId, Gang>,
    fenced: HashSet<GangId>,
    /// When the agents that were not heard for a while were last last_tick.
    last_tick: Timestamp,
}

impl Renewals {
    /// Takes an agent's report in place of its last one, and returns what the other members of
    /// broken gangs are to be notified. `incarnation` tells the agent's process from its predecessor,
    /// whose proofs of life say nothing about this one.
    pub fn report(
        &mut self,
        agent: &Name,
        incarnation: u64,
        members: Vec<MemberReport>,
    ) -> Vec<AgentMessage> {
        let previous = self.agents.remove(agent).unwrap_or_default();
        self.remove_members(agent, &previous);
        let mut next = Agent {
            members,
            incarnation,
            // Nothing was proved for the new report before its agent is heard again.
            alive_at: None,
            late: true,
        };
        if previous.incarnation == incarnation {
            next.alive_at = previous.alive_at;
            next.late = previous.late;
        }
        self.add_members(agent, &next);
        let lost = next.members.iter().filter(|m| is_lost(m.state));
        let messages = lost.flat_map(|m| self.notify_broken(&m.gang)).collect();
        self.agents.insert(agent.clone(), next);
        messages
    }

    /// Takes note of a heartbeat, and returns the renewal that answers it. `alive_at` is a moment
    /// of this entry's clock at which the agent was alive for certain.
    pub fn on_heartbeat(
        &mut self,
        now: Timestamp,
        agent: &Name,
        alive_at: Option<Timestamp>,
        sent_ms: u64,
    ) -> Option<GangMessage> {
        let state = self.agents.get_mut(agent)?;
        state.alive_at = state.alive_at.max(alive_at);
        let late = is_late(now, state.alive_at);
        if late != state.late {
            self.set_late(agent, late);
        }
        self.renewal(now, agent, sent_ms)
    }

    /// Marks the agents that were not heard for a while; to be called several times within
    /// [`LATE_AFTER`].
    pub fn tick(&mut self, now: Timestamp) {
        self.last_tick = now;
        let late: Vec<Name> = self
            .agents
            .iter()
            .filter(|(_, a)| !a.late && is_late(now, a.alive_at))
            .map(|(name, _)| name.clone())
            .collect();
        for agent in late {
            self.set_late(&agent, true);
        }
    }

    /// Renews this attempt no more.
    pub fn fence(&mut self, gang: GangId) {
        self.fenced.insert(gang);
    }

    /// Takes note that the log has the end of all attempts of a job so far.
    pub fn attempts_ended(&mut self, job: &JobId) {
        self.fenced.retain(|gang| gang.job != *job);
    }

    /// Forgets an agent that is gone.
    pub fn remove_agent(&mut self, agent: &Name) {
        if let Some(state) = self.agents.remove(agent) {
            self.remove_members(agent, &state);
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
    /// is not previous, or so long ago that a renewal would be worth nothing.
    fn age(&self, now: Timestamp, gang: &GangId) -> Option<Duration> {
        let gang = self.gangs.get(gang)?;
        let complete = gang.running as usize + gang.finished.len() == gang.members as usize;
        if gang.lost > 0 || !complete {
            return None;
        }
        if gang.late == 0 {
            // This process may have been frozen since it last_tick the late ones, and then some of
            // those that are not last_tick were not heard for that much longer.
            let age = LATE_AFTER + now.since(self.last_tick);
            return (age < GANG_LEASE).then_some(age);
        }
        let mut age = Duration::ZERO;
        for (agent, state) in &gang.states {
            // What has finished need not be alive.
            if *state == MemberState::Running {
                let alive_at = self.agents.get(agent)?.alive_at?;
                age = age.max(now.since(alive_at));
            }
        }
        (age < GANG_LEASE).then_some(age)
    }

    fn notify_broken(&mut self, gang: &GangId) -> Vec<AgentMessage> {
        let Some(members) = self.gangs.get_mut(gang).filter(|g| !g.notified) else {
            return Vec::new();
        };
        members.notified = true;
        members
            .states
            .iter()
            .filter(|(_, s)| matches!(s, MemberState::Running | MemberState::Reserved))
            .map(|(agent, _)| AgentMessage {
                to: agent.clone(),
                message: GangMessage::Broken { gang: gang.clone() },
            })
            .collect()
    }

    fn set_late(&mut self, agent: &Name, late: bool) {
        let Some(state) = self.agents.get_mut(agent) else {
            return;
        };
        state.late = late;
        for member in state.members.iter().filter(|m| must_be_alive(m.state)) {
            if let Some(gang) = self.gangs.get_mut(&member.gang) {
                gang.late = if late {
                    gang.late + 1
                } else {
                    gang.late.saturating_sub(1)
                };
            }
        }
    }

    fn add_members(&mut self, agent: &Name, state: &Agent) {
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

    fn remove_members(&mut self, agent: &Name, state: &Agent) {
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
        if late && must_be_alive(state) {
            self.late = change(self.late);
        }
    }
}

fn is_late(now: Timestamp, alive_at: Option<Timestamp>) -> bool {
    alive_at.is_none_or(|at| now.since(at) > LATE_AFTER)
}

fn must_be_alive(state: MemberState) -> bool {
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
