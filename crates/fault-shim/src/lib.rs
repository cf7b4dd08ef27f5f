//! Fault injection for tests: a library, loaded with `LD_PRELOAD`, that makes system calls of a
//! process fail. It is not part of a front.
//!
//! The environment variable [`RULES_VARIABLE`] holds the path of the rules file; see [`rules`] for
//! its format. The file is read again at every call, so that a test can change the faults while the
//! process runs. Without the variable or the file every call passes unchanged.
//!
//! The intercepting functions make system calls by number, because calls of the C library's
//! functions by name would recurse.

mod clock;
mod descriptors;
mod files;
mod interception;
pub mod rules;
mod rules_file;
mod sockets;

pub use rules::RULES_VARIABLE;
