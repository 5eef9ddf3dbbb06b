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
const MAX_QUEUED_LINES: usize = 4_096;

/// A writer whose writes return at once.
pub struct LogWriter {
    lines: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Returns a writer that passes whole lines on to `sink` from a thread of its own.
    ///
    /// # Errors
    ///
    /// Where the system gives no thread.
    pub fn new(sink: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = bounded(MAX_QUEUED_LINES);
        let dropped = Arc::<AtomicU64>::default();
        let drop_count = dropped.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(sink, &queue, &drop_count))?;
        Ok(Self { lines, dropped })
    }
}

impl Write for LogWriter {
    /// Takes one line; the logger gives it whole.
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.lines.try_send(buf.to_vec()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(mut sink: impl Write, queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    for line in queue {
        // Nobody is left to be told about an error here.
        let _ = sink.write_all(&line);
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            let line = format!("level=WARN event=log_lines_left_out count={dropped_lines}\n");
            let _ = sink.write_all(line.as_bytes());
        }
        if queue.is_empty() {
            let _ = sink.flush();
        }
    }
}
