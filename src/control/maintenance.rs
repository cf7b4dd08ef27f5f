//! Chunk servers in maintenance: changed by calls at the console, kept in a [`MaintenanceFile`] in `$TMPDIR`, and
//! passed on to the scheduler as draining.
//!
//! Versions of a front that run at the same time share the file. Each reads it at its start and then periodically,
//! and applies the changes of another.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tulipbridge_core::maintenance::{MaintenanceError, MaintenanceSet};
use tulipbridge_core::{Nanos, NodeInfo, UpdateScope};

use crate::control::maintenance_file::{decode, encode, MaintenanceFile};
use crate::exchange::Exchange;
use crate::telemetry::log::log;
use crate::upstream::Upstream;

/// How often the file is read for changes by other processes.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The chunk servers in maintenance.
pub struct Maintenance {
    set: RefCell<MaintenanceSet<String>>,
    /// The file, where there is a folder for it.
    file: Option<MaintenanceFile>,
    /// The content of the file when it was last read or written here.
    last_content: RefCell<Vec<u8>>,
    exchange: Rc<Exchange<Upstream>>,
}

impl Maintenance {
    /// Starts with the set in the file of the front `name` in `folder`, or an empty one where there is no file.
    pub fn new(folder: Option<PathBuf>, name: &str, exchange: Rc<Exchange<Upstream>>) -> Rc<Maintenance> {
        let maintenance = Rc::new(Maintenance {
            set: RefCell::default(),
            file: folder.map(|folder| MaintenanceFile::new(&folder, name)),
            last_content: RefCell::default(),
            exchange,
        });
        maintenance.sync();
        maintenance
    }

    /// Records an entry of the endpoint list. Returns its state for the scheduler.
    pub fn listed(&self, name: &str, info: NodeInfo) -> NodeInfo {
        self.set.borrow_mut().endpoint_listed(&name.to_owned(), info)
    }

    /// Records that a whole endpoint list with these names has arrived.
    pub fn replaced(&self, names: &BTreeSet<String>) {
        self.set.borrow_mut().list_replaced(names);
    }

    /// Puts a server in maintenance: once this returns, it gets no new requests.
    ///
    /// # Errors
    /// The endpoint list has never named it.
    pub fn enter(&self, name: &str) -> Result<(), MaintenanceError> {
        self.change(|set, _| set.enter(&name.to_owned()))
    }

    /// Ends a server's maintenance. It gets requests again after a slow start.
    ///
    /// # Errors
    /// The endpoint list has never named it.
    pub fn exit(&self, name: &str) -> Result<(), MaintenanceError> {
        self.change(|set, now| set.exit(&name.to_owned(), now))
    }

    /// Applies changes by other processes, for as long as the program runs.
    pub async fn follow(self: Rc<Self>) {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            self.sync();
        }
    }

    fn change(
        &self,
        change: impl FnOnce(&mut MaintenanceSet<String>, Nanos) -> Result<Option<NodeInfo>, MaintenanceError>,
    ) -> Result<(), MaintenanceError> {
        let lock = self.file.as_ref().and_then(MaintenanceFile::lock);
        self.sync();
        let now = self.exchange.now();
        let changed = change(&mut self.set.borrow_mut(), now)?;
        self.update_scheduler(changed.into_iter().collect());
        self.write();
        drop(lock);
        Ok(())
    }

    /// Applies the content of the file, where it differs from the last that was seen.
    fn sync(&self) {
        let Some(file) = &self.file else { return };
        let Some(content) = file.read() else { return };
        if *self.last_content.borrow() == content {
            return;
        }
        let names = decode(&content);
        *self.last_content.borrow_mut() = content;
        let Some(names) = names else {
            log!("maintenance: {} cannot be read, and is passed over", file.path().display());
            return;
        };
        let changed = self.set.borrow_mut().replace_set(&names, self.exchange.now());
        self.update_scheduler(changed);
    }

    fn update_scheduler(&self, changed: Vec<NodeInfo>) {
        if !changed.is_empty() {
            self.exchange.update_endpoints(UpdateScope::Update, changed);
        }
    }

    fn write(&self) {
        let Some(file) = &self.file else { return };
        let content = encode(self.set.borrow().in_maintenance());
        match file.replace(&content) {
            Ok(()) => *self.last_content.borrow_mut() = content,
            Err(error) => {
                let path = file.path().display();
                log!("maintenance: cannot write {path}: {error}; other processes keep the old set");
            }
        }
    }
}
