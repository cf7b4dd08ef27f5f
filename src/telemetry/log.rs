//! Log lines for operators, on standard error.

use std::fmt::Arguments;
use std::io::Write;
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};

/// The longest line that is written. A pipe that can be written to takes as many bytes at once.
const MAX_LINE_BYTES: usize = 4096;

/// Lines that were dropped since the last one that was written.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Writes a log line. Where whoever reads the log does not keep up, the line is dropped and
/// counted: a front must not wait for its log.
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

/// Writes a line of the trace, however long it is and however long that takes: a trace is for
/// analysis, and off in service.
pub(super) fn trace_line(text: String) {
    write(text);
}

/// Whether standard error takes a line without waiting.
fn is_writable() -> bool {
    let stderr = std::io::stderr();
    let mut descriptors = [PollFd::new(stderr.as_fd(), PollFlags::POLLOUT)];
    // Where the system cannot tell, the line is tried.
    poll(&mut descriptors, PollTimeout::ZERO) != Ok(0)
}

/// Writes a line to standard error.
fn write(line: impl Into<Vec<u8>>) {
    let mut bytes = line.into();
    bytes.push(b'\n');
    ignore_closed_log(std::io::stderr().write_all(&bytes));
}

/// Ignores that standard error cannot be written to, at which `eprintln` would panic: a front must
/// survive a closed log.
fn ignore_closed_log(_outcome: std::io::Result<()>) {}

/// Writes a log line, formatted as by `format`.
macro_rules! log {
    ($($text:tt)*) => { $crate::telemetry::log::line(format_args!($($text)*)) };
}
pub(crate) use log;
