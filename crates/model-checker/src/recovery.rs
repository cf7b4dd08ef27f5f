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
/// Estimated size of a read, in units of server time.
const READ_UNITS: f64 = 2.0;
/// Index of the class of reads in the settings.
const READ_CLASS: usize = 0;
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

/// A scheduler, with reads that are all served within a tick.
struct RecoveryRun {
    scheduler: Scheduler,
    now: Nanos,
    /// Identifier of the last read.
    last_id: RequestId,
    /// Actions of this tick.
    actions: Vec<Action>,
    /// Attempts that were sent in the last tick.
    in_flight: Vec<SentAttempt>,
}

/// Whether a scheduler at rest has recovered after [`RECOVERY_TIME`] of reads that are all served
/// within a tick: from then on it must send each read at once, without queueing or rejecting it.
pub fn recovers(scheduler: Scheduler, now: Nanos, shards: &[ShardId]) -> bool {
    let mut run = RecoveryRun {
        scheduler,
        now,
        last_id: FIRST_ID,
        actions: Vec::new(),
        in_flight: Vec::new(),
    };
    for tick in 0..(RECOVERY_TIME + OBSERVATION_TIME) / TICK {
        run.begin_tick();
        if tick % TICKS_BETWEEN_READS == 0 {
            let all_sent = run.read_each(shards);
            if !all_sent && run.now - now > RECOVERY_TIME {
                return false;
            }
        }
        run.end_tick();
    }
    true
}

impl RecoveryRun {
    /// Time passes: all attempts in flight are served, and the scheduler's timer is due.
    fn begin_tick(&mut self) {
        self.now += TICK;
        for attempt in self.in_flight.drain(..) {
            let served = served(&attempt, self.now);
            self.scheduler.handle(self.now, served, &mut self.actions);
        }
        let timer = Event::Timer(TIMER_COOKIE);
        self.scheduler.handle(self.now, timer, &mut self.actions);
    }

    /// A read of each shard arrives. Returns whether each is sent at once.
    fn read_each(&mut self, shards: &[ShardId]) -> bool {
        let mut all_sent = true;
        for &shard in shards {
            self.last_id.0 += 1;
            let actions_before = self.actions.len();
            let request = Event::Request(read(self.last_id, shard));
            self.scheduler.handle(self.now, request, &mut self.actions);
            all_sent &= is_sent(self.last_id, &self.actions[actions_before..]);
        }
        all_sent
    }

    /// Carries out the actions of the tick.
    fn end_tick(&mut self) {
        for action in self.actions.drain(..) {
            if let Action::Send { id, node, .. } = action {
                self.in_flight.push(SentAttempt {
                    id,
                    node,
                    sent_at: self.now,
                });
            }
        }
    }
}

/// Whether an attempt of a request is among the actions.
fn is_sent(id: RequestId, actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Send { id: sent, .. } if *sent == id))
}

/// A read of a shard.
fn read(id: RequestId, shard: ShardId) -> Request {
    Request {
        id,
        class: READ_CLASS,
        plan: 0,
        volume: VolumeId(1),
        key: None,
        client_timeout: READ_TIMEOUT,
        units: READ_UNITS,
        shard: Some(shard),
        front_count: 1,
        continues_response: false,
    }
}

/// The event that an attempt, the only one of its request, was served.
fn served(attempt: &SentAttempt, now: Nanos) -> Event {
    Event::AttemptEnded {
        id: attempt.id,
        attempt: 0,
        node: attempt.node,
        outcome: Outcome::Served,
        took: now - attempt.sent_at,
        is_answered: true,
        observed_use: 0.0,
        foreign_units: 0.0,
    }
}
