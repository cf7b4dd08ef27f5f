//! Makes system calls of a process fail, for tests. The library is loaded with `LD_PRELOAD`; it is
//! no part of a front.
//!
//! The rules are in the file that the environment variable [`RULES_VARIABLE`] names. The file is
//! read again at every call, so that a test can change the faults while the process runs; see
//! [`rules`] for its format. Without the variable or the file every call passes unchanged.
//!
//! Calls are passed on by their numbers, not by name, so that nothing here calls itself.

mod calls;
pub mod rules;
mod rules_file;

pub use rules::RULES_VARIABLE;
