//! Withdrawal and cancellation of attempts in flight.

use std::future::pending;
use std::time::Instant;

use tokio::sync::watch;
use tulipbridge_core::send_permission::{self, SendConditions, SendDenied};
use tulipbridge_core::{Nanos, Outcome};

use super::clock::Clock;

/// A command to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptCommand {
    /// The attempt is dropped, even if it has started to write.
    Cancel,
    /// The attempt ends with this outcome unless it has started to write.
    Withdraw(Outcome),
}

/// A command and the number, within the request, of the attempt that it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AddressedCommand {
    attempt: u32,
    command: AttemptCommand,
}

/// Sends commands to the attempts of one request. Only the latest command is kept.
pub(super) struct CommandSender(watch::Sender<Option<AddressedCommand>>);

impl CommandSender {
    /// Creates a sender that has sent no command.
    pub fn new() -> CommandSender {
        CommandSender(watch::Sender::new(None))
    }

    /// Cancels an attempt.
    pub fn cancel(&self, attempt: u32) {
        self.send(attempt, AttemptCommand::Cancel);
    }

    /// Withdraws an attempt: it ends with `outcome` unless it has started to write.
    pub fn withdraw(&self, attempt: u32, outcome: Outcome) {
        self.send(attempt, AttemptCommand::Withdraw(outcome));
    }

    fn send(&self, attempt: u32, command: AttemptCommand) {
        self.0
            .send_replace(Some(AddressedCommand { attempt, command }));
    }

    /// Returns the receiver for an attempt, which must start to write within `limits`.
    pub fn withdrawal(&self, attempt: u32, limits: SendLimits) -> Withdrawal {
        Withdrawal {
            attempt,
            limits,
            commands: self.0.subscribe(),
        }
    }
}

/// The times until which an attempt may start to write.
#[derive(Clone, Copy, Debug)]
pub struct SendLimits {
    /// The clock of the decision module, in which the times are given.
    pub clock: Clock,
    /// Until when the attempt may repeat an earlier one; absent for no limit.
    pub begin_by: Option<Nanos>,
    /// When the attempt times out.
    pub deadline: Nanos,
}

/// Receives the commands to one attempt.
#[derive(Clone, Debug)]
pub struct Withdrawal {
    attempt: u32,
    /// An attempt that has not started to write within these limits counts as withdrawn.
    limits: SendLimits,
    commands: watch::Receiver<Option<AddressedCommand>>,
}

impl Withdrawal {
    /// Creates a receiver for an attempt without limits that gets no command.
    pub fn never() -> Withdrawal {
        let limits = SendLimits {
            clock: Clock::start(),
            begin_by: None,
            deadline: Nanos::MAX,
        };
        CommandSender::new().withdrawal(0, limits)
    }

    /// Checks whether the attempt may write its first byte now. `unread_bytes` says whether bytes,
    /// or the end of the stream, wait on the connection.
    ///
    /// # Errors
    /// Returns the reason why the attempt may not write.
    pub fn check_send(&self, unread_bytes: bool) -> Result<(), SendDenied> {
        send_permission::check_send(&SendConditions {
            now: self.limits.clock.now(),
            withdrawn: self.latest_outcome(),
            begin_by: self.limits.begin_by,
            deadline: self.limits.deadline,
            unread_bytes,
        })
    }

    /// Returns the outcome that the attempt ends with, if it may no longer start to write.
    pub fn outcome(&self) -> Option<Outcome> {
        self.check_send(false).err().map(SendDenied::outcome)
    }

    /// Returns the outcome that the latest command gives this attempt, if there was one. A
    /// cancelled attempt that has not been dropped yet must not start to write either.
    fn latest_outcome(&self) -> Option<Outcome> {
        let latest = *self.commands.borrow();
        let latest = latest.filter(|latest| latest.attempt == self.attempt)?;
        Some(match latest.command {
            AttemptCommand::Withdraw(outcome) => outcome,
            AttemptCommand::Cancel => Outcome::Cancelled,
        })
    }

    /// Waits until the attempt is withdrawn and returns the outcome that it ends with.
    pub async fn withdrawn(&mut self) -> Outcome {
        let begin_by = self
            .limits
            .begin_by
            .map(|begin_by| self.limits.clock.instant(begin_by));
        loop {
            if let Some(outcome) = self.outcome() {
                return outcome;
            }
            let retry_window_end = sleep_until(begin_by);
            tokio::select! {
                changed = self.commands.changed() => if changed.is_err() {
                    // The request has ended, so no command will follow.
                    pending::<()>().await;
                },
                () = retry_window_end => return Outcome::NotSent,
            }
        }
    }

    /// Waits until the attempt is cancelled.
    pub(super) async fn cancelled(&mut self) {
        let cancel = Some(AddressedCommand {
            attempt: self.attempt,
            command: AttemptCommand::Cancel,
        });
        let received = self.commands.wait_for(|latest| *latest == cancel).await;
        if received.is_err() {
            // The request has ended, so no command will follow.
            pending::<()>().await;
        }
    }
}

/// Sleeps until `time`, or forever if there is none.
async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time.into()).await,
        None => pending().await,
    }
}
