//! The file that tells other versions of a front on the same machine which chunk servers are in
//! maintenance.
//!
//! It is replaced atomically by a rename after the new content is on the disk, so that no reader
//! sees a part of it and a kill at any moment leaves one of the two. A process that changes the set
//! locks a second file while it reads, changes and writes, so that concurrent changes are not lost.
//! Nothing here waits for another process.

use std::collections::BTreeSet;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use nix::fcntl::{Flock, FlockArg};
use serde::{Deserialize, Serialize};

use crate::control::json_object;

/// The file of one front.
pub struct MaintenanceFile {
    path: PathBuf,
}

impl MaintenanceFile {
    /// The file of the front with this name in a folder. It need not exist.
    pub fn new(folder: &Path, front: &str) -> MaintenanceFile {
        MaintenanceFile {
            path: folder.join(format!("tulipbridge-{front}-held.json")),
        }
    }

    /// Where the file is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The content of the file; `None` where there is no file.
    ///
    /// # Errors
    /// The system's, where the file cannot be read: it may have any content.
    pub fn read(&self) -> io::Result<Option<Vec<u8>>> {
        match std::fs::read(&self.path) {
            Ok(content) => Ok(Some(content)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Replaces the file.
    ///
    /// # Errors
    /// The system's, where the file cannot be written.
    pub fn replace(&self, content: &[u8]) -> io::Result<()> {
        let next = self.path.with_extension("json.next");
        let mut file = File::create(&next)?;
        file.write_all(content)?;
        file.sync_all()?;
        std::fs::rename(&next, &self.path)?;
        // Without this the rename itself may be lost with the machine.
        self.path
            .parent()
            .map_or(Ok(()), |folder| File::open(folder)?.sync_all())
    }

    /// Takes the lock on the set, which the result releases on drop.
    ///
    /// # Errors
    /// Another process has the lock, or the system cannot lock.
    pub fn lock(&self) -> io::Result<Flock<File>> {
        let path = self.path.with_extension("lock");
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)?;
        Flock::lock(file, FlockArg::LockExclusiveNonblock).map_err(|(_, errno)| errno.into())
    }
}

/// The content of the file.
#[derive(Serialize, Deserialize)]
struct Content<Names> {
    /// The names of the servers in maintenance.
    #[serde(rename = "held")]
    names: Names,
}

/// The content of the file for a set of server names.
///
/// # Panics
/// Never: any list of strings can be encoded.
pub fn encode<'a>(names: impl Iterator<Item = &'a String>) -> Vec<u8> {
    let content = Content {
        names: names.collect::<Vec<&String>>(),
    };
    simd_json::serde::to_vec(&content).expect("a list of strings can be encoded")
}

/// The server names in the content of a file; `None` where it is not a valid one.
pub fn decode(content: &[u8]) -> Option<BTreeSet<String>> {
    // The parser decodes strings in place, so it needs a copy to write to.
    let content: Content<BTreeSet<String>> = json_object::parse(&mut content.to_vec()).ok()?;
    Some(content.names)
}
