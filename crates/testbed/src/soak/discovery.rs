//! A stand-in for discovery: one endpoint list, streamed to each front at an address of its own.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::fault::Fault;
use super::recording::{EndpointChange, Recording, Span};
use super::wire::MessageReader;
use crate::best_effort;
use crate::loopback::write_chunk;

/// How often a watch writes an empty line while the list does not change.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// By how much a slow discovery delays the start of a watch.
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(1_500);
/// How often a watch checks the fault of discovery.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The head of every response.
const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It may receive new requests.
    Ready,
    /// It is draining.
    Terminating,
    /// It has ended.
    Gone,
}

impl Lifecycle {
    /// The name that the protocol of discovery gives it.
    fn name(self) -> &'static str {
        match self {
            Lifecycle::Ready => "Ready",
            Lifecycle::Terminating => "Terminating",
            Lifecycle::Gone => "Gone",
        }
    }
}

/// The entry of a server in the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Its address.
    pub address: SocketAddr,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// When it started, in milliseconds since the Unix epoch; 0 is long ago.
    pub started_ms: u64,
}

/// Discovery.
pub struct Discovery {
    /// When the run started.
    started_at: Instant,
    /// The endpoint list, by server.
    endpoints: RefCell<Vec<Endpoint>>,
    /// The server that each change concerns; as many as there are changes in the recording.
    changed_servers: RefCell<Vec<usize>>,
    /// How many changes there have been.
    version: watch::Sender<usize>,
    fault: Cell<Option<Fault>>,
    recording: Rc<RefCell<Recording>>,
    /// How many fronts there are.
    fronts: usize,
}

impl Discovery {
    /// A list of servers.
    pub fn new(
        endpoints: Vec<Endpoint>,
        fronts: usize,
        started_at: Instant,
        recording: Rc<RefCell<Recording>>,
    ) -> Rc<Discovery> {
        Rc::new(Discovery {
            started_at,
            endpoints: RefCell::new(endpoints),
            changed_servers: RefCell::default(),
            version: watch::Sender::new(0),
            fault: Cell::new(None),
            recording,
            fronts,
        })
    }

    /// Has a fault for a while, and records when. Returns when it is over.
    pub async fn fail_for(&self, fault: Fault, duration: Duration) {
        self.fault.set(Some(fault));
        let from = self.started_at.elapsed();
        sleep(duration).await;
        self.fault.set(None);
        let outage = Span {
            from,
            until: self.started_at.elapsed(),
        };
        self.recording.borrow_mut().discovery_outages.push(outage);
    }

    /// Changes the state of a server.
    pub fn set_lifecycle(&self, server: usize, lifecycle: Lifecycle) {
        let endpoint = self.endpoints.borrow()[server];
        let changed = Endpoint {
            lifecycle,
            ..endpoint
        };
        self.change(server, changed);
    }

    /// Lists a server as ready that has started, at a time in milliseconds since the Unix epoch.
    pub fn announce_start(&self, server: usize, started_ms: u64) {
        let endpoint = self.endpoints.borrow()[server];
        let changed = Endpoint {
            lifecycle: Lifecycle::Ready,
            started_ms,
            ..endpoint
        };
        self.change(server, changed);
    }

    /// Replaces the entry of a server, records the change and notifies all watches.
    fn change(&self, server: usize, changed: Endpoint) {
        self.endpoints.borrow_mut()[server] = changed;
        let change = EndpointChange {
            server,
            is_ready: changed.lifecycle == Lifecycle::Ready,
            at: self.started_at.elapsed(),
            notified_at: vec![None; self.fronts],
        };
        self.recording.borrow_mut().endpoint_changes.push(change);
        self.changed_servers.borrow_mut().push(server);
        self.version.send_modify(|version| *version += 1);
    }

    /// The complete endpoint list, as JSON.
    pub fn endpoint_list(&self) -> String {
        let servers: Vec<usize> = (0..self.endpoints.borrow().len()).collect();
        self.watch_event(true, &servers)
    }

    /// A watch event about some servers, as JSON; `reset` says that no others are listed.
    fn watch_event(&self, reset: bool, servers: &[usize]) -> String {
        let endpoints = self.endpoints.borrow();
        let instance = |server: &usize| {
            let endpoint = endpoints[*server];
            format!(
                r#"{{"instanceId":"s-{server}","hostPort":"{}","zone":"zone-a","machineType":"m","cell":{server},"lifecycle":"{}","weight":1.0,"startedAtMs":{}}}"#,
                endpoint.address,
                endpoint.lifecycle.name(),
                endpoint.started_ms
            )
        };
        let instances: Vec<String> = servers.iter().map(instance).collect();
        let instances = instances.join(",");
        let generation = *self.version.borrow() + 1;
        format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{instances}]}}"#)
    }

    /// Serves the watches of one front without end.
    pub async fn serve(self: Rc<Self>, front: usize, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            spawn_local(Rc::clone(&self).serve_connection(front, stream));
        }
    }

    /// Serves a watch until the front closes it or discovery is down.
    async fn serve_connection(self: Rc<Self>, front: usize, mut stream: TcpStream) {
        best_effort::ignore_closed_connection(self.serve_watch(front, &mut stream).await);
    }

    /// Writes the complete list to a front, and then each change, until the connection fails or
    /// discovery is down.
    async fn serve_watch(&self, front: usize, stream: &mut TcpStream) -> std::io::Result<()> {
        if self.fault.get() == Some(Fault::DiscoveryDown) {
            return Ok(());
        }
        let mut reader = MessageReader::new(&mut *stream);
        if reader.next().await.is_none() {
            return Ok(());
        }
        if self.fault.get() == Some(Fault::DiscoverySlow) {
            sleep(SLOW_RESPONSE_DELAY).await;
        }
        self.wait_while_silent().await;
        stream.write_all(RESPONSE_HEAD).await?;
        let mut version = self.version.subscribe();
        let mut written = *version.borrow_and_update();
        write_chunk(stream, &(self.endpoint_list() + "\n")).await?;
        self.record_notified(front, 0..written);
        let mut last_write = Instant::now();
        loop {
            wait_for_change(&mut version).await;
            match self.fault.get() {
                Some(Fault::DiscoveryDown) => return Ok(()),
                // A watch that has become silent stays so.
                Some(Fault::DiscoverySilent) => return std::future::pending().await,
                _ => {}
            }
            let current = *version.borrow_and_update();
            if current > written {
                let servers = self.changed_servers.borrow()[written..current].to_vec();
                write_chunk(stream, &(self.watch_event(false, &servers) + "\n")).await?;
                self.record_notified(front, written..current);
                written = current;
                last_write = Instant::now();
            } else if last_write.elapsed() >= KEEPALIVE_INTERVAL {
                write_chunk(stream, "\n").await?;
                last_write = Instant::now();
            }
        }
    }

    /// Waits until discovery answers again.
    async fn wait_while_silent(&self) {
        while self.fault.get() == Some(Fault::DiscoverySilent) {
            sleep(FAULT_POLL_INTERVAL).await;
        }
    }

    /// Records that changes were written to a front. The latest time counts: a front that was
    /// restarted is notified again.
    fn record_notified(&self, front: usize, changes: Range<usize>) {
        let now = self.started_at.elapsed();
        let mut recording = self.recording.borrow_mut();
        for change in &mut recording.endpoint_changes[changes] {
            change.notified_at[front] = Some(now);
        }
    }
}

/// Waits for a change of the list, but no longer than until the fault must be checked again.
async fn wait_for_change(version: &mut watch::Receiver<usize>) {
    tokio::select! {
        // An error cannot occur: the sender lives as long as the caller.
        _ = version.changed() => {}
        () = sleep(FAULT_POLL_INTERVAL) => {}
    }
}
