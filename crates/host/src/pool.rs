//! The worker thread pool, which runs tasks and polls I/O.
//!
//! An idle worker polls for I/O itself, which avoids a thread switch for each event.
//! Each process has one pool. Tasks share state behind locks; no lock is held
//! across an await point.

use std::future::Future;
use std::sync::Arc;
use std::thread;

use async_executor::Executor;
use async_executor::Task;
use futures_lite::future;

/// A pool of worker threads.
#[derive(Clone, Debug)]
pub struct Pool {
    executor: Arc<Executor<'static>>,
}

impl Pool {
    /// Starts a pool of `threads` workers, which run until the process exits.
    ///
    /// # Panics
    ///
    /// Panics if the operating system can't start a thread.
    #[must_use]
    pub fn start(threads: usize) -> Self {
        Self::start_named("worker", threads)
    }

    /// Starts a pool whose threads are called `name`, so that their CPU time can be
    /// told apart.
    ///
    /// # Panics
    ///
    /// Panics if the operating system can't start a thread.
    #[must_use]
    pub fn start_named(name: &str, threads: usize) -> Self {
        let executor = Arc::new(Executor::new());
        for number in 0..threads.max(1) {
            let executor = Arc::clone(&executor);
            thread::Builder::new()
                .name(format!("{name}-{number}"))
                .spawn(move || async_io::block_on(executor.run(future::pending::<()>())))
                .expect("the operating system starts a thread");
        }
        Self { executor }
    }

    /// Spawns a detached task.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Spawns a task that is cancelled when its handle is dropped.
    pub fn spawn_with_handle<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(task)
    }
}
