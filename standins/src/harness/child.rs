//! Runs a program of this workspace as a child process.

use std::{
    env,
    fs::{File, OpenOptions},
    io::{BufRead, BufReader, Read, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, ExitStatus, Stdio},
    thread,
};

use crossbeam::channel::{Receiver, unbounded};

use crate::harness::{WAIT_TIMEOUT, wait_for};

/// A signal that a test sends to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Suspends the process.
    Stop,
    /// Resumes a suspended process.
    Continue,
    /// Requests a graceful stop.
    Terminate,
    /// Kills the process at once.
    Kill,
}

impl Signal {
    fn option(self) -> &'static str {
        match self {
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
            Self::Terminate => "-TERM",
            Self::Kill => "-KILL",
        }
    }
}

/// A child process. Dropping this value kills it.
pub struct Child {
    name: String,
    process: std::process::Child,
    lines: Receiver<String>,
}

impl Child {
    /// Starts `program` of this workspace. Its standard error is appended to a file in `dir`.
    ///
    /// # Panics
    ///
    /// If the program cannot be started.
    pub fn start(name: &str, program: &str, arguments: &[String], dir: &Path) -> Self {
        let path = binary(program);
        let errors = dir.join(format!("{name}.log"));
        let errors = OpenOptions::new().create(true).append(true).open(errors);
        let errors = errors.unwrap_or_else(|e| panic!("{name}: cannot open the log file: {e}"));
        let mut process = Command::new(&path)
            .args(arguments)
            .env(
                "RUST_LOG",
                env::var("RUST_LOG").unwrap_or("info".to_owned()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|e| panic!("{name}: cannot start {path:?}: {e}"));
        let lines = read_lines(name, process.stdout.take(), dir);
        Self {
            name: name.to_owned(),
            process,
            lines,
        }
    }

    /// Waits for the line in which the program prints its listening addresses, and returns it.
    ///
    /// # Panics
    ///
    /// If the program ends or prints no such line within [`WAIT_TIMEOUT`].
    pub fn first_line(&self) -> String {
        loop {
            match self.lines.recv_timeout(WAIT_TIMEOUT) {
                Ok(line) if line.starts_with("listening ") => return line,
                // A daemon writes its log to standard output as well.
                Ok(_) => {}
                Err(_) => panic!("{}: it printed no listening address", self.name),
            }
        }
    }

    /// Returns the name of the process in the deployment.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    ///
    /// If the signal cannot be sent.
    pub fn signal(&self, signal: Signal) {
        let pid = self.process.id().to_string();
        let sent = Command::new("kill").args([signal.option(), &pid]).status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "{}: cannot send {signal:?}",
            self.name
        );
    }

    /// Returns whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)))
    }

    /// Waits for the process to exit and returns its status.
    ///
    /// # Panics
    ///
    /// If it does not exit within [`WAIT_TIMEOUT`].
    pub fn wait(&mut self) -> ExitStatus {
        let what = format!("{} to exit", self.name);
        wait_for(&what, || self.process.try_wait().ok().flatten())
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the address that follows the prefix `field` in a line such as
/// `listening http=127.0.0.1:80`.
///
/// # Panics
///
/// If the line has no such field.
pub(super) fn address_in(line: &str, field: &str) -> SocketAddr {
    line.split_whitespace()
        .find_map(|word| word.strip_prefix(field)?.parse().ok())
        .unwrap_or_else(|| panic!("no address {field} in {line:?}"))
}

/// Returns the path of a program that cargo has built into the target directory of the running
/// test.
///
/// # Panics
///
/// If the program has not been built.
pub fn binary(program: &str) -> PathBuf {
    let path = env::current_exe().unwrap_or_default();
    let program_path = path
        .ancestors()
        .skip(1)
        .take(2)
        .map(|dir| dir.join(program))
        .find(|path| path.is_file());
    program_path
        .unwrap_or_else(|| panic!("{program} is not built; run cargo build --workspace first"))
}

/// Reads the lines of `out` in a thread of its own and copies them to a file. The channel is
/// unbounded, so the process never blocks on a full pipe.
fn read_lines(name: &str, out: Option<impl Read + Send + 'static>, dir: &Path) -> Receiver<String> {
    let (tx, rx) = unbounded();
    let mut file = File::create(dir.join(format!("{name}.out"))).ok();
    if let Some(out) = out {
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                if let Some(file) = &mut file {
                    let _ = writeln!(file, "{line}");
                }
                let _ = tx.send(line);
            }
        });
    }
    rx
}
