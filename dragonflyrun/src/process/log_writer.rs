//! Writes log lines without blocking on their reader.
//!
//! A write to a full pipe blocks, so a reader that stops reading would stop the process. Lines
//! therefore go into a bounded queue that a separate thread writes out. A line that finds the queue
//! full is dropped and counted, and the count is logged as soon as there is room again.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering}, //
    },
    thread,
};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};

/// Maximum number of queued lines: a few seconds of a busy entry, about 1 MB.
const MAX_QUEUED_LINES: usize = 4_096;

/// A writer whose writes never block.
pub struct LogWriter {
    lines: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Returns a writer that passes whole lines to `sink` on a separate thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be spawned.
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
    /// Queues one line; the logger writes each line with a single call.
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
        // There is nowhere left to report an error.
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
