//! Chunk servers in maintenance: set by calls to the console, stored in a [`MaintenanceFile`] in
//! `$TMPDIR`, and passed to the scheduler as draining.
//!
//! Versions of a front that run at the same time share the file. Each reads it at its start and
//! then periodically, and applies the changes of the others. A change takes effect in this process
//! at once, even if it cannot be written, and is written as soon as the file can be locked, read
//! and written: see [`UnwrittenChanges`].
//!
//! [`UnwrittenChanges`]: tulipbridge_core::maintenance_changes::UnwrittenChanges

mod shared_set;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, Instant};
use tulipbridge_core::maintenance::MaintenanceError;
use tulipbridge_core::{NodeInfo, UpdateScope};

use crate::control::maintenance::shared_set::SharedMaintenanceSet;
use crate::control::maintenance_file::MaintenanceFile;
use crate::exchange::Exchange;
use crate::telemetry::log::log;
use crate::upstream::Upstream;

/// The interval at which the file is read for changes by other processes.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The pause between attempts to write a change, and between attempts to read the file at the
/// start.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The time limit for a call to wait until its change is written; its response is due within a
/// second.
const WRITE_TIMEOUT: Duration = Duration::from_millis(700);
/// The time limit for a starting front to wait for a file that cannot be read.
const STARTUP_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the folder that `$TMPDIR` names, whose files last from one version of a front to the
/// next; `None` if the variable is not set.
pub fn state_folder() -> Option<PathBuf> {
    std::env::var_os("TMPDIR").map(PathBuf::from)
}

/// Waits until the file of the front `name` can be read or does not exist, but no longer than
/// `STARTUP_READ_TIMEOUT`. A front that served clients before reading the file would send requests
/// to servers in maintenance.
pub async fn wait_until_readable(folder: Option<&Path>, name: &str) {
    let Some(file) = folder.map(|folder| MaintenanceFile::new(folder, name)) else {
        return;
    };
    let deadline = Instant::now() + STARTUP_READ_TIMEOUT;
    while let Err(error) = file.read() {
        if Instant::now() >= deadline {
            log!(
                "maintenance: cannot read {}: {error}; starting without it",
                file.path().display()
            );
            return;
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// The chunk servers in maintenance, kept in step with the shared file and the scheduler.
pub struct Maintenance {
    set: RefCell<SharedMaintenanceSet>,
    /// Owns the scheduler. Must not be called while `set` is borrowed.
    exchange: Rc<Exchange<Upstream>>,
}

impl Maintenance {
    /// Creates the set with what the file of the front `name` in `folder` contains; it is empty if
    /// there is no file. Without a folder, changes are not stored.
    pub fn new(
        folder: Option<PathBuf>,
        name: &str,
        exchange: Rc<Exchange<Upstream>>,
    ) -> Rc<Maintenance> {
        let file = folder.map(|folder| MaintenanceFile::new(&folder, name));
        let maintenance = Rc::new(Maintenance {
            set: RefCell::new(SharedMaintenanceSet::new(file)),
            exchange,
        });
        maintenance.read_file();
        maintenance
    }

    /// Records an entry of the endpoint list. Returns the entry to pass to the scheduler.
    pub fn endpoint_listed(&self, name: &str, info: NodeInfo) -> NodeInfo {
        self.set.borrow_mut().endpoint_listed(name, info)
    }

    /// Records that a complete endpoint list with these server names has arrived.
    pub fn list_replaced(&self, names: &BTreeSet<String>) {
        self.set.borrow_mut().list_replaced(names);
    }

    /// Starts the maintenance of a server, which gets no new requests from now on. Returns once the
    /// change is written or after `WRITE_TIMEOUT`; [`Maintenance::follow`] then retries the write.
    ///
    /// # Errors
    /// Fails if no endpoint list has ever named the server.
    pub async fn enter(&self, name: &str) -> Result<(), MaintenanceError> {
        self.read_file();
        let changed = self.set.borrow_mut().enter(name)?;
        self.update_scheduler(changed);
        self.write_until(Instant::now() + WRITE_TIMEOUT).await;
        Ok(())
    }

    /// Ends the maintenance of a server, which gets requests again with a slow start. Waits for the
    /// write like [`Maintenance::enter`].
    ///
    /// # Errors
    /// Fails if no endpoint list has ever named the server.
    pub async fn exit(&self, name: &str) -> Result<(), MaintenanceError> {
        self.read_file();
        let changed = self.set.borrow_mut().exit(name, self.exchange.now())?;
        self.update_scheduler(changed);
        self.write_until(Instant::now() + WRITE_TIMEOUT).await;
        Ok(())
    }

    /// Applies changes by other processes and writes those of this one, until the program ends.
    pub async fn follow(self: Rc<Self>) {
        loop {
            let pause = if self.set.borrow().is_written() {
                POLL_INTERVAL
            } else {
                RETRY_INTERVAL
            };
            sleep(pause).await;
            self.read_file();
            self.write_file();
        }
    }

    /// Waits until every change is written, but no longer than `deadline`. Changes that are still
    /// not written then are logged as lost.
    pub async fn wait_until_written(&self, deadline: Instant) {
        if !self.write_until(deadline).await {
            log!("maintenance: changes not passed to the next version: file not written in time");
        }
    }

    /// Retries writing the changes until `deadline`. Returns whether all are written.
    async fn write_until(&self, deadline: Instant) -> bool {
        self.write_file();
        while !self.set.borrow().is_written() {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(RETRY_INTERVAL).await;
            self.write_file();
        }
        true
    }

    /// Applies the content of the file if it has changed, and informs the scheduler.
    fn read_file(&self) {
        let changed = self.set.borrow_mut().read_file(self.exchange.now());
        self.update_scheduler(changed);
    }

    /// Writes the unwritten changes on top of the current content of the file, and informs the
    /// scheduler of the changes by other processes in it.
    fn write_file(&self) {
        let changed = self.set.borrow_mut().write_file(self.exchange.now());
        self.update_scheduler(changed);
    }

    /// Passes changed entries of the endpoint list to the scheduler, if there are any.
    fn update_scheduler(&self, changed: Vec<NodeInfo>) {
        if !changed.is_empty() {
            self.exchange.update_endpoints(UpdateScope::Update, changed);
        }
    }
}
