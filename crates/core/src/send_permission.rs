//! Whether an attempt may begin to write, asked at the last moment before its first byte.
//!
//! An attempt is decided when its request is dispatched, but a connection may come up much later,
//! and this process may be held up in between. So everything that forbids it is asked again here,
//! in one place, with the time of that moment.
//!
//! No I/O and no clock: the caller passes what it knows.

use crate::interface::{Nanos, Outcome};

/// What is known of an attempt whose first byte is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct SendQuestion {
    /// The present time.
    pub now: Nanos,
    /// The outcome with which the attempt was withdrawn or cancelled, if it was: its request is
    /// answered, its client has gone, or its server drains.
    pub withdrawn: Option<Outcome>,
    /// Until when a repeat may begin, by the window of its class; absent for no limit.
    pub begin_by: Option<Nanos>,
    /// When the client gives up.
    pub deadline: Nanos,
    /// Whether bytes, or the end of the stream, wait on the connection to the server.
    pub unread_bytes: bool,
}

/// Why an attempt may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendRefusal {
    /// It was withdrawn or cancelled.
    Withdrawn(Outcome),
    /// The window in which it may repeat another is over.
    WindowOver,
    /// Its client has given up.
    DeadlinePassed,
    /// The connection cannot be used: what waits on it could not be told from the response.
    UnreadBytes,
}

impl SendRefusal {
    /// The outcome of an attempt that is refused. Nothing of it was written.
    pub fn outcome(self) -> Outcome {
        match self {
            SendRefusal::Withdrawn(outcome) => outcome,
            SendRefusal::WindowOver | SendRefusal::DeadlinePassed => Outcome::NotSent,
            SendRefusal::UnreadBytes => Outcome::NotExecuted,
        }
    }
}

/// Decides whether the first byte of an attempt may be written.
///
/// # Errors
/// [`SendRefusal`] with the first reason against it.
pub fn may_begin(question: &SendQuestion) -> Result<(), SendRefusal> {
    if let Some(outcome) = question.withdrawn {
        return Err(SendRefusal::Withdrawn(outcome));
    }
    if question
        .begin_by
        .is_some_and(|begin_by| question.now >= begin_by)
    {
        return Err(SendRefusal::WindowOver);
    }
    if question.now >= question.deadline {
        return Err(SendRefusal::DeadlinePassed);
    }
    if question.unread_bytes {
        return Err(SendRefusal::UnreadBytes);
    }
    Ok(())
}
