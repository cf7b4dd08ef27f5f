//! The state of a request in progress.

use std::hash::{Hash, Hasher};

use crate::interface::{Nanos, NodeId, Outcome, Request, ShardId};

/// The first attempt of a request that has ended and may have been executed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleExecution {
    /// When the attempt was sent.
    pub sent_at: Nanos,
    /// The chunk server that it was sent to.
    pub node: NodeId,
}

/// A request that is not answered, or that has attempts in flight.
#[derive(Clone, Debug)]
pub(crate) struct LiveRequest {
    request: Request,
    /// The shard that the request is for; `None` for a new object without a shard.
    shard: Option<ShardId>,
    received_at: Nanos,
    /// The time until which an answer meets the latency objective.
    objective_at: Nanos,
    /// When the client stops waiting, or the front shuts down if that is earlier.
    deadline_at: Nanos,
    /// The number of attempts sent.
    attempts: u32,
    /// The number of attempts in flight.
    in_flight: u32,
    possible_execution: Option<PossibleExecution>,
    /// The time before which no attempt is sent.
    not_before: Nanos,
    /// Whether the request waits in a queue, or for a shard.
    is_queued: bool,
    /// Whether the client has its final answer or has disconnected.
    is_finished: bool,
    /// Whether a streamed answer has begun.
    is_streaming: bool,
    /// The number of attempts allowed when the request was received. Reloaded settings may lower it
    /// but not raise it.
    max_attempts: u32,
}

impl LiveRequest {
    /// Creates a request received at `now`, with `objective` nanoseconds left to its latency
    /// objective.
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

    /// Returns the request as it was received.
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// Returns the shard that the request is for; `None` for a new object without a shard.
    pub fn shard(&self) -> Option<ShardId> {
        self.shard
    }

    /// Returns when the request was received.
    pub fn received_at(&self) -> Nanos {
        self.received_at
    }

    /// Returns the time until which an answer meets the latency objective.
    pub fn objective_at(&self) -> Nanos {
        self.objective_at
    }

    /// Returns when the client stops waiting, or the front shuts down if that is earlier.
    pub fn deadline_at(&self) -> Nanos {
        self.deadline_at
    }

    /// Returns the number of attempts sent.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the number of attempts allowed when the request was received.
    pub fn max_attempts(&self) -> u32 {
        self.max_attempts
    }

    /// Returns the first attempt that has ended and may have been executed.
    pub fn possible_execution(&self) -> Option<PossibleExecution> {
        self.possible_execution
    }

    /// Returns whether an attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    /// Returns whether the request waits in a queue, or for a shard.
    pub fn is_queued(&self) -> bool {
        self.is_queued
    }

    /// Returns whether the client has its final answer or has disconnected.
    pub fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Returns whether a streamed answer has begun.
    pub fn is_streaming(&self) -> bool {
        self.is_streaming
    }

    /// Returns whether the pause before a retry has not ended yet.
    pub fn is_paused(&self, now: Nanos) -> bool {
        now < self.not_before
    }

    /// Returns whether at most `margin` nanoseconds are left until the deadline. An answer must be
    /// sent that early, as a timer may be late.
    pub fn is_expired(&self, now: Nanos, margin: Nanos) -> bool {
        now >= self.deadline_at - margin
    }

    /// Returns whether any attempt may have been executed, including one in flight.
    pub fn may_have_executed(&self) -> bool {
        self.has_attempt_in_flight() || self.possible_execution.is_some()
    }

    /// Returns whether the request is for a new object that no ended attempt may have stored.
    pub fn is_unplaced_object(&self) -> bool {
        self.request.shard.is_none() && self.possible_execution.is_none()
    }

    /// Moves the deadline to the one of the shutdown if that is earlier. The rest of a response that
    /// the client already receives is still read after it.
    pub fn limit_deadline(&mut self, shutdown_deadline: Nanos) {
        if !self.request.continues_response {
            self.deadline_at = self.deadline_at.min(shutdown_deadline);
        }
    }

    /// Records that a streamed answer has begun.
    pub fn start_streaming(&mut self) {
        self.is_streaming = true;
    }

    /// Marks the request as waiting in the queue of a shard, or for a shard to be found.
    pub fn enqueue(&mut self, shard: Option<ShardId>) {
        self.shard = shard;
        self.is_queued = true;
    }

    /// Assigns another shard to the request and returns the previous one.
    pub fn replace_shard(&mut self, shard: ShardId) -> Option<ShardId> {
        self.shard.replace(shard)
    }

    /// Clears the shard of a new object that no ended attempt may have stored, so that another
    /// shard can be chosen.
    pub fn release_shard(&mut self) {
        if self.is_unplaced_object() {
            self.shard = None;
        }
    }

    /// Delays the next attempt until a time.
    pub fn pause_until(&mut self, time: Nanos) {
        self.not_before = time;
    }

    /// Records that an attempt is sent and returns its number, from 0.
    pub fn record_send(&mut self) -> u32 {
        let attempt = self.attempts;
        self.attempts += 1;
        self.in_flight += 1;
        self.is_queued = false;
        attempt
    }

    /// Records the end of an attempt that was sent to `node` at `sent_at`.
    pub fn record_end(&mut self, outcome: Outcome, sent_at: Nanos, node: NodeId) {
        self.in_flight -= 1;
        if outcome.may_have_executed() && self.possible_execution.is_none() {
            self.possible_execution = Some(PossibleExecution { sent_at, node });
        }
    }

    /// Marks the request as finished. Returns whether it was queued.
    pub fn finish(&mut self) -> bool {
        self.is_finished = true;
        std::mem::take(&mut self.is_queued)
    }

    /// Records that the client has its final answer.
    pub fn mark_answered(&mut self) {
        self.is_finished = true;
    }

    /// Hashes all state that later decisions depend on, with times relative to `now`.
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
