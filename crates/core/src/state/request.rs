//! A request under way.

use std::hash::{Hash, Hasher};

use crate::interface::{Nanos, NodeId, Outcome, Request, ShardId};

/// The first attempt that may have been executed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleExecution {
    /// When it was sent.
    pub sent_at: Nanos,
    /// Where it was sent.
    pub node: NodeId,
}

/// A request that is not answered, or that has attempts in flight.
#[derive(Clone, Debug)]
pub(crate) struct LiveRequest {
    request: Request,
    /// The shard it goes to; absent while a new object has none.
    shard: Option<ShardId>,
    received_at: Nanos,
    /// Until then an answer meets the latency objective.
    objective_at: Nanos,
    /// When its client gives up, or the front shuts down.
    deadline_at: Nanos,
    /// Attempts sent.
    attempts: u32,
    /// Attempts in flight.
    in_flight: u32,
    possible_execution: Option<PossibleExecution>,
    /// No attempt is sent before.
    not_before: Nanos,
    /// Whether it waits in a queue, or for a shard.
    is_queued: bool,
    /// Whether its client has its answer or is gone.
    is_finished: bool,
    /// Whether a streamed answer has begun.
    is_streaming: bool,
    /// The attempts allowed when it was received; reloaded settings may allow fewer, never more.
    max_attempts: u32,
}

impl LiveRequest {
    /// A request received at `now`, with the time left to its latency objective.
    pub fn new(request: Request, now: Nanos, objective: Nanos, max_attempts: u32) -> LiveRequest {
        LiveRequest {
            shard: request.shard,
            received_at: now,
            objective_at: now + objective,
            deadline_at: now + request.client_timeout,
            attempts: 0,
            in_flight: 0,
            possible_execution: None,
            not_before: now,
            is_queued: false,
            is_finished: false,
            is_streaming: false,
            max_attempts,
            request,
        }
    }

    /// The request as received.
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// The shard it goes to; absent while a new object has none.
    pub fn shard(&self) -> Option<ShardId> {
        self.shard
    }

    /// When it was received.
    pub fn received_at(&self) -> Nanos {
        self.received_at
    }

    /// Until then an answer meets the latency objective.
    pub fn objective_at(&self) -> Nanos {
        self.objective_at
    }

    /// When its client gives up, or the front shuts down.
    pub fn deadline_at(&self) -> Nanos {
        self.deadline_at
    }

    /// The number of attempts sent.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// The attempts allowed when it was received.
    pub fn max_attempts(&self) -> u32 {
        self.max_attempts
    }

    /// The first attempt that has ended and may have been executed.
    pub fn possible_execution(&self) -> Option<PossibleExecution> {
        self.possible_execution
    }

    /// Whether an attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    /// Whether it waits in a queue, or for a shard.
    pub fn is_queued(&self) -> bool {
        self.is_queued
    }

    /// Whether its client has its answer or is gone.
    pub fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Whether a streamed answer has begun.
    pub fn is_streaming(&self) -> bool {
        self.is_streaming
    }

    /// Whether its pause before a retry goes on.
    pub fn is_paused(&self, now: Nanos) -> bool {
        now < self.not_before
    }

    /// Whether an answer must go out now to reach the client, given how late a timer may be.
    pub fn is_expired(&self, now: Nanos, margin: Nanos) -> bool {
        now >= self.deadline_at - margin
    }

    /// Whether any of its attempts may have been executed.
    pub fn may_have_executed(&self) -> bool {
        self.has_attempt_in_flight() || self.possible_execution.is_some()
    }

    /// Whether it is a new object that no chunk server may hold yet.
    pub fn is_unplaced_object(&self) -> bool {
        self.request.shard.is_none() && self.possible_execution.is_none()
    }

    /// Brings the deadline forward.
    pub fn limit_deadline(&mut self, deadline: Nanos) {
        self.deadline_at = self.deadline_at.min(deadline);
    }

    /// Records that a streamed answer has begun.
    pub fn start_streaming(&mut self) {
        self.is_streaming = true;
    }

    /// Lets the request wait for a shard, or for one to be found.
    pub fn enqueue(&mut self, shard: Option<ShardId>) {
        self.shard = shard;
        self.is_queued = true;
    }

    /// Gives the request another shard and returns the one before.
    pub fn replace_shard(&mut self, shard: ShardId) -> Option<ShardId> {
        self.shard.replace(shard)
    }

    /// Takes the shard from a new object that no chunk server may hold yet, so that another one can
    /// be chosen.
    pub fn release_shard(&mut self) {
        if self.is_unplaced_object() {
            self.shard = None;
        }
    }

    /// Sends no attempt before a time.
    pub fn pause_until(&mut self, time: Nanos) {
        self.not_before = time;
    }

    /// Records an attempt that is sent and returns its number, from 0.
    pub fn record_send(&mut self) -> u32 {
        let attempt = self.attempts;
        self.attempts += 1;
        self.in_flight += 1;
        self.is_queued = false;
        attempt
    }

    /// Records the end of an attempt that was sent to a server at a time.
    pub fn record_end(&mut self, outcome: Outcome, sent_at: Nanos, node: NodeId) {
        self.in_flight -= 1;
        if outcome.may_have_executed() && self.possible_execution.is_none() {
            self.possible_execution = Some(PossibleExecution { sent_at, node });
        }
    }

    /// Marks the request as finished. Returns whether it was waiting.
    pub fn finish(&mut self) -> bool {
        self.is_finished = true;
        std::mem::take(&mut self.is_queued)
    }

    /// Records that the client has its answer.
    pub fn mark_answered(&mut self) {
        self.is_finished = true;
    }

    /// Hashes all that later decisions depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        (self.shard, now - self.received_at).hash(hasher);
        (now - self.objective_at, now - self.deadline_at).hash(hasher);
        (self.attempts, self.in_flight, self.max_attempts).hash(hasher);
        let execution = self.possible_execution;
        let execution = execution.map(|first| (now - first.sent_at, first.node));
        execution.hash(hasher);
        (now - self.not_before, self.is_queued, self.is_finished).hash(hasher);
    }
}
