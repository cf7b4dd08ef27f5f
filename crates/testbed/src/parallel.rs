//! Running experiments on several threads, each with a testbed of its own.

use std::future::Future;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use tokio::task::LocalSet;

use crate::testbed::TestbedError;

/// Runs jobs on so many threads and returns their results in the order of the jobs. `on_result` is
/// called as soon as each is there.
///
/// # Errors
/// That of the first job, in their order, that failed.
pub fn run_jobs<J: Sync, R: Send>(
    jobs: &[J],
    threads: usize,
    run: impl AsyncFn(&J) -> Result<R, TestbedError> + Sync,
    on_result: impl Fn(&R) + Sync,
) -> Result<Vec<R>, TestbedError> {
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<(usize, Result<R, TestbedError>)>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let Some(job) = jobs.get(number) else { return };
                let result = block_on_local(run(job)).and_then(|result| result);
                if let Ok(result) = &result {
                    on_result(result);
                }
                results
                    .lock()
                    .expect("no thread panics")
                    .push((number, result));
            });
        }
    });
    let mut results = results.into_inner().expect("no thread panics");
    results.sort_by_key(|(number, _)| *number);
    results.into_iter().map(|(_, result)| result).collect()
}

/// Runs a future to its end on this thread, inside a tokio `LocalSet`, as a testbed needs it.
///
/// # Errors
/// If the runtime cannot be built.
pub fn block_on_local<R>(future: impl Future<Output = R>) -> Result<R, TestbedError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(TestbedError::system("a runtime"))?;
    Ok(LocalSet::new().block_on(&runtime, future))
}
