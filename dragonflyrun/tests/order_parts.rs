//! Orders that are split because the store limits the size of a record.

use std::sync::Arc;

use arbtest::arbtest;
use dragonflyrun::workload::{
    Attention, MAX_JOB_NAME_BYTES, Order, RunId, TaskId, TaskStart, encode,
};

/// Bytes of an order without starts.
const EMPTY_ORDER_BYTES: usize = 64;

fn run(job: &str, index: u32) -> RunId {
    RunId {
        task: TaskId {
            job: job.into(),
            occurrence: u32::MAX,
            step: u32::MAX,
            index,
        },
        number: u32::MAX,
    }
}

/// Guards against starts that are lost, repeated or reordered when an order is split, against parts that
/// are too large for the store, and against a fence that a start follows.
#[test]
fn parts_equal_whole() {
    arbtest(|u| {
        let max_bytes = u.int_in_range(1_000..=20_000)?;
        let mut starts = Vec::new();
        for index in 0..u.int_in_range(0..=40)? {
            let payload_bytes = u.int_in_range(0..=4_000)?;
            let payload: Arc<str> = match starts.last() {
                Some(TaskStart { payload, .. }) if u.arbitrary()? => payload.clone(),
                _ => "\\".repeat(payload_bytes).into(),
            };
            let job = "j".repeat(u.int_in_range(1..=MAX_JOB_NAME_BYTES)?);
            starts.push(TaskStart {
                run: run(&job, index),
                payload,
                checkpoint: "c".repeat(u.int_in_range(0..=40)?),
                ticket: u.arbitrary::<bool>()?.then(|| "t".repeat(60)),
            });
        }
        let whole = Order {
            stops: vec![run("stopped", 0)],
            starts,
            confirmed: u.arbitrary()?,
            fence: u.arbitrary()?,
            attention: u.arbitrary::<bool>()?.then_some(Attention::Seldom),
            speed: None,
        };
        let parts = whole.clone().split(max_bytes);
        let joined: Vec<_> = parts.iter().flat_map(|p| p.starts.clone()).collect();
        assert_eq!(joined, whole.starts);
        let (first, last) = (&parts[0], &parts[parts.len() - 1]);
        assert_eq!(
            (&first.stops, first.confirmed),
            (&whole.stops, whole.confirmed)
        );
        assert_eq!((last.fence, last.attention), (whole.fence, whole.attention));
        for (number, part) in parts.iter().enumerate() {
            assert!(number == 0 || part.stops.is_empty());
            assert!(number + 1 == parts.len() || (!part.fence && part.attention.is_none()));
            let bytes = encode(&Order {
                stops: Vec::new(),
                ..part.clone()
            })
            .len();
            assert!(part.starts.len() <= 1 || bytes <= max_bytes + EMPTY_ORDER_BYTES);
        }
        Ok(())
    });
}
