//! What the tests of whole fleets share.

use std::future::Future;
use std::path::Path;

use tokio::task::LocalSet;

/// The program under test.
pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_tulipbridge"))
}

/// Runs a test on the current thread, with the tasks of its fleet beside it.
pub fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}
