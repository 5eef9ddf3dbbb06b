//! The commands, one file per group.

mod document;
mod edit;
mod job;
mod key;
mod planned;
mod request;
mod status;
mod steps;

use std::{fs, io::Read};

use crate::tool::{Cli, Command, Printed, ToolError, ToolSettings};

/// Runs the command of `cli`.
///
/// # Errors
///
/// Any [`ToolError`], which determines the exit code.
pub fn run(cli: &Cli) -> Result<Printed, ToolError> {
    let Some(command) = &cli.command else {
        return Err(ToolError::Usage("no command; see --help".to_owned()));
    };
    let settings = || ToolSettings::load(cli);
    match command {
        Command::Check(o) => document::check(o),
        Command::Edit(o) => edit::edit(&settings()?, o),
        Command::Remove(o) => edit::remove(&settings()?, o),
        Command::Show(o) => document::show(&settings()?, o),
        Command::Explain(o) => match &o.file {
            Some(file) => document::explain_file(file),
            None => document::explain_in_force(&settings()?),
        },
        Command::Drain(o) => edit::set_in_service(&settings()?, &o.domain, false),
        Command::Return(o) => edit::set_in_service(&settings()?, &o.domain, true),
        Command::Status(_) => status::status(&settings()?),
        Command::Submit(o) => job::submit(&settings()?, o),
        Command::Jobs(_) => job::jobs(&settings()?),
        Command::Job(o) => job::job(&settings()?, &o.job),
        Command::Cancel(o) => job::cancel(&settings()?, &o.job),
        Command::Request(o) => request::request(&settings()?, o),
        Command::Why(o) => steps::why(&settings()?, &o.job),
        Command::Deployment(_) => steps::deployment(&settings()?),
        Command::Workspaces(_) => planned::workspaces(&settings()?),
        Command::Workers(_) => planned::workers(&settings()?),
        Command::IssueKey(o) => key::issue(&settings()?, o),
    }
}

/// Reads `file`, or the standard input if it is `-`. More than `max_bytes` bytes are an error.
fn read_file(file: &str, max_bytes: usize) -> Result<Vec<u8>, ToolError> {
    let failed = |e: std::io::Error| ToolError::Usage(format!("can't read {file}: {e}"));
    let mut bytes = Vec::new();
    let limit = max_bytes as u64 + 1;
    if file == "-" {
        let stdin = std::io::stdin().lock();
        stdin.take(limit).read_to_end(&mut bytes).map_err(failed)?;
    } else {
        let open = fs::File::open(file).map_err(failed)?;
        open.take(limit).read_to_end(&mut bytes).map_err(failed)?;
    }
    if bytes.len() > max_bytes {
        let what = format!("{file} is longer than {max_bytes} bytes");
        return Err(ToolError::Refused(what));
    }
    Ok(bytes)
}
