//! The worker pool.
//!
//! A worker that has nothing to run waits for input and output itself, which spares
//! a change of threads for each event. Each process has one pool. Tasks share tables behind locks; no lock is held
//! over an await.

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
    /// Starts a pool of `threads` workers, which run until the process ends.
    ///
    /// # Panics
    ///
    /// Panics where the operating system starts no more threads.
    #[must_use]
    pub fn start(threads: usize) -> Self {
        Self::named("worker", threads)
    }

    /// Starts a pool whose threads bear `name`, which tells their processor time
    /// apart.
    ///
    /// # Panics
    ///
    /// Panics where the operating system starts no more threads.
    #[must_use]
    pub fn named(name: &str, threads: usize) -> Self {
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

    /// Starts a task that runs on by itself.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Starts a task that ends when its handle is dropped.
    pub fn task<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(task)
    }
}
