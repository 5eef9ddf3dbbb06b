//! The record of a case: what was sent, answered and run.

use std::{cell::RefCell, fs::File, io::Write, path::Path};

use tokio::time::Instant;

/// A file with a line for each event.
pub struct Record {
    file: RefCell<File>,
    began: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: RefCell::new(File::create(path)?),
            began: Instant::now(),
        })
    }

    /// Returns the seconds from the begin to a moment.
    pub fn at(&self, moment: Instant) -> f64 {
        moment.saturating_duration_since(self.began).as_secs_f64()
    }

    /// Writes a line with the time since the begin.
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {text}\n");
        print!("{line}");
        // The verdict doesn't depend on the record.
        let _ = self.file.borrow_mut().write_all(line.as_bytes());
    }
}
