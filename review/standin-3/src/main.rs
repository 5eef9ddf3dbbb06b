//! The cases of the third review. Each starts the project's processes over loopback, between stand-ins of the
//! store, the workers and the consumers, and exits with 1 if a rule was broken, 0 if it held, and 2 if it
//! couldn't run.

mod cases;
mod deployment;
mod record;
mod store;
mod worker;

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    path::PathBuf,
    rc::Rc,
    time::Duration,
};

use tokio::{
    signal::unix::{SignalKind, signal},
    task::LocalSet,
    time::timeout,
};

use record::Record;

/// A case ends after this time whatever happens.
const LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-3 CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    // A stand-in that can't do its part panics; the case then couldn't run.
    let run = AssertUnwindSafe(|| {
        LocalSet::new().block_on(&runtime, async {
            let path = PathBuf::from(folder).join("record.txt");
            let record = Rc::new(Record::create(&path).expect("record.txt"));
            record.line(&format!("case {case}, trouble: {has_trouble}"));
            // The processes are killed when the case is dropped.
            let case = timeout(LIMIT, cases::run(&case, record.clone(), has_trouble));
            let outcome = tokio::select! {
                outcome = case => outcome,
                () = stop_signal() => Ok(None),
            };
            match outcome {
                Ok(Some(broken)) => {
                    let verdict = if broken {
                        "the rule is broken"
                    } else {
                        "the rule held"
                    };
                    record.line(verdict);
                    i32::from(broken)
                }
                Ok(None) => {
                    record.line("the case couldn't run");
                    2
                }
                Err(_) => {
                    record.line("the case didn't end in time");
                    2
                }
            }
        })
    });
    std::process::exit(catch_unwind(run).unwrap_or(2));
}

/// Waits for a signal to stop.
async fn stop_signal() {
    let mut terminate = signal(SignalKind::terminate()).expect("a signal handler");
    let mut interrupt = signal(SignalKind::interrupt()).expect("a signal handler");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
