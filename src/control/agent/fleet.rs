//! The fronts of an agent: one supervisor for each that is declared.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use simd_json::{json, OwnedValue as Value};
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle};

use crate::control::agent::declaration::{Declarations, FrontDeclaration};
use crate::control::agent::supervisor::{DesiredState, FrontStatus, Supervisor};
use crate::telemetry::log::log;

/// A front that is declared.
struct SupervisedFront {
    /// Dropping it stops the front and ends its supervisor.
    desired: watch::Sender<DesiredState>,
    status: Rc<RefCell<FrontStatus>>,
    supervisor: JoinHandle<()>,
}

/// The fronts of an agent by their names.
#[derive(Default)]
pub struct Fleet {
    fronts: RefCell<BTreeMap<String, SupervisedFront>>,
    /// Supervisors of fronts that are no longer declared, while their processes end.
    stopping: RefCell<BTreeMap<String, JoinHandle<()>>>,
}

impl Fleet {
    /// Reconciles the fronts with their declarations. An invalid declaration leaves its front as it
    /// is.
    pub fn apply(&self, declarations: Declarations) {
        self.stop_undeclared(&declarations);
        for (name, json) in declarations {
            match FrontDeclaration::read(&json) {
                Ok(declaration) => self.apply_one(name, declaration),
                Err(error) => log!("front {name}: {error}"),
            }
        }
    }

    fn stop_undeclared(&self, declarations: &Declarations) {
        let mut fronts = self.fronts.borrow_mut();
        let mut stopping = self.stopping.borrow_mut();
        stopping.retain(|_, supervisor| !supervisor.is_finished());
        let is_undeclared = |name: &&String| !declarations.contains_key(*name);
        let undeclared: Vec<String> = fronts.keys().filter(is_undeclared).cloned().collect();
        for name in undeclared {
            if let Some(front) = fronts.remove(&name) {
                stopping.insert(name, front.supervisor);
            }
        }
    }

    fn apply_one(&self, name: String, declaration: FrontDeclaration) {
        let mut fronts = self.fronts.borrow_mut();
        match fronts.get(&name) {
            Some(front) => {
                front.desired.send_if_modified(|desired| {
                    let changed = desired.declaration != declaration;
                    desired.declaration = declaration;
                    changed
                });
            }
            None => {
                let predecessor = self.stopping.borrow_mut().remove(&name);
                let front = SupervisedFront::start(name.clone(), declaration, predecessor);
                fronts.insert(name, front);
            }
        }
    }

    /// Changes the desired state of a front; nothing where there is no front of this name.
    pub fn change(&self, name: &str, change: impl FnOnce(&mut DesiredState)) {
        if let Some(front) = self.fronts.borrow().get(name) {
            front.desired.send_modify(change);
        }
    }

    /// Whether a front of this name is declared.
    pub fn contains(&self, name: &str) -> bool {
        self.fronts.borrow().contains_key(name)
    }

    /// The status of all fronts, as the API returns it.
    pub fn status(&self) -> Value {
        let fronts = self.fronts.borrow();
        let rows = fronts.iter().map(|(name, front)| {
            let FrontStatus { phase, pid, starts, crashes } = front.status.borrow().clone();
            json!({
                "name": name.as_str(), "state": phase.name(), "pid": pid, "starts": starts, "crashes": crashes,
            })
        });
        json!({ "fronts": rows.collect::<Vec<_>>() })
    }

    /// Stops all fronts at the same time, and waits until they have ended.
    pub async fn stop_all(&self) {
        let fronts = std::mem::take(&mut *self.fronts.borrow_mut());
        // Drops the senders of all desired states before the first wait.
        let mut supervisors: Vec<_> = fronts.into_values().map(|front| front.supervisor).collect();
        supervisors.extend(std::mem::take(&mut *self.stopping.borrow_mut()).into_values());
        for supervisor in supervisors {
            // A supervisor that panicked has dropped its process, which kills it.
            let _ = supervisor.await;
        }
    }
}

impl SupervisedFront {
    /// Starts a front once the supervisor of a predecessor with the same name has ended: until then
    /// its process may still answer requests, and has the address.
    fn start(
        name: String,
        declaration: FrontDeclaration,
        predecessor: Option<JoinHandle<()>>,
    ) -> SupervisedFront {
        let initial = DesiredState {
            declaration,
            drained: false,
            restarts: 0,
        };
        let (sender, desired) = watch::channel(initial);
        let status = Rc::new(RefCell::new(FrontStatus::new()));
        let supervisor = Supervisor {
            name,
            desired,
            status: Rc::clone(&status),
        };
        let task = spawn_local(async move {
            if let Some(predecessor) = predecessor {
                // A supervisor that panicked has no process either.
                let _ = predecessor.await;
            }
            supervisor.run().await;
        });
        SupervisedFront {
            desired: sender,
            status,
            supervisor: task,
        }
    }
}
