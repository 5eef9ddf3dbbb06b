//! Identifiers of attempts, and the names of their worker leases.

use serde::{Deserialize, Serialize};

use crate::{job::JobId, utils::Name};

/// Identifies one attempt to run a job.
///
/// The term is part of it because the planner of each term counts its own attempts: an attempt that
/// was abandoned before it reached the log is unknown to later planners, and still differs from all
/// their attempts.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct GangId {
    /// The job that the attempt runs.
    pub job: JobId,
    /// The term of the planner that started the attempt.
    pub term: u64,
    /// The number of the attempt, from 1.
    pub attempt: u32,
}

/// The member of a gang that is encoded in the name of its worker lease.
///
/// The name contains everything that an agent needs to continue with a member after its process was
/// replaced, since hosts store nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseName {
    /// The attempt of the job that the member belongs to.
    pub gang: GangId,
    /// The number of the member, from 0.
    pub member: u32,
    /// The number of members of the gang.
    pub members: u32,
}

impl LeaseName {
    /// Returns the name of the lease, which is safe in a URL path if the job's name is.
    pub fn to_name(&self) -> Name {
        let GangId { job, term, attempt } = &self.gang;
        let (member, members) = (self.member, self.members);
        format!("{term}.{attempt}.{member}.{members}.{job}").into()
    }

    /// Parses the name of a lease; returns none if this system did not create it.
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
