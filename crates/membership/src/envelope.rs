//! Framing and authentication of messages between fronts.
//!
//! | bytes | content |
//! | --- | --- |
//! | 3 | the ASCII letters `TBP` |
//! | 1 | the format version, 2 |
//! | 2 | the sender's position in its membership list, little-endian |
//! | 8 | the sender's incarnation, little-endian |
//! | variable | the message, in the postcard format |
//! | 32 | HMAC-SHA256 of all preceding bytes, with the operators' key |

use hmac::{Hmac, Mac};
use serde::de::DeserializeOwned;
use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::{Incarnation, PeerId};

/// Start of every envelope.
const MAGIC: [u8; 3] = *b"TBP";
/// Version of the envelope format and of the messages in it.
const VERSION: u8 = 2;
/// Index of the version byte.
const VERSION_OFFSET: usize = MAGIC.len();
/// Index of the first byte of the sender's position.
const SENDER_OFFSET: usize = VERSION_OFFSET + 1;
/// Index of the first byte of the sender's incarnation.
const INCARNATION_OFFSET: usize = SENDER_OFFSET + size_of::<u16>();
/// Index of the first byte of the message.
const MESSAGE_OFFSET: usize = INCARNATION_OFFSET + size_of::<u64>();
/// Length of the HMAC in bytes.
const MAC_BYTES: usize = 32;
/// Maximum length of an envelope in bytes: it must fit into one UDP datagram.
pub const MAX_MESSAGE_BYTES: usize = 60_000;
/// Minimum length of a key in bytes, without surrounding white space.
const MIN_KEY_BYTES: usize = 16;
/// Initial capacity of the buffer for an envelope, in bytes.
const TYPICAL_ENVELOPE_BYTES: usize = 256;
/// Number of leading bytes of a SHA-256 digest that [`EnvelopeCodec::digest`] keeps.
const SHORT_DIGEST_BYTES: usize = 8;

/// Why an envelope cannot be sealed or opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum EnvelopeError {
    /// The bytes are not an envelope: their length or their first bytes are invalid.
    #[error("not a message from a front")]
    NotAMessage,
    /// The envelope has this format version, which is not the supported one.
    #[error("unsupported format version {0}, expected {VERSION}")]
    UnsupportedVersion(u8),
    /// The HMAC does not match: the sender has another key, or the envelope was altered.
    #[error("authentication failed: HMAC mismatch")]
    MacMismatch,
    /// The message cannot be encoded, or cannot be decoded as the expected type although its HMAC
    /// matches.
    #[error("the message cannot be encoded or decoded")]
    Malformed,
    /// The envelope would exceed [`MAX_MESSAGE_BYTES`].
    #[error("the envelope exceeds {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// The key is shorter than the minimum length.
    #[error("the key must have at least {MIN_KEY_BYTES} bytes")]
    KeyTooShort,
}

/// Encodes and decodes envelopes with a key that all fronts share.
#[derive(Clone)]
pub struct EnvelopeCodec {
    key: Hmac<Sha256>,
}

/// An authenticated message with its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope<T> {
    /// The sender's position in its membership list.
    pub from: PeerId,
    /// The sender's incarnation when it sealed the envelope.
    pub incarnation: Incarnation,
    /// The decoded content.
    pub message: T,
}

impl EnvelopeCodec {
    /// Creates a codec from the content of a key file. White space around the key is ignored.
    ///
    /// # Errors
    /// [`EnvelopeError::KeyTooShort`] if fewer than 16 bytes remain.
    pub fn new(key: &[u8]) -> Result<EnvelopeCodec, EnvelopeError> {
        let key = key.trim_ascii();
        if key.len() < MIN_KEY_BYTES {
            return Err(EnvelopeError::KeyTooShort);
        }
        let key = Hmac::new_from_slice(key).map_err(|_| EnvelopeError::KeyTooShort)?;
        Ok(EnvelopeCodec { key })
    }

    /// Encodes a message as an authenticated envelope.
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

    /// Verifies and decodes an envelope. Before the HMAC is verified, only the length, the first
    /// letters and the version are checked.
    ///
    /// # Errors
    /// The reason why the bytes are rejected; never [`EnvelopeError::TooLong`] or
    /// [`EnvelopeError::KeyTooShort`].
    pub fn open<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<Envelope<T>, EnvelopeError> {
        let length_is_valid =
            (MESSAGE_OFFSET + MAC_BYTES..=MAX_MESSAGE_BYTES).contains(&bytes.len());
        if !length_is_valid || !bytes.starts_with(&MAGIC) {
            return Err(EnvelopeError::NotAMessage);
        }
        if bytes[VERSION_OFFSET] != VERSION {
            return Err(EnvelopeError::UnsupportedVersion(bytes[VERSION_OFFSET]));
        }
        let (authenticated, digest) = bytes.split_at(bytes.len() - MAC_BYTES);
        let mut mac = self.key.clone();
        mac.update(authenticated);
        mac.verify_slice(digest)
            .map_err(|_| EnvelopeError::MacMismatch)?;
        let from = PeerId(little_endian(&authenticated[SENDER_OFFSET..INCARNATION_OFFSET]) as u16);
        let incarnation = Incarnation(little_endian(
            &authenticated[INCARNATION_OFFSET..MESSAGE_OFFSET],
        ));
        match postcard::take_from_bytes(&authenticated[MESSAGE_OFFSET..]) {
            Ok((message, [])) => Ok(Envelope {
                from,
                incarnation,
                message,
            }),
            _ => Err(EnvelopeError::Malformed),
        }
    }

    /// Returns the first eight bytes of a text's SHA-256 as a big-endian number. Fronts with the
    /// same text, such as the same membership list, get the same digest.
    pub fn digest(text: &str) -> u64 {
        let digest = Sha256::digest(text.as_bytes());
        let bytes = digest.iter().take(SHORT_DIGEST_BYTES);
        bytes.fold(0, |value, byte| value << u8::BITS | u64::from(*byte))
    }
}

/// Decodes a little-endian number of at most eight bytes.
fn little_endian(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .rev()
        .fold(0, |value, byte| value << u8::BITS | u64::from(*byte))
}
