//! An accepted configuration is in force everywhere within seconds and never reverts.

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

/// Time within which an accepted edit is in force in every process.
const MAX_IN_FORCE_MS: u64 = 6_000;

/// Watches the versions that the entries have in force, themselves and each process they hear.
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
            // An entry's successor begins at 0 until it has heard of the document.
            assert!(status.version == 0 || status.version >= seen, "reverted");
            seen = seen.max(status.version);
        }
        sleep(Duration::from_millis(50));
    }
}

/// Waits until the entry knows that every process has `version` in force.
fn wait_in_force(deployment: &Deployment, entry: usize, version: u64) {
    let peers = deployment.entries.len() + deployment.agents.len() - 1;
    let caller = deployment.caller(entry);
    wait_until("the version everywhere", || {
        caller.status().is_ok_and(|s| {
            let in_force = s.peers.iter().filter(|p| p.version >= version);
            s.version >= version && in_force.count() >= peers
        })
    });
}

/// All processes but one entry are cut off from the log when an edit is accepted there. They hear
/// of it from that entry.
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

/// The log goes down right after it has taken an edit, and an entry and an agent are replaced while
/// it is. The successors take the document from their peers, not an older one.
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

/// The log has dropped the records of the document when a process starts. It rebuilds the document
/// from what the planner has carried forward, the same as everybody else has in force.
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
    assert!(first > version, "the edits are still on the log");
    deployment.restart_agent(0);
    deployment.restart_entry(1);
    wait_in_force(&deployment, 0, version);
    wait_in_force(&deployment, 1, version);
    watch.stop();
}
