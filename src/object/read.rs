//! Reading and removing objects: ranges, and objects larger than one answer of a node.

use std::io;
use std::rc::Rc;
use std::time::{Instant, SystemTime};

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{Either, Full};
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, ACCEPT_RANGES, CONTENT_LENGTH, CONTENT_RANGE, ETAG, IF_MATCH,
    IF_MODIFIED_SINCE, IF_NONE_MATCH, IF_UNMODIFIED_SINCE, LAST_MODIFIED, RANGE,
};
use hyper::{Method, StatusCode};
use tokio::task::JoinSet;

use super::range::{content_range, Range};
use super::{
    copy, empty, encoded, not_implemented, said, Answer, Asked, Fault, Front, Reply, Step, VERSION_ID,
};
use tulipbridge_core::CellId;

use crate::upstream::MAX_BODY;

/// What of a node's answer describes an object, besides the `x-amz-meta-` headers.
const DESCRIBED: [&str; 8] = [
    "content-type",
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "expires",
    "etag",
    "last-modified",
];
const CONDITIONS: [HeaderName; 4] = [IF_MATCH, IF_NONE_MATCH, IF_MODIFIED_SINCE, IF_UNMODIFIED_SINCE];
/// Pieces that are read ahead of a slow client.
const AHEAD: usize = 1;

/// A piece of an object, as a node gave it.
struct Piece {
    answer: Answer,
    first: u64,
    end: u64,
    size: u64,
}

impl Front {
    pub(super) async fn get(self: &Rc<Self>, asked: Asked, method: Method) -> Result<Reply, Fault> {
        let (cell, version) = match asked.version()? {
            Some(told) => told,
            None => (self.locate(&asked).await?, String::new()),
        };
        let named = asked.query.get("versionId").and_then(|v| HeaderValue::try_from(v).ok());
        let query = if version.is_empty() { version } else { format!("versionId={}", encoded(&version)) };
        let conditions = || {
            let told = CONDITIONS.iter().filter_map(|n| Some((n.clone(), asked.headers.get(n)?.clone())));
            told.collect::<HeaderMap>()
        };
        if method == Method::HEAD {
            let step = self.reading(&asked, cell, Method::HEAD, query, conditions());
            let answer = self.step(&asked, step).await?.succeeded("NoSuchKey")?;
            let mut reply = empty(StatusCode::OK);
            describe(&answer, named, reply.headers_mut())?;
            copy(&answer.headers, &CONTENT_LENGTH, reply.headers_mut());
            return Ok(reply);
        }
        let range = asked.headers.get(RANGE).and_then(|v| v.to_str().ok()).and_then(Range::parse);
        let first = match range {
            Some(Range::Last(count)) if count > MAX_BODY as u64 => {
                // The end alone tells the size, and with it where such a range begins.
                let end = self.piece(&asked, cell, &query, "bytes=-1".to_owned(), conditions()).await?;
                end.size.saturating_sub(count)
            }
            Some(Range::From(first, _)) => first,
            _ => 0,
        };
        let told = match range {
            Some(Range::Last(count)) if count <= MAX_BODY as u64 => format!("bytes=-{count}"),
            Some(Range::From(first, Some(last))) => {
                format!("bytes={first}-{}", last.min(first.saturating_add(MAX_BODY as u64 - 1)))
            }
            _ => format!("bytes={first}-{}", first.saturating_add(MAX_BODY as u64 - 1)),
        };
        let piece = match self.piece(&asked, cell, &query, told, conditions()).await {
            // An object of no bytes has no first one, which a client that asked for all of it cannot mean.
            Err(Fault::Range(Some(0))) if range.is_none() => {
                let step = self.reading(&asked, cell, Method::GET, query.clone(), conditions());
                let answer = self.step(&asked, step).await?.succeeded("NoSuchKey")?;
                Piece { answer, first: 0, end: 0, size: 0 }
            }
            other => other?,
        };
        let (begin, end) = match range {
            Some(range) => range.within(piece.size).ok_or(Fault::Range(Some(piece.size)))?,
            None => (0, piece.size),
        };
        // A node that gave another piece than asked cannot be passed on.
        if piece.first != begin || piece.end > end {
            return Err(Fault::Uncertain);
        }
        let mut reply = empty(if range.is_some() { StatusCode::PARTIAL_CONTENT } else { StatusCode::OK });
        let headers = reply.headers_mut();
        describe(&piece.answer, named, headers)?;
        headers.insert(CONTENT_LENGTH, HeaderValue::from(end - begin));
        if range.is_some() {
            let told = format!("bytes {begin}-{}/{}", end - 1, piece.size);
            headers.insert(CONTENT_RANGE, HeaderValue::try_from(told).map_err(|_| Fault::Uncertain)?);
        }
        *reply.body_mut() = if piece.end == end {
            Either::Left(Full::new(piece.answer.body))
        } else {
            Either::Right(self.stream(asked, cell, query, piece, end))
        };
        Ok(reply)
    }

    fn reading(
        &self,
        asked: &Asked,
        cell: CellId,
        method: Method,
        query: String,
        headers: HeaderMap,
    ) -> Step {
        let (class, body, units) = (asked.bucket.read, Bytes::new(), self.unit_mean);
        Step { class, cell: Some(cell), method, query, headers, body, units }
    }

    /// Reads a range of one answer's size at most. Also takes a whole object from a node that knows no ranges.
    async fn piece(
        &self,
        asked: &Asked,
        cell: CellId,
        query: &str,
        range: String,
        mut headers: HeaderMap,
    ) -> Result<Piece, Fault> {
        headers.insert(RANGE, HeaderValue::try_from(&range).map_err(|_| Fault::Uncertain)?);
        let step = self.reading(asked, cell, Method::GET, query.to_owned(), headers);
        let mut answer = self.step(asked, step).await?.succeeded("NoSuchKey")?;
        if answer.status == StatusCode::PARTIAL_CONTENT {
            let told =
                answer.headers.get(CONTENT_RANGE).and_then(|v| v.to_str().ok()).and_then(content_range);
            let (first, end, size) = told.ok_or(Fault::Uncertain)?;
            if end - first != answer.body.len() as u64 {
                return Err(Fault::Uncertain);
            }
            return Ok(Piece { answer, first, end, size });
        }
        let size = answer.body.len() as u64;
        if size == 0 {
            return Err(Fault::Range(Some(0)));
        }
        let within = Range::parse(&range).and_then(|r| r.within(size));
        let (first, end) = within.ok_or(Fault::Range(Some(size)))?;
        answer.body = answer.body.slice(first as usize..end as usize);
        Ok(Piece { answer, first, end, size })
    }

    /// Passes on the rest of an object piece by piece, each a request of its own with a deadline of its own.
    /// Where one cannot be had, the answer breaks off, and its length shows the client that it is not whole.
    fn stream(
        self: &Rc<Self>,
        mut asked: Asked,
        cell: CellId,
        query: String,
        piece: Piece,
        end: u64,
    ) -> Channel<Bytes, io::Error> {
        let (mut sender, body) = Channel::new(AHEAD);
        let front = Rc::clone(self);
        tokio::task::spawn_local(async move {
            // The object must not change under way.
            let mut headers = HeaderMap::new();
            if let Some(tag) = piece.answer.headers.get(ETAG) {
                headers.insert(IF_MATCH, tag.clone());
            }
            let mut at = piece.end;
            let mut bytes = piece.answer.body;
            // An error here means that the client has gone.
            while sender.send_data(bytes).await.is_ok() && at < end {
                asked.until = Instant::now() + front.deadlines[asked.bucket.read];
                let range = format!("bytes={at}-{}", (at + MAX_BODY as u64).min(end) - 1);
                match front.piece(&asked, cell, &query, range, headers.clone()).await {
                    Ok(next) if next.first == at && next.size == piece.size => {
                        at = next.end;
                        bytes = next.answer.body;
                    }
                    _ => {
                        sender.abort(io::Error::other("a piece cannot be had"));
                        return;
                    }
                }
            }
        });
        body
    }

    /// Which shard holds the latest of a key, where no version id tells: all are asked at once.
    async fn locate(self: &Rc<Self>, asked: &Asked) -> Result<CellId, Fault> {
        let mut latest: Option<(SystemTime, CellId)> = None;
        let mut unknown = None;
        for (cell, found) in self.everywhere(asked, Method::HEAD).await {
            match found {
                Ok(answer) => {
                    let told = answer.headers.get(LAST_MODIFIED).and_then(|v| v.to_str().ok());
                    let changed = told.and_then(|t| httpdate::parse_http_date(t).ok());
                    latest = latest.max(Some((changed.unwrap_or(SystemTime::UNIX_EPOCH), cell)));
                }
                Err(Fault::Said(StatusCode::NOT_FOUND, ..)) => {}
                Err(fault) => unknown = Some(fault),
            }
        }
        match (latest, unknown) {
            (Some((_, cell)), _) => Ok(cell),
            // It may lie at one that did not answer. Reading runs nothing, so that is no doubt but a refusal.
            (None, Some(fault)) => Err(match fault {
                Fault::Uncertain => Fault::SlowDown(self.deadlines[asked.bucket.read]),
                other => other,
            }),
            (None, None) => Err(said(StatusCode::NOT_FOUND, "NoSuchKey", "No shard holds the key.")),
        }
    }

    /// The same at every shard.
    async fn everywhere(
        self: &Rc<Self>,
        asked: &Asked,
        method: Method,
    ) -> Vec<(CellId, Result<Answer, Fault>)> {
        let mut all = JoinSet::new();
        for cell in 0..self.shards {
            let (front, asked, method) = (Rc::clone(self), asked.clone(), method.clone());
            all.spawn_local(async move {
                let mut step = front.reading(&asked, cell, method, String::new(), HeaderMap::new());
                step.units = 1.0;
                let found = front.step(&asked, step).await;
                (cell, found.and_then(|answer| answer.succeeded("NoSuchKey")))
            });
        }
        let mut found = Vec::new();
        while let Some(one) = all.join_next().await {
            found.extend(one.ok());
        }
        found
    }

    pub(super) async fn delete(self: &Rc<Self>, asked: Asked) -> Result<Reply, Fault> {
        let gone = |found: Result<Answer, Fault>| match found {
            Ok(_) | Err(Fault::Said(StatusCode::NOT_FOUND, ..)) => Ok(()),
            Err(fault) => Err(fault),
        };
        match asked.version()? {
            Some((_, own)) if own.is_empty() => {
                return Err(not_implemented("The node that holds this keeps no versions."))
            }
            Some((cell, own)) => {
                let query = format!("versionId={}", encoded(&own));
                let step = self.reading(&asked, cell, Method::DELETE, query, HeaderMap::new());
                gone(self.step(&asked, step).await.and_then(|a| a.succeeded("NoSuchKey")))?;
            }
            // Older copies may lie at other shards, and would show once the latest is gone.
            None => {
                for (_, found) in self.everywhere(&asked, Method::DELETE).await {
                    gone(found)?;
                }
            }
        }
        Ok(empty(StatusCode::NO_CONTENT))
    }
}

/// What describes an object. A node that leaves out the version that was asked for has read that one.
fn describe(answer: &Answer, named: Option<HeaderValue>, to: &mut HeaderMap) -> Result<(), Fault> {
    let kept = |n: &HeaderName| DESCRIBED.contains(&n.as_str()) || n.as_str().starts_with("x-amz-meta-");
    to.extend(answer.headers.iter().filter(|(n, _)| kept(n)).map(|(n, v)| (n.clone(), v.clone())));
    to.insert(ACCEPT_RANGES, HeaderValue::from_static("bytes"));
    let version = match named.filter(|_| !answer.headers.contains_key(VERSION_ID)) {
        Some(named) => named,
        None => answer.version()?,
    };
    to.insert(VERSION_ID, version);
    Ok(())
}
