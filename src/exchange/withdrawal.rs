//! Withdrawal and cancellation of attempts in flight.

use std::future::pending;
use std::time::Instant;

use tokio::sync::watch;
use tulipbridge_core::Outcome;

/// An order to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptOrder {
    /// The attempt is dropped.
    Cancel,
    /// The attempt ends with this outcome unless it has started to write.
    Withdraw(Outcome),
}

/// An order with the number of the attempt that it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NumberedOrder {
    attempt: u32,
    order: AttemptOrder,
}

/// Sends orders to the attempts of one request. Only the latest order is kept.
pub(super) struct OrderSender(watch::Sender<Option<NumberedOrder>>);

impl OrderSender {
    /// A sender that has given no order.
    pub fn new() -> OrderSender {
        OrderSender(watch::Sender::new(None))
    }

    /// Drops an attempt.
    pub fn cancel(&self, attempt: u32) {
        self.give(attempt, AttemptOrder::Cancel);
    }

    /// Ends an attempt with `outcome` unless it has started to write.
    pub fn withdraw(&self, attempt: u32, outcome: Outcome) {
        self.give(attempt, AttemptOrder::Withdraw(outcome));
    }

    fn give(&self, attempt: u32, order: AttemptOrder) {
        self.0.send_replace(Some(NumberedOrder { attempt, order }));
    }

    /// The receiving end for an attempt, which must start to write before `begin_by`, if any.
    pub fn withdrawal(&self, attempt: u32, begin_by: Option<Instant>) -> Withdrawal {
        Withdrawal { attempt, begin_by, orders: self.0.subscribe() }
    }
}

/// The receiving end of the orders to one attempt.
#[derive(Clone, Debug)]
pub struct Withdrawal {
    attempt: u32,
    /// An attempt that has not started to write by then is withdrawn.
    begin_by: Option<Instant>,
    orders: watch::Receiver<Option<NumberedOrder>>,
}

impl Withdrawal {
    /// A withdrawal that never happens.
    pub fn never() -> Withdrawal {
        OrderSender::new().withdrawal(0, None)
    }

    /// The outcome that the attempt ends with, where it has been withdrawn.
    pub fn outcome(&self) -> Option<Outcome> {
        let latest = *self.orders.borrow();
        match latest.filter(|latest| latest.attempt == self.attempt).map(|latest| latest.order) {
            Some(AttemptOrder::Withdraw(outcome)) => Some(outcome),
            // An attempt that is about to be dropped must not start to write.
            Some(AttemptOrder::Cancel) => Some(Outcome::Cancelled),
            None => self.begin_by.filter(|begin_by| Instant::now() >= *begin_by).map(|_| Outcome::NotSent),
        }
    }

    /// Returns when the attempt is withdrawn, with the outcome that it ends with.
    pub async fn withdrawn(&mut self) -> Outcome {
        loop {
            if let Some(outcome) = self.outcome() {
                return outcome;
            }
            let too_late = sleep_until(self.begin_by);
            tokio::select! {
                changed = self.orders.changed() => if changed.is_err() {
                    // The request is over and there will be no order.
                    pending::<()>().await;
                },
                () = too_late => return Outcome::NotSent,
            }
        }
    }

    /// Returns when the attempt is to be dropped.
    pub(super) async fn cancelled(&mut self) {
        let cancel = Some(NumberedOrder { attempt: self.attempt, order: AttemptOrder::Cancel });
        if self.orders.wait_for(|order| *order == cancel).await.is_err() {
            pending::<()>().await;
        }
    }
}

/// Sleeps until a time; without one, for ever.
async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time.into()).await,
        None => pending().await,
    }
}
