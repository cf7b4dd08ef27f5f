//! The platform's front: requests as the platform's protocol has them, onto the exchange and back.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::channel::Channel;
use http_body_util::{BodyExt, Either, Full};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, COOKIE};
use hyper::{Method, Response, StatusCode};
use tulipbridge_core as core;
use tulipbridge_core::settings_reload::VersionedTable;
use tulipbridge_core::{CellId, Class, Nanos, Plan, Settings};

use crate::config::Config;
use crate::exchange::{Exchange, FinalResponse};
use crate::frontend::listener::{plain, rejected, BodyReservation, Handler, ReceivedRequest, Reply};
use crate::telemetry::metrics::{ClassMetrics, Metrics};
use crate::telemetry::trace;
use crate::upstream::{Accepts, Answer, Payload, StreamedBody, Upstream};

const TXN: &str = "x-txn";
const LANE: &str = "x-lane";

/// What requests may name, by the numbers that the module knows them by. What no chunk server can use is refused
/// here, and costs none of them anything.
#[derive(Clone)]
pub struct RequestTables {
    /// Classes, with whether they write where the settings say.
    pub classes: VersionedTable<(Class, Option<bool>)>,
    /// Plans.
    pub plans: VersionedTable<Plan>,
    /// The figures of each class.
    pub metrics: Vec<ClassMetrics>,
    /// How many shards there are.
    pub shards: u32,
    /// Through how many fronts a volume's requests may come.
    pub fronts: u32,
    /// The most units of a request.
    pub max_units: f64,
}

impl RequestTables {
    /// The names of a configuration, in its order, which is the module's.
    pub fn new(config: &Config, figures: &Metrics) -> RequestTables {
        let classes = config.classes.iter().cloned().zip(told(config)).collect();
        let plans = config.plans.iter().cloned().zip(config.settings.plans.iter().cloned()).collect();
        let mut names = RequestTables {
            classes: VersionedTable::new(classes),
            plans: VersionedTable::new(plans),
            metrics: Vec::new(),
            shards: config.shards,
            fronts: config.settings.initiators,
            max_units: config.settings.max_units,
        };
        names.count(figures);
        names
    }

    /// Takes a new configuration. Gives the settings for the module, and the classes that stand for older ones.
    pub fn reload(&mut self, config: Config, figures: &Metrics) -> (Settings, Vec<(usize, usize)>) {
        let classes = config.classes.iter().cloned().zip(told(&config)).collect();
        let carried = self.classes.reload(classes);
        self.plans.reload(config.plans.into_iter().zip(config.settings.plans.iter().cloned()).collect());
        (self.shards, self.fronts, self.max_units) =
            (config.shards, config.settings.initiators, config.settings.max_units);
        self.count(figures);
        let classes = self.classes.values().into_iter().map(|(class, _)| class).collect();
        let settings = Settings { classes, plans: self.plans.values(), ..config.settings };
        (settings, carried)
    }

    /// Figures for every class, from 0 where it is new.
    fn count(&mut self, figures: &Metrics) {
        for number in self.metrics.len()..self.classes.len() {
            self.metrics.push(figures.class(self.classes.name(number).unwrap_or_default()));
        }
    }
}

/// The classes of a configuration, with whether each writes where it says so.
fn told(config: &Config) -> Vec<(Class, Option<bool>)> {
    config.settings.classes.iter().cloned().zip(config.writes.iter().copied()).collect()
}

/// The platform's front.
pub struct PlatformFront {
    exchange: Rc<Exchange<Upstream>>,
    names: Rc<RefCell<RequestTables>>,
    /// The ids of the requests that are open here.
    open: RefCell<HashSet<u64>>,
}

impl Handler for PlatformFront {
    fn begin_shutdown(&self, within: Duration) {
        self.exchange.begin_shutdown(within);
    }

    fn longest_deadline(&self) -> Duration {
        self.exchange.longest_deadline()
    }

    async fn answer(&self, request: ReceivedRequest, leaving: bool) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health/ready") if leaving => plain(StatusCode::SERVICE_UNAVAILABLE, "leaving"),
            (&Method::GET, "/health/ready" | "/health/live") => plain(StatusCode::OK, "ok"),
            _ => {
                let lane = first(request.headers(), LANE).map(str::to_owned);
                let reply = self.pass(request).await.unwrap_or_else(|refusal| refusal);
                let names = self.names.borrow();
                if let Some(figures) =
                    lane.and_then(|l| names.classes.find(&l)).and_then(|c| names.metrics.get(c))
                {
                    figures.count_answer(reply.status().as_u16());
                }
                reply
            }
        }
    }
}

impl PlatformFront {
    /// A front on an exchange, with what requests may name, which may change.
    pub fn new(exchange: Rc<Exchange<Upstream>>, names: Rc<RefCell<RequestTables>>) -> PlatformFront {
        PlatformFront { exchange, names, open: RefCell::default() }
    }

    async fn pass(&self, request: ReceivedRequest) -> Result<Reply, Reply> {
        let (mut head, body) = request.into_parts();
        let body = body.map_err(|status| plain(status, "the request is not taken"))?;
        let hold = head.extensions.remove::<Arc<BodyReservation>>();
        let taken = self.names.borrow().read(&head.method, &head.headers);
        let (id, request) = taken.map_err(|why| plain(StatusCode::BAD_REQUEST, why))?;
        if head.method == Method::GET && !body.is_empty() {
            return Err(plain(StatusCode::BAD_REQUEST, "a read has no body"));
        }
        // Two requests under one id could be taken for each other.
        if !self.open.borrow_mut().insert(id) {
            return Err(plain(StatusCode::CONFLICT, "X-Txn names a request that is open"));
        }
        let _open = OpenId { open: &self.open, id };
        let (headers, accepts) = (kept(&head.headers), Accepts::Served);
        let id = head.headers.get(TXN).cloned().unwrap_or(HeaderValue::from_static(""));
        let figures = self.names.borrow().metrics.get(request.class).cloned();
        let payload = Payload {
            method: head.method,
            target: head.uri,
            id,
            headers,
            body,
            accepts,
            metrics: figures,
            reservation: hold,
        };
        Ok(match self.exchange.submit(request, payload).await {
            FinalResponse::Served(Answer { streamed: Some(rest), .. }) => pass_on(rest),
            FinalResponse::Served(answer) => Response::new(Either::Left(Full::new(answer.body))),
            FinalResponse::Rejected(wait) => rejected(wait),
            FinalResponse::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
        })
    }
}

/// What a chunk server tells a repeat by: the piece of data that a request is about, which the cookie names, and the
/// key that a client gives for it.
const KEPT: [HeaderName; 2] = [COOKIE, HeaderName::from_static("idempotency-key")];

/// What of a client's fields goes on to the chunk server, beside its id.
fn kept(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::new();
    for name in KEPT {
        for value in headers.get_all(&name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Pieces of a long body that stand between the chunk server and the client; the server is read no faster than the
/// client takes them.
const PIECES: usize = 2;

/// A long body, passed on to the client as it comes. Its length is told where the chunk server told it, so that a
/// client can see an answer that breaks off; where the server breaks off, so does the answer.
fn pass_on(rest: StreamedBody) -> Reply {
    let (mut sender, body) = Channel::new(PIECES);
    let length = rest.length;
    tokio::task::spawn_local(async move {
        let (mut rest, began, mut passed) = (rest, std::time::Instant::now(), 0);
        let first = std::mem::take(&mut rest.first);
        let end = loop {
            if passed == 0 && !first.is_empty() {
                passed += first.len();
                if sender.send_data(first.clone()).await.is_err() {
                    break "left by the client";
                }
            }
            let Some(frame) = rest.body.frame().await else { break "whole" };
            let Ok(frame) = frame else {
                sender.abort(std::io::ErrorKind::ConnectionReset.into());
                break "broken off by the chunk server";
            };
            // Trailers are nothing that the client asked for.
            if let Ok(data) = frame.into_data() {
                passed += data.len();
                if sender.send_data(data).await.is_err() {
                    break "left by the client";
                }
            }
        };
        if trace::is_enabled() {
            let ms = began.elapsed().as_secs_f64() * 1e3;
            trace::write(
                simd_json::json!({ "e": "passed", "bytes": passed, "of": length, "ms": ms, "end": end }),
            );
        }
        if end == "whole" {
            rest.done();
        }
    });
    let mut reply = Response::new(Either::Right(body));
    if let Some(length) = length {
        reply.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    reply
}

/// An id that is open, for as long as this lives.
struct OpenId<'a> {
    open: &'a RefCell<HashSet<u64>>,
    id: u64,
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.open.borrow_mut().remove(&self.id);
    }
}

impl RequestTables {
    /// The id and the request in a head.
    fn read(&self, method: &Method, headers: &HeaderMap) -> Result<(u64, core::Request), &'static str> {
        let text = |name: &str| first(headers, name);
        let id = text(TXN).and_then(hex).ok_or("X-Txn is not of 16 hex digits")?;
        let class = text(LANE).ok_or("X-Lane is missing")?;
        let class = self.classes.find(class).ok_or("X-Lane names no class")?;
        // Where the settings do not say whether a class writes, the method does.
        let writes =
            self.classes.get(class).and_then(|(_, writes)| *writes).unwrap_or(*method == Method::PUT);
        if *method != if writes { Method::PUT } else { Method::GET } {
            return Err("the method is not that of the class");
        }
        let plan = text("x-plan").ok_or("X-Plan is missing")?;
        let plan = self.plans.find(plan).ok_or("X-Plan names no plan")?;
        let patience = text("x-remaining").and_then(remaining).ok_or("X-Remaining is not a time")?;
        let (mut volume, mut units, mut cell, mut hosts) = (None, None, None, None);
        for field in text("x-io").ok_or("X-IO is missing")?.split(',') {
            let (name, value) = field.trim().split_once('=').ok_or("X-IO is not a list of fields")?;
            match name {
                "volume" => volume = hex(value),
                "units" => units = whole(value, 1, self.max_units as i64),
                "shard" => cell = whole(value, -1, i64::from(self.shards) - 1),
                "hosts" => hosts = whole(value, 1, i64::from(self.fronts)),
                _ => {}
            }
        }
        let cell = cell.ok_or("'shard' names no shard")?;
        if cell < 0 && !writes {
            return Err("'shard' must say where the data lies");
        }
        let request = core::Request {
            id: 0,
            class,
            plan,
            volume: volume.ok_or("'volume' is not of 16 hex digits")?,
            key: block(headers)?,
            patience,
            units: units.ok_or("'units' is no size")? as f64,
            cell: CellId::try_from(cell).ok(),
            front_count: hosts.ok_or("'hosts' is no number of fronts")? as u32,
        };
        Ok((id, request))
    }
}

/// The value of a header that comes once; one that comes twice could be read in two ways.
fn first<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut told = headers.get_all(name).iter();
    let value = told.next().filter(|_| told.next().is_none());
    value.and_then(|v| v.to_str().ok()).map(str::trim)
}

/// A value of 16 hex digits. `from_str_radix` alone would take a sign and fewer.
fn hex(value: &str) -> Option<u64> {
    let fits = value.len() == 16 && value.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(value, 16).ok().filter(|_| fits)
}

/// A whole number within bounds.
fn whole(value: &str, least: i64, most: i64) -> Option<i64> {
    value.parse().ok().filter(|n| (least..=most).contains(n))
}

/// The piece of data that a request is for, from its cookies.
fn block(headers: &HeaderMap) -> Result<Option<u64>, &'static str> {
    let cookies = headers.get_all(COOKIE).iter().filter_map(|v| v.to_str().ok()).flat_map(|v| v.split(';'));
    let block = cookies.filter_map(|c| c.trim().strip_prefix("block=")).next();
    block.map(|digits| hex(digits).ok_or("the cookie 'block' is not of 16 hex digits")).transpose()
}

/// A time such as `480m` (milliseconds) or `480000u` (microseconds).
pub fn remaining(value: &str) -> Option<Nanos> {
    let (number, unit) = match (value.strip_suffix('m'), value.strip_suffix('u')) {
        (Some(number), _) => (number, 1e6),
        (_, Some(number)) => (number, 1e3),
        _ => return None,
    };
    let time = number.parse::<f64>().ok()? * unit;
    // An hour bounds what arithmetic on it may meet; no client waits that long.
    (time.is_finite() && time >= 0.0).then_some(time.min(3.6e12) as Nanos)
}
