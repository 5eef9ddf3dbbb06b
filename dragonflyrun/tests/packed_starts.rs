//! The encoding of orders in the store.

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

/// Guards against a start with the payload of another job.
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

/// Guards against orders whose size is the number of tasks times the payload: on a slow link
/// everything after them is delayed.
#[test]
fn payload_sent_once() {
    let payload = "x".repeat(1_500);
    let starts = (0..8).map(|index| start("job", index, &payload));
    let bytes = encode(&message(starts.collect())).len();
    assert!(bytes < 2 * payload.len(), "{bytes}");
}
