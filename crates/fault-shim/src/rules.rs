//! The format of the rules file. Each line holds a rule `CALL EFFECT PERCENT`; for `open` and
//! `rename` also `CALL EFFECT PERCENT PATH`, where `PATH` is the end of the file's path.
//!
//! - `accept ECONNABORTED 30`: 30 % of the calls of `accept` fail with that error. `connect`,
//!   `socket`, `wait` (`epoll_wait`), `lock` (`flock`), `open`, `rename`, `sync` (`fsync`),
//!   `file-read`, `file-write`, `recv` and `send` likewise.
//! - `recv short 50`, `send short 50`, `file-write short 100`: 50 % or 100 % of the calls transfer
//!   at most one byte.
//! - `send delay 20`: 20 % of the calls are delayed by [`DELAY_MS`].
//! - `clock 3600000 100`: the wall clock is ahead by that many milliseconds; a negative number is
//!   behind.

/// The environment variable that holds the path of the rules file.
pub const RULES_VARIABLE: &str = "FAULT_SHIM_RULES";
/// The delay of a delayed call, in milliseconds.
pub const DELAY_MS: u64 = 120;
/// The percentage of a rule that applies to every call; also that of a rule without one.
const ALWAYS: u32 = 100;

/// A system call that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept` and `accept4`.
    Accept,
    /// `connect`.
    Connect,
    /// `socket`.
    Socket,
    /// `epoll_wait`.
    Wait,
    /// `recv`, and `read` or `readv` of a socket.
    Receive,
    /// `send`, and `write` or `writev` to a socket.
    Send,
    /// `open` of a file.
    Open,
    /// `read` of a file.
    FileRead,
    /// `write` to a file.
    FileWrite,
    /// `fsync` and `fdatasync`.
    Sync,
    /// `rename`.
    Rename,
    /// `flock`.
    Lock,
}

/// The effect of a rule on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The call fails with this `errno` value.
    Fail(i32),
    /// The call transfers at most one byte.
    Short,
    /// The call is delayed by [`DELAY_MS`].
    Delay,
}

/// The calls by the names that the rules file uses.
const CALLS: [(&str, Call); 12] = [
    ("accept", Call::Accept),
    ("connect", Call::Connect),
    ("socket", Call::Socket),
    ("wait", Call::Wait),
    ("recv", Call::Receive),
    ("send", Call::Send),
    ("open", Call::Open),
    ("file-read", Call::FileRead),
    ("file-write", Call::FileWrite),
    ("sync", Call::Sync),
    ("rename", Call::Rename),
    ("lock", Call::Lock),
];

/// The `errno` values by the names that the rules file uses.
const ERRORS: [(&str, i32); 14] = [
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("ECONNRESET", libc::ECONNRESET),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("EINTR", libc::EINTR),
    ("EIO", libc::EIO),
    ("EMFILE", libc::EMFILE),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOLCK", libc::ENOLCK),
    ("ENOMEM", libc::ENOMEM),
    ("ENOSPC", libc::ENOSPC),
    ("ETIMEDOUT", libc::ETIMEDOUT),
];

/// Returns the effect of the first rule that applies to a call. `path` is the path that the call
/// names, or empty. `random_percent` is a random number from 0 to 99; a rule applies if its
/// percentage is greater. Lines that are not valid rules are ignored.
pub fn effect(rules: &str, call: Call, path: &str, random_percent: u32) -> Option<Effect> {
    let words = rules.lines().map(str::split_ascii_whitespace);
    let applies = |mut words: std::str::SplitAsciiWhitespace<'_>| {
        let named = lookup(&CALLS, words.next()?)?;
        let effect = parse_effect(words.next()?)?;
        let percent = words
            .next()
            .map_or(Some(ALWAYS), |percent| percent.parse().ok())?;
        let is_named_path = words.next().is_none_or(|end| path.ends_with(end));
        (named == call && random_percent < percent && is_named_path).then_some(effect)
    };
    words.filter_map(applies).next()
}

/// Returns the offset of the wall clock in milliseconds; negative if the clock is behind, 0 without
/// a rule.
pub fn clock_offset_ms(rules: &str) -> i64 {
    let offset = |line: &str| {
        let mut words = line.split_ascii_whitespace();
        words.next().filter(|word| *word == "clock")?;
        words.next()?.parse().ok()
    };
    rules.lines().filter_map(offset).next().unwrap_or(0)
}

/// Parses the effect of a rule; `None` if it is unknown.
fn parse_effect(word: &str) -> Option<Effect> {
    match word {
        "short" => Some(Effect::Short),
        "delay" => Some(Effect::Delay),
        error => lookup(&ERRORS, error).map(Effect::Fail),
    }
}

/// Returns the value of a name in a table.
fn lookup<T: Copy>(table: &[(&str, T)], word: &str) -> Option<T> {
    table
        .iter()
        .find(|(name, _)| *name == word)
        .map(|(_, value)| *value)
}
