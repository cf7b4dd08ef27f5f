//! Whether an attempt may start to write, checked at the last moment before its first byte.
//!
//! An attempt is decided when its request is dispatched, but its connection may be established much
//! later, and this process may be paused in between. So every condition that forbids the attempt is
//! checked once more here, with the time of that moment.
//!
//! No I/O and no clock: the caller passes what it knows.

use crate::interface::{Nanos, Outcome};

/// What is known of an attempt whose first byte is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct SendConditions {
    /// The present time.
    pub now: Nanos,
    /// The outcome with which the attempt was withdrawn or cancelled, if it was: its request is
    /// answered, its client is gone, or its server is draining.
    pub withdrawn: Option<Outcome>,
    /// Until when a retry may start, by the deduplication window of its class; absent for no limit.
    pub begin_by: Option<Nanos>,
    /// When the client gives up.
    pub deadline: Nanos,
    /// Whether bytes, or the end of the stream, wait on the connection to the server.
    pub unread_bytes: bool,
}

/// Why an attempt may not start to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum SendDenied {
    /// It was withdrawn or cancelled.
    #[error("the attempt was withdrawn")]
    Withdrawn(Outcome),
    /// The window in which it may retry another attempt has expired.
    #[error("the window for retries has expired")]
    RetryWindowExpired,
    /// Its client has given up.
    #[error("the deadline of the client has passed")]
    DeadlineExceeded,
    /// The connection is unusable: the unread bytes could not be told from the response.
    #[error("unread bytes wait on the connection")]
    UnreadBytes,
}

impl SendDenied {
    /// The outcome of the attempt, of which nothing was written.
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
/// The first of the conditions that forbids it, in the order of [`SendDenied`].
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
