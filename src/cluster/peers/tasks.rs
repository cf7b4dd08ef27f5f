//! The tasks that run for as long as the front: receiving, heartbeats, and the evaluation of
//! ejections.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tulipbridge_fleet_limits::Event;
use tulipbridge_membership::{GossipInput, MAX_MESSAGE_BYTES};

use super::Peers;
use crate::cluster::clock;
use crate::cluster::ejections::{EjectionChanges, EntryChange};
use crate::cluster::messages::IncomingMessage;
use crate::cluster::socket::ReceivedDatagram;

/// Pause before the next try to receive, after the system has reported an error.
const RECEIVE_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Least time between two evaluations of ejections that observations trigger.
const EVALUATION_PAUSE: Duration = Duration::from_millis(50);
/// The random variation of the heartbeat interval, as a divisor of the interval: plus or minus 5%.
const HEARTBEAT_JITTER_DIVISOR: u64 = 10;

impl Peers {
    /// Sends a heartbeat to each peer after each interval, with a round of gossip.
    pub(super) async fn heartbeat_loop(self: Rc<Self>) {
        loop {
            let interval = self.coordinator.borrow().config().heartbeat_interval as u64;
            tokio::time::sleep(Duration::from_nanos(with_jitter(interval))).await;
            self.update_limits(Event::HeartbeatDue, None);
            self.evaluate_ejections();
            self.update_gossip(GossipInput::Round);
            self.report_status();
        }
    }

    /// Evaluates ejections soon after gossip or an attempt calls for it.
    pub(super) async fn evaluation_loop(self: Rc<Self>) {
        loop {
            self.evaluation_due.notified().await;
            if self.evaluate_ejections() {
                self.update_gossip(GossipInput::Round);
            }
            tokio::time::sleep(EVALUATION_PAUSE).await;
        }
    }

    /// Evaluates the observations of all fronts. Returns whether there are new gossip entries of
    /// this front.
    pub(super) fn evaluate_ejections(&self) -> bool {
        let Some(EjectionChanges { entries, updates }) = self.ejection_changes() else {
            return false;
        };
        let has_entries = !entries.is_empty();
        for EntryChange { key, value } in entries {
            self.publish(key, value);
        }
        for update in updates {
            self.exchange.apply_fleet_update(update);
        }
        has_entries
    }

    /// The changes of an evaluation; `None` where ejections are not shared.
    fn ejection_changes(&self) -> Option<EjectionChanges> {
        let now = clock::now();
        let mut ejections = self.ejections.borrow_mut();
        let ejections = ejections.as_mut()?;
        let changes = ejections.evaluate(now, self.exchange.now(), &self.gossip.borrow());
        if ejections.is_waiting(now) {
            self.evaluation_due.notify_one();
        }
        Some(changes)
    }

    /// Receives the messages of the peers, once the address can be bound.
    pub(super) async fn receive_loop(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_MESSAGE_BYTES + 1];
        loop {
            match self.socket.receive(&mut buffer).await {
                Some(Ok(ReceivedDatagram { length, source })) => {
                    self.receive(&buffer[..length], source)
                }
                // The system reports a peer that is gone, once; an error that persists must not
                // take all of the CPU.
                Some(Err(_)) => tokio::time::sleep(RECEIVE_RETRY_PAUSE).await,
                None => self.retry_bind().await,
            }
        }
    }

    /// Tries again to bind the address that another process has.
    async fn retry_bind(&self) {
        tokio::time::sleep(RECEIVE_RETRY_PAUSE).await;
        let address = self.config.borrow().listen;
        // Before binding, so that the waiting time of a front that starts is counted from the
        // moment of the bind.
        self.note_address_in_use();
        // Where the address is still in use, the receive loop comes back here.
        let _ = self.socket.bind(address);
    }

    fn receive(&self, datagram: &[u8], source: SocketAddr) {
        let envelope = match self.socket.decode(datagram) {
            Ok(envelope) => envelope,
            Err(error) => return self.metrics.count_undecodable(error),
        };
        let (from, incarnation) = (envelope.from, envelope.incarnation);
        match envelope.message {
            IncomingMessage::Heartbeat(heartbeat) => {
                let event = Event::HeartbeatReceived {
                    from,
                    incarnation,
                    heartbeat,
                };
                self.update_limits(event, Some(source));
            }
            IncomingMessage::Gossip(message) => {
                self.update_gossip(GossipInput::Received {
                    from,
                    incarnation,
                    message,
                });
            }
        }
    }
}

/// An interval in nanoseconds with random variation, so that the fronts do not stay in step with
/// each other.
fn with_jitter(interval: u64) -> u64 {
    let jitter = interval / HEARTBEAT_JITTER_DIVISOR;
    interval - jitter / 2 + fastrand::u64(0..=jitter)
}
