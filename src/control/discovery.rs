//! Discovery: the node list, the watch on its changes, and calling anew as [`Watch`] says.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};
use tulipbridge_core::discovery_watch::{DiscoveryWatch, WatchEvent, WatchStep, CALL_TIMEOUT};
use tulipbridge_core::{CellId, Listed, Nanos, NodeInfo, UpdateScope};

use crate::config::settings::{flag, int, list, text, Res};
use crate::control::http_client::{call, CallResponse};
use crate::control::json_stream::Message;
use crate::control::maintenance::Maintenance;
use crate::exchange::Exchange;
use crate::telemetry::log::log;
use crate::upstream::Upstream;

/// Longest time for a connection to discovery to come up; the whole call is bounded by [`watch::CALL`].
const DIAL: Duration = Duration::from_secs(1);

/// A watch that is being opened.
type Opening = Pin<Box<dyn Future<Output = Res<Standing>>>>;

/// A watch that stands, and where.
struct Standing {
    at: SocketAddr,
    answer: CallResponse,
}

/// How far this front has followed discovery.
pub struct Discovery {
    /// The first call goes out within this time.
    pub first_call: Nanos,
    /// Where in what calls are spread over those of this front lie, from 0 to 1.
    pub phase: f64,
    /// Names of the zones, in the order of the settings.
    pub zones: Vec<String>,
    /// The version of the list held.
    pub generation: i64,
    /// Who counts versions so; at first whoever is asked first.
    pub list_source: Option<SocketAddr>,
    /// Chunk servers held out by hand, between the list and the module.
    pub maintenance: Rc<Maintenance>,
}

impl Discovery {
    /// Passes on the list that this front held last, which may be old.
    ///
    /// # Errors
    /// A plain sentence, where it is not in discovery's form.
    pub fn restore(&mut self, known: &Value, exchange: &Rc<Exchange<Upstream>>) -> Res<()> {
        let (_, nodes) = self.read(known, exchange.transport())?;
        exchange.update_endpoints(UpdateScope::Restored, nodes);
        Ok(())
    }

    /// Follows discovery for as long as the program runs, to wherever the configuration moves it. When to call is
    /// said by [`Watch`]; who decides may want the list earlier.
    pub async fn follow(
        mut self,
        mut address: watch::Receiver<Option<SocketAddr>>,
        exchange: Rc<Exchange<Upstream>>,
    ) {
        let began = Instant::now();
        let now = || began.elapsed().as_nanos() as Nanos;
        let mut machine = DiscoveryWatch::new(0, self.first_call, self.phase);
        let (mut standing, mut opening): (Option<Standing>, Option<Opening>) = (None, None);
        loop {
            // Without discovery the list as last held is all there is, until a configuration names one.
            let Some(at) = *address.borrow() else {
                if address.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let mut opened = None;
            let due = machine.due().map(|t| began + Duration::from_nanos(t.max(0) as u64));
            let event = tokio::select! {
                biased;
                message = message(&mut standing) => match message {
                    Ok((from, message)) => {
                        self.take(message, from, &exchange);
                        WatchEvent::MessageReceived
                    }
                    Err(why) => {
                        log!("discovery: {why}");
                        standing = None;
                        WatchEvent::Ended
                    }
                },
                answer = ready(&mut opening) => {
                    opening = None;
                    match answer {
                        Ok(watch) => {
                            opened = Some(watch);
                            WatchEvent::Opened
                        }
                        Err(why) => {
                            log!("discovery: {why}");
                            WatchEvent::Failed
                        }
                    }
                }
                Ok(()) = address.changed() => WatchEvent::Moved,
                () = exchange.list_wanted() => WatchEvent::ListWanted,
                () = comes(due) => WatchEvent::TimerDue,
            };
            for step in machine.on(now(), event) {
                match step {
                    WatchStep::Call => {
                        // A configuration that names none leaves the watch where it is.
                        let at = address.borrow().unwrap_or(at);
                        // Another discovery may count versions in a way of its own: from 0 it tells all.
                        let after =
                            if *self.list_source.get_or_insert(at) == at { self.generation } else { 0 };
                        opening = Some(Box::pin(open(at, after)));
                    }
                    WatchStep::CancelCall => {
                        log!("discovery: no answer in time");
                        opening = None;
                    }
                    WatchStep::Adopt => standing = opened.take(),
                    WatchStep::CloseWatch => {
                        log!("discovery: it is silent");
                        standing = None;
                    }
                    WatchStep::ReportLost => exchange.update_endpoints(UpdateScope::Unavailable, Vec::new()),
                }
            }
        }
    }

    /// One message of the watch at an address. One that cannot be read is passed over, and said in the log.
    fn take(&mut self, message: Message, from: SocketAddr, exchange: &Rc<Exchange<Upstream>>) {
        let Message::Json(mut json) = message else { return };
        let value = simd_json::to_owned_value(&mut json).map_err(|e| e.to_string());
        match value.and_then(|v| self.read(&v, exchange.transport())) {
            Ok((scope, nodes)) => {
                self.list_source = Some(from);
                exchange.update_endpoints(scope, nodes);
            }
            Err(why) => log!("discovery: a message that cannot be read: {why}"),
        }
    }

    fn read(&mut self, value: &Value, upstream: &Upstream) -> Res<(UpdateScope, Vec<NodeInfo>)> {
        let generation = int(value.get("generation"), "generation")?;
        let scope = if flag(value, "reset")? { UpdateScope::Replace } else { UpdateScope::Update };
        let entries = list(value, "instances")?;
        let named = entries.iter().map(|e| self.entry(e, upstream)).collect::<Res<Vec<_>>>()?;
        if scope == UpdateScope::Replace {
            self.maintenance.replaced(&named.iter().map(|(name, _)| name.clone()).collect());
        }
        let nodes = named.into_iter().map(|(name, info)| self.maintenance.listed(&name, info)).collect();
        self.generation = generation;
        Ok((scope, nodes))
    }

    fn entry(&self, entry: &Value, upstream: &Upstream) -> Res<(String, NodeInfo)> {
        let name = text(entry.get("instanceId"), "instanceId")?;
        let address = text(entry.get("hostPort"), "hostPort")?;
        let address = address.parse().map_err(|_| format!("'hostPort' {address} is no address"))?;
        let zone = entry.get("zone").and_then(Value::as_str);
        let zone = self.zones.iter().position(|z| Some(z.as_str()) == zone).unwrap_or(self.zones.len());
        let listed = match text(entry.get("lifecycle"), "lifecycle")? {
            "Ready" => Listed::Up,
            "Gone" => Listed::Removed,
            // Whatever else a server may be, it is not to be sent new work.
            _ => Listed::Draining,
        };
        let cell = int(entry.get("cell"), "cell")?;
        let cell = CellId::try_from(cell).map_err(|_| "'cell' is out of range")?;
        let came_up = entry.get("startedAtMs").and_then(Value::as_i64).unwrap_or(0).saturating_mul(1_000_000);
        let node = upstream.locate(name, address, cell);
        Ok((name.to_owned(), NodeInfo { node, zone: zone as u32, cell, listed, started_at: came_up }))
    }
}

/// Opens a watch on what changed after a version.
async fn open(at: SocketAddr, after: i64) -> Res<Standing> {
    let path = format!("/registry/instances?watch=1&after={after}");
    let wait = Duration::from_nanos(CALL_TIMEOUT as u64);
    let answer = call(at, Method::GET, &path, String::new(), DIAL, wait).await?;
    match answer.status {
        StatusCode::OK => Ok(Standing { at, answer }),
        status => Err(format!("it answered {status}")),
    }
}

/// The next message of the watch that stands; never, where there is none.
async fn message(standing: &mut Option<Standing>) -> Res<(SocketAddr, Message)> {
    match standing {
        Some(standing) => standing.answer.next_message().await.map(|message| (standing.at, message)),
        None => std::future::pending().await,
    }
}

/// The end of the opening; never, where there is none.
async fn ready(opening: &mut Option<Opening>) -> Res<Standing> {
    match opening {
        Some(opening) => opening.await,
        None => std::future::pending().await,
    }
}

/// Returns at a moment; never, where there is none.
async fn comes(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => std::future::pending().await,
    }
    // If it was this process that stood still, what has come meanwhile is read first.
    yield_now().await;
}
