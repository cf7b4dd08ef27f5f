//! How a message travels between fronts.
//!
//! | bytes | what they are |
//! | --- | --- |
//! | 4 | `TBP` and the version, 2 |
//! | 2 | the sender's place in its roster, low byte first |
//! | 8 | the sender's boot, low byte first |
//! | the rest but 32 | what is said, in postcard's format |
//! | 32 | HMAC-SHA256 of all before, by the operators' key |

use hmac::{Hmac, Mac};
use serde::de::DeserializeOwned;
use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::{Boot, Place};

const MAGIC: [u8; 3] = *b"TBP";
const VERSION: u8 = 2;
const HEAD: usize = 14;
const MAC: usize = 32;
/// The longest message: what one UDP datagram may hold, and no more is read of any.
pub const MOST_MESSAGE: usize = 60_000;
/// The shortest key that is taken, in bytes.
const LEAST_KEY: usize = 16;

/// Why a message is not taken, or not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum SealError {
    /// It is no message of a front's.
    #[error("it is no message of a front's")]
    NoMessage,
    /// It is of a version that this program does not know.
    #[error("it is of version {0}, and this program knows version {VERSION}")]
    Version(u8),
    /// The digest is not that of the key: a stranger's, or damaged.
    #[error("its digest is not that of the key")]
    Digest,
    /// The digest holds, and what is said is not in the form of its version.
    #[error("what it says is not in the form of its version")]
    Form,
    /// It would be longer than a datagram.
    #[error("it would be longer than {MOST_MESSAGE} bytes")]
    Long,
    /// The key is too short to keep strangers out.
    #[error("a key needs {LEAST_KEY} bytes or more")]
    Key,
}

/// Makes and opens messages, by a key that the operators' fronts share.
#[derive(Clone)]
pub struct Seal {
    key: Hmac<Sha256>,
}

/// A message whose digest holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened<T> {
    /// The sender's place.
    pub from: Place,
    /// The sender's boot.
    pub boot: Boot,
    /// What it says.
    pub said: T,
}

impl Seal {
    /// A seal by a key, as the key file holds it; white space round it does not count.
    ///
    /// # Errors
    /// Where the key is too short.
    pub fn new(key: &[u8]) -> Result<Seal, SealError> {
        let key = key.trim_ascii();
        if key.len() < LEAST_KEY {
            return Err(SealError::Key);
        }
        Hmac::new_from_slice(key).map(|key| Seal { key }).map_err(|_| SealError::Key)
    }

    /// A message.
    ///
    /// # Errors
    /// Where it would be too long.
    pub fn close<T: Serialize>(&self, from: Place, boot: Boot, said: &T) -> Result<Vec<u8>, SealError> {
        let mut bytes = Vec::with_capacity(256);
        bytes.extend(MAGIC);
        bytes.push(VERSION);
        bytes.extend(from.to_le_bytes());
        bytes.extend(boot.to_le_bytes());
        let mut bytes = postcard::to_extend(said, bytes).map_err(|_| SealError::Form)?;
        let mut mac = self.key.clone();
        mac.update(&bytes);
        bytes.extend(mac.finalize().into_bytes());
        if bytes.len() > MOST_MESSAGE {
            return Err(SealError::Long);
        }
        Ok(bytes)
    }

    /// Opens a message. Nothing of it is looked into before its digest holds, but its version.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn open<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<Opened<T>, SealError> {
        if bytes.len() < HEAD + MAC || bytes.len() > MOST_MESSAGE || bytes[..3] != MAGIC {
            return Err(SealError::NoMessage);
        }
        if bytes[3] != VERSION {
            return Err(SealError::Version(bytes[3]));
        }
        let (told, digest) = bytes.split_at(bytes.len() - MAC);
        let mut mac = self.key.clone();
        mac.update(told);
        mac.verify_slice(digest).map_err(|_| SealError::Digest)?;
        let from = Place::from_le_bytes([told[4], told[5]]);
        let boot = told[6..HEAD].iter().rev().fold(0, |boot, byte| boot << 8 | Boot::from(*byte));
        match postcard::take_from_bytes(&told[HEAD..]) {
            Ok((said, [])) => Ok(Opened { from, boot, said }),
            _ => Err(SealError::Form),
        }
    }

    /// A digest that two fronts with the same text share, such as of a roster.
    pub fn digest(text: &str) -> u64 {
        let digest = Sha256::digest(text.as_bytes());
        digest.iter().take(8).fold(0, |all, byte| all << 8 | u64::from(*byte))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_comes_back_and_nothing_else_does() {
        let seal = Seal::new(b"  sixteen bytes and more\n").expect("a key");
        let said = (7u32, vec!["a".to_owned(), "b".to_owned()]);
        let bytes = seal.close(3, 0x1122_3344_5566_7788, &said).expect("short");
        let opened = seal.open::<(u32, Vec<String>)>(&bytes);
        assert_eq!(opened, Ok(Opened { from: 3, boot: 0x1122_3344_5566_7788, said }));
        for at in 0..bytes.len() {
            let mut damaged = bytes.clone();
            damaged[at] ^= 1;
            assert!(seal.open::<(u32, Vec<String>)>(&damaged).is_err(), "byte {at}");
            assert!(seal.open::<(u32, Vec<String>)>(&bytes[..at]).is_err(), "cut at {at}");
        }
        let stranger = Seal::new(b"another key of sixteen").expect("a key");
        assert_eq!(stranger.open::<(u32, Vec<String>)>(&bytes), Err(SealError::Digest));
        let newer = [b"TBP\x03".as_slice(), &bytes[4..]].concat();
        assert_eq!(seal.open::<(u32, Vec<String>)>(&newer), Err(SealError::Version(3)));
        assert_eq!(seal.open::<(u32, Vec<String>, u8)>(&bytes), Err(SealError::Form));
        assert_eq!(Seal::new(b"short").err(), Some(SealError::Key));
        assert_eq!(seal.close(0, 0, &vec![0u64; MOST_MESSAGE]).err(), Some(SealError::Long));
    }
}
