//! Declarations of fronts in etcd, through its v3 JSON gateway: the keys under a prefix are listed
//! at a revision and watched from the next one on, and listed again after a compaction or a lost
//! connection.

use std::net::SocketAddr;
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use hyper::{Method, StatusCode};
use simd_json::prelude::*;
use simd_json::{json, OwnedValue as Value};
use tokio::sync::mpsc::Sender;
use tokio::time::{sleep, timeout, Instant};

use crate::config::json::{self, array, string, JsonError};
use crate::control::agent::declaration::Declarations;
use crate::control::http_client::{call, CallResponse, CallTimeouts, HttpError};
use crate::control::json_stream::Message;
use crate::telemetry::log::log;

const CALL_TIMEOUTS: CallTimeouts = CallTimeouts {
    connect: Duration::from_secs(2),
    response: Duration::from_secs(5),
};
/// The longest time for the body of a page of the list.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// A watch sends nothing while nothing changes. After this time without a message it is opened
/// again, since its connection may have died unnoticed.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Keys on one page of the list.
const PAGE_SIZE: usize = 500;
/// The pause before the first retry. It doubles with each, until a watch has lasted for
/// [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// The longest pause before a retry.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Why the declarations cannot be followed.
#[derive(Debug, thiserror::Error)]
pub enum EtcdError {
    /// A call failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// A value of a response is missing or invalid.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// A value of a response is not in base64.
    #[error("'{key}' is not base64: {source}")]
    Base64 {
        /// The key of the value.
        key: String,
        /// Why it cannot be decoded.
        source: base64::DecodeError,
    },
    /// Etcd rejected the request for the list.
    #[error("the list was answered {status}: {body}")]
    ListStatus {
        /// The status of its response.
        status: StatusCode,
        /// The body of its response.
        body: String,
    },
    /// Etcd rejected the request for the watch.
    #[error("the watch was answered {0}")]
    WatchStatus(StatusCode),
    /// The list has no revision.
    #[error("the list has no revision")]
    NoRevision,
    /// The watch reports an error.
    #[error("the watch failed: {0}")]
    WatchFailed(String),
    /// A message of the watch lacks its content.
    #[error("a message of the watch has no result")]
    NoResult,
    /// The watch was cancelled, for example because its revision has been compacted.
    #[error("the watch was cancelled; listing anew")]
    WatchCancelled,
    /// An event of the watch lacks the key that it is about.
    #[error("an event has no key")]
    NoKey,
    /// The receiver of the declarations is gone.
    #[error("nobody listens")]
    ReceiverClosed,
}

/// A prefix of keys in etcd. The rest of a key is the name of a front, its value the declaration.
pub struct EtcdPrefix {
    /// The address of etcd's JSON gateway.
    pub address: SocketAddr,
    /// The prefix.
    pub prefix: String,
}

/// All declarations under the prefix as of one revision.
struct Listing {
    declarations: Declarations,
    revision: i64,
}

impl EtcdPrefix {
    /// Sends all declarations, at first and after each change, until the receiver is gone.
    pub async fn follow(&self, sender: Sender<Declarations>) {
        let mut backoff = MIN_BACKOFF;
        while !sender.is_closed() {
            let started = Instant::now();
            if let Err(error) = self.list_and_watch(&sender).await {
                log!("etcd: {error}");
            }
            if started.elapsed() >= MAX_BACKOFF {
                backoff = MIN_BACKOFF;
            }
            // With jitter, since many agents lose the same etcd at the same moment.
            sleep(backoff.mul_f64(0.5 + fastrand::f64())).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    async fn list_and_watch(&self, sender: &Sender<Declarations>) -> Result<(), EtcdError> {
        let mut listing = self.list().await?;
        send(sender, &listing.declarations).await?;
        loop {
            let watch = self.open_watch(listing.revision).await?;
            // Returns once the watch is idle. Nothing is missed: the next one begins where this one
            // ended.
            self.read_watch(watch, &mut listing, sender).await?;
        }
    }

    async fn open_watch(&self, revision: i64) -> Result<CallResponse, EtcdError> {
        let request = json!({"create_request": {
            "key": STANDARD.encode(&self.prefix), "range_end": STANDARD.encode(range_end(&self.prefix)),
            "start_revision": (revision + 1).to_string(), "progress_notify": true,
        }});
        let watch = call(
            self.address,
            Method::POST,
            "/v3/watch",
            request.encode(),
            CALL_TIMEOUTS,
        )
        .await?;
        match watch.status {
            StatusCode::OK => Ok(watch),
            status => Err(EtcdError::WatchStatus(status)),
        }
    }

    /// Applies the events of a watch to the listing, and sends it after each change, until no
    /// message has come for [`WATCH_IDLE_TIMEOUT`].
    async fn read_watch(
        &self,
        mut watch: CallResponse,
        listing: &mut Listing,
        sender: &Sender<Declarations>,
    ) -> Result<(), EtcdError> {
        loop {
            let Ok(message) = timeout(WATCH_IDLE_TIMEOUT, watch.next_message()).await else {
                return Ok(());
            };
            let Message::Json(line) = message? else {
                continue;
            };
            let value = json::parse(&line)?;
            let result = watch_result(&value)?;
            if let Some(revision) = header_revision(result) {
                listing.revision = listing.revision.max(revision);
            }
            let events = result.get("events").and_then(Value::as_array);
            for event in events.into_iter().flatten() {
                self.apply(event, &mut listing.declarations)?;
            }
            if events.is_some_and(|events| !events.is_empty()) {
                send(sender, &listing.declarations).await?;
            }
        }
    }

    /// Lists all keys under the prefix as of one revision, page by page.
    async fn list(&self) -> Result<Listing, EtcdError> {
        let mut listing = Listing {
            declarations: Declarations::new(),
            revision: 0,
        };
        let mut first_key = self.prefix.as_bytes().to_vec();
        loop {
            let value = self.read_page(&first_key, listing.revision).await?;
            if listing.revision == 0 {
                listing.revision = header_revision(&value).ok_or(EtcdError::NoRevision)?;
            }
            // The gateway leaves out fields that are empty.
            let pairs = if value.get("kvs").is_some() {
                array(&value, "kvs")?.as_slice()
            } else {
                &[]
            };
            for pair in pairs {
                let key = decode(pair, "key")?;
                if let Some(name) = self.front_name(&key) {
                    listing
                        .declarations
                        .insert(name, decode(pair, "value").unwrap_or_default());
                }
                first_key = [key.as_slice(), &[0]].concat();
            }
            if pairs.is_empty() || value.get("more").and_then(Value::as_bool) != Some(true) {
                return Ok(listing);
            }
        }
    }

    /// One page of the list at a revision, or at the current one where that is 0.
    async fn read_page(&self, first_key: &[u8], revision: i64) -> Result<Value, EtcdError> {
        let request = json!({
            "key": STANDARD.encode(first_key), "range_end": STANDARD.encode(range_end(&self.prefix)),
            "limit": PAGE_SIZE.to_string(), "revision": revision.to_string(),
        });
        let path = "/v3/kv/range";
        let response = call(
            self.address,
            Method::POST,
            path,
            request.encode(),
            CALL_TIMEOUTS,
        )
        .await?;
        let status = response.status;
        let body = response.read_all(BODY_TIMEOUT).await?;
        if status != StatusCode::OK {
            let body = String::from_utf8_lossy(&body).into_owned();
            return Err(EtcdError::ListStatus { status, body });
        }
        Ok(json::parse(&body)?)
    }

    fn apply(&self, event: &Value, declarations: &mut Declarations) -> Result<(), EtcdError> {
        let pair = event.get("kv").ok_or(EtcdError::NoKey)?;
        let Some(name) = self.front_name(&decode(pair, "key")?) else {
            return Ok(());
        };
        match event.get("type").and_then(Value::as_str).unwrap_or("PUT") {
            "DELETE" => declarations.remove(&name),
            _ => declarations.insert(name, decode(pair, "value").unwrap_or_default()),
        };
        Ok(())
    }

    fn front_name(&self, key: &[u8]) -> Option<String> {
        let name = std::str::from_utf8(key).ok()?.strip_prefix(&self.prefix)?;
        (!name.is_empty()).then(|| name.to_owned())
    }
}

async fn send(sender: &Sender<Declarations>, declarations: &Declarations) -> Result<(), EtcdError> {
    sender
        .send(declarations.clone())
        .await
        .map_err(|_| EtcdError::ReceiverClosed)
}

/// The content of a message of the watch.
fn watch_result(message: &Value) -> Result<&Value, EtcdError> {
    if let Some(error) = message.get("error") {
        return Err(EtcdError::WatchFailed(error.encode()));
    }
    let result = message.get("result").ok_or(EtcdError::NoResult)?;
    match result.get("canceled").and_then(Value::as_bool) {
        Some(true) => Err(EtcdError::WatchCancelled),
        _ => Ok(result),
    }
}

/// The revision in the header of a message.
fn header_revision(message: &Value) -> Option<i64> {
    integer(message.get("header")?.get("revision"))
}

/// The first key past all that begin with the prefix.
fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// An integer, which the gateway writes as a string where it has 64 bits.
fn integer(value: Option<&Value>) -> Option<i64> {
    let value = value?;
    value.as_i64().or_else(|| value.as_str()?.parse().ok())
}

/// The bytes under `key`, which the gateway writes in base64.
fn decode(pair: &Value, key: &str) -> Result<Vec<u8>, EtcdError> {
    let invalid = |source| EtcdError::Base64 {
        key: key.to_owned(),
        source,
    };
    STANDARD
        .decode(string(pair.get(key), key)?)
        .map_err(invalid)
}
