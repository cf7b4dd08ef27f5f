//! Pieces of objects. An object is read from its chunk server in requests of limited size, each of
//! which returns one piece.

use hyper::header::CONTENT_RANGE;

use super::error::ApiError;
use super::range::{ByteRange, ContentRange};
use crate::limits::MAX_BUFFERED_BODY_BYTES;
use crate::upstream::Answer;

/// Maximum number of bytes that are read from a chunk server in one request.
pub(super) const MAX_PIECE_BYTES: u64 = MAX_BUFFERED_BODY_BYTES as u64;

/// A contiguous part of an object, from one answer of a chunk server.
pub(super) struct Piece {
    /// Answer of the chunk server, whose body is the piece.
    pub answer: Answer,
    /// Position of the piece in the object, and the size of the object.
    pub range: ContentRange,
}

impl Piece {
    /// Takes the piece from a 206 answer, whose `Content-Range` must match the length of the body.
    pub fn from_partial(answer: Answer) -> Result<Piece, ApiError> {
        let range = answer
            .headers
            .get(CONTENT_RANGE)
            .and_then(|value| value.to_str().ok())
            .and_then(ContentRange::parse)
            .ok_or(ApiError::OutcomeUnknown)?;
        if range.bytes.end - range.bytes.start != answer.body.len() as u64 {
            return Err(ApiError::OutcomeUnknown);
        }
        Ok(Piece { answer, range })
    }

    /// Cuts the requested range from an answer that contains the complete object.
    pub fn from_complete(mut answer: Answer, requested: ByteRange) -> Result<Piece, ApiError> {
        let size = answer.body.len() as u64;
        if size == 0 {
            return Err(ApiError::InvalidRange(Some(0)));
        }
        let bytes = requested
            .within(size)
            .ok_or(ApiError::InvalidRange(Some(size)))?;
        answer.body = answer.body.slice(bytes.start as usize..bytes.end as usize);
        let range = ContentRange { bytes, size };
        Ok(Piece { answer, range })
    }

    /// Creates the only piece of an empty object.
    pub fn from_empty_object(answer: Answer) -> Piece {
        let range = ContentRange {
            bytes: 0..0,
            size: 0,
        };
        Piece { answer, range }
    }
}

/// Returns a range of at most [`MAX_PIECE_BYTES`] bytes that starts at `first` and does not extend
/// beyond `last`.
pub(super) fn piece_range(first: u64, last: Option<u64>) -> ByteRange {
    let last_of_piece = first.saturating_add(MAX_PIECE_BYTES - 1);
    let last = last.map_or(last_of_piece, |last| last.min(last_of_piece));
    ByteRange::From(first, Some(last))
}
