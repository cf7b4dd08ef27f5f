//! Follows the declarations of fronts in etcd through its v3 JSON gateway.
//!
//! The keys under a prefix are listed at a revision and watched from the next one on. They are
//! listed again after a compaction or a lost connection.

mod error;
mod messages;

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde::Serialize;
use simd_json::prelude::*;
use tokio::sync::mpsc::Sender;
use tokio::time::{sleep, timeout, Instant};

use crate::control::agent::declaration::Declarations;
use crate::control::agent::etcd::error::EtcdError;
use crate::control::agent::etcd::messages::{
    Base64Bytes, Event, EventType, RangeRequest, RangeResponse, WatchCreateRequest, WatchRequest,
    WatchResponse, WatchResult,
};
use crate::control::http_client::{call, CallResponse, CallTimeouts};
use crate::control::json_object;
use crate::control::json_stream::Message;
use crate::telemetry::log::log;

/// The path that lists a range of keys.
const RANGE_PATH: &str = "/v3/kv/range";
/// The path that opens a watch.
const WATCH_PATH: &str = "/v3/watch";
/// The timeouts of a call: for the connection, and for the start of the response.
const CALL_TIMEOUTS: CallTimeouts = CallTimeouts {
    connect: Duration::from_secs(2),
    response: Duration::from_secs(5),
};
/// The maximum time to read the body of one page of the list.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// The time without a message after which a watch is opened again. A watch may be silent because
/// nothing changes or because its connection has been lost unnoticed.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The maximum number of keys on one page of the list.
const PAGE_SIZE: usize = 500;
/// The backoff before the first retry. It doubles with each retry, and is reset once a list and
/// its watch have lasted for [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// The maximum backoff before a retry, without jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// The prefix of the keys in etcd that declare fronts. The rest of a key is the name of a front,
/// its value the declaration.
pub struct EtcdPrefix {
    /// The address of etcd's JSON gateway.
    pub address: SocketAddr,
    /// The common start of the keys.
    pub prefix: String,
}

/// All declarations under the prefix as of one revision.
#[derive(Default)]
struct Listing {
    declarations: Declarations,
    /// The revision of the declarations; 0 before the first page of the list has arrived.
    revision: i64,
}

impl EtcdPrefix {
    /// Sends all declarations, at first and after each change, until the receiver is closed.
    pub async fn follow(&self, sender: Sender<Declarations>) {
        let mut backoff = MIN_BACKOFF;
        while !sender.is_closed() {
            let started = Instant::now();
            if let Err(error) = self.list_and_watch(&sender).await {
                log!("agent: etcd: {error}");
            }
            if started.elapsed() >= MAX_BACKOFF {
                backoff = MIN_BACKOFF;
            }
            // The jitter spreads the retries of agents that lose the same etcd at the same moment.
            sleep(backoff.mul_f64(0.5 + fastrand::f64())).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Lists all declarations and watches for changes. Returns only on an error, after which the
    /// declarations must be listed again.
    async fn list_and_watch(&self, sender: &Sender<Declarations>) -> Result<(), EtcdError> {
        let mut listing = self.list().await?;
        send(sender, &listing.declarations).await?;
        loop {
            let watch = self.open_watch(listing.revision).await?;
            // Returns once the watch is idle. No change is missed, since the next watch begins at
            // the revision after the last one reported.
            self.read_watch(watch, &mut listing, sender).await?;
        }
    }

    /// Lists all keys under the prefix as of one revision, page by page.
    async fn list(&self) -> Result<Listing, EtcdError> {
        let mut listing = Listing::default();
        let mut first_key = self.prefix.as_bytes().to_vec();
        loop {
            let page = self.read_page(&first_key, listing.revision).await?;
            if listing.revision == 0 {
                listing.revision = page.revision().ok_or(EtcdError::MissingRevision)?;
            }
            let is_last = page.kvs.is_empty() || !page.more;
            for pair in page.kvs {
                if let Some(name) = self.front_name(&pair.key) {
                    listing.declarations.insert(name, pair.value.0);
                }
                first_key = next_key(pair.key.0);
            }
            if is_last {
                return Ok(listing);
            }
        }
    }

    /// Reads one page of the list at a revision; 0 means the current one.
    async fn read_page(&self, first_key: &[u8], revision: i64) -> Result<RangeResponse, EtcdError> {
        let request = RangeRequest {
            key: Base64Bytes(first_key.to_vec()),
            range_end: Base64Bytes(range_end(&self.prefix)),
            limit: PAGE_SIZE.to_string(),
            revision: revision.to_string(),
        };
        let response = self.post(RANGE_PATH, &request).await?;
        let status = response.status;
        let mut body = response.read_all(BODY_TIMEOUT).await?;
        if status != StatusCode::OK {
            let body = String::from_utf8_lossy(&body).into_owned();
            return Err(EtcdError::ListStatus { status, body });
        }
        Ok(json_object::parse(&mut body)?)
    }

    /// Opens a watch on the changes after a revision.
    async fn open_watch(&self, revision: i64) -> Result<CallResponse, EtcdError> {
        let first_revision = revision + 1;
        let request = WatchRequest {
            create_request: WatchCreateRequest {
                key: Base64Bytes(self.prefix.as_bytes().to_vec()),
                range_end: Base64Bytes(range_end(&self.prefix)),
                start_revision: first_revision.to_string(),
                progress_notify: true,
            },
        };
        let watch = self.post(WATCH_PATH, &request).await?;
        match watch.status {
            StatusCode::OK => Ok(watch),
            status => Err(EtcdError::WatchStatus(status)),
        }
    }

    /// Applies the events of a watch to the listing, and sends it after each change, until no
    /// message has arrived for [`WATCH_IDLE_TIMEOUT`].
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
            let Message::Json(mut json) = message? else {
                continue;
            };
            let result = watch_result(&mut json)?;
            if let Some(revision) = result.revision() {
                listing.revision = listing.revision.max(revision);
            }
            let has_changes = !result.events.is_empty();
            for event in result.events {
                self.apply(event, &mut listing.declarations)?;
            }
            if has_changes {
                send(sender, &listing.declarations).await?;
            }
        }
    }

    /// Applies an event of a watch to the declarations.
    fn apply(&self, event: Event, declarations: &mut Declarations) -> Result<(), EtcdError> {
        let pair = event.kv.ok_or(EtcdError::MissingKey)?;
        let Some(name) = self.front_name(&pair.key) else {
            return Ok(());
        };
        match event.event_type {
            EventType::Delete => declarations.remove(&name),
            EventType::Put => declarations.insert(name, pair.value.0),
        };
        Ok(())
    }

    /// Returns the name of the front that a key declares; `None` for the prefix itself and for keys
    /// that are not under it.
    fn front_name(&self, key: &Base64Bytes) -> Option<String> {
        let key = std::str::from_utf8(&key.0).ok()?;
        let name = key.strip_prefix(&self.prefix)?;
        (!name.is_empty()).then(|| name.to_owned())
    }

    /// Posts a request to the gateway, and returns once its response begins.
    async fn post(&self, path: &str, request: &impl Serialize) -> Result<CallResponse, EtcdError> {
        let body = simd_json::serde::to_string(request).map_err(EtcdError::Encode)?;
        let response = call(self.address, Method::POST, path, body, CALL_TIMEOUTS).await?;
        Ok(response)
    }
}

/// Sends a copy of the declarations to the task that applies them.
async fn send(sender: &Sender<Declarations>, declarations: &Declarations) -> Result<(), EtcdError> {
    sender
        .send(declarations.clone())
        .await
        .map_err(|_| EtcdError::ReceiverClosed)
}

/// Decodes a message of a watch. The parser overwrites `json`.
fn watch_result(json: &mut [u8]) -> Result<WatchResult, EtcdError> {
    let response: WatchResponse = json_object::parse(json)?;
    if let Some(error) = response.error {
        return Err(EtcdError::WatchFailed(error.encode()));
    }
    let result = response.result.ok_or(EtcdError::MissingResult)?;
    if result.canceled {
        return Err(EtcdError::WatchCancelled);
    }
    Ok(result)
}

/// Returns the first key after all keys that begin with the prefix.
fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    // Etcd takes a single zero byte as the end of all keys.
    vec![0]
}

/// Returns the key that follows `key` directly in byte order.
fn next_key(mut key: Vec<u8>) -> Vec<u8> {
    key.push(0);
    key
}
