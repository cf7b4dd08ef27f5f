//! Transaction ids that the processes of one front share. While a new version replaces an old one,
//! both serve clients, and a request must not run at both.
//!
//! Each process writes the ids of its requests to a ring in a file of its own, which all processes
//! of the front map into their memory. A process writes an id before it looks for it in the rings of
//! the others, so that of two processes with the same id at least one finds the other's.

use std::fs::{File, OpenOptions};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};

use memmap2::{MmapOptions, MmapRaw};
use nix::errno::Errno;
use nix::fcntl::{posix_fallocate, Flock, FlockArg};
use nix::libc;

/// Maximum number of processes of one front at a time.
const MAX_PROCESSES: usize = 4;
/// Number of ids in a ring.
const RING_IDS: usize = 4_096;
/// Size of a ring in bytes: the number of ids written so far, and the latest ids.
const RING_BYTES: usize = (1 + RING_IDS) * size_of::<AtomicU64>();

/// The rings of all processes of a front.
pub struct SharedIds {
    own: Ring,
    others: Vec<OtherRing>,
    /// Marks the ring of this process as in use until the process ends.
    _lock: Flock<File>,
}

/// The ring of another process, which may not run yet or any more.
struct OtherRing {
    ring: Ring,
    /// How many of its ids have been read.
    seen: u64,
}

impl SharedIds {
    /// Opens the rings of the front named `front` in `folder`, and takes one that no process uses.
    ///
    /// # Errors
    /// Returns the error of the system, or `EBUSY` where too many processes run.
    pub fn open(folder: &Path, front: &str) -> io::Result<SharedIds> {
        let mut own = None;
        let mut others = Vec::new();
        for index in 0..MAX_PROCESSES {
            let path = folder.join(format!("tulipbridge-{front}-ids-{index}"));
            let file = OpenOptions::new()
                .read(true)
                .write(true)
                .create(true)
                .truncate(false)
                .open(path)?;
            // Allocated now: a write to a mapped page that the file system has no room for would end
            // the process.
            posix_fallocate(&file, 0, RING_BYTES as libc::off_t)?;
            let ring = Ring::map(&file)?;
            match Flock::lock(file, FlockArg::LockExclusiveNonblock) {
                Ok(lock) if own.is_none() => own = Some((ring, lock)),
                // The ids of processes that have ended are not read.
                Ok(_) => {
                    let seen = ring.count();
                    others.push(OtherRing { ring, seen });
                }
                Err((_, Errno::EWOULDBLOCK)) => others.push(OtherRing { ring, seen: 0 }),
                Err((_, error)) => return Err(error.into()),
            }
        }
        let (own, lock) = own.ok_or(Errno::EBUSY)?;
        Ok(SharedIds {
            own,
            others,
            _lock: lock,
        })
    }

    /// Writes an id for the other processes to read.
    pub(super) fn publish(&mut self, id: u64) {
        self.own.push(id);
    }

    /// Passes the ids that other processes have written since the last call to `receive`.
    pub(super) fn read_others(&mut self, mut receive: impl FnMut(u64)) {
        for other in &mut self.others {
            let count = other.ring.count();
            // Of the ids that were overwritten meanwhile, the later ones are read.
            let first = other.seen.max(count.saturating_sub(RING_IDS as u64));
            (first..count).for_each(|position| receive(other.ring.get(position)));
            other.seen = count;
        }
    }
}

/// The latest ids of one process, in memory that all processes of the front share.
struct Ring {
    memory: MmapRaw,
}

impl Ring {
    fn map(file: &File) -> io::Result<Ring> {
        let memory = MmapOptions::new().len(RING_BYTES).map_raw(file)?;
        Ok(Ring { memory })
    }

    /// Returns how many ids have been written.
    fn count(&self) -> u64 {
        self.word(0).load(Ordering::SeqCst)
    }

    /// Returns the id at a position, counted from the first one ever written.
    fn get(&self, position: u64) -> u64 {
        self.word(slot(position)).load(Ordering::SeqCst)
    }

    /// Writes an id; only the process that owns the ring calls this.
    fn push(&self, id: u64) {
        let position = self.count();
        self.word(slot(position)).store(id, Ordering::SeqCst);
        self.word(0).store(position + 1, Ordering::SeqCst);
    }

    fn word(&self, index: usize) -> &AtomicU64 {
        assert!(index <= RING_IDS, "the ring has no word {index}");
        let words = self.memory.as_mut_ptr().cast::<AtomicU64>();
        // SAFETY: the mapping is page-aligned, has `1 + RING_IDS` words, and lives as long as
        // `self`. All processes access the words only as atomic ones.
        unsafe { &*words.add(index) }
    }
}

/// Returns the word of the id at a position.
fn slot(position: u64) -> usize {
    1 + (position % RING_IDS as u64) as usize
}
