//! Reads of one object from its shard, piece by piece.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::try_unfold;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::header::{HeaderMap, HeaderValue, ETAG, IF_MATCH, RANGE};
use hyper::{Method, StatusCode};
use tokio::time::sleep;

use super::answer::NotFound;
use super::error::ApiError;
use super::locate::{locate, ReadSource};
use super::piece::{piece_range, Piece, MAX_PIECE_BYTES};
use super::range::ByteRange;
use super::request::ObjectRequest;
use super::server_client::ServerClient;
use super::server_request::ServerRequest;
use crate::frontend::replies::StreamedReplyBody;
use crate::upstream::Answer;

/// Maximum time from the first read of a piece to its last repetition. Others wait as long for a
/// chunk server in the middle of a response.
const PIECE_TIMEOUT: Duration = Duration::from_secs(8);
/// Minimum time before a rejected read of a piece is repeated.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A read of one object for one API request.
pub(super) struct ObjectRead {
    client: Rc<ServerClient>,
    request: ObjectRequest,
    source: ReadSource,
}

impl ObjectRead {
    /// Locates the object that `request` names and prepares to read it.
    pub(super) async fn start(
        client: &Rc<ServerClient>,
        request: ObjectRequest,
    ) -> Result<ObjectRead, ApiError> {
        Ok(ObjectRead {
            source: locate(client, &request).await?,
            client: Rc::clone(client),
            request,
        })
    }

    /// Returns the version id that the client sent, if any.
    pub(super) fn requested_version(&self) -> Option<HeaderValue> {
        self.source.version_id.clone()
    }

    /// Returns the range that the client requested, if it sent a valid one.
    pub(super) fn requested_range(&self) -> Option<ByteRange> {
        let header = self.request.headers.get(RANGE)?;
        header.to_str().ok().and_then(ByteRange::parse)
    }

    /// Reads the headers of the object, subject to the client's conditions.
    pub(super) async fn head(&self) -> Result<Answer, ApiError> {
        self.send(Method::HEAD, self.request.conditions()).await
    }

    /// Reads the first piece of a range, or of the complete object, subject to the client's
    /// conditions.
    pub(super) async fn first_piece(&self, range: Option<ByteRange>) -> Result<Piece, ApiError> {
        let first_range = match range {
            None => piece_range(0, None),
            Some(ByteRange::From(first, last)) => piece_range(first, last),
            Some(ByteRange::Last(count)) if count <= MAX_PIECE_BYTES => ByteRange::Last(count),
            Some(ByteRange::Last(count)) => {
                let size = self.size().await?;
                piece_range(size.saturating_sub(count), None)
            }
        };
        let piece = self.piece(first_range, self.request.conditions()).await;
        if range.is_none() && matches!(piece, Err(ApiError::InvalidRange(Some(0)))) {
            return self.empty_object().await;
        }
        piece
    }

    /// Reads the size of the object in bytes, by a request for its last byte.
    async fn size(&self) -> Result<u64, ApiError> {
        let last_byte = ByteRange::Last(1);
        let piece = self.piece(last_byte, self.request.conditions()).await?;
        Ok(piece.range.size)
    }

    /// Reads an empty object without a range, since no range of it is valid. The client must not
    /// have requested one.
    async fn empty_object(&self) -> Result<Piece, ApiError> {
        let answer = self.send(Method::GET, self.request.conditions()).await?;
        Ok(Piece::from_empty_object(answer))
    }

    /// Reads a range of at most [`MAX_PIECE_BYTES`] bytes. A chunk server that does not support
    /// ranges returns the complete object, from which the range is then cut.
    async fn piece(&self, range: ByteRange, mut headers: HeaderMap) -> Result<Piece, ApiError> {
        let value = HeaderValue::try_from(range.to_string());
        headers.insert(RANGE, value.map_err(|_| ApiError::OutcomeUnknown)?);
        let answer = self.send(Method::GET, headers).await?;
        if answer.status == StatusCode::PARTIAL_CONTENT {
            Piece::from_partial(answer)
        } else {
            Piece::from_complete(answer, range)
        }
    }

    /// Sends a request for the object to its shard, with the mean units of a request.
    async fn send(&self, method: Method, headers: HeaderMap) -> Result<Answer, ApiError> {
        let server_request = ServerRequest {
            shard: Some(self.source.shard),
            query: self.source.query.clone(),
            headers,
            units: self.client.mean_units(),
            ..ServerRequest::new(self.request.bucket.read_class, method)
        };
        let answer = self.client.send(&self.request, server_request).await?;
        answer.into_success(NotFound::Key)
    }

    /// Streams the first piece and the rest of the object up to `end`. Every piece is read by a
    /// request with a deadline of its own, once the client has taken the one before. If one fails,
    /// the response is aborted, and the client detects the truncation by the announced length.
    ///
    /// Dropping the body, which is what becomes of the response to a client that has closed its
    /// connection, cancels the read of the present piece.
    pub(super) fn stream(mut self, first: Piece, end: u64) -> StreamedReplyBody {
        self.request.continues_response = true;
        let pieces = PieceReader::new(self, first, end);
        Box::pin(StreamBody::new(try_unfold(pieces, PieceReader::next)))
    }
}

/// Reads an object piece by piece for a response that has begun.
struct PieceReader {
    read: ObjectRead,
    /// Makes the reads fail if the object changes between the pieces.
    conditions: HeaderMap,
    /// The first piece, until it is taken.
    first: Option<Bytes>,
    /// The size of the object in bytes.
    size: u64,
    /// The position after the last piece.
    position: u64,
    /// The position at which the response ends.
    end: u64,
}

impl PieceReader {
    fn new(read: ObjectRead, first: Piece, end: u64) -> PieceReader {
        let mut conditions = HeaderMap::new();
        if let Some(tag) = first.answer.headers.get(ETAG) {
            conditions.insert(IF_MATCH, tag.clone());
        }
        PieceReader {
            read,
            conditions,
            size: first.range.size,
            position: first.range.bytes.end,
            first: Some(first.answer.body),
            end,
        }
    }

    /// Returns the next piece and the reader of those after it; `None` after the last one.
    async fn next(mut self) -> io::Result<Option<(Frame<Bytes>, PieceReader)>> {
        if let Some(first) = self.first.take() {
            return Ok(Some((Frame::data(first), self)));
        }
        if self.position >= self.end {
            return Ok(None);
        }
        let piece = self.read_piece().await.map_err(io::Error::other)?;
        let range = piece.range;
        if range.bytes.start != self.position || range.size != self.size {
            return Err(io::Error::other("a piece has another range than requested"));
        }
        self.position = range.bytes.end;
        Ok(Some((Frame::data(piece.answer.body), self)))
    }

    /// Reads the piece at the present position. A read that was rejected is repeated, since the
    /// response has begun and only its end can be refused any more.
    async fn read_piece(&mut self) -> Result<Piece, ApiError> {
        let give_up_at = Instant::now() + PIECE_TIMEOUT;
        loop {
            let read_class = self.read.request.bucket.read_class;
            self.read.request.deadline = Instant::now() + self.read.client.deadline(read_class);
            let range = piece_range(self.position, Some(self.end - 1));
            match self.read.piece(range, self.conditions.clone()).await {
                Err(ApiError::SlowDown(retry_after)) if Instant::now() < give_up_at => {
                    sleep(retry_after.max(MIN_RETRY_DELAY)).await;
                }
                result => return result,
            }
        }
    }
}
