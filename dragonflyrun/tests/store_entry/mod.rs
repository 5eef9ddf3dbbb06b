//! Common parts of the tests that run an entry or an agent on a store of their own.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::time::Duration;

use dragonflyrun::{
    port::{AdviceAnswer, AdviceQuestion, Advisor, Configuration, Queue},
    process::on_store::{StoreBounds, StoreSettings},
};

/// The advisor of a deployment without one: it has no answer to any question.
pub(crate) struct NoAdvisor;

impl Advisor for NoAdvisor {
    async fn advise(&self, _: &AdviceQuestion) -> Option<AdviceAnswer> {
        None
    }
}

/// Returns a configuration with one public queue.
pub(crate) fn configuration() -> Configuration {
    Configuration {
        version: 1,
        queues: vec![Queue {
            name: "q".into(),
            host: "host".into(),
            prefix: "/q/".into(),
            service: "svc".into(),
            priority: 0,
            max_attempts: 3,
            stretch: 3.0,
            target: Duration::from_secs(1),
            public: true,
            advice: None,
        }],
        ..Configuration::default()
    }
}

/// Returns the settings of an entry.
pub(crate) fn settings() -> StoreSettings {
    StoreSettings {
        name: "entry".into(),
        partitions: 12,
        cpu_millis: None,
        link_bytes_per_s: None,
        store_read_bytes_per_s: None,
        bounds: StoreBounds {
            lease: Duration::from_secs(10),
            revoke: Duration::from_secs(60),
            apply: Duration::from_secs(5),
            keep_ended: Duration::from_secs(120),
            grace: Duration::from_secs(6),
            far_factor: 3.0,
            checkpoint_every: Duration::ZERO,
        },
    }
}
