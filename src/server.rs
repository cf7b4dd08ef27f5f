//! The platform's front: requests as the platform's protocol has them, onto the exchange and back.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

use http_body_util::{Either, Full};
use hyper::header::{HeaderMap, HeaderValue, COOKIE};
use hyper::{Method, Response, StatusCode};
use tulipbridge_core as core;
use tulipbridge_core::{CellId, Nanos};

use crate::exchange::{Exchange, Final};
use crate::listener::{plain, refused, Handler, Reply, Taken};
use crate::upstream::{Accepts, Payload, Upstream};

const TXN: &str = "x-txn";

/// What requests may name, in the order of the settings. What no chunk server can use is refused here, and costs
/// none of them anything.
pub struct Names {
    /// Classes.
    pub classes: Vec<String>,
    /// Whether the class writes.
    pub writes: Vec<bool>,
    /// Plans.
    pub plans: Vec<String>,
    /// How many shards there are.
    pub shards: u32,
    /// Through how many fronts a volume's requests may come.
    pub fronts: u32,
    /// The most units of a request.
    pub most_units: f64,
}

/// The platform's front.
pub struct Server {
    exchange: Rc<Exchange<Upstream>>,
    names: Names,
    /// The ids of the requests that are open here.
    open: RefCell<HashSet<u64>>,
}

impl Handler for Server {
    async fn answer(&self, request: Taken, leaving: bool) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health/ready") if leaving => plain(StatusCode::SERVICE_UNAVAILABLE, "leaving"),
            (&Method::GET, "/health/ready" | "/health/live") => plain(StatusCode::OK, "ok"),
            _ => self.pass(request).await.unwrap_or_else(|refusal| refusal),
        }
    }
}

impl Server {
    /// A front on an exchange.
    pub fn new(exchange: Rc<Exchange<Upstream>>, names: Names) -> Server {
        Server { exchange, names, open: RefCell::default() }
    }

    async fn pass(&self, request: Taken) -> Result<Reply, Reply> {
        let (head, body) = request.into_parts();
        let body = body.map_err(|status| plain(status, "the request is not taken"))?;
        let taken = self.names.read(&head.method, &head.headers);
        let (id, request) = taken.map_err(|why| plain(StatusCode::BAD_REQUEST, why))?;
        if head.method == Method::GET && !body.is_empty() {
            return Err(plain(StatusCode::BAD_REQUEST, "a read has no body"));
        }
        // Two requests under one id could be taken for each other.
        if !self.open.borrow_mut().insert(id) {
            return Err(plain(StatusCode::CONFLICT, "X-Txn names a request that is open"));
        }
        let _open = OpenId { open: &self.open, id };
        let (headers, accepts) = (HeaderMap::new(), Accepts::Served);
        let id = head.headers.get(TXN).cloned().unwrap_or(HeaderValue::from_static(""));
        let payload = Payload { method: head.method, target: head.uri, id, headers, body, accepts };
        Ok(match self.exchange.ask(request, payload).await {
            Final::Served(answer) => Response::new(Either::Left(Full::new(answer.body))),
            Final::Refused(wait) => refused(wait),
            Final::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
        })
    }
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

impl Names {
    /// The id and the request in a head.
    fn read(&self, method: &Method, headers: &HeaderMap) -> Result<(u64, core::Request), &'static str> {
        let text = |name: &str| {
            let mut told = headers.get_all(name).iter();
            // One that comes twice could be read in two ways.
            let value = told.next().filter(|_| told.next().is_none());
            value.and_then(|v| v.to_str().ok()).map(str::trim)
        };
        let id = text(TXN).and_then(hex).ok_or("X-Txn is not of 16 hex digits")?;
        let class = text("x-lane").ok_or("X-Lane is missing")?;
        let class = self.classes.iter().position(|c| c == class).ok_or("X-Lane names no class")?;
        let writes = self.writes.get(class).copied().unwrap_or(false);
        if *method != if writes { Method::PUT } else { Method::GET } {
            return Err("the method is not that of the class");
        }
        let plan = text("x-plan").ok_or("X-Plan is missing")?;
        let plan = self.plans.iter().position(|p| p == plan).ok_or("X-Plan names no plan")?;
        let patience = text("x-remaining").and_then(remaining).ok_or("X-Remaining is not a time")?;
        let (mut volume, mut units, mut cell, mut hosts) = (None, None, None, None);
        for field in text("x-io").ok_or("X-IO is missing")?.split(',') {
            let (name, value) = field.trim().split_once('=').ok_or("X-IO is not a list of fields")?;
            match name {
                "volume" => volume = hex(value),
                "units" => units = whole(value, 1, self.most_units as i64),
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
            set_size: hosts.ok_or("'hosts' is no number of fronts")? as u32,
        };
        Ok((id, request))
    }
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
