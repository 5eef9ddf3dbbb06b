//! Orders as they are written to the store.

use std::sync::Arc;

use dragonflyrun::workload::{Order, OrderMessage, RunId, TaskId, TaskStart, decode, encode};

fn start(job: &str, index: u32, payload: &str) -> TaskStart {
    TaskStart {
        run: RunId {
            task: TaskId {
                job: job.into(),
                occurrence: 0,
                step: 0,
                index,
            },
            number: 1,
        },
        payload: Arc::from(payload),
        checkpoint: String::new(),
        ticket: None,
    }
}

fn message(starts: Vec<TaskStart>) -> OrderMessage {
    OrderMessage::Order {
        worker: "w".into(),
        session: 7,
        order: Order {
            starts,
            ..Order::default()
        },
    }
}

/// Guards against a start that gets what another job's caller handed in.
#[test]
fn payloads_round_trip() {
    arbtest::arbtest(|u| {
        let payloads = ["", "one", "other"];
        let mut starts = Vec::new();
        for index in 0..u.int_in_range(0..=12)? {
            starts.push(start("job", index, u.choose(&payloads)?));
        }
        let sent = message(starts);
        assert_eq!(decode::<OrderMessage>(&encode(&sent)), Some(sent));
        Ok(())
    });
}

/// Guards against orders that grow with tasks times what their caller handed in: on a slow link all
/// that comes later waits for them.
#[test]
fn payload_sent_once() {
    let payload = "x".repeat(1_500);
    let starts = (0..8).map(|index| start("job", index, &payload));
    let bytes = encode(&message(starts.collect())).len();
    assert!(bytes < 2 * payload.len(), "{bytes}");
}
