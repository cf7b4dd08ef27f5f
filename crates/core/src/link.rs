//! A connection to a node, an attempt that goes out on one, and the pool of those that are quiet.
//!
//! Whether a request may have run hangs on one fact, whether its last byte was written: [`Link`] keeps it, for
//! each connection, from what the socket took. [`Attempt`] says what is done next, and how it ended. [`Pool`]
//! says which connection is used again and which is closed. None of them does I/O.

use std::collections::BTreeMap;

use crate::interface::{Nanos, NodeId, Outcome};
use crate::mutations::{mutated, Mutation};

/// What a connection to a node is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Link {
    /// Open, with nothing on it.
    #[default]
    Quiet,
    /// A request was handed over, its last byte is not written.
    Writing {
        /// Whether any byte is.
        begun: bool,
    },
    /// The last byte is written, no byte of an answer has come.
    Awaiting,
    /// An answer has begun.
    Reading,
    /// Bytes came that are the answer to no request of this connection; `whole` where the last byte of the
    /// present request was written all the same.
    Spoilt {
        /// Whether any byte of a request is written.
        begun: bool,
        /// Whether its last byte is.
        whole: bool,
    },
}

/// What happens on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OnLink {
    /// A request was handed over.
    HandedOver,
    /// The socket took bytes, `last` where the request's last one is among them.
    Wrote {
        /// Whether the request is out whole.
        last: bool,
    },
    /// Bytes came.
    Heard,
    /// The answer has come whole.
    Whole,
}

/// What is known of a request whose connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Doubt {
    /// Nothing of it was written.
    Untouched,
    /// Its last byte was not: it never ran.
    Partly,
    /// Its last byte was.
    MayHaveRun,
}

impl Doubt {
    /// The table of outcomes, for what broke.
    pub fn outcome(self) -> Outcome {
        match self {
            Doubt::Untouched | Doubt::Partly => Outcome::NotExecuted,
            Doubt::MayHaveRun => Outcome::Reset,
        }
    }
}

impl Link {
    /// Takes what has happened.
    pub fn on(&mut self, event: OnLink) {
        *self = match (*self, event) {
            (Link::Quiet, OnLink::HandedOver) if mutated(Mutation::LastByteAtHandOver) => Link::Awaiting,
            (Link::Quiet, OnLink::HandedOver) => Link::Writing { begun: false },
            (Link::Writing { .. }, OnLink::Wrote { last: true }) if !mutated(Mutation::LastByteNotSeen) => {
                Link::Awaiting
            }
            (Link::Writing { .. }, OnLink::Wrote { .. }) => Link::Writing { begun: true },
            (Link::Spoilt { whole, .. }, OnLink::Wrote { last }) => {
                Link::Spoilt { begun: true, whole: whole || last }
            }
            // What comes before the request is out whole is an answer to something else.
            (Link::Quiet, OnLink::Heard) => Link::Spoilt { begun: false, whole: false },
            (Link::Writing { begun }, OnLink::Heard) if !mutated(Mutation::EarlyAnswerTaken) => {
                Link::Spoilt { begun, whole: false }
            }
            (Link::Awaiting, OnLink::Heard) => Link::Reading,
            (Link::Reading, OnLink::Whole) => Link::Quiet,
            (now, _) => now,
        }
    }

    /// Whether bytes may be written, asked just before: `waits` says that bytes, or the end, lie on the socket
    /// already, and `withdrawn` that nobody wants the request any more. Behind the last byte nothing would tell the
    /// waiting bytes from the answer; a request that has begun is not broken off.
    pub fn may_write(&mut self, waits: bool, withdrawn: bool) -> bool {
        if waits && !mutated(Mutation::WritesOverWaitingBytes) {
            self.on(OnLink::Heard);
        }
        let begins = *self == Link::Writing { begun: false };
        let unwanted = begins && withdrawn && !mutated(Mutation::WithdrawnIsWritten);
        !matches!(self, Link::Spoilt { .. }) && !unwanted
    }

    /// What is known of the request on it, were it to break now.
    pub fn doubt(self) -> Doubt {
        match self {
            Link::Quiet | Link::Writing { begun: false } | Link::Spoilt { begun: false, whole: false } => {
                Doubt::Untouched
            }
            Link::Writing { begun: true } | Link::Spoilt { whole: false, .. } => Doubt::Partly,
            Link::Awaiting | Link::Reading | Link::Spoilt { whole: true, .. } => Doubt::MayHaveRun,
        }
    }

    /// Whether what has come is the answer to the request on it.
    pub fn answers(self) -> bool {
        self == Link::Reading || (mutated(Mutation::EarlyAnswerTaken) && matches!(self, Link::Writing { .. }))
    }
}

/// An attempt: found or dialled a connection, sent, and ended in one outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Attempt {
    /// It looks for a quiet connection.
    Choosing,
    /// It is on one that was used before.
    Reusing,
    /// It waits for a new one.
    Dialling,
    /// It is on a new one.
    Fresh,
    /// It has ended.
    Over(Outcome),
}

/// What happens to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OnAttempt {
    /// The pool has a quiet connection.
    Found,
    /// It has none; a new one may be opened, or may not.
    NoneQuiet {
        /// Whether there is room for a new one.
        room: bool,
    },
    /// A connection has come up.
    Connected,
    /// None came up.
    NotConnected,
    /// The connection broke, or what came is no answer.
    Broke(Doubt),
    /// An answer has come whole, with this outcome by the table.
    Answered(Outcome),
    /// It was withdrawn, with this outcome, and nothing of it has been written: nothing is.
    Withdrawn(Outcome),
}

/// What an attempt does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Next {
    /// Ask the pool for a quiet connection.
    Choose,
    /// Open a new one.
    Dial,
    /// Hand the request over to the connection at hand.
    Send,
    /// Nothing more.
    End(Outcome),
}

impl Attempt {
    /// Takes what has happened and says what is to be done.
    pub fn on(&mut self, event: OnAttempt) -> Next {
        let next = match (*self, event) {
            (Attempt::Choosing, OnAttempt::Found) => Next::Send,
            (Attempt::Choosing, OnAttempt::NoneQuiet { room: true }) => Next::Dial,
            (Attempt::Choosing, OnAttempt::NoneQuiet { room: false }) => Next::End(Outcome::NotSent),
            (Attempt::Dialling, OnAttempt::Connected) => Next::Send,
            (Attempt::Dialling, OnAttempt::NotConnected) if mutated(Mutation::DialFailureInDoubt) => {
                Next::End(Outcome::Reset)
            }
            (Attempt::Dialling, OnAttempt::NotConnected) => Next::End(Outcome::NotExecuted),
            // A pooled connection may prove closed before anything of the request is taken from us; that is no
            // attempt, and the next connection gets it. One that broke in mid-request is never gone round.
            (Attempt::Reusing, OnAttempt::Broke(Doubt::Untouched)) => Next::Choose,
            (Attempt::Reusing, OnAttempt::Broke(Doubt::Partly)) if mutated(Mutation::PartlySentGoesRound) => {
                Next::Choose
            }
            (Attempt::Reusing, OnAttempt::Broke(_)) if mutated(Mutation::ResentSilently) => Next::Choose,
            (Attempt::Reusing | Attempt::Fresh, OnAttempt::Broke(doubt)) => {
                let refused = mutated(Mutation::ResetTakenForRefusal);
                Next::End(if refused { Outcome::NotExecuted } else { doubt.outcome() })
            }
            (Attempt::Reusing | Attempt::Fresh, OnAttempt::Answered(outcome)) => Next::End(outcome),
            // What does not fit is a fault of the shell's; in doubt it may have run.
            (Attempt::Over(outcome), _) => Next::End(outcome),
            (_, OnAttempt::Withdrawn(outcome)) => Next::End(outcome),
            _ => Next::End(Outcome::Reset),
        };
        *self = match next {
            Next::Choose => Attempt::Choosing,
            Next::Dial => Attempt::Dialling,
            Next::Send if *self == Attempt::Dialling => Attempt::Fresh,
            Next::Send => Attempt::Reusing,
            Next::End(outcome) => Attempt::Over(outcome),
        };
        next
    }
}

/// The quiet connections to each node. `C` is a handle on a connection; dropping one closes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pool<C> {
    idle: Nanos,
    most: usize,
    members: BTreeMap<NodeId, Member<C>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member<C> {
    /// Goes up where the node moves: connections to where it was are of no use.
    place: u32,
    /// The latest used last, with the moment it fell quiet.
    quiet: Vec<(C, Nanos)>,
}

/// Whether a new connection may be opened.
#[derive(Debug)]
pub enum Room<C> {
    /// It may.
    Free,
    /// It may once this one, the longest idle, is closed.
    Close(C),
    /// All are in use.
    Full,
}

impl<C> Pool<C> {
    /// Of at most so many connections, quiet or not, each used again within `idle` of its last answer.
    pub fn new(idle: Nanos, most: usize) -> Pool<C> {
        Pool { idle, most, members: BTreeMap::new() }
    }

    /// A node is there.
    pub fn add(&mut self, node: NodeId) {
        self.members.entry(node).or_insert(Member { place: 0, quiet: Vec::new() });
    }

    /// A node is at another address now. Gives the connections that are of no use any more.
    pub fn moved(&mut self, node: NodeId) -> Vec<(C, Nanos)> {
        let Some(member) = self.members.get_mut(&node) else { return Vec::new() };
        member.place += 1;
        std::mem::take(&mut member.quiet)
    }

    /// A node is gone. Gives its connections.
    pub fn forget(&mut self, node: NodeId) -> Vec<(C, Nanos)> {
        if mutated(Mutation::ForgottenNodeKeepsConnections) {
            return Vec::new();
        }
        self.members.remove(&node).map(|m| m.quiet).unwrap_or_default()
    }

    /// Which of its places a node is at; none where it is not known.
    pub fn place(&self, node: NodeId) -> Option<u32> {
        self.members.get(&node).map(|m| m.place)
    }

    /// A connection to use again, and those found to be of no use on the way. `quiet` looks at the socket.
    pub fn take(&mut self, node: NodeId, now: Nanos, quiet: impl Fn(&C) -> bool) -> (Option<C>, Vec<C>) {
        let mut useless = Vec::new();
        let idle = self.idle;
        let Some(member) = self.members.get_mut(&node) else { return (None, useless) };
        while let Some((conn, since)) = member.quiet.pop() {
            let fresh = now - since < idle || mutated(Mutation::IdleForTooLong);
            if fresh && quiet(&conn) {
                return (Some(conn), useless);
            }
            useless.push(conn);
        }
        (None, useless)
    }

    /// Keeps a connection that has carried an answer, opened while its node was at `place`; gives it back where
    /// it is of no use.
    pub fn keep(&mut self, node: NodeId, place: u32, conn: C, now: Nanos, quiet: bool) -> Option<C> {
        let stays = |m: &&mut Member<C>| m.place == place || mutated(Mutation::KeptForAnotherAddress);
        match self.members.get_mut(&node).filter(stays).filter(|_| quiet) {
            Some(member) => {
                member.quiet.push((conn, now));
                None
            }
            None => Some(conn),
        }
    }

    /// Whether one more may be opened where `open` are, in use or quiet.
    pub fn room(&mut self, open: usize) -> Room<C> {
        if open < self.most || mutated(Mutation::NoCapOnConnections) {
            return Room::Free;
        }
        let quiet = self.members.values_mut().filter(|m| !m.quiet.is_empty());
        match quiet.min_by_key(|m| m.quiet[0].1) {
            Some(member) => Room::Close(member.quiet.remove(0).0),
            None => Room::Full,
        }
    }

    /// Gives the connections that have stood idle for long, or are closed by the node.
    pub fn sweep(&mut self, now: Nanos, open: impl Fn(&C) -> bool) -> Vec<C> {
        let mut over = Vec::new();
        for member in self.members.values_mut() {
            let (stay, go) = std::mem::take(&mut member.quiet)
                .into_iter()
                .partition(|(conn, since)| open(conn) && now - since < self.idle);
            member.quiet = stay;
            let go: Vec<(C, Nanos)> = go;
            over.extend(go.into_iter().map(|(conn, _)| conn));
        }
        over
    }

    /// The quiet connections to each node, the latest used last.
    pub fn quiet(&self) -> impl Iterator<Item = (NodeId, &C)> {
        self.members.iter().flat_map(|(node, m)| m.quiet.iter().map(move |(conn, _)| (*node, conn)))
    }
}
