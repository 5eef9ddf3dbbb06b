//! Writes log lines without ever waiting for whoever reads them.
//!
//! A reader that stops reading would otherwise stop the process: a write to a full pipe blocks. Lines
//! go into a queue of bounded length, and a thread of its own writes them; a line that finds the
//! queue full is left out and counted, and the count is logged as soon as there is room again.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering}, //
    },
    thread,
};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};

/// Lines that wait to be written, at the most: some seconds of a busy entry, in about 1 MB.
const MOST_WAITING: usize = 4_096;

/// A writer whose writes return at once.
pub struct LogWriter {
    lines: Sender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
}

impl LogWriter {
    /// Returns a writer that passes whole lines on to `sink` from a thread of its own.
    ///
    /// # Errors
    ///
    /// Where the system gives no thread.
    pub fn new(sink: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, waiting) = bounded(MOST_WAITING);
        let left_out = Arc::<AtomicU64>::default();
        let counted = left_out.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(sink, &waiting, &counted))?;
        Ok(Self { lines, left_out })
    }
}

impl Write for LogWriter {
    /// Takes one line; the logger gives it whole.
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.lines.try_send(buf.to_vec()) {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(mut sink: impl Write, waiting: &Receiver<Vec<u8>>, left_out: &AtomicU64) {
    for line in waiting {
        // Nobody is left to be told about an error here.
        let _ = sink.write_all(&line);
        let missing = left_out.swap(0, Ordering::Relaxed);
        if missing > 0 {
            let line = format!("level=WARN event=log_lines_left_out count={missing}\n");
            let _ = sink.write_all(line.as_bytes());
        }
        if waiting.is_empty() {
            let _ = sink.flush();
        }
    }
}
