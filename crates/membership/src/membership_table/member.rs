//! The state that one front keeps of one peer.

use std::hash::{Hash, Hasher};

use crate::{Echo, Incarnation, MessageStatus, Nanos, PeerId, PeerState};

/// An incarnation that is rejected because another one was alive when its message arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RejectedIncarnation {
    incarnation: Incarnation,
    /// When the latest message of the rejected incarnation was received.
    last_message_at: Nanos,
}

/// The state of one peer. All fields but `unconfirmed` and `conflicting` belong to the accepted
/// incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Member {
    /// The accepted incarnation, `None` before the first one.
    incarnation: Option<Incarnation>,
    /// When its latest message was received, by this front's clock.
    last_message_at: Nanos,
    /// When its latest message was sent, by the peer's clock.
    last_sent_at: Nanos,
    /// When this front sent the latest message that the peer has echoed.
    last_echo_at: Nanos,
    /// Whether the peer reported that it is shutting down.
    is_shutting_down: bool,
    /// The latest message of an incarnation that has not yet shown that it receives this front's
    /// messages.
    unconfirmed: Option<Echo>,
    /// An incarnation that uses the peer's position while another one is alive.
    conflicting: Option<RejectedIncarnation>,
    /// When the peer last reported that it rejects this front's incarnation; cleared when a later
    /// message echoes this incarnation instead.
    rejection_at: Option<Nanos>,
    /// Fronts from which the peer reported receiving messages.
    reachable: Vec<PeerId>,
}

impl Member {
    /// Returns the accepted incarnation.
    pub(super) fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns the echo of the latest message of the accepted incarnation.
    pub(super) fn echo(&self) -> Option<Echo> {
        let incarnation = self.incarnation?;
        Some(Echo {
            incarnation,
            sent_at: self.last_sent_at,
        })
    }

    /// Returns the echo to send to the peer. An unconfirmed incarnation gets one too, as it could
    /// never be accepted otherwise.
    pub(super) fn echo_to_send(&self) -> Option<Echo> {
        self.echo().or(self.unconfirmed)
    }

    /// Returns when the latest message of the accepted incarnation was received.
    pub(super) fn last_message_at(&self) -> Option<Nanos> {
        self.incarnation.map(|_| self.last_message_at)
    }

    /// Returns whether the accepted incarnation reported that it is shutting down.
    pub(super) fn has_left(&self) -> bool {
        self.incarnation.is_some() && self.is_shutting_down
    }

    /// Returns whether the peer reported that it receives messages from another one.
    pub(super) fn reaches(&self, peer: PeerId) -> bool {
        self.reachable.contains(&peer)
    }

    /// Returns whether the peer has echoed a message that this front sent within `span`.
    pub(super) fn has_echoed_within(&self, now: Nanos, span: Nanos) -> bool {
        self.incarnation.is_some() && now < self.last_echo_at.saturating_add(span)
    }

    /// Returns whether the peer reported within `span` that it rejects this front's incarnation.
    pub(super) fn has_rejected_within(&self, now: Nanos, span: Nanos) -> bool {
        self.rejection_at.is_some_and(|at| now < at + span)
    }

    /// Returns whether a message sent at `sent_at` is later than all recorded ones.
    pub(super) fn is_later(&self, sent_at: Nanos) -> bool {
        sent_at > self.last_sent_at
    }

    /// Returns whether there is an accepted incarnation that is not shutting down and from which a
    /// message was received within `span`.
    pub(super) fn is_live_within(&self, now: Nanos, span: Nanos) -> bool {
        self.incarnation.is_some() && !self.is_shutting_down && now < self.last_message_at + span
    }

    /// Returns the rejected incarnation if a message of it was received within `span`.
    pub(super) fn conflicting_within(&self, now: Nanos, span: Nanos) -> Option<Incarnation> {
        let recent = self
            .conflicting
            .filter(|rejected| now < rejected.last_message_at + span);
        recent.map(|rejected| rejected.incarnation)
    }

    /// Accepts a new incarnation and discards all state of the previous one.
    ///
    /// # Errors
    /// The status of the message if the incarnation cannot be accepted now.
    pub(super) fn accept_incarnation(
        &mut self,
        now: Nanos,
        incarnation: Incarnation,
        state: &PeerState,
        receiver: Incarnation,
        failure_timeout: Nanos,
    ) -> Result<(), MessageStatus> {
        // An incarnation that reported its shutdown holds no resources any more, so its successor
        // is accepted without waiting for the timeout.
        if self.is_live_within(now, failure_timeout) {
            self.conflicting = Some(RejectedIncarnation {
                incarnation,
                last_message_at: now,
            });
            return Err(MessageStatus::Conflicting);
        }
        // A peer that rejects this front's incarnation has received its messages too.
        if echoed_at(state, receiver).is_none() && state.conflicting != Some(receiver) {
            self.unconfirmed = Some(Echo {
                incarnation,
                sent_at: state.sent_at,
            });
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

    /// Records a message of the accepted incarnation that is later than all recorded ones.
    pub(super) fn record(&mut self, now: Nanos, state: &PeerState, receiver: Incarnation) {
        self.last_message_at = now;
        self.last_sent_at = state.sent_at;
        self.is_shutting_down = state.shutting_down;
        self.reachable.clone_from(&state.reachable);
        if state.conflicting == Some(receiver) {
            self.rejection_at = Some(now);
        } else if let Some(echoed_at) = echoed_at(state, receiver) {
            self.rejection_at = None;
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
        self.is_shutting_down.hash(hasher);
        self.reachable.hash(hasher);
        self.rejection_at.map(remaining).hash(hasher);
        let unconfirmed = self
            .unconfirmed
            .map(|echo| (echo.incarnation, now - echo.sent_at));
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

/// Returns when the message that a peer echoes was sent, if the receiver's current incarnation sent
/// it.
fn echoed_at(state: &PeerState, receiver: Incarnation) -> Option<Nanos> {
    let echo = state.echo?;
    (echo.incarnation == receiver).then_some(echo.sent_at)
}
