//! Makes system calls of a process fail, for tests. The library is loaded with `LD_PRELOAD`; it is
//! not part of a front.
//!
//! The rules are in the file that the environment variable [`RULES_VARIABLE`] names. The file is
//! read again at every call, so that a test can change the faults while the process runs; see
//! [`rules`] for its format. Without the variable or the file every call passes unchanged.
//!
//! The replaced functions make system calls by number: calls by name would call them again.

mod clock;
mod descriptors;
mod files;
mod interception;
pub mod rules;
mod rules_file;
mod sockets;

pub use rules::RULES_VARIABLE;
