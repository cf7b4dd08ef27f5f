//! Pieces of objects: an object is read in requests of a limited size.

use hyper::header::CONTENT_RANGE;

use super::error::ApiError;
use super::range::{ByteRange, ContentRange};
use crate::limits::MAX_BUFFERED_BODY_BYTES;
use crate::upstream::Answer;

/// The most bytes that are read from a chunk server in one request.
pub(super) const MAX_PIECE_BYTES: u64 = MAX_BUFFERED_BODY_BYTES as u64;

/// A piece of an object, as a chunk server gave it.
pub(super) struct Piece {
    /// The answer, with the piece for its body.
    pub answer: Answer,
    /// The part of the object that the piece is.
    pub range: ContentRange,
}

impl Piece {
    /// The piece in a 206 answer, whose range and length must agree.
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

    /// The requested range of an answer that has the complete object.
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

    /// The one piece of an empty object.
    pub fn of_empty_object(answer: Answer) -> Piece {
        let range = ContentRange {
            bytes: 0..0,
            size: 0,
        };
        Piece { answer, range }
    }
}

/// A range of at most [`MAX_PIECE_BYTES`] bytes from `first` on, and no further than `last`.
pub(super) fn piece_range(first: u64, last: Option<u64>) -> ByteRange {
    let last_of_piece = first.saturating_add(MAX_PIECE_BYTES - 1);
    let last = last.map_or(last_of_piece, |last| last.min(last_of_piece));
    ByteRange::From(first, Some(last))
}
