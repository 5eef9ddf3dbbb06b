//! Threads that wait for backend servers.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering}, //
    },
    thread,
};

use crossbeam::channel::{Receiver, Sender, unbounded};

type Task = Box<dyn FnOnce() + Send>;

/// Threads that run one task each, as many as there have ever been tasks at once.
///
/// What bounds them are the slots that backend servers announce: a request that holds a slot must
/// not wait for a thread behind another one, or it would start long after it was promised to.
pub(super) struct RunPool {
    tx: Sender<Task>,
    rx: Receiver<Task>,
    threads: AtomicUsize,
    tasks: Arc<AtomicUsize>,
}

impl RunPool {
    pub(super) fn new() -> Self {
        let (tx, rx) = unbounded();
        Self {
            tx,
            rx,
            threads: AtomicUsize::new(0),
            tasks: Arc::default(),
        }
    }

    /// Runs `task` at once on a thread of its own.
    ///
    /// # Errors
    ///
    /// Where the system gives no thread; the task will not run.
    pub(super) fn run(&self, task: impl FnOnce() + Send + 'static) -> io::Result<()> {
        let running = self.tasks.fetch_add(1, Ordering::SeqCst) + 1;
        if running > self.threads.load(Ordering::SeqCst)
            && let Err(error) = self.grow()
        {
            self.tasks.fetch_sub(1, Ordering::SeqCst);
            return Err(error);
        }
        let tasks = self.tasks.clone();
        let task = move || {
            task();
            tasks.fetch_sub(1, Ordering::SeqCst);
        };
        self.tx
            .send(Box::new(task))
            .map_err(|_| io::Error::other("no thread is left"))
    }

    fn grow(&self) -> io::Result<()> {
        let rx = self.rx.clone();
        thread::Builder::new()
            .name("run".to_owned())
            .spawn(move || rx.into_iter().for_each(|task| task()))?;
        self.threads.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }
}
