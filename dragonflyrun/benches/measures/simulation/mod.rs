//! A discrete-event simulation of the scheduler with arriving jobs, workers and failures. It models
//! neither hosts nor the network.

mod figures;
mod naive;
mod policy;
mod workload;
mod world;

pub(crate) use figures::Figures;
pub(crate) use naive::Naive;
pub(crate) use policy::Policy;
pub(crate) use workload::Workload;
pub(crate) use world::World;
