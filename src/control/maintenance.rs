//! Chunk servers out by hand: the calls of the console onto [`Hand`], and the set written down in `$TMPDIR`, where a
//! process started beside this one (a new version) finds it.
//!
//! The file is replaced whole by a rename, so that a reader never meets half of it. It is read at the start and
//! every 250 ms; a change to it is held here too. A call takes a lock on a file beside it for its read, change and
//! write, so that two processes called at once lose neither call.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fs::{File, OpenOptions};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use nix::fcntl::{Flock, FlockArg};
use simd_json::prelude::*;
use tulipbridge_core::maintenance::{MaintenanceError, MaintenanceSet};
use tulipbridge_core::{NodeInfo, UpdateScope};

use crate::exchange::Exchange;
use crate::telemetry::log::log;
use crate::upstream::Upstream;

/// How often the file is read for what another process has changed.
const LOOK: Duration = Duration::from_millis(250);

/// The servers held out, and where they are written down.
pub struct Maintenance {
    hand: RefCell<MaintenanceSet<String>>,
    /// The file, where there is a place for it.
    file: Option<PathBuf>,
    /// What the file held when it was last read or written here.
    seen: RefCell<Vec<u8>>,
    exchange: Rc<Exchange<Upstream>>,
}

impl Maintenance {
    /// Holds out what the file for the front `name` in `folder` says, if anything.
    pub fn new(folder: Option<PathBuf>, name: &str, exchange: Rc<Exchange<Upstream>>) -> Rc<Maintenance> {
        let file = folder.map(|f| f.join(format!("tulipbridge-{name}-held.json")));
        let maintenance = Maintenance { hand: RefCell::default(), file, seen: RefCell::default(), exchange };
        let maintenance = Rc::new(maintenance);
        maintenance.sync();
        maintenance
    }

    /// An entry of the list, as it came: gives what the module is to be told.
    pub fn listed(&self, name: &str, info: NodeInfo) -> NodeInfo {
        self.hand.borrow_mut().endpoint_listed(&name.to_owned(), info)
    }

    /// A whole list came with these names.
    pub fn replaced(&self, names: &BTreeSet<String>) {
        self.hand.borrow_mut().list_replaced(names);
    }

    /// Holds a server out; once this returns, nothing new goes to it.
    ///
    /// # Errors
    /// Where the list has never named it.
    pub fn enter(&self, name: &str) -> Result<(), MaintenanceError> {
        self.change(|hand, _| hand.enter(&name.to_owned()))
    }

    /// Lets a server back in, cold.
    ///
    /// # Errors
    /// Where the list has never named it.
    pub fn exit(&self, name: &str) -> Result<(), MaintenanceError> {
        self.change(|hand, now| hand.exit(&name.to_owned(), now))
    }

    /// Reads the file every 250 ms for as long as the program runs.
    pub async fn follow(self: Rc<Self>) {
        loop {
            tokio::time::sleep(LOOK).await;
            self.sync();
        }
    }

    fn change(
        &self,
        change: impl FnOnce(&mut MaintenanceSet<String>, i64) -> Result<Option<NodeInfo>, MaintenanceError>,
    ) -> Result<(), MaintenanceError> {
        let lock = self.lock();
        self.sync();
        let now = self.exchange.now();
        let told = change(&mut self.hand.borrow_mut(), now)?;
        self.tell(told.into_iter().collect());
        self.write();
        drop(lock);
        Ok(())
    }

    /// Takes what the file says, where it has changed since it was last seen here.
    fn sync(&self) {
        let Some(file) = &self.file else { return };
        let Ok(mut bytes) = std::fs::read(file) else { return };
        if *self.seen.borrow() == bytes {
            return;
        }
        *self.seen.borrow_mut() = bytes.clone();
        let Some(names) = read(&mut bytes) else {
            log!("maintenance: {} cannot be read, and is passed over", file.display());
            return;
        };
        let told = self.hand.borrow_mut().replace_set(&names, self.exchange.now());
        self.tell(told);
    }

    fn tell(&self, told: Vec<NodeInfo>) {
        if !told.is_empty() {
            self.exchange.update_endpoints(UpdateScope::Update, told);
        }
    }

    fn write(&self) {
        let Some(file) = &self.file else { return };
        let held: Vec<String> = self.hand.borrow().in_maintenance().cloned().collect();
        let bytes = simd_json::json!({ "held": held }).encode().into_bytes();
        let next = file.with_extension("json.next");
        let written = std::fs::write(&next, &bytes).and_then(|()| std::fs::rename(&next, file));
        match written {
            Ok(()) => *self.seen.borrow_mut() = bytes,
            Err(why) => {
                log!("maintenance: cannot write {}: {why}; a new version would not know", file.display())
            }
        }
    }

    /// A lock on the file beside the set, for as long as it lives; none where there is no file.
    fn lock(&self) -> Option<Flock<File>> {
        let file = self.file.as_ref()?.with_extension("lock");
        let opened = OpenOptions::new().create(true).truncate(false).write(true).open(file).ok()?;
        Flock::lock(opened, FlockArg::LockExclusive).ok()
    }
}

/// The names in a file of servers held out; `None` where it is not one.
fn read(bytes: &mut [u8]) -> Option<BTreeSet<String>> {
    let value = simd_json::to_owned_value(bytes).ok()?;
    let held = value.get("held")?.as_array()?;
    held.iter().map(|name| name.as_str().map(str::to_owned)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_file_is_read_whole_or_not_at_all() {
        assert_eq!(
            read(&mut br#"{"held":["s-1","s-2"]}"#.to_vec()),
            Some(BTreeSet::from(["s-1".into(), "s-2".into()]))
        );
        assert_eq!(read(&mut br#"{"held":["s-1","#.to_vec()), None);
        assert_eq!(read(&mut br#"{"held":["s-1",3]}"#.to_vec()), None);
        assert_eq!(read(&mut Vec::new()), None);
    }
}
