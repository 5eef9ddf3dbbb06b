//! What tells one attempt of a job from every other.

use serde::{Deserialize, Serialize};

use crate::{job::JobId, utils::Name};

/// One attempt to run a job.
///
/// The planner of each term counts its own attempts, so an attempt that was given up before it
/// reached the log, and which a later planner can't know of, still differs from all later ones.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct GangId {
    /// The job.
    pub job: JobId,
    /// The term of the planner that began the attempt.
    pub term: u64,
    /// The attempt, from 1.
    pub attempt: u32,
}

/// A member of a gang as the name of its worker lease tells it.
///
/// The name says all that an agent needs to go on with a member after its process was replaced,
/// since hosts keep nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseName {
    /// The gang.
    pub gang: GangId,
    /// The number of the member, from 0.
    pub member: u32,
    /// How many members the gang has.
    pub members: u32,
}

impl LeaseName {
    /// Returns the name of the lease, which is safe in the path of a URL where the job's name is.
    pub fn to_name(&self) -> Name {
        let GangId { job, term, attempt } = &self.gang;
        let (member, members) = (self.member, self.members);
        format!("{term}.{attempt}.{member}.{members}.{job}").into()
    }

    /// Reads the name of a lease; none where the system did not make it.
    pub fn parse(name: &str) -> Option<Self> {
        let mut parts = name.splitn(5, '.');
        let term = parts.next()?.parse().ok()?;
        let attempt = parts.next()?.parse().ok()?;
        let member = parts.next()?.parse().ok()?;
        let members = parts.next()?.parse().ok()?;
        let job = parts.next().filter(|job| !job.is_empty())?.into();
        Some(Self {
            gang: GangId { job, term, attempt },
            member,
            members,
        })
    }
}
