//! Log lines for operators, on standard error.

use std::fmt::Arguments;
use std::io::Write;
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};

/// The maximum length of a line with its newline, in bytes. A pipe that is ready for writing
/// accepts this many bytes without blocking.
const MAX_LINE_BYTES: usize = 4096;

/// The number of lines dropped since the last one that was written.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Writes a log line. If the reader of the log does not keep up, the line is dropped and counted,
/// because a front must not wait for its log.
pub fn line(text: Arguments<'_>) {
    if !is_writable() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let dropped = DROPPED.swap(0, Ordering::Relaxed);
    if dropped > 0 {
        write(format!(
            "log: {dropped} lines dropped: the reader did not keep up"
        ));
        return line(text);
    }
    let mut line = text.to_string().into_bytes();
    line.truncate(MAX_LINE_BYTES - 1);
    write(line);
}

/// Writes a line of the trace. The line has no maximum length and the call may block: the trace is
/// for analysis and is off in production.
pub(super) fn trace_line(text: String) {
    write(text);
}

/// Returns whether standard error accepts a line without blocking.
fn is_writable() -> bool {
    let stderr = std::io::stderr();
    let mut descriptors = [PollFd::new(stderr.as_fd(), PollFlags::POLLOUT)];
    // If the call fails, the write is attempted.
    poll(&mut descriptors, PollTimeout::ZERO) != Ok(0)
}

/// Writes a line and its newline to standard error.
fn write(line: impl Into<Vec<u8>>) {
    let mut bytes = line.into();
    bytes.push(b'\n');
    ignore_closed_log(std::io::stderr().write_all(&bytes));
}

/// Ignores a failure to write to standard error, on which `eprintln` would panic: a front must
/// survive a closed log.
fn ignore_closed_log(_outcome: std::io::Result<()>) {}

/// Writes a log line. The arguments are those of `format!`.
macro_rules! log {
    ($($text:tt)*) => { $crate::telemetry::log::line(format_args!($($text)*)) };
}
pub(crate) use log;
