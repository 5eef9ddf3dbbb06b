//! Runs the stand-ins for the platform as separate processes, and the quick start.

use std::{
    error::Error,
    io::{self, Write},
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    thread,
    time::Duration, //
};

use dragonflyrun::utils::Name;
use gumdrop::Options;
use standins::{
    backend::{Backend, BackendSettings, Work},
    log::LogService,
    quickstart,
    relay::{Relay, RelayControl},
    worker::{Checkpoints, Worker, WorkerSettings},
};

/// Time without a request after which a leaving backend server exits. It is longer than the time
/// for which a leaving server may still get new requests.
const QUIET_TIME_BEFORE_EXIT: Duration = Duration::from_secs(3);

/// Stand-ins for the platform, for the tests and the quick start of dragonflyrun.
#[derive(Options)]
struct Arguments {
    /// Print this help.
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Options)]
enum Command {
    /// Run the append-only log service.
    Log(LogArguments),
    /// Run a worker that runs tasks under leases.
    Worker(WorkerArguments),
    /// Run a backend server that announces itself to an agent.
    Backend(BackendArguments),
    /// Run a TCP relay.
    Relay(RelayArguments),
    /// Run a complete deployment with jobs and requests in this process.
    Quickstart(QuickstartArguments),
}

#[derive(Options)]
struct QuickstartArguments {
    /// Print this help.
    help: bool,
    /// Folder of the example.
    #[options(default = "examples/murtal", meta = "FOLDER")]
    example: PathBuf,
}

#[derive(Options)]
struct LogArguments {
    /// Print this help.
    help: bool,
    /// Address to listen at, as IP:port.
    #[options(default = "127.0.0.1:0")]
    listen: String,
}

#[derive(Options)]
struct WorkerArguments {
    /// Print this help.
    help: bool,
    /// Address to listen at, as IP:port.
    #[options(default = "127.0.0.1:0")]
    listen: String,
    /// Name of the worker.
    #[options(required)]
    name: String,
    /// Number of accelerators of the worker.
    #[options(default = "8")]
    accelerators: u32,
    /// Failure domain of the worker.
    failure_domain: String,
    /// Age of the reported usage in milliseconds.
    #[options(default = "2000", meta = "MS")]
    usage_lag: u64,
}

#[derive(Options)]
struct BackendArguments {
    /// Print this help.
    help: bool,
    /// Address to listen at, as IP:port.
    #[options(default = "127.0.0.1:0")]
    listen: String,
    /// Address of the agent on the same host, as IP:port.
    agent: Option<SocketAddr>,
    /// Address to announce instead of its own, as IP:port.
    announced: Option<SocketAddr>,
    /// Name of the server.
    #[options(required)]
    name: String,
    /// Service of the server.
    #[options(required)]
    service: String,
    /// Maximum number of concurrent requests to announce.
    #[options(default = "8")]
    slots: u32,
    /// Maximum number of concurrent connections to announce.
    #[options(default = "64")]
    connections: u32,
    /// Key of the server, as printed by `dragonflyrun issue-key --backend NAME`.
    #[options(default = "", meta = "KEY")]
    token: String,
}

#[derive(Options)]
struct RelayArguments {
    /// Print this help.
    help: bool,
    /// Address to listen at, as IP:port.
    #[options(default = "127.0.0.1:0")]
    listen: String,
    /// Address to forward to, as IP:port.
    #[options(required)]
    target: Option<SocketAddr>,
    /// Delay of each forwarded chunk in milliseconds.
    #[options(default = "0", meta = "MS")]
    delay: u64,
}

type MainResult = Result<(), Box<dyn Error>>;

fn main() -> ExitCode {
    // Only warnings are logged, so that the output stays readable; DRAGONFLYRUN_LOG can enable more.
    dragonflyrun::process::logging::start_at("warn");
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(command) = arguments.command else {
        println!("{}", Arguments::usage());
        println!("{}", Arguments::command_list().unwrap_or_default());
        return ExitCode::from(2);
    };
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standins: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> MainResult {
    match command {
        Command::Quickstart(arguments) => {
            if quickstart::run(&arguments.example)? {
                return Ok(());
            }
            Err("the quick start found a fault".into())
        }
        Command::Log(arguments) => {
            let log = LogService::start(arguments.listen.parse()?)?;
            serve(log.address())
        }
        Command::Worker(arguments) => {
            let worker = Worker::start(worker_settings(&arguments)?)?;
            serve(worker.address())
        }
        Command::Backend(arguments) => {
            let backend = Backend::start(backend_settings(&arguments)?)?;
            print_address(backend.address())?;
            wait_for_termination()?;
            backend.leave(QUIET_TIME_BEFORE_EXIT);
            Ok(())
        }
        Command::Relay(arguments) => {
            let target = arguments.target.ok_or("the target is required")?;
            let relay = Relay::start(arguments.listen.parse()?, target)?;
            relay.control(RelayControl {
                delay_ms: Some(arguments.delay),
                ..RelayControl::default()
            });
            serve(relay.address())
        }
    }
}

fn worker_settings(arguments: &WorkerArguments) -> Result<WorkerSettings, Box<dyn Error>> {
    Ok(WorkerSettings {
        address: arguments.listen.parse()?,
        name: Name::from(arguments.name.as_str()),
        accelerators: arguments.accelerators,
        failure_domain: Name::from(arguments.failure_domain.as_str()),
        usage_lag: Duration::from_millis(arguments.usage_lag),
        checkpoints: Checkpoints::default(),
    })
}

fn backend_settings(arguments: &BackendArguments) -> Result<BackendSettings, Box<dyn Error>> {
    Ok(BackendSettings {
        address: arguments.listen.parse()?,
        agent: arguments.agent,
        announced: arguments.announced,
        name: Name::from(arguments.name.as_str()),
        service: Name::from(arguments.service.as_str()),
        slots: arguments.slots,
        connections: arguments.connections,
        token: arguments.token.clone(),
        work: Work::default(),
    })
}

/// Serves until the process is killed.
fn serve(address: SocketAddr) -> MainResult {
    print_address(address)?;
    loop {
        thread::park();
    }
}

/// Prints the listening address, which the parent process needs if the port is 0.
fn print_address(address: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "listening {address}")?;
    out.flush()
}

fn wait_for_termination() -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let kind = tokio::signal::unix::SignalKind::terminate();
        tokio::signal::unix::signal(kind)?.recv().await;
        Ok(())
    })
}
