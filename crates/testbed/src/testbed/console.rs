//! The consoles of fronts.

use std::net::SocketAddr;

use simd_json::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The path of the state of a front's peers, as JSON.
pub const PEERS_PATH: &str = "/status/peers";
/// The path of the state of a front's outlier detection, as JSON.
pub const OUTLIERS_PATH: &str = "/status/verdicts";
/// The path of a front's metrics, as text.
pub const METRICS_PATH: &str = "/status/metrics";

/// The body of a console's response; `None` if it does not answer.
pub async fn get(console: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(console).await.ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: lab\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await.ok()?;
    response
        .split_once("\r\n\r\n")
        .map(|(_, body)| body.to_owned())
}

/// The ejected servers in a state of outlier detection, given as JSON.
pub fn ejected_servers(status: &str) -> Vec<String> {
    let status = simd_json::to_owned_value(&mut status.as_bytes().to_vec()).unwrap_or_default();
    let servers = status
        .get("verdicts")
        .and_then(|list| list.as_array())
        .into_iter()
        .flatten();
    let ejected = servers.filter(|server| server.get("out_ms").is_some_and(|ms| !ms.is_null()));
    ejected
        .filter_map(|server| server.get("server")?.as_str().map(str::to_owned))
        .collect()
}
