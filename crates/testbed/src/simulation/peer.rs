//! The membership and gossip state of one simulated front, and the messages between fronts.

use tulipbridge_membership::{
    EntryKey, GossipAction, GossipInput, GossipMessage, GossipStore, Incarnation, MembershipTable,
    Nanos, PeerId, PeerState,
};

use super::network::MILLISECOND;

/// The mean time between two rounds of a front.
pub const ROUND_INTERVAL: Nanos = 200 * MILLISECOND;
/// How long a front counts as alive after its last heartbeat.
pub const PEER_TIMEOUT: Nanos = 2_000 * MILLISECOND;

/// A message between two fronts.
#[derive(Clone, Debug)]
pub enum PeerMessage {
    /// The sender's membership state.
    Heartbeat(PeerState),
    /// Gossip entries.
    Gossip(GossipMessage),
}

/// A message and the peer to which it goes.
#[derive(Clone, Debug)]
pub struct AddressedMessage {
    /// The receiver.
    pub to: PeerId,
    /// The message.
    pub message: PeerMessage,
}

/// A message in transit.
#[derive(Clone, Debug)]
pub struct Envelope {
    /// The index of the receiving front.
    pub to: usize,
    /// The sender.
    pub from: PeerId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The message.
    pub message: PeerMessage,
}

/// What every simulated front runs: a membership table and a gossip store.
pub struct Peer {
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The other fronts.
    pub membership: MembershipTable,
    /// The gossip entries of all fronts.
    pub gossip: GossipStore,
    /// The process is paused until this time.
    pub paused_until: Nanos,
}

impl Peer {
    /// A process that has just started. `gossip_rate` is in bytes a second.
    pub fn new(
        index: usize,
        fronts: usize,
        incarnation: Incarnation,
        gossip_rate: u64,
        now: Nanos,
    ) -> Peer {
        let peer_id = PeerId::from_index(index);
        let peer_count = fronts as u16;
        Peer {
            incarnation,
            membership: MembershipTable::new(peer_id, peer_count, incarnation, PEER_TIMEOUT),
            gossip: GossipStore::new(peer_id, peer_count, incarnation, gossip_rate, now),
            paused_until: 0,
        }
    }

    /// Whether the process is paused.
    pub fn is_paused(&self, now: Nanos) -> bool {
        now < self.paused_until
    }

    /// Begins a round: the heartbeat to each other front.
    pub fn heartbeats(&mut self, now: Nanos) -> Vec<AddressedMessage> {
        self.membership.begin_round(now);
        let heartbeat = |to| AddressedMessage {
            to,
            message: PeerMessage::Heartbeat(self.membership.state_for(now, to)),
        };
        self.membership.others().map(heartbeat).collect()
    }

    /// The gossip of a round.
    pub fn gossip_round(&mut self, now: Nanos) -> Vec<GossipAction> {
        self.feed_gossip(now, GossipInput::Round)
    }

    /// Writes an entry of this front, or removes it if there is no value.
    pub fn put(&mut self, now: Nanos, key: EntryKey, value: Option<Vec<u8>>) {
        // A local write has no actions for the network: the next round sends it.
        self.feed_gossip(now, GossipInput::Put(key, value));
    }

    /// Handles a message from another front.
    pub fn receive(
        &mut self,
        now: Nanos,
        from: PeerId,
        incarnation: Incarnation,
        message: PeerMessage,
    ) -> Vec<GossipAction> {
        match message {
            PeerMessage::Heartbeat(state) => {
                self.membership.receive(now, from, incarnation, &state);
                Vec::new()
            }
            PeerMessage::Gossip(message) => self.feed_gossip(
                now,
                GossipInput::Received {
                    from,
                    incarnation,
                    message,
                },
            ),
        }
    }

    /// Gives the gossip store an input and returns its actions.
    fn feed_gossip(&mut self, now: Nanos, input: GossipInput) -> Vec<GossipAction> {
        let mut actions = Vec::new();
        let outcome = self.gossip.on(now, &self.membership, input, &mut actions);
        ignore_rejection(outcome);
        actions
    }
}

/// Ignores whether an input was accepted: the simulations check the entries themselves.
fn ignore_rejection<T>(_outcome: T) {}
