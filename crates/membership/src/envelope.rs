//! Framing and authentication of messages between fronts.
//!
//! | bytes | content |
//! | --- | --- |
//! | 3 | the letters `TBP` |
//! | 1 | the version of the format, 2 |
//! | 2 | the sender's position in its roster, little-endian |
//! | 8 | the sender's incarnation, little-endian |
//! | all but 32 of the rest | the message, in the postcard format |
//! | 32 | HMAC-SHA256 of all bytes before, with the operators' key |

use hmac::{Hmac, Mac};
use serde::de::DeserializeOwned;
use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::{Incarnation, PeerId};

const MAGIC: [u8; 3] = *b"TBP";
const VERSION: u8 = 2;
/// Index of the version byte.
const VERSION_AT: usize = MAGIC.len();
/// Index of the first byte of the sender's position.
const SENDER_AT: usize = VERSION_AT + 1;
/// Index of the first byte of the sender's incarnation.
const INCARNATION_AT: usize = SENDER_AT + size_of::<u16>();
/// Index of the first byte of the message.
const MESSAGE_AT: usize = INCARNATION_AT + size_of::<u64>();
/// Length of the HMAC in bytes.
const MAC_BYTES: usize = 32;
/// Cap on the length of an envelope in bytes: it must fit into one UDP datagram.
pub const MAX_MESSAGE_BYTES: usize = 60_000;
/// Shortest key in bytes.
const MIN_KEY_BYTES: usize = 16;
/// Initial capacity of an envelope under construction, in bytes.
const TYPICAL_ENVELOPE_BYTES: usize = 256;
/// Bytes of a SHA-256 digest that [`EnvelopeCodec::digest`] uses.
const SHORT_DIGEST_BYTES: usize = 8;

/// Why an envelope cannot be sealed or opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum EnvelopeError {
    /// The bytes are no envelope.
    #[error("it is no message of a front's")]
    NotAMessage,
    /// The envelope has another version of the format.
    #[error("it is of version {0}, and this program knows version {VERSION}")]
    UnsupportedVersion(u8),
    /// The HMAC does not match: the sender has another key, or the envelope is damaged.
    #[error("its digest is not that of the key")]
    MacMismatch,
    /// The HMAC matches, but the message cannot be decoded as its type, or encoded.
    #[error("what it says is not in the form of its version")]
    Malformed,
    /// The envelope would exceed [`MAX_MESSAGE_BYTES`].
    #[error("it would be longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// The key is too short to be safe.
    #[error("a key needs {MIN_KEY_BYTES} bytes or more")]
    KeyTooShort,
}

/// Seals and opens envelopes with a key that all fronts of the operators share.
#[derive(Clone)]
pub struct EnvelopeCodec {
    key: Hmac<Sha256>,
}

/// An authenticated message with its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope<T> {
    /// The sender's position in its roster.
    pub from: PeerId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The message.
    pub message: T,
}

impl EnvelopeCodec {
    /// A codec with the content of a key file; white space around the key is ignored.
    ///
    /// # Errors
    /// [`EnvelopeError::KeyTooShort`].
    pub fn new(key: &[u8]) -> Result<EnvelopeCodec, EnvelopeError> {
        let key = key.trim_ascii();
        if key.len() < MIN_KEY_BYTES {
            return Err(EnvelopeError::KeyTooShort);
        }
        let key = Hmac::new_from_slice(key).map_err(|_| EnvelopeError::KeyTooShort)?;
        Ok(EnvelopeCodec { key })
    }

    /// Encodes a message as an envelope.
    ///
    /// # Errors
    /// [`EnvelopeError::TooLong`], or [`EnvelopeError::Malformed`] if the message cannot be
    /// encoded.
    pub fn seal<T: Serialize>(
        &self,
        from: PeerId,
        incarnation: Incarnation,
        message: &T,
    ) -> Result<Vec<u8>, EnvelopeError> {
        let mut header = Vec::with_capacity(TYPICAL_ENVELOPE_BYTES);
        header.extend(MAGIC);
        header.push(VERSION);
        header.extend(from.0.to_le_bytes());
        header.extend(incarnation.0.to_le_bytes());
        let mut bytes =
            postcard::to_extend(message, header).map_err(|_| EnvelopeError::Malformed)?;
        let mut mac = self.key.clone();
        mac.update(&bytes);
        bytes.extend(mac.finalize().into_bytes());
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(EnvelopeError::TooLong);
        }
        Ok(bytes)
    }

    /// Decodes an envelope. Nothing but its version is interpreted before its HMAC is verified.
    ///
    /// # Errors
    /// Why the bytes are rejected; never [`EnvelopeError::TooLong`] or
    /// [`EnvelopeError::KeyTooShort`].
    pub fn open<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<Envelope<T>, EnvelopeError> {
        let length_is_valid = (MESSAGE_AT + MAC_BYTES..=MAX_MESSAGE_BYTES).contains(&bytes.len());
        if !length_is_valid || !bytes.starts_with(&MAGIC) {
            return Err(EnvelopeError::NotAMessage);
        }
        if bytes[VERSION_AT] != VERSION {
            return Err(EnvelopeError::UnsupportedVersion(bytes[VERSION_AT]));
        }
        let (authenticated, digest) = bytes.split_at(bytes.len() - MAC_BYTES);
        let mut mac = self.key.clone();
        mac.update(authenticated);
        mac.verify_slice(digest)
            .map_err(|_| EnvelopeError::MacMismatch)?;
        let from = PeerId(little_endian(&authenticated[SENDER_AT..INCARNATION_AT]) as u16);
        let incarnation = Incarnation(little_endian(&authenticated[INCARNATION_AT..MESSAGE_AT]));
        match postcard::take_from_bytes(&authenticated[MESSAGE_AT..]) {
            Ok((message, [])) => Ok(Envelope {
                from,
                incarnation,
                message,
            }),
            _ => Err(EnvelopeError::Malformed),
        }
    }

    /// A short digest of a text, such as a roster: equal for fronts with the same text.
    pub fn digest(text: &str) -> u64 {
        let digest = Sha256::digest(text.as_bytes());
        let bytes = digest.iter().take(SHORT_DIGEST_BYTES);
        bytes.fold(0, |value, byte| value << u8::BITS | u64::from(*byte))
    }
}

/// The value of at most eight bytes, the lowest first.
fn little_endian(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .rev()
        .fold(0, |value, byte| value << u8::BITS | u64::from(*byte))
}
