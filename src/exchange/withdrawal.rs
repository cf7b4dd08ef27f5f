//! Withdrawal and cancellation of attempts in flight.

use std::future::pending;
use std::time::Instant;

use tokio::sync::watch;
use tulipbridge_core::send_permission::{may_begin, SendQuestion, SendRefusal};
use tulipbridge_core::{Nanos, Outcome};

use super::clock::Clock;

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

    /// The receiving end for an attempt, which must start to write before `begin_by`, if any, and
    /// its deadline.
    pub fn withdrawal(&self, attempt: u32, limits: BeginLimits) -> Withdrawal {
        Withdrawal {
            attempt,
            limits,
            orders: self.0.subscribe(),
        }
    }
}

/// Until when an attempt may start to write, in the clock of the decision module.
#[derive(Clone, Copy, Debug)]
pub struct BeginLimits {
    /// The clock.
    pub clock: Clock,
    /// Until when it may repeat another attempt.
    pub begin_by: Option<Nanos>,
    /// When its client gives up.
    pub deadline: Nanos,
}

/// The receiving end of the orders to one attempt.
#[derive(Clone, Debug)]
pub struct Withdrawal {
    attempt: u32,
    /// An attempt that has not started to write by then is withdrawn.
    limits: BeginLimits,
    orders: watch::Receiver<Option<NumberedOrder>>,
}

impl Withdrawal {
    /// A withdrawal that never happens.
    pub fn never() -> Withdrawal {
        let limits = BeginLimits {
            clock: Clock::start(),
            begin_by: None,
            deadline: Nanos::MAX,
        };
        OrderSender::new().withdrawal(0, limits)
    }

    /// Whether the attempt may write its first byte now, on a connection on which `unread_bytes`
    /// wait or not.
    ///
    /// # Errors
    /// Why it may not.
    pub fn may_begin(&self, unread_bytes: bool) -> Result<(), SendRefusal> {
        let latest = *self.orders.borrow();
        let order = latest
            .filter(|latest| latest.attempt == self.attempt)
            .map(|latest| latest.order);
        let withdrawn = order.map(|order| match order {
            AttemptOrder::Withdraw(outcome) => outcome,
            // An attempt that is about to be dropped must not start to write.
            AttemptOrder::Cancel => Outcome::Cancelled,
        });
        may_begin(&SendQuestion {
            now: self.limits.clock.now(),
            withdrawn,
            begin_by: self.limits.begin_by,
            deadline: self.limits.deadline,
            unread_bytes,
        })
    }

    /// The outcome that the attempt ends with, where it may not start to write any more.
    pub fn outcome(&self) -> Option<Outcome> {
        self.may_begin(false).err().map(SendRefusal::outcome)
    }

    /// Returns when the attempt is withdrawn, with the outcome that it ends with.
    pub async fn withdrawn(&mut self) -> Outcome {
        let begin_by = self
            .limits
            .begin_by
            .map(|begin_by| self.limits.clock.instant(begin_by));
        loop {
            if let Some(outcome) = self.outcome() {
                return outcome;
            }
            let too_late = sleep_until(begin_by);
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
        let cancel = Some(NumberedOrder {
            attempt: self.attempt,
            order: AttemptOrder::Cancel,
        });
        if self
            .orders
            .wait_for(|order| *order == cancel)
            .await
            .is_err()
        {
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
