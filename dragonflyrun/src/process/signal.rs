//! Waits for the signal that stops the process.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Blocks until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if a signal handler can't be installed.
pub fn wait_for_signal() -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}
