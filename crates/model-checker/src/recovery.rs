//! Whether the scheduler recovers: after a history, good responses must bring it back to normal
//! operation.

use tulipbridge_core::{
    Action, Event, Nanos, NodeId, Outcome, Request, RequestId, Scheduler, ShardId, VolumeId,
};

use crate::time::MS;

/// Good responses go on for this long before the scheduler must have recovered.
pub const RECOVERY_TIME: Nanos = 8_000 * MS;
/// For this long after [`RECOVERY_TIME`], each read must be sent at once.
const OBSERVATION_TIME: Nanos = 500 * MS;
/// Interval between two events of the scheduler's timer.
const TICK: Nanos = 10 * MS;
/// A read of each shard arrives once in this many ticks.
const TICKS_BETWEEN_READS: Nanos = 5;
/// How long the client of a read waits.
const READ_TIMEOUT: Nanos = 120 * MS;
/// Identifiers of the reads are above this, and so above those of the history.
const FIRST_ID: RequestId = RequestId(u64::MAX / 2);
/// Cookie of the scheduler's timer.
const TIMER_COOKIE: u64 = 1;

/// An attempt that the scheduler has in flight.
struct SentAttempt {
    id: RequestId,
    node: NodeId,
    sent_at: Nanos,
}

/// Whether a scheduler at rest has recovered after [`RECOVERY_TIME`] of reads that are all served
/// within a tick: from then on it must send each read at once, without queueing or rejecting it.
pub fn recovers(mut scheduler: Scheduler, mut now: Nanos, shards: &[ShardId]) -> bool {
    let started_at = now;
    let mut last_id = FIRST_ID;
    let mut actions = Vec::new();
    let mut in_flight: Vec<SentAttempt> = Vec::new();
    for tick in 0..(RECOVERY_TIME + OBSERVATION_TIME) / TICK {
        now += TICK;
        for attempt in in_flight.drain(..) {
            scheduler.handle(now, served(&attempt, now), &mut actions);
        }
        scheduler.handle(now, Event::Timer(TIMER_COOKIE), &mut actions);
        let shards_to_read = if tick % TICKS_BETWEEN_READS == 0 {
            shards
        } else {
            &[]
        };
        for &shard in shards_to_read {
            last_id.0 += 1;
            let actions_before = actions.len();
            scheduler.handle(now, Event::Request(read(last_id, shard)), &mut actions);
            let must_be_sent = now - started_at > RECOVERY_TIME;
            if must_be_sent && !is_sent(last_id, &actions[actions_before..]) {
                return false;
            }
        }
        for action in actions.drain(..) {
            if let Action::Send { id, node, .. } = action {
                in_flight.push(SentAttempt {
                    id,
                    node,
                    sent_at: now,
                });
            }
        }
    }
    true
}

fn is_sent(id: RequestId, actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Send { id: sent, .. } if *sent == id))
}

fn read(id: RequestId, shard: ShardId) -> Request {
    Request {
        id,
        class: 0,
        plan: 0,
        volume: VolumeId(1),
        key: None,
        client_timeout: READ_TIMEOUT,
        units: 2.0,
        shard: Some(shard),
        front_count: 1,
    }
}

fn served(attempt: &SentAttempt, now: Nanos) -> Event {
    Event::AttemptEnded {
        id: attempt.id,
        attempt: 0,
        node: attempt.node,
        outcome: Outcome::Served,
        took: now - attempt.sent_at,
        last: true,
        observed_use: 0.0,
        foreign_units: 0.0,
    }
}
