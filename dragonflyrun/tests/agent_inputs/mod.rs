//! A run and a heartbeat of a worker, as inputs of an agent's table.

use dragonflyrun::{
    port::Heartbeat,
    workload::{Resources, RunId, TaskId},
};

pub(crate) fn run() -> RunId {
    RunId {
        task: TaskId {
            job: "job".into(),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        number: 1,
    }
}

pub(crate) fn heartbeat() -> Heartbeat {
    Heartbeat {
        worker: "w".into(),
        born_ms: 5,
        address: "w:1".into(),
        service: "svc".into(),
        failure_domain: "d".into(),
        draining: false,
        capacity: Resources::default(),
        labels: Vec::new(),
        rack: None,
        remaining_ms: None,
        sequence: 1,
    }
}
