//! The tasks that run as long as the front does: receiving, heartbeats, and the evaluation of
//! ejections.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tulipbridge_fleet_limits::Event;
use tulipbridge_membership::{GossipInput, MAX_MESSAGE_BYTES};

use super::Peers;
use crate::cluster::clock;
use crate::cluster::messages::IncomingMessage;
use crate::cluster::socket::ReceivedDatagram;

/// Pause before the next attempt to receive after an error, and to bind an address in use.
const RECEIVE_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Minimum time between two evaluations of ejections that observations trigger.
const EVALUATION_PAUSE: Duration = Duration::from_millis(50);
/// Divisor of the heartbeat interval that gives the width of its random variation: a tenth of the
/// interval, or plus or minus 5%.
const HEARTBEAT_JITTER_DIVISOR: u64 = 10;

impl Peers {
    /// After each heartbeat interval sends heartbeats and a round of gossip, evaluates ejections
    /// and reports the status.
    pub(super) async fn heartbeat_loop(self: Rc<Self>) {
        loop {
            let interval = self.state.borrow().heartbeat_interval();
            tokio::time::sleep(Duration::from_nanos(with_jitter(interval))).await;
            self.update_limits(Event::HeartbeatDue, None);
            self.evaluate_ejections();
            self.update_gossip(GossipInput::Round);
            self.state.borrow_mut().report_status(clock::now());
        }
    }

    /// Evaluates ejections soon after gossip or an attempt has made it necessary.
    pub(super) async fn evaluation_loop(self: Rc<Self>) {
        loop {
            self.evaluation_due.notified().await;
            if self.evaluate_ejections() {
                self.update_gossip(GossipInput::Round);
            }
            tokio::time::sleep(EVALUATION_PAUSE).await;
        }
    }

    /// Receives the messages of the peers; until the address is bound, tries to bind it.
    pub(super) async fn receive_loop(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_MESSAGE_BYTES + 1];
        loop {
            match self.socket.receive(&mut buffer).await {
                Some(Ok(ReceivedDatagram { length, source })) => {
                    self.receive(&buffer[..length], source)
                }
                // A closed port of a peer is reported once. The pause keeps a persistent error from
                // using all of the CPU.
                Some(Err(_)) => tokio::time::sleep(RECEIVE_RETRY_PAUSE).await,
                None => self.retry_bind().await,
            }
        }
    }

    /// Tries again to bind the address, which another process has.
    async fn retry_bind(&self) {
        tokio::time::sleep(RECEIVE_RETRY_PAUSE).await;
        let address = self.state.borrow().listen_address();
        // Done before binding, so that the waiting period after a start is counted from the time
        // of the bind.
        self.state.borrow_mut().record_address_in_use(clock::now());
        retry_later(self.socket.bind(address));
    }

    fn receive(&self, datagram: &[u8], source: SocketAddr) {
        let envelope = match self.socket.decode(datagram) {
            Ok(envelope) => envelope,
            Err(error) => return self.metrics.count_undecodable(error),
        };
        match envelope.message {
            IncomingMessage::Heartbeat(heartbeat) => {
                let event = Event::HeartbeatReceived {
                    from: envelope.from,
                    incarnation: envelope.incarnation,
                    heartbeat,
                };
                self.update_limits(event, Some(source));
            }
            IncomingMessage::Gossip(message) => {
                self.update_gossip(GossipInput::Received {
                    from: envelope.from,
                    incarnation: envelope.incarnation,
                    message,
                });
            }
        }
    }
}

/// Adds random variation to an interval in nanoseconds, so that the fronts do not send their
/// heartbeats in step.
fn with_jitter(interval: u64) -> u64 {
    let jitter = interval / HEARTBEAT_JITTER_DIVISOR;
    interval - jitter / 2 + fastrand::u64(0..=jitter)
}

/// Ignores an error of binding, such as an address still in use: the receive loop tries again.
fn retry_later(_bound: io::Result<()>) {}
