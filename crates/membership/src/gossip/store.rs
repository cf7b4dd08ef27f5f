//! The replicated entries of all fronts and the protocol that keeps the replicas up to date.

use super::acknowledgement::Acknowledgement;
use super::byte_budget::ByteBudget;
use super::origin::Origin;
use super::{
    Delta, EntryError, EntryKey, GossipAction, GossipError, GossipInput, GossipMessage,
    KnownVersion, StoredValue,
};
use crate::{Incarnation, MembershipTable, Nanos, PeerId};

/// Maximum encoded length of a delta in bytes, well below that of a datagram.
const MAX_DELTA_BYTES: i64 = 24_000;

/// The entries of one front and its replicas of the entries of all other fronts.
#[derive(Clone, Debug)]
pub struct GossipStore {
    /// The position of this front.
    me: PeerId,
    /// The entries of each front, by position.
    origins: Vec<Origin>,
    /// What each peer has acknowledged of this front's entries, by position.
    acked: Vec<Acknowledgement>,
    /// Whether the next message to a peer must acknowledge its entries, by position.
    ack_due: Vec<bool>,
    /// The last peer that was asked for all missing entries; this front before the first request.
    last_pulled_from: PeerId,
    /// Limits the bytes of entries that this front sends.
    budget: ByteBudget,
}

impl GossipStore {
    /// Creates the store of an incarnation of the front at position `me` in a membership list of
    /// `front_count` fronts. It sends at most `bytes_per_second` of entries.
    pub fn new(
        me: PeerId,
        front_count: u16,
        incarnation: Incarnation,
        bytes_per_second: u64,
        now: Nanos,
    ) -> GossipStore {
        let budget = ByteBudget::new(bytes_per_second, now);
        GossipStore::with_budget(me, front_count, Origin::new(incarnation), budget)
    }

    /// Creates a store that contains only this front's entries.
    fn with_budget(me: PeerId, front_count: u16, own: Origin, budget: ByteBudget) -> GossipStore {
        let count = usize::from(front_count);
        let mut origins = vec![Origin::default(); count];
        origins[me.index()] = own;
        GossipStore {
            me,
            origins,
            acked: vec![Acknowledgement::default(); count],
            ack_due: vec![false; count],
            last_pulled_from: me,
            budget,
        }
    }

    /// Changes the limit on the bytes of entries sent per second.
    pub fn set_rate(&mut self, bytes_per_second: u64) {
        self.budget.set_rate(bytes_per_second);
    }

    /// Returns the store for another membership list. It contains only this front's entries.
    #[must_use]
    pub fn with_membership_list(&self, me: PeerId, front_count: u16, now: Nanos) -> GossipStore {
        let own = self.origins[self.me.index()].clone();
        GossipStore::with_budget(me, front_count, own, self.budget.restarted(now))
    }

    /// Handles an input and appends the resulting actions. `members` provides the accepted
    /// incarnations and whether they are alive.
    ///
    /// # Errors
    /// An entry of this front cannot be written; nothing has changed then.
    pub fn on(
        &mut self,
        now: Nanos,
        members: &MembershipTable,
        input: GossipInput,
        actions: &mut Vec<GossipAction>,
    ) -> Result<(), EntryError> {
        match input {
            GossipInput::Put(key, value) => {
                return self.origins[self.me.index()].put(now, key, value)
            }
            GossipInput::Round => self.round(now, members, actions),
            GossipInput::Received {
                from,
                incarnation,
                message,
            } => {
                if members.incarnation_of(from) == Some(incarnation) && members.is_alive(now, from)
                {
                    self.receive(now, members, from, incarnation, message, actions);
                } else {
                    actions.push(GossipAction::Rejected(GossipError::StaleIncarnation));
                }
            }
        }
        Ok(())
    }

    /// Returns an entry of a front, `None` if it does not exist or was deleted.
    pub fn get(&self, now: Nanos, origin: PeerId, key: EntryKey) -> Option<StoredValue<'_>> {
        self.origins.get(origin.index())?.value(now, origin, key)
    }

    /// Returns all entries of a namespace that are not deleted, ordered by origin and then by the
    /// id of the key.
    pub fn all(&self, now: Nanos, kind: u8) -> impl Iterator<Item = StoredValue<'_>> + '_ {
        let origins = self.origins.iter().enumerate();
        origins.flat_map(move |(position, origin)| {
            origin.values(now, PeerId::from_index(position), kind)
        })
    }

    /// Returns the incarnation of a front whose entries are stored and the version up to which they
    /// are known; `None` if the front is not in the membership list.
    pub fn known(&self, origin: PeerId) -> Option<KnownVersion> {
        let entries = self.origins.get(origin.index())?;
        Some(entries.known_version(origin))
    }

    /// Sends changes to all live peers, and requests missing entries from one of them.
    fn round(&mut self, now: Nanos, members: &MembershipTable, actions: &mut Vec<GossipAction>) {
        self.budget.refill(now);
        for peer in members.others() {
            self.update_incarnation(now, members, peer, actions);
        }
        let peers: Vec<PeerId> = members
            .others()
            .filter(|peer| members.is_alive(now, *peer))
            .collect();
        // Each round starts with the next peer, so that a scarce budget does not always serve the
        // same one.
        let first = peers
            .iter()
            .position(|peer| *peer > self.last_pulled_from)
            .unwrap_or(0);
        let pulled_from = peers.get(first).copied();
        for to in peers[first..].iter().chain(&peers[..first]).copied() {
            let message = self.round_message(now, members, to, pulled_from == Some(to));
            if message.requests_missing || !message.knows.is_empty() || !message.deltas.is_empty() {
                actions.push(GossipAction::Send { to, message });
            }
        }
        self.last_pulled_from = pulled_from.unwrap_or(self.last_pulled_from);
    }

    /// Returns the message to a peer in this round: this front's changes, an acknowledgement if one
    /// is due, and, if `requests_missing` is set, the request for all missing entries.
    fn round_message(
        &mut self,
        now: Nanos,
        members: &MembershipTable,
        to: PeerId,
        requests_missing: bool,
    ) -> GossipMessage {
        let incarnation = members.incarnation_of(to).unwrap_or_default();
        let acked_version = self.acked[to.index()].version_by(incarnation);
        let delta = self.take_delta(now, self.me, acked_version);
        let ack_due = std::mem::take(&mut self.ack_due[to.index()]);
        let knows = match (requests_missing, ack_due) {
            (true, _) => self.known_versions().collect(),
            (false, true) => self
                .known_versions()
                .filter(|known| known.origin == to)
                .collect(),
            (false, false) => Vec::new(),
        };
        GossipMessage {
            echo: members.echo(to),
            knows,
            requests_missing,
            deltas: delta.into_iter().collect(),
        }
    }

    /// Discards the stored entries of a live peer if they belong to another incarnation than the
    /// accepted one. Entries of a peer that is not alive here are kept: other fronts may have sent
    /// those of a later incarnation.
    fn update_incarnation(
        &mut self,
        now: Nanos,
        members: &MembershipTable,
        peer: PeerId,
        actions: &mut Vec<GossipAction>,
    ) {
        let origin = &mut self.origins[peer.index()];
        let alive = members
            .incarnation_of(peer)
            .filter(|_| members.is_alive(now, peer));
        let Some(incarnation) = alive.filter(|incarnation| *incarnation != origin.incarnation())
        else {
            return;
        };
        if origin.replace_incarnation(incarnation) {
            actions.push(GossipAction::Dropped(peer));
        }
    }

    /// Returns the known versions of all fronts but those still at version 0.
    fn known_versions(&self) -> impl Iterator<Item = KnownVersion> + '_ {
        let origins = self.origins.iter().enumerate();
        let known =
            origins.map(|(position, origin)| origin.known_version(PeerId::from_index(position)));
        known.filter(|known| known.version > 0)
    }

    /// Returns the changes of a front's entries after a version, as far as the byte budget allows,
    /// and subtracts them from the budget.
    fn take_delta(&mut self, now: Nanos, origin: PeerId, after: u64) -> Option<Delta> {
        let max_bytes = self.budget.available().min(MAX_DELTA_BYTES);
        let sized = self.origins[origin.index()].delta(now, origin, after, max_bytes)?;
        self.budget.spend(sized.bytes);
        Some(sized.delta)
    }

    /// Handles a message of a live peer's accepted incarnation.
    fn receive(
        &mut self,
        now: Nanos,
        members: &MembershipTable,
        from: PeerId,
        incarnation: Incarnation,
        message: GossipMessage,
        actions: &mut Vec<GossipAction>,
    ) {
        let GossipMessage {
            echo,
            knows,
            requests_missing,
            deltas,
        } = message;
        // The message was sent after the echoed one, which bounds its transit time.
        let echo = echo.filter(|echo| echo.incarnation == members.incarnation());
        let sent_after = echo.map(|echo| echo.sent_at.min(now));
        for delta in deltas {
            let origin = delta.origin;
            let applied = match sent_after {
                Some(sent_after) => {
                    self.apply_delta(now, members, from, delta, sent_after, actions)
                }
                None => Err(GossipError::NoEcho),
            };
            match applied {
                Ok(()) if origin == from => self.ack_due[from.index()] = true,
                Ok(()) => {}
                Err(error) => actions.push(GossipAction::Rejected(error)),
            }
        }
        self.record_acknowledgement(from, incarnation, &knows, requests_missing);
        if requests_missing {
            self.send_missing(now, members, from, &knows, actions);
        }
    }

    /// Records up to which version a peer knows this front's entries. A complete list without them
    /// means that the peer has none: it may have discarded them.
    fn record_acknowledgement(
        &mut self,
        from: PeerId,
        incarnation: Incarnation,
        knows: &[KnownVersion],
        knows_is_complete: bool,
    ) {
        let own = &self.origins[self.me.index()];
        let known = find_version(knows, self.me, own.incarnation())
            .map(|version| version.min(own.version()));
        if let Some(version) = known.or(knows_is_complete.then_some(0)) {
            self.acked[from.index()] = Acknowledgement {
                incarnation,
                version,
            };
        }
    }

    /// Sends a peer the entries that it lacks, both those of this front and those of all fronts
    /// that are alive here. Entries of other fronts are not sent: the peer may have accepted a
    /// later incarnation of them than this front.
    fn send_missing(
        &mut self,
        now: Nanos,
        members: &MembershipTable,
        to: PeerId,
        knows: &[KnownVersion],
        actions: &mut Vec<GossipAction>,
    ) {
        self.budget.refill(now);
        let mut deltas = Vec::new();
        let others = PeerId::all(self.origins.len() as u16).filter(|origin| *origin != to);
        for origin in others {
            let incarnation = self.origins[origin.index()].incarnation();
            let after = find_version(knows, origin, incarnation).unwrap_or(0);
            if origin == self.me || members.is_alive(now, origin) {
                deltas.extend(self.take_delta(now, origin, after));
            }
        }
        if !deltas.is_empty() {
            let message = GossipMessage {
                echo: members.echo(to),
                deltas,
                ..GossipMessage::default()
            };
            actions.push(GossipAction::Send { to, message });
        }
    }

    /// Applies a delta from a peer to the replica of its origin.
    ///
    /// # Errors
    /// The reason why the delta is rejected.
    fn apply_delta(
        &mut self,
        now: Nanos,
        members: &MembershipTable,
        from: PeerId,
        delta: Delta,
        sent_after: Nanos,
        actions: &mut Vec<GossipAction>,
    ) -> Result<(), GossipError> {
        let peer = delta.origin;
        if peer == self.me || peer.index() >= self.origins.len() {
            return Err(GossipError::UnknownOrigin);
        }
        // For an origin that is alive here, only the accepted incarnation counts. For any other,
        // the incarnation is taken from any front that relays its entries.
        let is_current = match members.incarnation_of(peer) {
            Some(incarnation) if members.is_alive(now, peer) => delta.incarnation == incarnation,
            _ => peer != from,
        };
        if !is_current {
            return Err(GossipError::StaleIncarnation);
        }
        let origin = &mut self.origins[peer.index()];
        origin.check(&delta)?;
        if origin.incarnation() != delta.incarnation
            && origin.replace_incarnation(delta.incarnation)
        {
            actions.push(GossipAction::Dropped(peer));
        }
        let changed = origin.apply(delta, sent_after);
        actions.extend(
            changed
                .into_iter()
                .map(|key| GossipAction::Changed(peer, key)),
        );
        Ok(())
    }
}

/// Returns the version of an origin's incarnation in a list of known versions.
fn find_version(knows: &[KnownVersion], origin: PeerId, incarnation: Incarnation) -> Option<u64> {
    let known = knows
        .iter()
        .find(|known| known.origin == origin && known.incarnation == incarnation);
    known.map(|known| known.version)
}
