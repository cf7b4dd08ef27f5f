//! Discovery: the node list, the watch on its changes, and asking anew when the watch ends.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;

use crate::exchange::Exchange;
use crate::http::call;
use crate::interface::{CellId, Listed, NodeInfo, Scope};
use crate::log::log;
use crate::settings::{flag, int, list, text, Res};
use crate::upstream::Upstream;

/// A watch writes an empty line every 2 s while nothing changes. A machine that is cut off says nothing, and its
/// connection stays open: silence for two such lines is the end of the watch.
const SILENT: Duration = Duration::from_millis(4500);
/// How far this front has followed discovery.
pub struct Discovery {
    /// Longest time for a connection to come up.
    pub dial_timeout: Duration,
    /// Names of the zones, in the order of the settings.
    pub zones: Vec<String>,
    /// The version of the list held.
    pub generation: i64,
}

impl Discovery {
    /// Passes on the list that this front held last, which may be old.
    ///
    /// # Errors
    /// A plain sentence, where it is not in discovery's form.
    pub fn restore(&mut self, known: &Value, exchange: &Rc<Exchange<Upstream>>) -> Res<()> {
        let (_, nodes) = self.read(known, exchange.transport())?;
        exchange.fleet(Scope::Restored, nodes);
        Ok(())
    }

    /// Follows discovery for as long as the program runs. When to ask is the module's to say.
    pub async fn follow(mut self, address: SocketAddr, exchange: Rc<Exchange<Upstream>>) {
        loop {
            exchange.subscribe_wanted().await;
            if let Err(why) = self.watch(address, &exchange).await {
                log!("discovery: {why}");
            }
            exchange.fleet(Scope::Unavailable, Vec::new());
        }
    }

    async fn watch(&mut self, address: SocketAddr, exchange: &Rc<Exchange<Upstream>>) -> Res<()> {
        let path = format!("/registry/instances?watch=1&after={}", self.generation);
        let mut watch = call(address, Method::GET, &path, String::new(), self.dial_timeout, SILENT).await?;
        if watch.status != StatusCode::OK {
            return Err(format!("it answered {}", watch.status));
        }
        loop {
            let mut line = watch.line(SILENT).await?;
            self.line(&mut line, exchange);
        }
    }

    /// One line of the watch. A line that cannot be read is passed over, and said in the log.
    fn line(&mut self, line: &mut [u8], exchange: &Rc<Exchange<Upstream>>) {
        if line.iter().all(u8::is_ascii_whitespace) {
            return;
        }
        let value = simd_json::to_owned_value(line).map_err(|e| e.to_string());
        match value.and_then(|v| self.read(&v, exchange.transport())) {
            Ok((scope, nodes)) => exchange.fleet(scope, nodes),
            Err(why) => log!("discovery: a line that cannot be read: {why}"),
        }
    }

    fn read(&mut self, value: &Value, upstream: &Upstream) -> Res<(Scope, Vec<NodeInfo>)> {
        let generation = int(value.get("generation"), "generation")?;
        let scope = if flag(value, "reset")? { Scope::Replace } else { Scope::Update };
        let entries = list(value, "instances")?;
        let nodes = entries.iter().map(|e| self.entry(e, upstream)).collect::<Res<_>>()?;
        self.generation = generation;
        Ok((scope, nodes))
    }

    fn entry(&self, entry: &Value, upstream: &Upstream) -> Res<NodeInfo> {
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
        Ok(NodeInfo { node: upstream.locate(name, address, cell), zone: zone as u32, cell, listed, came_up })
    }
}
