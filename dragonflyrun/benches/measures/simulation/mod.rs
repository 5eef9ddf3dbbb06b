//! A small event loop over the decision tables on a fake clock: jobs arrive, workers run them,
//! things fail. It models no host and no network.

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
