//! Errors of the testbed itself.

use std::path::{Path, PathBuf};

/// The testbed cannot be started or continued.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// The operating system rejected something.
    #[error("{what}: {source}")]
    System {
        /// What was attempted.
        what: &'static str,
        /// Why it failed.
        source: std::io::Error,
    },
    /// A file cannot be used.
    #[error("{what} {file}: {source}")]
    File {
        /// What the file is for.
        what: &'static str,
        /// Its path.
        file: PathBuf,
        /// Why it cannot be used.
        source: std::io::Error,
    },
    /// A front did not announce that it is ready.
    #[error("front {front} did not start; its log ends: {log}")]
    NotReady {
        /// The index of the front.
        front: usize,
        /// The last line that it logged.
        log: String,
    },
}

impl TestbedError {
    /// Adds what was attempted to an error of the operating system.
    pub(crate) fn system(what: &'static str) -> impl FnOnce(std::io::Error) -> TestbedError {
        move |source| TestbedError::System { what, source }
    }

    /// Adds a file and what it is for to an error of the operating system.
    pub(crate) fn file(
        what: &'static str,
        file: &Path,
    ) -> impl FnOnce(std::io::Error) -> TestbedError {
        let file = file.to_owned();
        move |source| TestbedError::File { what, file, source }
    }

    /// A front that is not ready, with the end of its log or the reason.
    pub(crate) fn not_ready(front: usize, log: &str) -> TestbedError {
        TestbedError::NotReady {
            front,
            log: log.to_owned(),
        }
    }
}
