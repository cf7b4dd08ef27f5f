//! Requests under way and the order of those of one key.

use std::collections::VecDeque;

use crate::interface::{Nanos, NodeId, Request, RequestId, ShardId};

/// The first attempt that may have been executed.
#[derive(Clone, Copy, Debug)]
pub struct PossibleExecution {
    /// When it was sent.
    pub sent_at: Nanos,
    /// Where it was sent.
    pub node: NodeId,
}

/// A request that is not answered, or that has attempts in flight.
#[derive(Clone, Debug)]
pub struct LiveRequest {
    /// The request as received.
    pub request: Request,
    /// The shard it goes to; absent while a new object has none.
    pub shard: Option<ShardId>,
    /// When it was received.
    pub received_at: Nanos,
    /// Until then an answer meets the latency objective.
    pub objective_at: Nanos,
    /// When its client gives up, or the front shuts down.
    pub deadline_at: Nanos,
    /// Attempts sent.
    pub attempts: u32,
    /// Attempts in flight.
    pub in_flight: u32,
    /// The first attempt that may have been executed.
    pub possible_execution: Option<PossibleExecution>,
    /// No attempt goes out before.
    pub not_before: Nanos,
    /// Whether it waits in a queue, or for a shard.
    pub queued: bool,
    /// Whether its client has its answer or is gone.
    pub finished: bool,
    /// Whether a streamed answer has begun.
    pub streaming: bool,
    /// The attempts allowed when it was received; reloaded settings may allow fewer, never more.
    pub max_attempts: u32,
}

impl LiveRequest {
    /// A request received at `now`, with the time left to its latency objective.
    pub fn new(request: Request, now: Nanos, objective: Nanos, max_attempts: u32) -> LiveRequest {
        LiveRequest {
            shard: request.shard,
            received_at: now,
            objective_at: now + objective,
            deadline_at: now + request.patience,
            attempts: 0,
            in_flight: 0,
            possible_execution: None,
            not_before: now,
            queued: false,
            finished: false,
            streaming: false,
            max_attempts,
            request,
        }
    }

    /// Whether any of its attempts may have been executed.
    pub fn may_have_executed(&self) -> bool {
        self.in_flight > 0 || self.possible_execution.is_some()
    }
}

/// The requests of one key in the order in which they must be executed.
#[derive(Clone, Debug, Default)]
pub struct KeyQueue {
    /// The requests; only the first may be sent.
    pub requests: VecDeque<RequestId>,
    /// Until then an earlier attempt may still be executed.
    pub settles_at: Nanos,
}
