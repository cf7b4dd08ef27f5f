//! Reads of one object from its shard, piece by piece.

use std::io;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use hyper::header::{HeaderMap, HeaderValue, ETAG, IF_MATCH, RANGE};
use hyper::{Method, StatusCode};
use tokio::task::spawn_local;

use super::answer::NotFound;
use super::error::ApiError;
use super::locate::{locate, ReadSource};
use super::piece::{piece_range, Piece, MAX_PIECE_BYTES};
use super::range::ByteRange;
use super::request::ObjectRequest;
use super::server_client::ServerClient;
use super::server_request::ServerRequest;
use crate::upstream::Answer;

/// Capacity of the channel to the client, in pieces: how far reading runs ahead of a slow client.
const PIECES_READ_AHEAD: usize = 1;

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
    /// request with a deadline of its own. If one fails, the response is aborted, and the client
    /// detects the truncation by the announced length.
    ///
    /// The task that reads the pieces ends after the last one, or when the client has closed its
    /// connection.
    pub(super) fn stream(self, first: Piece, end: u64) -> Channel<Bytes, io::Error> {
        let (sender, body) = Channel::new(PIECES_READ_AHEAD);
        spawn_local(self.send_pieces(first, end, sender));
        body
    }

    /// Sends the first piece to the client, then reads and sends the following ones up to `end`.
    async fn send_pieces(mut self, first: Piece, end: u64, mut sender: Sender<Bytes, io::Error>) {
        // Makes the following reads fail if the object changes between the pieces.
        let mut headers = HeaderMap::new();
        if let Some(tag) = first.answer.headers.get(ETAG) {
            headers.insert(IF_MATCH, tag.clone());
        }
        let size = first.range.size;
        let mut position = first.range.bytes.end;
        let mut bytes = first.answer.body;
        // An error here means that the client has closed its connection.
        while sender.send_data(bytes).await.is_ok() && position < end {
            let read_class = self.request.bucket.read_class;
            self.request.deadline = Instant::now() + self.client.deadline(read_class);
            let range = piece_range(position, Some(end - 1));
            match self.piece(range, headers.clone()).await {
                Ok(next) if next.range.bytes.start == position && next.range.size == size => {
                    position = next.range.bytes.end;
                    bytes = next.answer.body;
                }
                _ => {
                    sender.abort(io::Error::other("a piece cannot be had"));
                    return;
                }
            }
        }
    }
}
