//! Clients' connections: what each is about, who has a place, who gives his up, and leaving in order.
//!
//! [`Visitor`] is one connection, [`Door`] the places for all, [`Leaving`] the end of the front after SIGTERM.
//! None of them does I/O; the listener tells them what happens and carries out what they say.

use crate::interface::Nanos;
use crate::mutations::{mutated, Mutation};

const MS: Nanos = 1_000_000;
/// From connecting until the first request is whole: whoever sends what is no request learns so within 3 s.
const FIRST: Nanos = 2_700 * MS;
/// From the first byte of a later request until it is whole.
const LATER: Nanos = 6_000 * MS;
/// A connection that stands idle for so long is closed, needed or not.
const IDLE: Nanos = 60_000 * MS;
/// Where places are short, they are taken from connections that have said nothing for the first, stood idle after
/// an answer for the second, are in the middle of a request for the third, or else stand idle at all.
const SILENT: Nanos = 100 * MS;
const IDLE_SHORT: Nanos = 2_000 * MS;
const HALF: Nanos = 500 * MS;
/// A connection that has just come is about to say something.
const FRESH: Nanos = 150 * MS;
/// After SIGTERM new connections are taken until none has come for the first, for no less than the second and no
/// more than the third; clients learn of a restart that late.
const QUIET: Nanos = 200 * MS;
const TAKE_LEAST: Nanos = 450 * MS;
const TAKE_MOST: Nanos = 650 * MS;
/// The kill comes no sooner after SIGTERM than the longest deadline, of which it waits for the first at the most, and
/// the second more.
const KILL_DEADLINE: Nanos = 3_000 * MS;
const KILL_MORE: Nanos = 700 * MS;
/// All that was taken is answered by the first before the kill, and the front has ended by the second before it,
/// whatever is still open. Both are wider where there is time for it.
const ANSWERED_BEFORE: Nanos = 250 * MS;
const END_BEFORE: Nanos = 100 * MS;
const ANSWERED_MOST: Nanos = 3_100 * MS;
const END_MOST: Nanos = 3_400 * MS;
/// How often the front looks whether it may end, and for how many looks in a row nothing must be open: a request
/// may be on its way into this process still, while a connection that is idle closes by itself.
const LOOK: Nanos = 20 * MS;
const LOOKS: u32 = 10;

/// What a connection is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// Nothing has come yet.
    New,
    /// A head has begun.
    ReadingHead,
    /// A body is awaited.
    ReadingBody,
    /// A request is being answered.
    Responding,
    /// Its last request has been answered.
    Idle,
    /// It is over; what is still on its way is read and dropped.
    Closing,
}

/// What happens on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClientEvent {
    /// Bytes of a head came.
    HeadStarted,
    /// A head is whole, its body is not.
    BodyStarted,
    /// A request is whole.
    RequestReceived,
    /// Its answer is handed over, or given up.
    Answered,
    /// This side has ended it.
    Closing,
}

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClientConnection {
    phase: Phase,
    since: Nanos,
    connected_at: Nanos,
    /// Whether a request on it has been answered.
    has_been_answered: bool,
}

impl ClientConnection {
    /// One that has just connected.
    pub fn new(now: Nanos) -> ClientConnection {
        ClientConnection { phase: Phase::New, since: now, connected_at: now, has_been_answered: false }
    }

    /// What it is about, and since when.
    pub fn phase(&self) -> (Phase, Nanos) {
        (self.phase, self.since)
    }

    /// When it came.
    pub fn connected_at(&self) -> Nanos {
        self.connected_at
    }

    /// Takes what has happened. The time of a request runs on from its head to its body.
    pub fn on(&mut self, now: Nanos, event: ClientEvent) {
        let phase = match event {
            ClientEvent::HeadStarted => Phase::ReadingHead,
            ClientEvent::BodyStarted => Phase::ReadingBody,
            ClientEvent::RequestReceived => Phase::Responding,
            ClientEvent::Answered => Phase::Idle,
            ClientEvent::Closing => Phase::Closing,
        };
        let restarts = phase != Phase::ReadingBody || mutated(Mutation::BodyRestartsTime);
        if restarts && phase != self.phase {
            self.since = now;
        }
        self.has_been_answered |= phase == Phase::Idle;
        self.phase = phase;
    }

    /// When the present request must have come whole.
    pub fn request_deadline(&self) -> Nanos {
        if self.has_been_answered {
            self.since + LATER
        } else {
            self.connected_at + FIRST
        }
    }

    /// Whether its time is over, where places are short or not. Busy is one that closing would cross: a request
    /// has come that nobody has read, or an answer is not read yet.
    pub fn has_timed_out(&self, now: Nanos, short: bool, busy: impl Fn() -> bool) -> bool {
        let idle = if short { IDLE_SHORT } else { IDLE };
        match self.phase {
            Phase::New | Phase::ReadingHead => now >= self.request_deadline(),
            Phase::Idle => now - self.since >= idle && (!busy() || mutated(Mutation::ClosesAcrossRequest)),
            // These are bounded where they are awaited.
            Phase::ReadingBody | Phase::Responding | Phase::Closing => false,
        }
    }

    /// Whether a request is on its way on it, or may be: a front that leaves shuts it only once that is answered.
    /// `waits` says that bytes lie on the socket, or an answer is not with the system yet.
    pub fn is_arriving(&self, now: Nanos, unread_bytes: bool) -> bool {
        if mutated(Mutation::ShutsAcrossArriving) {
            return false;
        }
        match self.phase {
            Phase::ReadingHead | Phase::ReadingBody => true,
            Phase::New => unread_bytes || now - self.connected_at < FRESH,
            Phase::Idle => unread_bytes,
            Phase::Responding | Phase::Closing => false,
        }
    }

    /// Whether something is owed on it: a request that is coming or open, an answer on its way out, or bytes still
    /// to be read, over which a close would reset it.
    pub fn has_pending_work(&self, now: Nanos, waits: bool) -> bool {
        self.is_arriving(now, waits) || matches!(self.phase, Phase::Responding | Phase::Closing)
    }

    /// Whether it may be cut off here and now, as it was told to go: what has come since is not crossed. Half a
    /// request that goes on dripping ends all the same.
    pub fn may_close_now(&self, now: Nanos, waits: bool) -> bool {
        match self.phase {
            Phase::Responding => false,
            Phase::ReadingHead | Phase::ReadingBody => !waits || now >= self.request_deadline() + HALF,
            Phase::New | Phase::Idle | Phase::Closing => !waits,
        }
    }

    /// How soon it gives its place up, the lowest first; none where it may be kept. With `idle` only connections
    /// that stand idle are asked for.
    fn eviction_rank(&self, now: Nanos, idle: bool) -> Option<u8> {
        let age = now - self.since;
        match self.phase {
            Phase::Idle if age >= IDLE_SHORT => Some(2),
            // A crowd of clients that ask once each: a new one has more use for the place.
            Phase::Idle if age >= SILENT || !idle => Some(4),
            Phase::Closing if !idle => Some(0),
            Phase::New if !idle && age >= SILENT => Some(1),
            Phase::ReadingHead | Phase::ReadingBody if !idle && age >= HALF => Some(3),
            Phase::Responding if !idle && mutated(Mutation::OpenGivesWay) => Some(5),
            _ => None,
        }
    }
}

/// The places for clients' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionLimiter {
    max_connections: usize,
    /// Connections past the cap that may stand at once to be told so; more wait to be accepted.
    rejection_slots: usize,
}

/// What is done before one more connection is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Accept {
    /// Nothing: there is room.
    Now,
    /// One that stands idle is sent off, if there is one.
    EvictIdle,
    /// One that may be spared is sent off, if there is one.
    EvictAny,
    /// It waits until another has gone.
    Wait,
}

impl ConnectionLimiter {
    /// With at most so many connections, those past the cap that stand to be told so included.
    pub fn new(most: usize, turned_away: usize) -> ConnectionLimiter {
        ConnectionLimiter {
            max_connections: most.saturating_sub(turned_away).max(1),
            rejection_slots: turned_away,
        }
    }

    /// Whether places are short.
    pub fn is_scarce(&self, held: usize) -> bool {
        held >= self.max_connections / 2
    }

    /// Whether one that comes now finds no place, and is told so.
    pub fn is_full(&self, held: usize) -> bool {
        held >= self.max_connections
    }

    /// What is done next before one more is accepted. `tried` is what was done last for it, and whether somebody
    /// went; none at first, and again after a wait.
    ///
    /// Clients, too, may hold only so many connections, and those that ask once and stay use them up before ours
    /// are: from half of the places on, each new one sends an idle one off.
    pub fn accept(&self, held: usize, tried: Option<(Accept, bool)>) -> Accept {
        let idle_asked = tried.is_some();
        let more_to_send = !matches!(tried, Some((Accept::EvictAny, false)));
        if self.is_scarce(held) && !idle_asked {
            Accept::EvictIdle
        } else if self.is_full(held) && more_to_send {
            Accept::EvictAny
        } else if held < self.max_connections + self.rejection_slots || mutated(Mutation::NoCapAtDoor) {
            Accept::Now
        } else {
            Accept::Wait
        }
    }

    /// Who gives his place up, if anybody may be spared: guards the usual clients against those that connect by
    /// hundreds, and against idle connections that are kept for good. An open request never gives way.
    pub fn eviction_candidate(
        &self,
        now: Nanos,
        idle: bool,
        visitors: impl Iterator<Item = (u64, ClientConnection)>,
        busy: impl Fn(u64) -> bool,
    ) -> Option<u64> {
        let mut least: Vec<_> =
            visitors.filter_map(|(n, v)| Some((v.eviction_rank(now, idle)?, v.since, n))).collect();
        least.sort_unstable();
        least.into_iter().map(|(_, _, n)| n).find(|n| mutated(Mutation::ClosesAcrossRequest) || !busy(*n))
    }
}

/// The end of a front after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GracefulShutdown {
    started_at: Nanos,
    /// All that was taken is answered by then, and the front has ended by the second.
    answer_deadline: Nanos,
    exit_deadline: Nanos,
    /// Looks in a row at which nothing was open.
    quiet_polls: u32,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Accepting,
    Draining,
    Finished,
}

/// What happens while a front leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ShutdownEvent {
    /// A connection was accepted.
    Accepted,
    /// None came for as long as [`Leave::Take`] said.
    AcceptTimedOut,
    /// The front looks at what it holds.
    Poll {
        /// Connections.
        connections: usize,
        /// Those on which something is owed: a request that has begun to come or is being answered, an answer whose
        /// last byte is not with the system, bytes that would turn the end into a reset.
        busy: usize,
    },
}

/// What a front that leaves does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ShutdownStep {
    /// Accept what comes within this time.
    Accept(Nanos),
    /// Accept what waits already, close the socket, tell connections to end with their present answer.
    StopAccepting,
    /// Look again after this time.
    Wait(Nanos),
    /// End.
    Exit,
}

impl GracefulShutdown {
    /// Told to leave now, where the longest deadline of a request is so long: new connections go on coming until clients learn of the restart, and what they carry
    /// counts as taken.
    pub fn new(now: Nanos, longest_deadline: Nanos) -> (GracefulShutdown, ShutdownStep) {
        let kill = longest_deadline.clamp(0, KILL_DEADLINE) + KILL_MORE;
        let answered = now + (kill - ANSWERED_BEFORE).min(ANSWERED_MOST);
        let end = now + (kill - END_BEFORE).min(END_MOST);
        (
            GracefulShutdown {
                started_at: now,
                answer_deadline: answered,
                exit_deadline: end,
                quiet_polls: 0,
                stage: Stage::Accepting,
            },
            ShutdownStep::Accept(QUIET),
        )
    }

    /// All that was taken, and is yet to be, is answered by then.
    pub fn answer_deadline(&self) -> Nanos {
        self.answer_deadline
    }

    /// Looks in a row at which nothing was open.
    pub fn quiet_polls(&self) -> u32 {
        self.quiet_polls
    }

    /// Takes what has happened and says what is done next.
    pub fn on(&mut self, now: Nanos, event: ShutdownEvent) -> ShutdownStep {
        let since = now - self.started_at;
        match (self.stage, event) {
            (Stage::Accepting, ShutdownEvent::Accepted | ShutdownEvent::AcceptTimedOut) => {
                let none = event == ShutdownEvent::AcceptTimedOut;
                if since >= TAKE_MOST || (none && since >= TAKE_LEAST) {
                    self.stage = Stage::Draining;
                    ShutdownStep::StopAccepting
                } else {
                    ShutdownStep::Accept(QUIET)
                }
            }
            (Stage::Draining, ShutdownEvent::Poll { connections: held, busy: open }) => {
                self.quiet_polls =
                    if open == 0 || mutated(Mutation::LeavesOpenRequests) { self.quiet_polls + 1 } else { 0 };
                if held == 0 || self.quiet_polls > LOOKS || now >= self.exit_deadline {
                    self.stage = Stage::Finished;
                    ShutdownStep::Exit
                } else {
                    ShutdownStep::Wait(LOOK)
                }
            }
            (Stage::Finished, _) => ShutdownStep::Exit,
            (Stage::Accepting, _) => ShutdownStep::Accept(QUIET),
            (Stage::Draining, _) => ShutdownStep::Wait(LOOK),
        }
    }
}
