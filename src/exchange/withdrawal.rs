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
    /// The attempt is dropped.
    Cancel,
    /// The attempt ends with this outcome unless it has started to write.
    Withdraw(Outcome),
}

/// A command with the number of the attempt that it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AddressedCommand {
    attempt: u32,
    command: AttemptCommand,
}

/// Sends commands to the attempts of one request. Only the latest command is kept.
pub(super) struct CommandSender(watch::Sender<Option<AddressedCommand>>);

impl CommandSender {
    /// A sender that has sent no command.
    pub fn new() -> CommandSender {
        CommandSender(watch::Sender::new(None))
    }

    /// Drops an attempt.
    pub fn cancel(&self, attempt: u32) {
        self.send(attempt, AttemptCommand::Cancel);
    }

    /// Ends an attempt with `outcome` unless it has started to write.
    pub fn withdraw(&self, attempt: u32, outcome: Outcome) {
        self.send(attempt, AttemptCommand::Withdraw(outcome));
    }

    fn send(&self, attempt: u32, command: AttemptCommand) {
        self.0
            .send_replace(Some(AddressedCommand { attempt, command }));
    }

    /// The receiving end for an attempt, which must start to write within `limits`.
    pub fn withdrawal(&self, attempt: u32, limits: SendLimits) -> Withdrawal {
        Withdrawal {
            attempt,
            limits,
            commands: self.0.subscribe(),
        }
    }
}

/// Until when an attempt may start to write, in the clock of the decision module.
#[derive(Clone, Copy, Debug)]
pub struct SendLimits {
    /// The clock.
    pub clock: Clock,
    /// Until when it may retry another attempt; absent for no limit.
    pub begin_by: Option<Nanos>,
    /// When its client gives up.
    pub deadline: Nanos,
}

/// The receiving end of the commands to one attempt.
#[derive(Clone, Debug)]
pub struct Withdrawal {
    attempt: u32,
    /// An attempt that has not started to write by then is withdrawn.
    limits: SendLimits,
    commands: watch::Receiver<Option<AddressedCommand>>,
}

impl Withdrawal {
    /// A withdrawal that never happens.
    pub fn never() -> Withdrawal {
        let limits = SendLimits {
            clock: Clock::start(),
            begin_by: None,
            deadline: Nanos::MAX,
        };
        CommandSender::new().withdrawal(0, limits)
    }

    /// Checks whether the attempt may write its first byte now. `unread_bytes` says that bytes, or
    /// the end of the stream, wait on the connection.
    ///
    /// # Errors
    /// Why it may not.
    pub fn check_send(&self, unread_bytes: bool) -> Result<(), SendDenied> {
        send_permission::check_send(&SendConditions {
            now: self.limits.clock.now(),
            withdrawn: self.latest_outcome(),
            begin_by: self.limits.begin_by,
            deadline: self.limits.deadline,
            unread_bytes,
        })
    }

    /// The outcome that the attempt ends with, where it may not start to write any more.
    pub fn outcome(&self) -> Option<Outcome> {
        self.check_send(false).err().map(SendDenied::outcome)
    }

    /// The outcome of the latest command to this attempt, if there was one. An attempt that is
    /// about to be dropped must not start to write either.
    fn latest_outcome(&self) -> Option<Outcome> {
        let latest = *self.commands.borrow();
        let latest = latest.filter(|latest| latest.attempt == self.attempt)?;
        Some(match latest.command {
            AttemptCommand::Withdraw(outcome) => outcome,
            AttemptCommand::Cancel => Outcome::Cancelled,
        })
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
                changed = self.commands.changed() => if changed.is_err() {
                    // The request is over and there will be no command.
                    pending::<()>().await;
                },
                () = too_late => return Outcome::NotSent,
            }
        }
    }

    /// Returns when the attempt is to be dropped.
    pub(super) async fn cancelled(&mut self) {
        let cancel = Some(AddressedCommand {
            attempt: self.attempt,
            command: AttemptCommand::Cancel,
        });
        let received = self.commands.wait_for(|latest| *latest == cancel).await;
        if received.is_err() {
            // The request is over and there will be no command.
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
