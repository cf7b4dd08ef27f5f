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

use crate::{Incarnation, PeerId};

const MAGIC: [u8; 3] = *b"TBP";
const VERSION: u8 = 2;
const HEAD: usize = 14;
const MAC: usize = 32;
/// The longest message: what one UDP datagram may hold, and no more is read of any.
pub const MAX_MESSAGE: usize = 60_000;
/// The shortest key that is taken, in bytes.
const MIN_KEY: usize = 16;

/// Why a message is not taken, or not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum EnvelopeError {
    /// It is no message of a front's.
    #[error("it is no message of a front's")]
    NotAMessage,
    /// It is of a version that this program does not know.
    #[error("it is of version {0}, and this program knows version {VERSION}")]
    Version(u8),
    /// The digest is not that of the key: a stranger's, or damaged.
    #[error("its digest is not that of the key")]
    Digest,
    /// The digest holds, and what is said is not in the form of its version.
    #[error("what it says is not in the form of its version")]
    Malformed,
    /// It would be longer than a datagram.
    #[error("it would be longer than {MAX_MESSAGE} bytes")]
    TooLong,
    /// The key is too short to keep strangers out.
    #[error("a key needs {MIN_KEY} bytes or more")]
    KeyTooShort,
}

/// Makes and opens messages, by a key that the operators' fronts share.
#[derive(Clone)]
pub struct EnvelopeCodec {
    key: Hmac<Sha256>,
}

/// A message whose digest holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope<T> {
    /// The sender's place.
    pub from: PeerId,
    /// The sender's boot.
    pub incarnation: Incarnation,
    /// What it says.
    pub message: T,
}

impl EnvelopeCodec {
    /// A seal by a key, as the key file holds it; white space round it does not count.
    ///
    /// # Errors
    /// Where the key is too short.
    pub fn new(key: &[u8]) -> Result<EnvelopeCodec, EnvelopeError> {
        let key = key.trim_ascii();
        if key.len() < MIN_KEY {
            return Err(EnvelopeError::KeyTooShort);
        }
        Hmac::new_from_slice(key).map(|key| EnvelopeCodec { key }).map_err(|_| EnvelopeError::KeyTooShort)
    }

    /// A message.
    ///
    /// # Errors
    /// Where it would be too long.
    pub fn seal<T: Serialize>(
        &self,
        from: PeerId,
        boot: Incarnation,
        said: &T,
    ) -> Result<Vec<u8>, EnvelopeError> {
        let mut bytes = Vec::with_capacity(256);
        bytes.extend(MAGIC);
        bytes.push(VERSION);
        bytes.extend(from.to_le_bytes());
        bytes.extend(boot.to_le_bytes());
        let mut bytes = postcard::to_extend(said, bytes).map_err(|_| EnvelopeError::Malformed)?;
        let mut mac = self.key.clone();
        mac.update(&bytes);
        bytes.extend(mac.finalize().into_bytes());
        if bytes.len() > MAX_MESSAGE {
            return Err(EnvelopeError::TooLong);
        }
        Ok(bytes)
    }

    /// Opens a message. Nothing of it is looked into before its digest holds, but its version.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn open<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<Envelope<T>, EnvelopeError> {
        if bytes.len() < HEAD + MAC || bytes.len() > MAX_MESSAGE || bytes[..3] != MAGIC {
            return Err(EnvelopeError::NotAMessage);
        }
        if bytes[3] != VERSION {
            return Err(EnvelopeError::Version(bytes[3]));
        }
        let (told, digest) = bytes.split_at(bytes.len() - MAC);
        let mut mac = self.key.clone();
        mac.update(told);
        mac.verify_slice(digest).map_err(|_| EnvelopeError::Digest)?;
        let from = PeerId::from_le_bytes([told[4], told[5]]);
        let boot = told[6..HEAD].iter().rev().fold(0, |boot, byte| boot << 8 | Incarnation::from(*byte));
        match postcard::take_from_bytes(&told[HEAD..]) {
            Ok((said, [])) => Ok(Envelope { from, incarnation: boot, message: said }),
            _ => Err(EnvelopeError::Malformed),
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
        let seal = EnvelopeCodec::new(b"  sixteen bytes and more\n").expect("a key");
        let said = (7u32, vec!["a".to_owned(), "b".to_owned()]);
        let bytes = seal.seal(3, 0x1122_3344_5566_7788, &said).expect("short");
        let opened = seal.open::<(u32, Vec<String>)>(&bytes);
        assert_eq!(opened, Ok(Envelope { from: 3, incarnation: 0x1122_3344_5566_7788, message: said }));
        for at in 0..bytes.len() {
            let mut damaged = bytes.clone();
            damaged[at] ^= 1;
            assert!(seal.open::<(u32, Vec<String>)>(&damaged).is_err(), "byte {at}");
            assert!(seal.open::<(u32, Vec<String>)>(&bytes[..at]).is_err(), "cut at {at}");
        }
        let stranger = EnvelopeCodec::new(b"another key of sixteen").expect("a key");
        assert_eq!(stranger.open::<(u32, Vec<String>)>(&bytes), Err(EnvelopeError::Digest));
        let newer = [b"TBP\x03".as_slice(), &bytes[4..]].concat();
        assert_eq!(seal.open::<(u32, Vec<String>)>(&newer), Err(EnvelopeError::Version(3)));
        assert_eq!(seal.open::<(u32, Vec<String>, u8)>(&bytes), Err(EnvelopeError::Malformed));
        assert_eq!(EnvelopeCodec::new(b"short").err(), Some(EnvelopeError::KeyTooShort));
        assert_eq!(seal.seal(0, 0, &vec![0u64; MAX_MESSAGE]).err(), Some(EnvelopeError::TooLong));
    }
}
