//! Unread log output does not block the process.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        Condvar,
        Mutex, //
    },
    time::Duration,
};

use dragonflyrun::process::LogWriter;

/// Whether the pipe is open, and the bytes written to it.
type PipeState = (bool, Vec<u8>);

/// A pipe whose writes block until it is opened.
#[derive(Clone, Default)]
struct Pipe(Arc<(Mutex<PipeState>, Condvar)>);

impl Pipe {
    fn open(&self) {
        self.0.0.lock().expect("no panic").0 = true;
        self.0.1.notify_all();
    }

    fn wait_for(&self, text: &str) -> String {
        let not_written =
            |state: &mut (bool, Vec<u8>)| !String::from_utf8_lossy(&state.1).contains(text);
        let state = self.0.0.lock().expect("no panic");
        let timeout = Duration::from_secs(60);
        let (state, _) = self
            .0
            .1
            .wait_timeout_while(state, timeout, not_written)
            .expect("no panic");
        String::from_utf8_lossy(&state.1).into_owned()
    }
}

impl Write for Pipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let state = self.0.0.lock().expect("no panic");
        let mut state = self.0.1.wait_while(state, |s| !s.0).expect("no panic");
        state.1.extend_from_slice(buf);
        self.0.1.notify_all();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The log collector stops reading. A process that waited for it could no longer answer callers;
/// instead the writer drops lines and later logs how many.
#[test]
fn stalled_log_reader() {
    let pipe = Pipe::default();
    let mut writer = LogWriter::new(pipe.clone()).expect("a thread");
    let lines = 20_000;
    for i in 0..lines {
        let line = format!("event=something number={i}\n");
        writer
            .write_all(line.as_bytes())
            .expect("a write that returns");
    }
    pipe.open();
    let text = pipe.wait_for("log_lines_left_out");
    let count = text.split("count=").nth(1).and_then(|t| t.lines().next());
    let dropped: usize = count.and_then(|c| c.parse().ok()).expect("a count");
    let text = pipe.wait_for("log_lines_left_out");
    let written = text
        .lines()
        .filter(|l| l.starts_with("event=something"))
        .count();
    assert!(dropped > 0, "more lines than the queue holds");
    assert!(
        written > 0 && written + dropped <= lines,
        "{written} {dropped}"
    );
}
