//! The steps of the request model and their texts.

use std::fmt;

use tulipbridge_core::{Action, RequestId, RuntimeCommand};

/// A transition. Connections and attempts are named by their numbers, server work by its position.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The next client sends its request.
    ClientSends(usize),
    /// A client leaves.
    ClientDisconnects(usize),
    /// A connection is established.
    ConnectionEstablished(u32),
    /// A server refuses a connection.
    ConnectionRefused(u32),
    /// A connection accepts a part of the request.
    PartWritten(u32),
    /// A connection accepts the rest of the request.
    LastByteWritten(u32),
    /// A connection breaks.
    ConnectionBreaks(u32),
    /// A server closes an idle connection.
    ServerCloses(u32),
    /// Bytes arrive on a connection that are no response to any request.
    UnsolicitedBytes(u32),
    /// The front reads such bytes.
    UnsolicitedBytesRead(u32),
    /// A server executes a request.
    ServerExecutes(usize),
    /// A server drops a request whose connection is closed.
    ServerDrops(usize),
    /// The response to a request arrives.
    ResponseArrives(usize),
    /// A response arrives that cannot be parsed.
    UnreadableResponse(usize),
    /// A server responds with an error.
    ServerError(usize),
    /// A server rejects a request without executing it.
    ServerRejects(usize),
    /// The front drops an attempt that was cancelled.
    AttemptDropped(RequestId, u32),
    /// The front ends a withdrawn attempt that has not begun.
    AttemptWithdrawn(RequestId, u32),
    /// The next watch update arrives.
    WatchUpdated(usize),
    /// Time passes.
    ClockAdvances,
    /// Time passes while the front's machine stalls.
    FrontStalls,
    /// A timer of the decision module is due.
    TimerDue(u64),
    /// The deadline of an attempt has passed.
    AttemptTimesOut(RequestId, u32),
    /// A connection was not established in time.
    DialTimesOut(u32),
    /// The deadline of a client and its grace period have passed.
    RequestOverdue(usize),
    /// An unrestricted policy makes a decision.
    Decision(Action),
}

/// A decision as histories write it. Stored histories are replayed by these texts, so they stay the
/// same whatever the actions are called in the code.
struct DecisionText<'a>(&'a Action);

impl fmt::Display for DecisionText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Action::Send { id, node, timeout } => {
                write!(f, "Place {{ id: {id}, node: {node}, patience: {timeout} }}")
            }
            Action::Cancel { id, attempt } => {
                write!(f, "Cancel {{ id: {id}, attempt: {attempt} }}")
            }
            Action::Reject { id, retry_after } => {
                write!(f, "Refuse {{ id: {id}, wait: {retry_after} }}")
            }
            Action::Fail(id) => write!(f, "Fail({id})"),
            Action::Runtime(command) => CommandText(command).fmt(f),
        }
    }
}

/// A command of a decision as histories write it; see [`DecisionText`].
struct CommandText<'a>(&'a RuntimeCommand);

impl fmt::Display for CommandText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            RuntimeCommand::SetTimer { after, cookie } => {
                write!(f, "Sleep {{ after: {after}, cookie: {cookie} }}")
            }
            RuntimeCommand::Subscribe => write!(f, "Subscribe"),
            RuntimeCommand::ForgetNode(node) => write!(f, "Forget({node})"),
            RuntimeCommand::Log { text, node } => {
                write!(f, "Note {{ text: {text:?}, node: {node} }}")
            }
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::ClientSends(client) => write!(f, "client {client} asks"),
            Step::ClientDisconnects(client) => write!(f, "client {client} leaves"),
            Step::ConnectionEstablished(id) => write!(f, "connection {id} is up"),
            Step::ConnectionRefused(id) => write!(f, "connection {id} is refused"),
            Step::PartWritten(id) => write!(f, "connection {id} takes a part of the request"),
            Step::LastByteWritten(id) => {
                write!(f, "connection {id} takes the last byte of the request")
            }
            Step::ConnectionBreaks(id) => write!(f, "connection {id} breaks"),
            Step::ServerCloses(id) => write!(f, "the node closes connection {id}"),
            Step::UnsolicitedBytes(id) => {
                write!(f, "bytes that nobody asked for come on connection {id}")
            }
            Step::UnsolicitedBytesRead(id) => write!(f, "the front reads them on connection {id}"),
            Step::ServerExecutes(work) => write!(f, "the node runs work {work}"),
            Step::ServerDrops(work) => write!(f, "the node drops cancelled work {work}"),
            Step::ResponseArrives(work) => write!(f, "the answer to work {work} comes"),
            Step::UnreadableResponse(work) => write!(f, "the answer to work {work} comes spoilt"),
            Step::ServerError(work) => write!(f, "the node answers work {work} with an error"),
            Step::ServerRejects(work) => write!(f, "the node turns work {work} away"),
            Step::AttemptDropped(id, attempt) => {
                write!(f, "attempt {attempt} of request {id} is dropped")
            }
            Step::AttemptWithdrawn(id, attempt) => {
                write!(f, "attempt {attempt} of request {id} ends before it began")
            }
            Step::WatchUpdated(update) => write!(f, "news {update} of the register arrives"),
            Step::ClockAdvances => write!(f, "the clock moves on"),
            Step::FrontStalls => write!(f, "the front stands still"),
            Step::TimerDue(cookie) => write!(f, "timer {cookie} is due"),
            Step::AttemptTimesOut(id, attempt) => {
                write!(f, "the time of attempt {attempt} of request {id} is over")
            }
            Step::DialTimesOut(id) => write!(f, "connection {id} does not come up in time"),
            Step::RequestOverdue(client) => write!(f, "the time of client {client} is over"),
            Step::Decision(action) => write!(f, "decided: {}", DecisionText(action)),
        }
    }
}
