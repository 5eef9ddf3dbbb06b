//! Plays the cases of the second review: `standin CASE FOLDER`. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case couldn't run. `TROUBLE=0` leaves out the disruption.

mod cases;
mod deployment;
mod net;
mod store;
mod worker;

use std::{path::PathBuf, process::exit, thread, time::Duration};

use net::Record;

/// Longest time of a case.
const MAX_TIME: Duration = Duration::from_secs(115);

pub fn cannot_run(why: &str) -> ! {
    deployment::stop_all();
    eprintln!("the case could not run: {why}");
    exit(2);
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        cannot_run("usage: standin CASE FOLDER");
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    record.line(format!("case {case}, with the disruption: {trouble}"));
    let play = match case.as_str() {
        "reclaim" => cases::reclaim,
        "heartbeat" => cases::heartbeat,
        "attempts" => cases::attempts,
        _ => cannot_run("no such case"),
    };
    let playing = {
        let record = record.clone();
        thread::spawn(move || play(&record, trouble))
    };
    let began = std::time::Instant::now();
    while !playing.is_finished() && began.elapsed() < MAX_TIME {
        thread::sleep(Duration::from_millis(20));
    }
    if !playing.is_finished() {
        cannot_run("it took too long");
    }
    let outcome = playing.join();
    deployment::stop_all();
    match outcome {
        Ok(Ok(())) => {
            record.line("the rule held");
            println!("the rule held");
        }
        Ok(Err(broken)) => {
            record.line(format!("BROKEN {broken}"));
            println!("BROKEN {broken}");
            exit(1);
        }
        Err(_) => cannot_run("the stand-in failed"),
    }
}
