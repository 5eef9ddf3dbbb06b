//! A program of this workspace as a process of its own.

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

/// A signal to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Freeze it.
    Stop,
    /// Let it go on.
    Continue,
    /// Ask it to stop gracefully.
    Terminate,
    /// End it at once.
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

/// A process that is killed when this value is dropped.
pub struct Child {
    name: String,
    process: std::process::Child,
    lines: Receiver<String>,
}

impl Child {
    /// Starts `program` of this workspace. Its logs go into a file of `dir`.
    ///
    /// # Panics
    ///
    /// Where the program can't be started.
    pub fn start(name: &str, program: &str, arguments: &[String], dir: &Path) -> Self {
        let path = binary(program);
        let errors = dir.join(format!("{name}.log"));
        let errors = OpenOptions::new().create(true).append(true).open(errors);
        let errors = errors.unwrap_or_else(|e| panic!("{name}: no log file: {e}"));
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
            .unwrap_or_else(|e| panic!("{name}: {path:?} did not start: {e}"));
        let lines = read_lines(name, process.stdout.take(), dir);
        Self {
            name: name.to_owned(),
            process,
            lines,
        }
    }

    /// Waits for the line that tells where the program listens.
    ///
    /// # Panics
    ///
    /// Where it prints none or ends.
    pub fn first_line(&self) -> String {
        loop {
            match self.lines.recv_timeout(WAIT_TIMEOUT) {
                Ok(line) if line.starts_with("listening ") => return line,
                // Its log goes to standard output too.
                Ok(_) => {}
                Err(_) => panic!("{}: it has not said where it listens", self.name),
            }
        }
    }

    /// Returns its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Sends it a signal.
    ///
    /// # Panics
    ///
    /// Where the signal can't be sent.
    pub fn signal(&self, signal: Signal) {
        let pid = self.process.id().to_string();
        let sent = Command::new("kill").args([signal.option(), &pid]).status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "{}: {signal:?} was not sent",
            self.name
        );
    }

    /// Returns whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)))
    }

    /// Waits for its end.
    ///
    /// # Panics
    ///
    /// Where it does not end.
    pub fn wait(&mut self) -> ExitStatus {
        let what = format!("the end of {}", self.name);
        wait_for(&what, || self.process.try_wait().ok().flatten())
    }

    /// Kills it and waits for its end.
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

/// Returns the address behind `field` in a line such as `listening http=127.0.0.1:80`.
///
/// # Panics
///
/// Where the line has no such field.
pub(super) fn address_in(line: &str, field: &str) -> SocketAddr {
    line.split_whitespace()
        .find_map(|word| word.strip_prefix(field)?.parse().ok())
        .unwrap_or_else(|| panic!("no address {field} in {line:?}"))
}

/// Finds a program that cargo has built beside the running test.
pub fn binary(program: &str) -> PathBuf {
    let path = env::current_exe().unwrap_or_default();
    let beside = path
        .ancestors()
        .skip(1)
        .take(2)
        .map(|dir| dir.join(program))
        .find(|path| path.is_file());
    beside.unwrap_or_else(|| panic!("{program} is not built; run cargo build --workspace first"))
}

/// Passes the lines of `out` on and keeps them in a file, so that the process never waits for a
/// reader.
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
