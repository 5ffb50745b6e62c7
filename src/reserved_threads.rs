//! Threads for tasks that must run in time although all others are busy.
//!
//! The executor of async-std has one thread for each core and runs tasks in the order in which they
//! become ready. On a host with one core, the heartbeats of a group would wait behind the calls of
//! the whole fleet. The scheduler of the operating system shares the core between threads instead.

use std::future::Future;
use std::sync::{Once, OnceLock};
use std::thread;

use async_executor::{Executor, Task};

/// Cores for each reserved thread; a host with fewer has one thread.
const CORES_PER_THREAD: usize = 4;

/// Runs a task on a reserved thread. The task is cancelled when its handle is dropped, and must not
/// block: it delays all groups of the process.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    executor().spawn(future)
}

fn executor() -> &'static Executor<'static> {
    static EXECUTOR: OnceLock<Executor<'static>> = OnceLock::new();
    static THREADS: Once = Once::new();
    let executor = EXECUTOR.get_or_init(Executor::new);
    THREADS.call_once(|| {
        let cores = thread::available_parallelism().map_or(1, usize::from);
        for _ in 0..(cores / CORES_PER_THREAD).max(1) {
            thread::Builder::new()
                .name("reserved".to_owned())
                .spawn(|| async_io::block_on(executor.run(std::future::pending::<()>())))
                .expect("the operating system starts a thread");
        }
    });
    executor
}
