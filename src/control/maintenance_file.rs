//! The file with which the versions of a front on one machine share the set of chunk servers in
//! maintenance.
//!
//! The file is replaced atomically, by a rename after the new content is synced to disk: readers
//! never see partial content, and a kill at any moment leaves either the old or the new content. A
//! process that changes the set locks a second file while it reads, changes and writes, so that
//! concurrent changes are not lost. Nothing here waits for another process.

use std::collections::BTreeSet;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use nix::fcntl::{Flock, FlockArg};
use serde::{Deserialize, Serialize};

use crate::control::json_object;

/// The maintenance file of one front.
pub struct MaintenanceFile {
    path: PathBuf,
}

impl MaintenanceFile {
    /// Returns the file of the front named `front` in `folder`. It need not exist.
    pub fn new(folder: &Path, front: &str) -> MaintenanceFile {
        MaintenanceFile {
            path: folder.join(format!("tulipbridge-{front}-held.json")),
        }
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the content of the file; `None` if it does not exist.
    ///
    /// # Errors
    /// Fails if the file cannot be read. Its content is then unknown.
    pub fn read(&self) -> io::Result<Option<Vec<u8>>> {
        match std::fs::read(&self.path) {
            Ok(content) => Ok(Some(content)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Replaces the content of the file atomically and durably.
    ///
    /// # Errors
    /// Fails if the file cannot be written, renamed or synced.
    pub fn replace(&self, content: &[u8]) -> io::Result<()> {
        let temporary_path = self.path.with_extension("json.next");
        let mut file = File::create(&temporary_path)?;
        file.write_all(content)?;
        file.sync_all()?;
        std::fs::rename(&temporary_path, &self.path)?;
        // Without syncing the folder, a crash of the machine may undo the rename.
        self.path
            .parent()
            .map_or(Ok(()), |folder| File::open(folder)?.sync_all())
    }

    /// Locks the set for this process, without waiting. Dropping the result releases the lock.
    ///
    /// # Errors
    /// Fails if another process holds the lock, or if the lock file cannot be opened or locked.
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

/// The content of the file. `Names` is a collection of names, owned or borrowed.
#[derive(Serialize, Deserialize)]
struct Content<Names> {
    /// The names of the servers in maintenance.
    #[serde(rename = "held")]
    names: Names,
}

/// Encodes server names as the content of the file.
///
/// # Panics
/// Never panics: any list of strings can be encoded.
pub fn encode<'a>(names: impl Iterator<Item = &'a String>) -> Vec<u8> {
    let content = Content {
        names: names.collect::<Vec<&String>>(),
    };
    simd_json::serde::to_vec(&content).expect("a list of strings can be encoded")
}

/// Decodes the server names in the content of a file; `None` if it is not valid.
pub fn decode(content: &[u8]) -> Option<BTreeSet<String>> {
    // The parser decodes strings in place, so it needs a copy to write to.
    let content: Content<BTreeSet<String>> = json_object::parse(&mut content.to_vec()).ok()?;
    Some(content.names)
}
