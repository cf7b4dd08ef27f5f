//! Chunk servers in maintenance: changed by calls at the console, kept in a [`MaintenanceFile`] in
//! `$TMPDIR`, and passed on to the scheduler as draining.
//!
//! Versions of a front that run at the same time share the file. Each reads it at its start and
//! then periodically, and applies the changes of another. A change that cannot be written holds
//! here at once and is written as soon as the file can be locked, read and written: see
//! [`UnwrittenChanges`].

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, Instant};
use tulipbridge_core::maintenance::{MaintenanceError, MaintenanceSet};
use tulipbridge_core::maintenance_changes::{MaintenanceChange, UnwrittenChanges};
use tulipbridge_core::{NodeInfo, UpdateScope};

use crate::control::maintenance_file::{decode, encode, MaintenanceFile};
use crate::exchange::Exchange;
use crate::telemetry::log::log;
use crate::upstream::Upstream;

/// How often the file is read for changes by other processes.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How often a change that could not be written is tried again.
const WRITE_RETRY: Duration = Duration::from_millis(50);
/// How long a call waits until its change is written; its answer is due within a second.
const WRITE_WAIT: Duration = Duration::from_millis(700);
/// How long a starting front waits for a file that cannot be read.
const READABLE_WAIT: Duration = Duration::from_secs(2);

/// The chunk servers in maintenance.
pub struct Maintenance {
    set: RefCell<MaintenanceSet<String>>,
    /// The file, where there is a folder for it.
    file: Option<MaintenanceFile>,
    /// The content of the file when it was last read or written here.
    last_content: RefCell<Vec<u8>>,
    unwritten: RefCell<UnwrittenChanges<String>>,
    /// The latest error of the file, which is logged once.
    file_error: RefCell<String>,
    exchange: Rc<Exchange<Upstream>>,
}

/// The folder that lasts from one version of a front to the next, where there is one.
pub fn state_folder() -> Option<PathBuf> {
    std::env::var_os("TMPDIR").map(PathBuf::from)
}

/// Waits until the file of the front `name` can be read or is not there, but not for ever: a front
/// that served before would send to servers in maintenance.
pub async fn wait_until_readable(folder: Option<&Path>, name: &str) {
    let Some(file) = folder.map(|folder| MaintenanceFile::new(folder, name)) else {
        return;
    };
    let deadline = Instant::now() + READABLE_WAIT;
    while let Err(error) = file.read() {
        if Instant::now() >= deadline {
            log!(
                "maintenance: cannot read {}: {error}; started without it",
                file.path().display()
            );
            return;
        }
        sleep(WRITE_RETRY).await;
    }
}

impl Maintenance {
    /// Starts with the set in the file of the front `name` in `folder`, or an empty one where there
    /// is no file.
    pub fn new(
        folder: Option<PathBuf>,
        name: &str,
        exchange: Rc<Exchange<Upstream>>,
    ) -> Rc<Maintenance> {
        let maintenance = Rc::new(Maintenance {
            set: RefCell::default(),
            file: folder.map(|folder| MaintenanceFile::new(&folder, name)),
            last_content: RefCell::default(),
            unwritten: RefCell::default(),
            file_error: RefCell::default(),
            exchange,
        });
        maintenance.sync();
        maintenance
    }

    /// Records an entry of the endpoint list. Returns its state for the scheduler.
    pub fn listed(&self, name: &str, info: NodeInfo) -> NodeInfo {
        self.set
            .borrow_mut()
            .endpoint_listed(&name.to_owned(), info)
    }

    /// Records that a whole endpoint list with these names has arrived.
    pub fn replaced(&self, names: &BTreeSet<String>) {
        self.set.borrow_mut().list_replaced(names);
    }

    /// Puts a server in maintenance: it gets no new requests from now on. Returns once that is
    /// written, or has been tried for a while; it is tried on after that.
    ///
    /// # Errors
    /// The endpoint list has never named it.
    pub async fn enter(&self, name: &str) -> Result<(), MaintenanceError> {
        self.sync();
        let changed = self.set.borrow_mut().enter(&name.to_owned())?;
        self.change(name, MaintenanceChange::Entered, changed).await;
        Ok(())
    }

    /// Ends a server's maintenance. It gets requests again after a slow start.
    ///
    /// # Errors
    /// The endpoint list has never named it.
    pub async fn exit(&self, name: &str) -> Result<(), MaintenanceError> {
        self.sync();
        let changed = self
            .set
            .borrow_mut()
            .exit(&name.to_owned(), self.exchange.now())?;
        self.change(name, MaintenanceChange::Exited, changed).await;
        Ok(())
    }

    /// Applies changes by other processes and writes those of this one, for as long as the program
    /// runs.
    pub async fn follow(self: Rc<Self>) {
        loop {
            let pause = if self.unwritten.borrow().is_empty() {
                POLL_INTERVAL
            } else {
                WRITE_RETRY
            };
            sleep(pause).await;
            self.sync();
            self.write();
        }
    }

    /// Returns once every change is written, or at `deadline`.
    pub async fn written(&self, deadline: Instant) {
        if !self.write_until(deadline).await {
            log!("maintenance: changes are lost to the next version: they could not be written");
        }
    }

    /// Tries to write the changes until `deadline`. Returns whether they are written.
    async fn write_until(&self, deadline: Instant) -> bool {
        self.write();
        while !self.unwritten.borrow().is_empty() {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(WRITE_RETRY).await;
            self.write();
        }
        true
    }

    async fn change(&self, name: &str, change: MaintenanceChange, changed: Option<NodeInfo>) {
        self.unwritten.borrow_mut().record(&name.to_owned(), change);
        self.update_scheduler(changed.into_iter().collect());
        // A change that is not written by then is tried again by the task that follows the file.
        self.write_until(Instant::now() + WRITE_WAIT).await;
    }

    /// Applies the content of the file, where it differs from the last that was seen.
    fn sync(&self) {
        let Some(file) = &self.file else { return };
        match file.read() {
            Ok(content) => self.apply(file, content.unwrap_or_default()),
            Err(error) => self.log_file_error(file, "read", &error),
        }
    }

    fn apply(&self, file: &MaintenanceFile, content: Vec<u8>) {
        if content.is_empty() || *self.last_content.borrow() == content {
            return;
        }
        let names = decode(&content);
        *self.last_content.borrow_mut() = content;
        match names {
            Some(names) => self.replace(&self.unwritten.borrow().apply_to(names)),
            None => log!(
                "maintenance: {} cannot be read, and is passed over",
                file.path().display()
            ),
        }
    }

    fn replace(&self, names: &BTreeSet<String>) {
        let changed = self
            .set
            .borrow_mut()
            .replace_set(names, self.exchange.now());
        self.update_scheduler(changed);
    }

    fn update_scheduler(&self, changed: Vec<NodeInfo>) {
        if !changed.is_empty() {
            self.exchange.update_endpoints(UpdateScope::Update, changed);
        }
    }

    /// Writes the changes that wait, on top of what the file holds now.
    fn write(&self) {
        if self.unwritten.borrow().is_empty() {
            return;
        }
        let Some(file) = &self.file else {
            self.unwritten.borrow_mut().written();
            return;
        };
        match self.try_write(file) {
            Ok(()) => self.file_error.borrow_mut().clear(),
            Err(error) => self.log_file_error(file, "write", &error),
        }
    }

    fn try_write(&self, file: &MaintenanceFile) -> std::io::Result<()> {
        let _lock = file.lock()?;
        let content = file.read()?;
        // Where the file is none that can be decoded, this process's set takes its place.
        let written = content.and_then(|content| decode(&content));
        let written =
            written.unwrap_or_else(|| self.set.borrow().in_maintenance().cloned().collect());
        let names = self.unwritten.borrow().apply_to(written);
        let content = encode(names.iter());
        file.replace(&content)?;
        self.unwritten.borrow_mut().written();
        *self.last_content.borrow_mut() = content;
        self.replace(&names);
        Ok(())
    }

    fn log_file_error(&self, file: &MaintenanceFile, action: &str, error: &dyn Display) {
        let message = format!("cannot {action} {}: {error}", file.path().display());
        if *self.file_error.borrow() != message {
            log!("maintenance: {message}; tried again until it succeeds");
            *self.file_error.borrow_mut() = message;
        }
    }
}
