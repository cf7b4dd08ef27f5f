//! The fronts of an agent: runs one supervisor for each declared front.

use std::cell::RefCell;
use std::collections::BTreeMap;

use tokio::sync::watch;
use tokio::task::{spawn_local, JoinError, JoinHandle};

use crate::control::agent::command::FrontCommand;
use crate::control::agent::declaration::{Declarations, FrontDeclaration};
use crate::control::agent::status::{FleetStatusMessage, FrontStatusMessage};
use crate::control::agent::supervisor::{DesiredState, FrontStatus, Supervisor};
use crate::telemetry::log::log;

/// The fronts that an agent supervises, reconciled with their declarations.
#[derive(Default)]
pub struct Fleet {
    members: RefCell<Members>,
}

/// The fronts of a fleet, keyed by their names.
#[derive(Default)]
struct Members {
    /// The fronts that are declared.
    declared: BTreeMap<String, SupervisedFront>,
    /// The supervisors of fronts that are no longer declared, while their processes end.
    stopping: BTreeMap<String, JoinHandle<()>>,
}

/// A declared front with the channels to its supervisor.
struct SupervisedFront {
    /// Dropping it stops the front and ends its supervisor.
    desired: watch::Sender<DesiredState>,
    status: watch::Receiver<FrontStatus>,
    supervisor: JoinHandle<()>,
}

impl Fleet {
    /// Reconciles the fronts with their declarations. An invalid declaration leaves its front as it
    /// is.
    pub fn apply(&self, declarations: Declarations) {
        let mut members = self.members.borrow_mut();
        members.stop_undeclared(&declarations);
        for (name, json) in declarations {
            match FrontDeclaration::read(&json) {
                Ok(declaration) => members.declare(name, declaration),
                Err(error) => log!("agent: front {name}: invalid declaration: {error}"),
            }
        }
    }

    /// Applies a command to the desired state of a front. Does nothing where no front of this name
    /// is declared.
    pub fn command(&self, name: &str, command: FrontCommand) {
        if let Some(front) = self.members.borrow().declared.get(name) {
            front.desired.send_modify(|desired| command.apply(desired));
        }
    }

    /// Returns whether a front of this name is declared.
    pub fn contains(&self, name: &str) -> bool {
        self.members.borrow().declared.contains_key(name)
    }

    /// Returns the status of all declared fronts.
    pub fn status(&self) -> FleetStatusMessage {
        let members = self.members.borrow();
        let fronts = members
            .declared
            .iter()
            .map(|(name, front)| FrontStatusMessage::new(name, &front.status.borrow()))
            .collect();
        FleetStatusMessage { fronts }
    }

    /// Stops all fronts in parallel, and waits until their processes have ended.
    pub async fn stop_all(&self) {
        let supervisors = self.members.take().into_supervisors();
        for supervisor in supervisors {
            ignore_panicked_supervisor(supervisor.await);
        }
    }
}

impl Members {
    /// Begins to stop the fronts that are no longer declared.
    fn stop_undeclared(&mut self, declarations: &Declarations) {
        self.stopping
            .retain(|_, supervisor| !supervisor.is_finished());
        let undeclared: Vec<String> = self
            .declared
            .keys()
            .filter(|name| !declarations.contains_key(*name))
            .cloned()
            .collect();
        for name in undeclared {
            if let Some(front) = self.declared.remove(&name) {
                self.stopping.insert(name, front.supervisor);
            }
        }
    }

    /// Starts a front, or changes its declaration if it is already supervised.
    fn declare(&mut self, name: String, declaration: FrontDeclaration) {
        if let Some(front) = self.declared.get(&name) {
            front.desired.send_if_modified(|desired| {
                let changed = desired.declaration != declaration;
                desired.declaration = declaration;
                changed
            });
            return;
        }
        let predecessor = self.stopping.remove(&name);
        let front = SupervisedFront::start(name.clone(), declaration, predecessor);
        self.declared.insert(name, front);
    }

    /// Returns the supervisors of all fronts. Since this drops the senders of the desired states,
    /// every supervisor stops its front.
    fn into_supervisors(self) -> Vec<JoinHandle<()>> {
        let declared = self.declared.into_values().map(|front| front.supervisor);
        let stopping = self.stopping.into_values();
        declared.chain(stopping).collect()
    }
}

impl SupervisedFront {
    /// Starts a front once the supervisor of a predecessor with the same name has ended: until then
    /// its process may still answer requests and occupy the address.
    fn start(
        name: String,
        declaration: FrontDeclaration,
        predecessor: Option<JoinHandle<()>>,
    ) -> SupervisedFront {
        let (desired, desired_receiver) = watch::channel(DesiredState::new(declaration));
        let (status_sender, status) = watch::channel(FrontStatus::default());
        let supervisor = Supervisor::new(name, desired_receiver, status_sender);
        let task = spawn_local(async move {
            if let Some(predecessor) = predecessor {
                ignore_panicked_supervisor(predecessor.await);
            }
            supervisor.run().await;
        });
        SupervisedFront {
            desired,
            status,
            supervisor: task,
        }
    }
}

/// Ignores that a supervisor panicked: the panic drops its process, which kills the process.
fn ignore_panicked_supervisor(_outcome: Result<(), JoinError>) {}
