//! Conversion between the words of the wire protocol and the types of the decision module.

use tulipbridge::{EndpointState, Outcome, UpdateScope};

use crate::error::WireError;

/// The kind of an event on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// Starts an instance.
    Start,
    /// Ends an instance.
    Halt,
    /// An update of the endpoint list.
    Endpoints,
    /// A client's request has arrived.
    Request,
    /// The client of a request has disconnected.
    ClientDisconnected,
    /// The first byte of a streamed response has arrived.
    ResponseStarted,
    /// An attempt has ended.
    AttemptEnded,
    /// A timer has fired.
    Timer,
}

/// Returns the kind of event that a word names, or `None` for an event that is ignored.
pub fn event_kind(word: &str) -> Option<EventKind> {
    match word {
        "Start" => Some(EventKind::Start),
        "Halt" => Some(EventKind::Halt),
        "Fleet" => Some(EventKind::Endpoints),
        "Knock" => Some(EventKind::Request),
        "Dropped" => Some(EventKind::ClientDisconnected),
        "First" => Some(EventKind::ResponseStarted),
        "Result" => Some(EventKind::AttemptEnded),
        "TimeoutFired" => Some(EventKind::Timer),
        _ => None,
    }
}

/// Names of the actions on the wire.
pub mod action {
    /// Send an attempt.
    pub const SEND: &str = "Place";
    /// Reject a request.
    pub const REJECT: &str = "SayNo";
    /// Fail a request.
    pub const FAIL: &str = "Fail";
    /// Cancel an attempt.
    pub const CANCEL: &str = "StopAttempt";
    /// Set a timer.
    pub const SET_TIMER: &str = "Sleep";
    /// Subscribe to the endpoint list.
    pub const SUBSCRIBE: &str = "KeepInformed";
    /// Write a log line.
    pub const LOG: &str = "NoteDown";
}

/// Decodes the scope of an update of the endpoint list.
pub fn update_scope(word: &str) -> Result<UpdateScope, WireError> {
    match word {
        "update" => Ok(UpdateScope::Update),
        "replace" => Ok(UpdateScope::Replace),
        "restored" => Ok(UpdateScope::Restored),
        "unavailable" => Ok(UpdateScope::Unavailable),
        _ => Err(unknown_word("Scope", word)),
    }
}

/// Decodes the state of an endpoint.
pub fn endpoint_state(word: &str) -> Result<EndpointState, WireError> {
    match word {
        "up" => Ok(EndpointState::Up),
        "draining" => Ok(EndpointState::Draining),
        "removed" => Ok(EndpointState::Removed),
        _ => Err(unknown_word("Health", word)),
    }
}

/// Decodes the outcome of an attempt.
pub fn outcome(word: &str) -> Result<Outcome, WireError> {
    match word {
        "done" => Ok(Outcome::Served),
        "err" => Ok(Outcome::Error),
        "busy" => Ok(Outcome::Rejected),
        "etimedout" => Ok(Outcome::TimedOut),
        "econnrefused" => Ok(Outcome::NotExecuted),
        "econnreset" => Ok(Outcome::Reset),
        "ecanceled" => Ok(Outcome::Cancelled),
        "skipped" => Ok(Outcome::NotSent),
        _ => Err(unknown_word("Disposition", word)),
    }
}

fn unknown_word(key: &'static str, word: &str) -> WireError {
    WireError::UnknownWord {
        key,
        word: word.to_owned(),
    }
}
