//! Follows a prefix in etcd through its v3 JSON gateway: a list at a revision, a watch from the next one, and the
//! list again after a compaction or a lost connection.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use hyper::{Method, StatusCode};
use simd_json::prelude::*;
use simd_json::{json, OwnedValue as Value};
use tokio::sync::mpsc::Sender;
use tokio::time::{sleep, timeout, Instant};

use crate::config::settings::{list, text, Res};
use crate::control::http_client::call;
use crate::control::json_stream::Message;
use crate::telemetry::log::log;

const DIAL: Duration = Duration::from_secs(2);
const ANSWER: Duration = Duration::from_secs(5);
/// A watch says nothing while nothing changes. After this long it is opened anew, lest a connection that died
/// without a word be taken for a quiet one.
const SILENT: Duration = Duration::from_secs(60);
/// Keys of one page of the list.
const PAGE: usize = 500;
/// First and longest wait before the next try; the first again after one that held for as long as the longest.
const BACKOFF: Duration = Duration::from_millis(200);
const BACKOFF_MOST: Duration = Duration::from_secs(10);

/// What is declared under the prefix, by the rest of the key.
pub type Declared = BTreeMap<String, Vec<u8>>;

/// A prefix in etcd.
pub struct Prefix {
    /// Where etcd's gateway listens.
    pub address: SocketAddr,
    /// The prefix of the keys.
    pub prefix: String,
}

impl Prefix {
    /// Sends all that is declared, at first and after each change, until nobody listens.
    pub async fn follow(&self, out: Sender<Declared>) {
        let mut backoff = BACKOFF;
        while !out.is_closed() {
            let began = Instant::now();
            if let Err(why) = self.list_and_watch(&out).await {
                log!("etcd: {why}");
            }
            if began.elapsed() >= BACKOFF_MOST {
                backoff = BACKOFF;
            }
            // Spread, since many agents lose the same etcd at the same moment.
            sleep(backoff.mul_f64(0.5 + fastrand::f64())).await;
            backoff = (backoff * 2).min(BACKOFF_MOST);
        }
    }

    async fn list_and_watch(&self, out: &Sender<Declared>) -> Res<()> {
        let (mut declared, mut revision) = self.list().await?;
        let gone = |_| "nobody listens".to_owned();
        out.send(declared.clone()).await.map_err(gone)?;
        loop {
            let request = json!({"create_request": {
                "key": STANDARD.encode(&self.prefix), "range_end": STANDARD.encode(range_end(&self.prefix)),
                "start_revision": (revision + 1).to_string(), "progress_notify": true,
            }});
            let body = request.encode();
            let mut watch = call(self.address, Method::POST, "/v3/watch", body, DIAL, ANSWER).await?;
            if watch.status != StatusCode::OK {
                return Err(format!("the watch was answered {}", watch.status));
            }
            loop {
                // Nothing was missed: the next watch begins where this one ended.
                let Ok(message) = timeout(SILENT, watch.next_message()).await else { break };
                let Message::Json(mut line) = message? else { continue };
                let value = simd_json::to_owned_value(&mut line).map_err(|e| format!("not JSON: {e}"))?;
                if let Some(error) = value.get("error") {
                    return Err(format!("the watch failed: {}", error.encode()));
                }
                let result = value.get("result").ok_or("a message of the watch has no result")?;
                if result.get("canceled").and_then(Value::as_bool) == Some(true) {
                    // Among others where the revision has been compacted: the list tells what was missed.
                    return Err("the watch was cancelled; listing anew".to_owned());
                }
                if let Some(seen) = result.get("header").and_then(|h| number(h.get("revision"))) {
                    revision = revision.max(seen);
                }
                let events = result.get("events").and_then(Value::as_array);
                for event in events.into_iter().flatten() {
                    self.apply(event, &mut declared)?;
                }
                if events.is_some_and(|e| !e.is_empty()) {
                    out.send(declared.clone()).await.map_err(gone)?;
                }
            }
        }
    }

    /// All under the prefix as of one revision, page by page.
    async fn list(&self) -> Res<(Declared, i64)> {
        let mut declared = Declared::new();
        let (mut from, mut revision) = (self.prefix.as_bytes().to_vec(), 0);
        loop {
            let request = json!({
                "key": STANDARD.encode(&from), "range_end": STANDARD.encode(range_end(&self.prefix)),
                "limit": PAGE.to_string(), "revision": revision.to_string(),
            });
            let body = request.encode();
            let answer = call(self.address, Method::POST, "/v3/kv/range", body, DIAL, ANSWER).await?;
            let status = answer.status;
            let mut bytes = answer.read_all(ANSWER).await?;
            if status != StatusCode::OK {
                return Err(format!("the list was answered {status}: {}", String::from_utf8_lossy(&bytes)));
            }
            let value = simd_json::to_owned_value(&mut bytes).map_err(|e| format!("not JSON: {e}"))?;
            if revision == 0 {
                let told = value.get("header").and_then(|h| number(h.get("revision")));
                revision = told.ok_or("the list has no revision")?;
            }
            // A field that is empty is left out on this wire.
            let page = if value.get("kvs").is_some() { list(&value, "kvs")?.as_slice() } else { &[] };
            for pair in page {
                let key = bytes_of(pair, "key")?;
                declared
                    .extend(self.name(&key).map(|name| (name, bytes_of(pair, "value").unwrap_or_default())));
                from = [key.as_slice(), &[0]].concat();
            }
            if page.is_empty() || value.get("more").and_then(Value::as_bool) != Some(true) {
                return Ok((declared, revision));
            }
        }
    }

    fn apply(&self, event: &Value, declared: &mut Declared) -> Res<()> {
        let pair = event.get("kv").ok_or("an event has no key")?;
        let Some(name) = self.name(&bytes_of(pair, "key")?) else { return Ok(()) };
        match event.get("type").and_then(Value::as_str).unwrap_or("PUT") {
            "DELETE" => declared.remove(&name),
            _ => declared.insert(name, bytes_of(pair, "value").unwrap_or_default()),
        };
        Ok(())
    }

    fn name(&self, key: &[u8]) -> Option<String> {
        let name = std::str::from_utf8(key).ok()?.strip_prefix(&self.prefix)?;
        (!name.is_empty()).then(|| name.to_owned())
    }
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

/// 64-bit integers are texts on this wire.
fn number(value: Option<&Value>) -> Option<i64> {
    let value = value?;
    value.as_i64().or_else(|| value.as_str()?.parse().ok())
}

fn bytes_of(pair: &Value, key: &str) -> Res<Vec<u8>> {
    STANDARD.decode(text(pair.get(key), key)?).map_err(|e| format!("'{key}' is not base64: {e}"))
}
