//! Threads that wait for the answers of backend servers.

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

/// A pool of threads that run one task each. It grows to the largest number of concurrent tasks so
/// far.
///
/// The pool has no limit of its own; the slots that backend servers announce bound it. A request
/// that holds a slot must not queue for a thread behind another one, or it would start long after
/// its slot was granted.
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

    /// Runs `task` at once on a free thread or a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread can't be spawned; the task does not run then.
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
            .map_err(|_| io::Error::other("all threads of the pool have ended"))
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
