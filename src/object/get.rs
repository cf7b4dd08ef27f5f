//! Reading objects: GetObject with ranges, HeadObject, and finding the shard that stores an object.

use std::io;
use std::rc::Rc;
use std::time::{Instant, SystemTime};

use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use http_body_util::{Either, Full};
use hyper::header::{
    HeaderMap, HeaderValue, ACCEPT_RANGES, CONTENT_LENGTH, CONTENT_RANGE, ETAG, IF_MATCH,
    LAST_MODIFIED, RANGE,
};
use hyper::{Method, StatusCode};
use tulipbridge_core::ShardId;

use super::error::ApiError;
use super::front_state::FrontState;
use super::node_request::{encode_query_value, NodeRequest};
use super::range::{ByteRange, ContentRange};
use super::replies::{copy_header, empty, VERSION_ID};
use super::request::{select_headers, ObjectRequest, VersionId};
use crate::frontend::replies::Reply;
use crate::limits::MAX_BODY;
use crate::upstream::Answer;

/// Headers of a chunk server's answer that describe an object, besides those with metadata of the
/// user.
const DESCRIBING_HEADERS: [&str; 8] = [
    "content-type",
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "expires",
    "etag",
    "last-modified",
];
/// The most bytes that are read from a chunk server in one request.
const MAX_PIECE_BYTES: u64 = MAX_BODY as u64;
/// Pieces of an object that are read ahead of a slow client.
const PIECES_READ_AHEAD: usize = 1;

/// Where an object is read from.
struct ReadSource {
    shard: ShardId,
    /// Query that names the version; empty for the latest.
    query: String,
    /// The version id as the client gave it.
    version_id: Option<HeaderValue>,
}

/// A piece of an object, as a chunk server gave it.
struct Piece {
    answer: Answer,
    range: ContentRange,
}

impl FrontState {
    /// HeadObject.
    pub(super) async fn head(self: &Rc<Self>, request: ObjectRequest) -> Result<Reply, ApiError> {
        let source = self.read_source(&request).await?;
        let node = self.read_request(&request, &source, Method::HEAD, request.conditions());
        let answer = self.send(&request, node).await?.into_success("NoSuchKey")?;
        let mut reply = empty(StatusCode::OK);
        describe(&answer, source.version_id, reply.headers_mut())?;
        copy_header(&answer.headers, &CONTENT_LENGTH, reply.headers_mut());
        Ok(reply)
    }

    /// GetObject. An object larger than one piece is streamed.
    pub(super) async fn get(self: &Rc<Self>, request: ObjectRequest) -> Result<Reply, ApiError> {
        let source = self.read_source(&request).await?;
        let range = request
            .headers
            .get(RANGE)
            .and_then(|value| value.to_str().ok())
            .and_then(ByteRange::parse);
        let piece = self.first_piece(&request, &source, range).await?;
        let size = piece.range.size;
        let selected = match range {
            Some(range) => range
                .within(size)
                .ok_or(ApiError::InvalidRange(Some(size)))?,
            None => 0..size,
        };
        // A chunk server that returned another range than the one requested cannot be used.
        let received = piece.range.bytes.clone();
        if received.start != selected.start || received.end > selected.end {
            return Err(ApiError::OutcomeUnknown);
        }
        let mut reply = empty(if range.is_some() {
            StatusCode::PARTIAL_CONTENT
        } else {
            StatusCode::OK
        });
        let headers = reply.headers_mut();
        describe(&piece.answer, source.version_id.clone(), headers)?;
        headers.insert(
            CONTENT_LENGTH,
            HeaderValue::from(selected.end - selected.start),
        );
        if range.is_some() {
            let value = format!("bytes {}-{}/{size}", selected.start, selected.end - 1);
            headers.insert(
                CONTENT_RANGE,
                HeaderValue::try_from(value).map_err(|_| ApiError::OutcomeUnknown)?,
            );
        }
        *reply.body_mut() = if received.end == selected.end {
            Either::Left(Full::new(piece.answer.body))
        } else {
            Either::Right(self.stream(request, source, piece, selected.end))
        };
        Ok(reply)
    }

    /// The shard and version that a request reads.
    async fn read_source(self: &Rc<Self>, request: &ObjectRequest) -> Result<ReadSource, ApiError> {
        let VersionId { shard, own } = match request.version()? {
            Some(version) => version,
            None => VersionId {
                shard: self.find_shard(request).await?,
                own: String::new(),
            },
        };
        let query = if own.is_empty() {
            own
        } else {
            format!("versionId={}", encode_query_value(&own))
        };
        let version_id = request
            .query
            .get("versionId")
            .and_then(|id| HeaderValue::try_from(id).ok());
        Ok(ReadSource {
            shard,
            query,
            version_id,
        })
    }

    /// A request of average size to the shard of `source`.
    fn read_request(
        &self,
        request: &ObjectRequest,
        source: &ReadSource,
        method: Method,
        headers: HeaderMap,
    ) -> NodeRequest {
        NodeRequest {
            shard: Some(source.shard),
            query: source.query.clone(),
            headers,
            units: self.mean_units,
            ..NodeRequest::new(request.bucket.read_class, method)
        }
    }

    /// Reads the first piece of a range, or of the whole object.
    async fn first_piece(
        &self,
        request: &ObjectRequest,
        source: &ReadSource,
        range: Option<ByteRange>,
    ) -> Result<Piece, ApiError> {
        let first_range = match range {
            None => piece_range(0, None),
            Some(ByteRange::From(first, last)) => piece_range(first, last),
            Some(ByteRange::Last(count)) if count <= MAX_PIECE_BYTES => format!("bytes=-{count}"),
            Some(ByteRange::Last(count)) => {
                // A request for the last byte returns the size, and so the start of such a range.
                let last_byte = "bytes=-1".to_owned();
                let piece = self
                    .read_piece(request, source, last_byte, request.conditions())
                    .await?;
                piece_range(piece.range.size.saturating_sub(count), None)
            }
        };
        let piece = self
            .read_piece(request, source, first_range, request.conditions())
            .await;
        if range.is_none() && matches!(piece, Err(ApiError::InvalidRange(Some(0)))) {
            return self.read_empty(request, source).await;
        }
        piece
    }

    /// Reads an empty object: no range of it is valid, and the client has not requested one.
    async fn read_empty(
        &self,
        request: &ObjectRequest,
        source: &ReadSource,
    ) -> Result<Piece, ApiError> {
        let node = self.read_request(request, source, Method::GET, request.conditions());
        let answer = self.send(request, node).await?.into_success("NoSuchKey")?;
        Ok(Piece {
            answer,
            range: ContentRange {
                bytes: 0..0,
                size: 0,
            },
        })
    }

    /// Reads a range of at most [`MAX_PIECE_BYTES`] bytes. A chunk server that does not support
    /// ranges returns the whole object, from which the range is cut.
    async fn read_piece(
        &self,
        request: &ObjectRequest,
        source: &ReadSource,
        range: String,
        mut headers: HeaderMap,
    ) -> Result<Piece, ApiError> {
        headers.insert(
            RANGE,
            HeaderValue::try_from(&range).map_err(|_| ApiError::OutcomeUnknown)?,
        );
        let node = self.read_request(request, source, Method::GET, headers);
        let answer = self.send(request, node).await?.into_success("NoSuchKey")?;
        if answer.status == StatusCode::PARTIAL_CONTENT {
            partial_piece(answer)
        } else {
            piece_of_complete_object(answer, &range)
        }
    }

    /// Streams the rest of an object, up to `end`, after its first piece. Every piece is a request
    /// with a deadline of its own. Where one fails the response is cut off, and its length shows
    /// the client that it is truncated.
    fn stream(
        self: &Rc<Self>,
        request: ObjectRequest,
        source: ReadSource,
        first: Piece,
        end: u64,
    ) -> Channel<Bytes, io::Error> {
        let (sender, body) = Channel::new(PIECES_READ_AHEAD);
        let front = Rc::clone(self);
        tokio::task::spawn_local(async move {
            front.send_pieces(request, source, first, end, sender).await
        });
        body
    }

    async fn send_pieces(
        &self,
        mut request: ObjectRequest,
        source: ReadSource,
        first: Piece,
        end: u64,
        mut sender: Sender<Bytes, io::Error>,
    ) {
        // The object must not change between the pieces.
        let mut headers = HeaderMap::new();
        if let Some(tag) = first.answer.headers.get(ETAG) {
            headers.insert(IF_MATCH, tag.clone());
        }
        let size = first.range.size;
        let mut position = first.range.bytes.end;
        let mut bytes = first.answer.body;
        // An error here means that the client is gone.
        while sender.send_data(bytes).await.is_ok() && position < end {
            request.deadline = Instant::now() + self.deadlines[request.bucket.read_class];
            let range = piece_range(position, Some(end - 1));
            match self
                .read_piece(&request, &source, range, headers.clone())
                .await
            {
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

    /// Finds the shard with the latest version of an object by asking all of them.
    async fn find_shard(self: &Rc<Self>, request: &ObjectRequest) -> Result<ShardId, ApiError> {
        let mut latest: Option<(SystemTime, ShardId)> = None;
        let mut failure = None;
        for shard in self.send_to_all_shards(request, Method::HEAD).await {
            match shard.result {
                Ok(answer) => latest = latest.max(Some((modified_at(&answer), shard.shard))),
                Err(error) if error.is_not_found() => {}
                Err(error) => failure = Some(error),
            }
        }
        match (latest, failure) {
            (Some((_, shard)), _) => Ok(shard),
            // The object may be at a shard that did not answer.
            (None, Some(error)) => Err(error.of_read(self.deadlines[request.bucket.read_class])),
            (None, None) => Err(ApiError::request(
                StatusCode::NOT_FOUND,
                "NoSuchKey",
                "No shard holds the key.",
            )),
        }
    }
}

/// A `Range` header of at most [`MAX_PIECE_BYTES`] bytes from `first` on, and no further than
/// `last`.
fn piece_range(first: u64, last: Option<u64>) -> String {
    let last_of_piece = first.saturating_add(MAX_PIECE_BYTES - 1);
    let last = last.map_or(last_of_piece, |last| last.min(last_of_piece));
    format!("bytes={first}-{last}")
}

/// The piece in a 206 answer, whose range and length must agree.
fn partial_piece(answer: Answer) -> Result<Piece, ApiError> {
    let range = answer
        .headers
        .get(CONTENT_RANGE)
        .and_then(|value| value.to_str().ok());
    let range = range
        .and_then(ContentRange::parse)
        .ok_or(ApiError::OutcomeUnknown)?;
    if range.bytes.end - range.bytes.start != answer.body.len() as u64 {
        return Err(ApiError::OutcomeUnknown);
    }
    Ok(Piece { answer, range })
}

/// The requested range of an answer that has the complete object.
fn piece_of_complete_object(mut answer: Answer, requested: &str) -> Result<Piece, ApiError> {
    let size = answer.body.len() as u64;
    if size == 0 {
        return Err(ApiError::InvalidRange(Some(0)));
    }
    let within = ByteRange::parse(requested).and_then(|range| range.within(size));
    let bytes = within.ok_or(ApiError::InvalidRange(Some(size)))?;
    answer.body = answer.body.slice(bytes.start as usize..bytes.end as usize);
    Ok(Piece {
        answer,
        range: ContentRange { bytes, size },
    })
}

/// When an object was modified; the Unix epoch where the answer has no date.
fn modified_at(answer: &Answer) -> SystemTime {
    let value = answer
        .headers
        .get(LAST_MODIFIED)
        .and_then(|value| value.to_str().ok());
    let time = value.and_then(|value| httpdate::parse_http_date(value).ok());
    time.unwrap_or(SystemTime::UNIX_EPOCH)
}

/// Adds the headers that describe an object. A chunk server that does not name the version has read
/// the one that was requested.
fn describe(
    answer: &Answer,
    requested: Option<HeaderValue>,
    to: &mut HeaderMap,
) -> Result<(), ApiError> {
    to.extend(select_headers(&answer.headers, &DESCRIBING_HEADERS));
    to.insert(ACCEPT_RANGES, HeaderValue::from_static("bytes"));
    let version_id = match requested.filter(|_| !answer.headers.contains_key(VERSION_ID)) {
        Some(requested) => requested,
        None => answer.version_id()?,
    };
    to.insert(VERSION_ID, version_id);
    Ok(())
}
