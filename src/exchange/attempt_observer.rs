//! The connection of a running attempt to the decision module.

use std::rc::Rc;
use std::time::Duration;

use tulipbridge_core::request_tracker::Input;
use tulipbridge_core::{Nanos, NodeId};

use super::attempt_run::AttemptKey;
use super::transport::{AttemptObserver, Transport};
use super::Exchange;

/// Observes one attempt for its exchange.
pub(super) struct ExchangeObserver<T: Transport> {
    exchange: Rc<Exchange<T>>,
    key: AttemptKey,
    node: NodeId,
}

impl<T: Transport> ExchangeObserver<T> {
    /// Creates the observer of the attempt `key`, which is sent to `node`.
    pub fn new(exchange: &Rc<Exchange<T>>, key: AttemptKey, node: NodeId) -> ExchangeObserver<T> {
        ExchangeObserver {
            exchange: Rc::clone(exchange),
            key,
            node,
        }
    }
}

impl<T: Transport> AttemptObserver for ExchangeObserver<T> {
    fn response_began(&self, age: Duration) {
        self.exchange.handle(Input::ResponseBegan {
            id: self.key.request,
            attempt: self.key.attempt,
            age: Nanos::try_from(age.as_nanos()).unwrap_or(Nanos::MAX),
        });
    }

    fn response_paused(&self) {
        self.exchange.handle(Input::ResponsePaused {
            id: self.key.request,
            attempt: self.key.attempt,
        });
    }

    fn response_stopped(&self) {
        self.exchange.handle(Input::ResponseStopped(self.node));
    }

    fn would_retry(&self) -> bool {
        let now = self.exchange.now();
        self.exchange.state.borrow().would_retry(now, self.key)
    }
}
