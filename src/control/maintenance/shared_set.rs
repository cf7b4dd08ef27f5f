//! The servers in maintenance and the file through which the versions of a front share them.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::io;

use tulipbridge_core::maintenance::{MaintenanceError, MaintenanceSet};
use tulipbridge_core::maintenance_changes::{MaintenanceChange, UnwrittenChanges};
use tulipbridge_core::{Nanos, NodeInfo};

use crate::control::maintenance_file::{decode, encode, MaintenanceFile};
use crate::telemetry::log::log;

/// The servers in maintenance: those in the file as last read, with the changes of this process
/// that are not written yet.
///
/// Functions that change the set return the entries of the endpoint list that change for the
/// scheduler.
pub(super) struct SharedMaintenanceSet {
    set: MaintenanceSet<String>,
    /// The changes that take effect in this process and are not in the file yet.
    unwritten: UnwrittenChanges<String>,
    /// The shared file; `None` if there is no folder for it.
    file: Option<MaintenanceFile>,
    /// The content of the file when it was last read or written here; empty before that.
    last_content: Vec<u8>,
    /// The last logged error of the file, so that a repeated one is not logged again; emptied by a
    /// successful write.
    last_error: String,
}

impl SharedMaintenanceSet {
    /// Creates an empty set. The file is not read yet.
    pub(super) fn new(file: Option<MaintenanceFile>) -> SharedMaintenanceSet {
        SharedMaintenanceSet {
            set: MaintenanceSet::new(),
            unwritten: UnwrittenChanges::default(),
            file,
            last_content: Vec::new(),
            last_error: String::new(),
        }
    }

    /// Records an entry of the endpoint list. Returns the entry to pass to the scheduler.
    pub(super) fn endpoint_listed(&mut self, name: &str, info: NodeInfo) -> NodeInfo {
        self.set.endpoint_listed(&name.to_owned(), info)
    }

    /// Records that a complete endpoint list with these server names has arrived.
    pub(super) fn list_replaced(&mut self, names: &BTreeSet<String>) {
        self.set.list_replaced(names);
    }

    /// Starts the maintenance of a server; the change is not written yet.
    ///
    /// # Errors
    /// Fails if no endpoint list has ever named the server.
    pub(super) fn enter(&mut self, name: &str) -> Result<Vec<NodeInfo>, MaintenanceError> {
        let name = name.to_owned();
        let changed = self.set.enter(&name)?;
        self.unwritten.record(&name, MaintenanceChange::Entered);
        Ok(changed.into_iter().collect())
    }

    /// Ends the maintenance of a server at `now`; the change is not written yet.
    ///
    /// # Errors
    /// Fails if no endpoint list has ever named the server.
    pub(super) fn exit(
        &mut self,
        name: &str,
        now: Nanos,
    ) -> Result<Vec<NodeInfo>, MaintenanceError> {
        let name = name.to_owned();
        let changed = self.set.exit(&name, now)?;
        self.unwritten.record(&name, MaintenanceChange::Exited);
        Ok(changed.into_iter().collect())
    }

    /// Returns whether all changes are written.
    pub(super) fn is_written(&self) -> bool {
        self.unwritten.is_empty()
    }

    /// Applies the content of the file if it differs from what was last read or written here. An
    /// error is logged.
    pub(super) fn read_file(&mut self, now: Nanos) -> Vec<NodeInfo> {
        let Some(file) = &self.file else {
            return Vec::new();
        };
        match file.read() {
            Ok(content) => self.apply_content(content.unwrap_or_default(), now),
            Err(error) => {
                self.log_file_error("read", &error);
                Vec::new()
            }
        }
    }

    /// Writes the unwritten changes on top of the current content of the file. An error is logged,
    /// and the changes stay unwritten.
    pub(super) fn write_file(&mut self, now: Nanos) -> Vec<NodeInfo> {
        if self.is_written() {
            return Vec::new();
        }
        match self.write_changes(now) {
            Ok(changed) => changed,
            Err(error) => {
                self.log_file_error("write", &error);
                Vec::new()
            }
        }
    }

    /// Applies the content of the file; empty content is ignored. Content that cannot be decoded is
    /// logged and otherwise ignored.
    fn apply_content(&mut self, content: Vec<u8>, now: Nanos) -> Vec<NodeInfo> {
        if content.is_empty() || self.last_content == content {
            return Vec::new();
        }
        let names = decode(&content);
        self.last_content = content;
        match names {
            Some(names) => {
                let names = self.unwritten.apply_to(names);
                self.set.replace_set(&names, now)
            }
            None => {
                self.log_invalid_content();
                Vec::new()
            }
        }
    }

    /// Writes the unwritten changes and applies what other processes have changed in the file.
    /// Without a file, the changes count as written.
    fn write_changes(&mut self, now: Nanos) -> io::Result<Vec<NodeInfo>> {
        let Some(file) = &self.file else {
            self.unwritten.written();
            return Ok(Vec::new());
        };
        let _lock = file.lock()?;
        let content = file.read()?;
        // If the file does not exist or cannot be decoded, this process's set is written instead.
        let written = content
            .and_then(|content| decode(&content))
            .unwrap_or_else(|| self.set.in_maintenance().cloned().collect());
        let names = self.unwritten.apply_to(written);
        let content = encode(names.iter());
        file.replace(&content)?;
        self.unwritten.written();
        self.last_content = content;
        self.last_error.clear();
        Ok(self.set.replace_set(&names, now))
    }

    /// Logs that the content of the file is not valid.
    fn log_invalid_content(&self) {
        if let Some(file) = &self.file {
            log!(
                "maintenance: {}: content ignored: cannot be decoded",
                file.path().display()
            );
        }
    }

    /// Logs an error of the file, unless it repeats the last one.
    fn log_file_error(&mut self, action: &str, error: &dyn Display) {
        let Some(file) = &self.file else { return };
        let message = format!("cannot {action} {}: {error}", file.path().display());
        if self.last_error != message {
            log!("maintenance: {message}; retrying until it succeeds");
            self.last_error = message;
        }
    }
}
