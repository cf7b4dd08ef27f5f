//! Chunk servers in maintenance: changed by calls at the console, stored in a [`MaintenanceFile`]
//! in `$TMPDIR`, and passed on to the scheduler as draining.
//!
//! Versions of a front that run at the same time share the file. Each reads it at its start and
//! then periodically, and applies the changes of another. A change that cannot be written is in
//! force here at once, and is written as soon as the file can be locked, read and written: see
//! [`UnwrittenChanges`].
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

/// How often the file is read for changes by other processes.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The pause between two attempts to write a change, or to read a file at the start.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long a call waits until its change is written; its response is due within a second.
const WRITE_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a starting front waits for a file that cannot be read.
const STARTUP_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The folder that lasts from one version of a front to the next, where there is one.
pub fn state_folder() -> Option<PathBuf> {
    std::env::var_os("TMPDIR").map(PathBuf::from)
}

/// Waits until the file of the front `name` can be read or does not exist, but no longer than
/// `STARTUP_READ_TIMEOUT`. A front that served before it has read the file would send requests to
/// servers in maintenance.
pub async fn wait_until_readable(folder: Option<&Path>, name: &str) {
    let Some(file) = folder.map(|folder| MaintenanceFile::new(folder, name)) else {
        return;
    };
    let deadline = Instant::now() + STARTUP_READ_TIMEOUT;
    while let Err(error) = file.read() {
        if Instant::now() >= deadline {
            log!(
                "maintenance: cannot read {}: {error}; started without it",
                file.path().display()
            );
            return;
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// The chunk servers in maintenance.
pub struct Maintenance {
    set: RefCell<SharedMaintenanceSet>,
    /// Owns the scheduler. It is never called while `set` is borrowed.
    exchange: Rc<Exchange<Upstream>>,
}

impl Maintenance {
    /// Starts with the set in the file of the front `name` in `folder`, or an empty one where there
    /// is no file.
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

    /// Records an entry of the endpoint list. Returns its state for the scheduler.
    pub fn listed(&self, name: &str, info: NodeInfo) -> NodeInfo {
        self.set.borrow_mut().listed(name, info)
    }

    /// Records that a complete endpoint list with these names has arrived.
    pub fn replaced(&self, names: &BTreeSet<String>) {
        self.set.borrow_mut().list_replaced(names);
    }

    /// Puts a server in maintenance: it gets no new requests from now on. Returns once that is
    /// written, or has been attempted for `WRITE_TIMEOUT`; the attempts go on after that.
    ///
    /// # Errors
    /// The endpoint list has never named it.
    pub async fn enter(&self, name: &str) -> Result<(), MaintenanceError> {
        self.read_file();
        let changed = self.set.borrow_mut().enter(name)?;
        self.update_scheduler(changed);
        self.write_until(Instant::now() + WRITE_TIMEOUT).await;
        Ok(())
    }

    /// Ends a server's maintenance. It gets requests again after a slow start. Returns as
    /// [`Maintenance::enter`] does.
    ///
    /// # Errors
    /// The endpoint list has never named it.
    pub async fn exit(&self, name: &str) -> Result<(), MaintenanceError> {
        self.read_file();
        let changed = self.set.borrow_mut().exit(name, self.exchange.now())?;
        self.update_scheduler(changed);
        self.write_until(Instant::now() + WRITE_TIMEOUT).await;
        Ok(())
    }

    /// Applies changes by other processes and writes those of this one, for as long as the program
    /// runs.
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

    /// Returns once every change is written, or at `deadline`.
    pub async fn wait_until_written(&self, deadline: Instant) {
        if !self.write_until(deadline).await {
            log!("maintenance: changes are lost to the next version: they could not be written");
        }
    }

    /// Attempts to write the changes until `deadline`. Returns whether they are written.
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

    /// Applies the content of the file, where it differs from the last that was seen.
    fn read_file(&self) {
        let changed = self.set.borrow_mut().read_file(self.exchange.now());
        self.update_scheduler(changed);
    }

    /// Writes the changes that wait, on top of what the file contains now.
    fn write_file(&self) {
        let changed = self.set.borrow_mut().write_file(self.exchange.now());
        self.update_scheduler(changed);
    }

    /// Passes changed entries of the endpoint list to the scheduler.
    fn update_scheduler(&self, changed: Vec<NodeInfo>) {
        if !changed.is_empty() {
            self.exchange.update_endpoints(UpdateScope::Update, changed);
        }
    }
}
