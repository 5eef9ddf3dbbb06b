//! Lease renewals of gangs: an entry renews a gang only while it knows all its members to be
//! running.
//!
//! Every entry builds this table from the agents' reports alone, without the log and the planner. A
//! gang therefore continues as long as a single entry receives the heartbeats of all its members,
//! and stops within its lease once no entry does.
//!
//! The cost of a heartbeat grows with the number of members on that agent and not with the size of
//! their gangs: an agent without a heartbeat for [`LATE_AFTER`] is counted as late at each of its
//! gangs, and all members of a gang without late agents were alive within the last
//! [`LATE_AFTER`].

use std::time::Duration;

use crate::{
    connection::{GangMessage, MemberReport, MemberState},
    job::{GANG_LEASE, GangId, JobId},
    utils::{HashMap, HashSet, Name, Timestamp},
};

/// Time since an agent was last known to be alive after which it counts as late. A gang
/// without late agents is renewed without checking each member.
pub const LATE_AFTER: Duration = Duration::from_millis(750);

/// A message to an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentMessage {
    /// The name of the agent that receives the message.
    pub to: Name,
    /// The message about a member of a gang.
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
    /// Agents whose members have finished. They stay here when the agents are removed, so that the
    /// other members continue.
    finished: HashSet<Name>,
    lost: u32,
    late: u32,
    /// Whether the members were notified that the gang is broken. They are notified only once:
    /// every member that stops counts as lost in turn and would cause another notification, and a
    /// member that is not reached stops at the end of its lease.
    notified: bool,
}

/// The gangs and their members, as reported to one entry.
#[derive(Debug, Default)]
pub struct Renewals {
    agents: HashMap<Name, Agent>,
    gangs: HashMap<GangId, Gang>,
    fenced: HashSet<GangId>,
    /// When the late agents were last determined.
    last_tick: Timestamp,
}

impl Renewals {
    /// Replaces the last report of an agent, and returns the messages to the other members of
    /// broken gangs. `incarnation` identifies the process of the agent: heartbeats of its previous
    /// process do not show that this one is alive.
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
            // Until its next heartbeat, a new process is not known to be alive.
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

    /// Handles a heartbeat, and returns the renewal to answer it with. `alive_at` is a time on this
    /// entry's clock at which the agent was alive for certain.
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

    /// Determines the agents that have become late; to be called several times per
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

    /// Stops renewing an attempt.
    pub fn fence(&mut self, gang: GangId) {
        self.fenced.insert(gang);
    }

    /// Removes the fences of a job whose attempts so far have all ended on the log.
    pub fn attempts_ended(&mut self, job: &JobId) {
        self.fenced.retain(|gang| gang.job != *job);
    }

    /// Removes a lost agent.
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

    /// Returns how long ago all members of the gang were alive and running; none if that is unknown
    /// or so long ago that a renewal would have no effect.
    fn age(&self, now: Timestamp, gang: &GangId) -> Option<Duration> {
        let gang = self.gangs.get(gang)?;
        let complete = gang.running as usize + gang.finished.len() == gang.members as usize;
        if gang.lost > 0 || !complete {
            return None;
        }
        if gang.late == 0 {
            // This process may have been frozen since it last determined the late agents. The
            // heartbeats of the others may then be older by that time.
            let age = LATE_AFTER + now.since(self.last_tick);
            return (age < GANG_LEASE).then_some(age);
        }
        let mut age = Duration::ZERO;
        for (agent, state) in &gang.states {
            // A finished member need not be alive.
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
