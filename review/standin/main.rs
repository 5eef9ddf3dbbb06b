//! The stand-ins and the cases of the review. `stand CASE FOLDER` plays a case and writes its record to
//! the folder; the exit code is 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod cancel;
mod deployment;
mod ends;
mod net;
mod orders;
mod plan;
mod store;
mod worker;

use std::{path::PathBuf, process::ExitCode};

/// How a case ended.
#[derive(Clone, Copy)]
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (case, folder) = (args.next().unwrap_or_default(), args.next());
    let folder = PathBuf::from(folder.unwrap_or_else(|| ".".to_owned()));
    let trouble = std::env::var("TROUBLE").is_ok_and(|t| t == "0");
    let record = deployment::Record::new(&folder);
    let outcome = match case.as_str() {
        "ends" => ends::play(&record, !trouble),
        "cancel" => cancel::play(&record, !trouble),
        "orders" => orders::play(&record, !trouble),
        "plan" => plan::play(&record, !trouble),
        _ => Outcome::NotRun,
    };
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held"),
        Outcome::Broken => (1, "the rule was broken"),
        Outcome::NotRun => (2, "the case couldn't run"),
    };
    record.line(text);
    ExitCode::from(code)
}
