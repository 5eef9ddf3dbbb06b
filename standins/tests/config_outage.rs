//! An accepted configuration is in force in every process within seconds and is never reverted.

use std::{
    panic::resume_unwind,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering}, //
    },
    thread::{self, JoinHandle, sleep},
    time::Duration,
};

use standins::{
    caller::Caller,
    harness::{Deployment, unix_ms, wait_until},
    log::LogMode,
    relay::LinkMode,
};

/// Maximum time in milliseconds until an accepted edit is in force in every process.
const MAX_IN_FORCE_MS: u64 = 6_000;

/// Checks in the background that the version in force in each entry never decreases.
struct VersionWatch {
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl VersionWatch {
    fn start(callers: Vec<Caller>) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let threads = callers.into_iter().map(|caller| {
            let stopping = stopping.clone();
            thread::spawn(move || watch(&caller, &stopping))
        });
        Self {
            threads: threads.collect(),
            stopping,
        }
    }

    fn stop(self) {
        self.stopping.store(true, Ordering::Relaxed);
        for thread in self.threads {
            if let Err(panic) = thread.join() {
                resume_unwind(panic);
            }
        }
    }
}

fn watch(caller: &Caller, stopping: &AtomicBool) {
    let mut seen = 0;
    while !stopping.load(Ordering::Relaxed) {
        if let Ok(status) = caller.status() {
            // A restarted entry reports 0 until it has received the document.
            assert!(
                status.version == 0 || status.version >= seen,
                "the version in force was reverted"
            );
            seen = seen.max(status.version);
        }
        sleep(Duration::from_millis(50));
    }
}

/// Waits until the entry sees that every process has `version` in force.
fn wait_in_force(deployment: &Deployment, entry: usize, version: u64) {
    let peers = deployment.entries.len() + deployment.agents.len() - 1;
    let caller = deployment.caller(entry);
    wait_until("the version to be in force in every process", || {
        caller.status().is_ok_and(|s| {
            let in_force = s.peers.iter().filter(|p| p.version >= version);
            s.version >= version && in_force.count() >= peers
        })
    });
}

/// One entry alone reaches the log when an edit is accepted. All other processes must learn the
/// edit from that entry.
#[test]
fn learned_from_peers() {
    let deployment = Deployment::builder().start();
    let watch = VersionWatch::start(deployment.callers());
    deployment.entries[1].log_link.set_mode(LinkMode::Frozen);
    for agent in &deployment.agents {
        agent.log_link.set_mode(LinkMode::Cut);
    }
    sleep(Duration::from_secs(3));
    for in_service in [false, true, false] {
        let version = deployment.set_in_service("judenburg", in_service);
        let accepted = unix_ms();
        wait_in_force(&deployment, 0, version);
        let took = unix_ms() - accepted;
        assert!(took <= MAX_IN_FORCE_MS, "in force after {took} ms");
    }
    watch.stop();
}

/// The log goes down right after an edit, and an entry and an agent are restarted during the
/// outage. They must take the current document from their peers, not an older one.
#[test]
fn started_in_outage() {
    let mut deployment = Deployment::builder().start();
    let version = deployment.set_in_service("judenburg", false);
    wait_in_force(&deployment, 0, version);
    let watch = VersionWatch::start(deployment.callers());
    deployment.set_log(LogMode::Refuse);
    deployment.restart_entry(1);
    deployment.restart_agent(2);
    wait_in_force(&deployment, 0, version);
    wait_in_force(&deployment, 1, version);
    deployment.set_log(LogMode::Up);
    let version = deployment.set_in_service("judenburg", true);
    wait_in_force(&deployment, 0, version);
    watch.stop();
}

/// The log has dropped the records of the document when a process starts. The process must rebuild
/// the document from the state that the planner repeats, with the same result as everywhere else.
#[test]
fn records_dropped() {
    let mut deployment = Deployment::builder().start();
    let version = deployment.set_in_service("judenburg", false);
    wait_in_force(&deployment, 0, version);
    let watch = VersionWatch::start(deployment.callers());
    for round in 0..20 {
        deployment.set_in_service("murau", round % 2 == 1);
    }
    let version = deployment.set_in_service("judenburg", true);
    wait_in_force(&deployment, 0, version);
    let first = deployment.drop_old_records();
    assert!(first > version, "the log still has the edits");
    deployment.restart_agent(0);
    deployment.restart_entry(1);
    wait_in_force(&deployment, 0, version);
    wait_in_force(&deployment, 1, version);
    watch.stop();
}
