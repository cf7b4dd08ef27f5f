//! Which fronts of a fleet there are. [`Contacts`] is a machine without I/O and without a clock: it is told what each
//! front said of itself ([`Hello`]) and when, and says what to believe of each. [`Seal`] is how a message travels: its
//! format, and a keyed digest that strangers cannot make. [`Entries`] is what fronts tell each other beside.
//!
//! Fronts are told apart by their place in the operators' roster **and** by boot, so that what a predecessor said no
//! longer counts. A boot counts once it has shown that it hears this one; a second boot of a name is a stranger until
//! the first has been silent for a life.

mod contacts;
mod entries;
mod seal;

pub use contacts::{MembershipTable, MessageStatus, PeerState, PeerStatus};
pub use entries::{
    Delta, EntryError, GossipAction, GossipEntry, GossipError, GossipInput, GossipMessage, GossipStore, Key,
    MAX_ENTRIES, MAX_VALUE,
};
pub use seal::{Envelope, EnvelopeCodec, EnvelopeError, MAX_MESSAGE};

/// A moment or a span in nanoseconds, by one front's own clock, which runs on while the front is stopped.
pub type Nanos = i64;
/// A front, by its place in the roster.
pub type PeerId = u16;
/// One run of a front: no two of one name share it.
pub type Incarnation = u64;
