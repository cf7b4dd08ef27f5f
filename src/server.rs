//! The platform's front: requests as the platform's protocol has them, onto the exchange and back.

use std::rc::Rc;

use http_body_util::{Either, Full};
use hyper::header::{HeaderMap, HeaderValue, COOKIE};
use hyper::{Method, Response, StatusCode};

use crate::exchange::{Exchange, Final};
use crate::interface;
use crate::interface::{CellId, Nanos};
use crate::listener::{plain, refused, Handler, Reply, Taken};
use crate::upstream::{Accepts, Payload, Upstream};

/// The names that requests use, in the order of the settings.
pub struct Names {
    /// Classes.
    pub classes: Vec<String>,
    /// Plans.
    pub plans: Vec<String>,
}

/// The platform's front.
pub struct Server {
    /// Where requests go.
    pub exchange: Rc<Exchange<Upstream>>,
    /// What they may name.
    pub names: Names,
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
    async fn pass(&self, request: Taken) -> Result<Reply, Reply> {
        let (head, body) = request.into_parts();
        let body = body.map_err(|status| plain(status, "the request is not taken"))?;
        let taken = self.names.read(&head.headers);
        let (id, request) = taken.map_err(|why| plain(StatusCode::BAD_REQUEST, why))?;
        let (headers, accepts) = (HeaderMap::new(), Accepts::Served);
        let payload = Payload { method: head.method, target: head.uri, id, headers, body, accepts };
        Ok(match self.exchange.ask(request, payload).await {
            Final::Served(answer) => Response::new(Either::Left(Full::new(answer.body))),
            Final::Refused(wait) => refused(wait),
            Final::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
        })
    }
}

impl Names {
    /// The request in a head, and its id as it goes on.
    fn read(&self, headers: &HeaderMap) -> Result<(HeaderValue, interface::Request), &'static str> {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
        let id = headers.get("x-txn").ok_or("X-Txn is missing")?;
        let class = text("x-lane").ok_or("X-Lane is missing")?;
        let class = self.classes.iter().position(|c| c == class).ok_or("X-Lane names no class")?;
        let plan = text("x-plan").ok_or("X-Plan is missing")?;
        let plan = self.plans.iter().position(|p| p == plan).ok_or("X-Plan names no plan")?;
        let patience = text("x-remaining").and_then(remaining).ok_or("X-Remaining is not a time")?;
        let mut request = interface::Request {
            id: 0,
            class,
            plan,
            volume: 0,
            key: block(headers)?,
            patience,
            units: 1.0,
            cell: None,
            set_size: 1,
        };
        let mut volume = None;
        for field in text("x-io").ok_or("X-IO is missing")?.split(',') {
            let (name, value) = field.trim().split_once('=').ok_or("X-IO is not a list of fields")?;
            match name {
                "volume" => volume = u64::from_str_radix(value, 16).ok(),
                "units" => {
                    let units: Option<f64> = value.parse().ok();
                    let fits = units.filter(|u| u.is_finite() && *u > 0.0);
                    request.units = fits.ok_or("'units' is no size")?;
                }
                "shard" => {
                    let shard: i64 = value.parse().map_err(|_| "'shard' is no number")?;
                    request.cell = match shard {
                        -1 => None,
                        some => Some(CellId::try_from(some).map_err(|_| "'shard' is out of range")?),
                    };
                }
                "hosts" => request.set_size = value.parse().map_err(|_| "'hosts' is no number")?,
                _ => {}
            }
        }
        request.volume = volume.ok_or("'volume' is not in hex digits")?;
        Ok((id.clone(), request))
    }
}

/// The piece of data that a request is for, from its cookies.
fn block(headers: &HeaderMap) -> Result<Option<u64>, &'static str> {
    let cookies = headers.get_all(COOKIE).iter().filter_map(|v| v.to_str().ok()).flat_map(|v| v.split(';'));
    let block = cookies.filter_map(|c| c.trim().strip_prefix("block=")).next();
    block
        .map(|hex| u64::from_str_radix(hex, 16))
        .transpose()
        .map_err(|_| "the cookie 'block' is not in hex digits")
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
