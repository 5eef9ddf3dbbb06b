//! The command-line tool for operators and callers.

use std::{
    env,
    process::ExitCode, //
};

use dragonflyrun::tool::{Cli, Command, Exit, run};
use gumdrop::{Options, ParsingStyle};

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    let args: Vec<String> = env::args().skip(1).collect();
    let cli = match Cli::parse_args(&args, ParsingStyle::AllOptions) {
        Ok(cli) => cli,
        Err(error) => {
            eprintln!("dragonflyrun: {error}; see --help");
            return Exit::Usage.into();
        }
    };
    if cli.help_requested() {
        println!("{}", help(&cli));
        return Exit::Done.into();
    }
    let json = cli.command.as_ref().is_some_and(Command::wants_json);
    match run(&cli) {
        Ok(printed) if json => {
            println!("{}", printed.json);
            printed.exit.into()
        }
        Ok(printed) => {
            println!("{}", printed.text);
            printed.exit.into()
        }
        Err(error) => {
            if json {
                println!("{}", error.to_json());
            }
            eprintln!("dragonflyrun: {error}");
            error.exit().into()
        }
    }
}

fn help(cli: &Cli) -> String {
    match cli.command_name() {
        Some(command) => {
            let usage = Command::command_usage(command).unwrap_or_default();
            format!("Usage: dragonflyrun [OPTIONS] {command} [OPTIONS]\n\n{usage}")
        }
        None => {
            let commands = Command::usage();
            let usage = Cli::usage();
            format!("Usage: dragonflyrun [OPTIONS] COMMAND\n\n{usage}\n\nCommands:\n{commands}")
        }
    }
}
