//! A proxy of TCP connections that can be silent, lose responses, reset, delay, lose or throttle.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::best_effort;

/// After how long a lost piece is first sent again, as TCP does; each further time takes twice as
/// long.
const RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// The most times that one piece is lost.
const MAX_RETRANSMITS: usize = 4;
/// The most bytes that are forwarded as one piece.
const BUFFER_SIZE: usize = 16_384;

/// What a proxied link does. The serialized names are those of stored schedules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkState {
    /// Everything passes at once.
    #[default]
    #[serde(rename = "whole")]
    Healthy,
    /// Nothing passes until the state changes, and connections stay open: cut both ways.
    Silent,
    /// Requests pass, and no response does until the state changes: cut one way.
    #[serde(rename = "no_answers")]
    NoResponses,
    /// Connections are reset, new ones as well.
    Reset,
    /// Everything is delayed by so many milliseconds.
    #[serde(rename = "late")]
    Delayed(u64),
    /// So many pieces of a hundred are lost, and sent again later.
    Lossy(u8),
    /// So many bytes a second pass each way.
    Throttled(u32),
}

/// A proxy in front of one server, for as long as this value lives.
pub struct TcpProxy {
    /// Where clients connect to reach the server.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
}

/// Which way a connection's bytes go.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Requests,
    Responses,
}

/// The proxy was dropped.
struct ProxyClosed;

impl TcpProxy {
    /// Starts a healthy proxy to a server. Must be called inside a tokio `LocalSet`.
    ///
    /// # Errors
    /// If no socket can be opened.
    pub async fn start(server: SocketAddr) -> std::io::Result<TcpProxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(LinkState::Healthy);
        spawn_local(accept_until_closed(listener, server, state.subscribe()));
        Ok(TcpProxy { address, state })
    }

    /// Changes the state of all connections, present and future.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

/// Forwards connections until the proxy is dropped.
async fn accept_until_closed(
    listener: TcpListener,
    server: SocketAddr,
    state: watch::Receiver<LinkState>,
) {
    let mut closed = state.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((client, _)) = accepted {
                    spawn_local(forward(client, server, state.clone()));
                }
            }
            () = wait_closed(&mut closed) => return,
        }
    }
}

/// Returns when the proxy is dropped.
async fn wait_closed(state: &mut watch::Receiver<LinkState>) {
    while state.changed().await.is_ok() {}
}

/// Returns when connections are to be reset.
async fn wait_reset(mut state: watch::Receiver<LinkState>) {
    let is_reset = state.wait_for(|state| *state == LinkState::Reset).await;
    // An error means that the proxy was dropped, which resets connections as well.
    drop(is_reset);
}

/// Forwards one connection both ways until it ends or is reset.
async fn forward(mut client: TcpStream, server: SocketAddr, state: watch::Receiver<LinkState>) {
    let mut upstream = None;
    tokio::select! {
        () = wait_reset(state.clone()) => {}
        connected = TcpStream::connect(server) => upstream = connected.ok(),
    }
    if let Some(upstream) = &mut upstream {
        best_effort::disable_nagle(&client);
        best_effort::disable_nagle(upstream);
        let (from_client, to_client) = client.split();
        let (from_upstream, to_upstream) = upstream.split();
        let requests = copy(from_client, to_upstream, state.clone(), Direction::Requests);
        let responses = copy(
            from_upstream,
            to_client,
            state.clone(),
            Direction::Responses,
        );
        tokio::select! {
            () = wait_reset(state.clone()) => {}
            _ = async { tokio::join!(requests, responses) } => return,
        }
    }
    for stream in [Some(client), upstream].into_iter().flatten() {
        best_effort::reset_when_dropped(&stream);
    }
}

/// Copies one direction until it ends.
async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut state: watch::Receiver<LinkState>,
    direction: Direction,
) {
    let mut buffer = vec![0; BUFFER_SIZE];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        if wait_to_pass(&mut state, direction, length).await.is_err() {
            break;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    best_effort::ignore_closed_connection(to.shutdown().await);
}

/// Waits until a piece may pass.
async fn wait_to_pass(
    state: &mut watch::Receiver<LinkState>,
    direction: Direction,
    length: usize,
) -> Result<(), ProxyClosed> {
    loop {
        let current = *state.borrow_and_update();
        let delay = match current {
            LinkState::Healthy => return Ok(()),
            LinkState::NoResponses if direction == Direction::Requests => return Ok(()),
            LinkState::Silent | LinkState::NoResponses | LinkState::Reset => {
                state.changed().await.map_err(|_| ProxyClosed)?;
                continue;
            }
            LinkState::Delayed(millis) => Duration::from_millis(millis),
            LinkState::Lossy(loss_percent) => retransmit_delay(loss_percent),
            LinkState::Throttled(bytes_per_second) => {
                Duration::from_secs_f64(length as f64 / f64::from(bytes_per_second.max(1)))
            }
        };
        tokio::time::sleep(delay).await;
        return Ok(());
    }
}

/// The delay of a piece that is lost a random number of times: the sum of as many timeouts, each
/// twice as long as the one before.
fn retransmit_delay(loss_percent: u8) -> Duration {
    let percents = std::iter::repeat_with(|| fastrand::u8(0..100));
    let losses = percents
        .take_while(|percent| *percent < loss_percent)
        .take(MAX_RETRANSMITS)
        .count();
    RETRANSMIT_TIMEOUT * ((1 << losses) - 1)
}
