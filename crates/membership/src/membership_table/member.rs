//! What one front knows about one peer.

use std::hash::{Hash, Hasher};

use crate::{Echo, Incarnation, MessageStatus, Nanos, PeerId, PeerState};

/// An incarnation that is rejected while another one is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RejectedIncarnation {
    incarnation: Incarnation,
    /// When its latest message was received.
    last_message_at: Nanos,
}

/// The state of one peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Member {
    /// The accepted incarnation.
    incarnation: Option<Incarnation>,
    /// When its latest message was received.
    last_message_at: Nanos,
    /// When its latest message was sent, by its clock.
    last_sent_at: Nanos,
    /// When the latest message of this front that it has echoed was sent.
    last_echo_at: Nanos,
    /// Whether it reported that it shuts down.
    is_shutting_down: bool,
    /// The last message of an incarnation that has not yet shown that it receives this front's
    /// messages.
    unconfirmed: Option<Echo>,
    /// An incarnation that claims the position while another one is alive.
    conflicting: Option<RejectedIncarnation>,
    /// When it last reported that it rejects this front's incarnation.
    rejection_at: Option<Nanos>,
    /// Peers that it reported to receive messages from.
    reachable: Vec<PeerId>,
}

impl Member {
    /// The accepted incarnation.
    pub(super) fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// The echo of the latest message of the accepted incarnation.
    pub(super) fn echo(&self) -> Option<Echo> {
        let incarnation = self.incarnation?;
        Some(Echo {
            incarnation,
            sent_at: self.last_sent_at,
        })
    }

    /// The echo to send: an unconfirmed incarnation needs one, too, or it could never be confirmed.
    pub(super) fn echo_to_send(&self) -> Option<Echo> {
        self.echo().or(self.unconfirmed)
    }

    /// When the latest message of the accepted incarnation was received.
    pub(super) fn last_message_at(&self) -> Option<Nanos> {
        self.incarnation.map(|_| self.last_message_at)
    }

    /// Whether the accepted incarnation reported that it shuts down.
    pub(super) fn has_left(&self) -> bool {
        self.incarnation.is_some() && self.is_shutting_down
    }

    /// Whether it reported that it receives messages of a peer.
    pub(super) fn reaches(&self, peer: PeerId) -> bool {
        self.reachable.contains(&peer)
    }

    /// Whether it has echoed a message of this front that was sent within `span`.
    pub(super) fn has_echoed_within(&self, now: Nanos, span: Nanos) -> bool {
        self.incarnation.is_some() && now < self.last_echo_at.saturating_add(span)
    }

    /// Whether it reported within `span` that it rejects this front's incarnation.
    pub(super) fn has_rejected_within(&self, now: Nanos, span: Nanos) -> bool {
        self.rejection_at.is_some_and(|at| now < at + span)
    }

    /// Whether a message that was sent at a time is later than all recorded ones.
    pub(super) fn is_later(&self, sent_at: Nanos) -> bool {
        sent_at > self.last_sent_at
    }

    /// Whether it has an accepted incarnation that is not shutting down and sent a message within
    /// `span`.
    pub(super) fn is_live_within(&self, now: Nanos, span: Nanos) -> bool {
        self.incarnation.is_some() && !self.is_shutting_down && now < self.last_message_at + span
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

    /// Records a message of the accepted incarnation that is later than all before.
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

/// When the message that a peer echoes was sent, if it is one of the receiver's present
/// incarnation.
fn echoed_at(state: &PeerState, receiver: Incarnation) -> Option<Nanos> {
    let echo = state.echo?;
    (echo.incarnation == receiver).then_some(echo.sent_at)
}
