//! The daemon: runs an entry or an agent, depending on its settings.

use std::{
    io::Write,
    process::ExitCode, //
};

use dragonflyrun::process::{Cli, Daemon};

fn main() -> ExitCode {
    dragonflyrun::process::logging::start();
    let cli = Cli::parse();
    if cli.version {
        println!("dragonflyrund {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let check_only = cli.check;
    if let Some(settings) = cli.config.as_deref().and_then(platform::Settings::read) {
        return match settings {
            Ok(_) if check_only => valid(),
            Ok(settings) => run_on_platform(settings),
            Err(error) => fail(&error),
        };
    }
    let settings = match cli.settings() {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    if check_only {
        return valid();
    }
    let daemon = match Daemon::start(settings) {
        Ok(daemon) => daemon,
        Err(error) => return fail(&error),
    };
    announce(&daemon);
    if let Err(error) = dragonflyrun::process::wait_for_signal() {
        return fail(&error);
    }
    daemon.stop();
    ExitCode::SUCCESS
}

fn valid() -> ExitCode {
    println!("the settings are valid");
    ExitCode::SUCCESS
}

/// Runs a role of a deployment that keeps its state on the users' platform.
fn run_on_platform(settings: platform::Settings) -> ExitCode {
    match platform::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

/// Prints the bound addresses, since the settings may leave the choice of the port to the system.
fn announce(daemon: &Daemon) {
    let mut line = format!("listening http={}", daemon.http_addr());
    if let Some(peers) = daemon.peers_addr() {
        line += &format!(" peers={peers}");
    }
    // The process serves even if nobody reads its output.
    let _ = writeln!(std::io::stdout(), "{line}");
}

fn fail(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("dragonflyrund: {error}");
    ExitCode::FAILURE
}
