//! What one front knows about one peer.

use std::hash::{Hash, Hasher};

use crate::{Echo, Incarnation, MessageStatus, Nanos, PeerId, PeerState};

/// An incarnation that is rejected while another one is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct RejectedIncarnation {
    pub(super) incarnation: Incarnation,
    /// When its latest message was received.
    pub(super) last_message_at: Nanos,
}

/// The state of one peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Member {
    /// The accepted incarnation.
    pub(super) incarnation: Option<Incarnation>,
    /// When its latest message was received.
    pub(super) last_message_at: Nanos,
    /// When its latest message was sent, by its clock.
    pub(super) last_sent_at: Nanos,
    /// When the latest message of this front that it has echoed was sent.
    pub(super) last_echo_at: Nanos,
    /// Whether it reported that it shuts down.
    pub(super) left: bool,
    /// The last message of an incarnation that has not yet shown that it receives this front's
    /// messages.
    pub(super) unconfirmed: Option<Echo>,
    /// An incarnation that claims the position while another one is alive.
    pub(super) conflicting: Option<RejectedIncarnation>,
    /// When it last reported that it rejects this front's incarnation.
    pub(super) rejected_us_at: Option<Nanos>,
    /// Peers that it receives messages from.
    pub(super) hears: Vec<PeerId>,
}

impl Member {
    /// Whether it has an accepted incarnation that is not shutting down and sent a message within
    /// `span`.
    pub(super) fn is_live_within(&self, now: Nanos, span: Nanos) -> bool {
        self.incarnation.is_some() && !self.left && now < self.last_message_at + span
    }

    /// The rejected incarnation, if it sent a message within `span`.
    pub(super) fn conflicting_within(&self, now: Nanos, span: Nanos) -> Option<Incarnation> {
        let recent = self
            .conflicting
            .filter(|rejected| now < rejected.last_message_at + span);
        recent.map(|rejected| rejected.incarnation)
    }

    /// Accepts a new incarnation, which replaces all state of the one before.
    ///
    /// # Errors
    /// The status of the message if the incarnation cannot be accepted yet.
    pub(super) fn accept_incarnation(
        &mut self,
        now: Nanos,
        incarnation: Incarnation,
        state: &PeerState,
        receiver: Incarnation,
        failure_timeout: Nanos,
    ) -> Result<(), MessageStatus> {
        // A predecessor that reported its shutdown holds no resources any more: its successor need
        // not wait.
        if self.is_live_within(now, failure_timeout) {
            self.conflicting = Some(RejectedIncarnation {
                incarnation,
                last_message_at: now,
            });
            return Err(MessageStatus::Conflicting);
        }
        // A peer that rejects this front's incarnation has received its messages, too.
        if echoed_at(state, receiver).is_none() && state.conflicting != Some(receiver) {
            self.unconfirmed = Some((incarnation, state.sent_at));
            return Err(MessageStatus::Unconfirmed);
        }
        *self = Member {
            incarnation: Some(incarnation),
            last_sent_at: Nanos::MIN,
            last_echo_at: Nanos::MIN,
            ..Member::default()
        };
        Ok(())
    }

    /// Records a message of the accepted incarnation that is later than all before.
    pub(super) fn record(&mut self, now: Nanos, state: &PeerState, receiver: Incarnation) {
        self.last_message_at = now;
        self.last_sent_at = state.sent_at;
        self.left = state.shutting_down;
        self.hears.clone_from(&state.reachable);
        if state.conflicting == Some(receiver) {
            self.rejected_us_at = Some(now);
        } else if let Some(echoed_at) = echoed_at(state, receiver) {
            self.rejected_us_at = None;
            self.last_echo_at = self.last_echo_at.max(echoed_at);
        }
    }

    /// Hashes all state that later results depend on, with times relative to `now`.
    pub(super) fn fingerprint<H: Hasher>(
        &self,
        now: Nanos,
        failure_timeout: Nanos,
        hasher: &mut H,
    ) {
        let remaining = |since: Nanos| (since + failure_timeout - now).max(0);
        self.incarnation.hash(hasher);
        remaining(self.last_message_at).hash(hasher);
        self.left.hash(hasher);
        self.hears.hash(hasher);
        self.rejected_us_at.map(remaining).hash(hasher);
        let unconfirmed = self
            .unconfirmed
            .map(|(incarnation, sent_at)| (incarnation, now - sent_at));
        unconfirmed.hash(hasher);
        let conflicting = self.conflicting.map(|rejected| {
            let RejectedIncarnation {
                incarnation,
                last_message_at,
            } = rejected;
            (incarnation, remaining(last_message_at))
        });
        conflicting.hash(hasher);
        now.saturating_sub(self.last_sent_at).hash(hasher);
        now.saturating_sub(self.last_echo_at).hash(hasher);
    }
}

/// When the message that a peer echoes was sent, if it is one of the receiver's present
/// incarnation.
fn echoed_at(state: &PeerState, receiver: Incarnation) -> Option<Nanos> {
    let (incarnation, sent_at) = state.echo?;
    (incarnation == receiver).then_some(sent_at)
}
