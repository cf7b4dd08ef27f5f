//! The check whether an attempt may start to write, made immediately before its first byte.
//!
//! The decision to send an attempt is made when its request is dispatched. Its connection may be
//! established much later, and this process may be paused in between. Therefore every condition
//! that forbids the attempt is checked once more here, with the current time.
//!
//! This module does no I/O and has no clock: the caller passes what it knows.

use crate::interface::{Nanos, Outcome};

/// The conditions that decide whether the first byte of an attempt may be written.
#[derive(Clone, Copy, Debug)]
pub struct SendConditions {
    /// The current time.
    pub now: Nanos,
    /// The outcome with which the attempt was withdrawn or cancelled, if it was: its request is
    /// answered, its client has disconnected, or its server is draining.
    pub withdrawn: Option<Outcome>,
    /// When the deduplication window of the class ends, before which a retry must start; `None` for
    /// no limit.
    pub begin_by: Option<Nanos>,
    /// When the client gives up waiting.
    pub deadline: Nanos,
    /// Whether unread bytes, or the end of the stream, wait on the connection to the server.
    pub unread_bytes: bool,
}

/// The reason for which an attempt must not start to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum SendDenied {
    /// The attempt was withdrawn or cancelled, with this outcome.
    #[error("the attempt was withdrawn")]
    Withdrawn(Outcome),
    /// The window within which a retry may start has expired.
    #[error("the window for retries has expired")]
    RetryWindowExpired,
    /// The client has given up waiting.
    #[error("the deadline of the client has passed")]
    DeadlineExceeded,
    /// The connection is unusable, because unread bytes could not be distinguished from the
    /// response.
    #[error("unread bytes wait on the connection")]
    UnreadBytes,
}

impl SendDenied {
    /// Returns the outcome of the attempt, of which no byte was written.
    pub fn outcome(self) -> Outcome {
        match self {
            SendDenied::Withdrawn(outcome) => outcome,
            SendDenied::RetryWindowExpired | SendDenied::DeadlineExceeded => Outcome::NotSent,
            SendDenied::UnreadBytes => Outcome::NotExecuted,
        }
    }
}

/// Checks whether the first byte of an attempt may be written.
///
/// # Errors
/// The first reason that applies, in the order of the variants of [`SendDenied`].
pub fn check_send(conditions: &SendConditions) -> Result<(), SendDenied> {
    if let Some(outcome) = conditions.withdrawn {
        return Err(SendDenied::Withdrawn(outcome));
    }
    let begin_by = conditions.begin_by;
    if begin_by.is_some_and(|begin_by| conditions.now >= begin_by) {
        return Err(SendDenied::RetryWindowExpired);
    }
    if conditions.now >= conditions.deadline {
        return Err(SendDenied::DeadlineExceeded);
    }
    if conditions.unread_bytes {
        return Err(SendDenied::UnreadBytes);
    }
    Ok(())
}
