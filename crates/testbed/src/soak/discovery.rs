//! Discovery of a soak: one list, told to each front at an address of its own.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

use super::fault::Fault;
use super::recording::{ListChange, Recording};
use super::wire::MessageReader;

/// How often a watch writes an empty line while nothing changes.
const KEEPALIVE: Duration = Duration::from_secs(2);
/// How late a slow discovery answers.
const SLOW_ANSWER: Duration = Duration::from_millis(1_500);
/// How often a watch looks whether discovery is in fault.
const FAULT_POLL: Duration = Duration::from_millis(20);

/// The entry of a server.
#[derive(Clone, Copy)]
pub struct Entry {
    /// Its address.
    pub address: SocketAddr,
    /// Its state in the words of discovery.
    pub lifecycle: &'static str,
    /// When it started, in Unix milliseconds; 0 is long ago.
    pub started_ms: u64,
}

/// Discovery.
pub struct Discovery {
    started: Instant,
    entries: RefCell<Vec<Entry>>,
    /// The change of the recording for each version of the list, and its server.
    versions: RefCell<Vec<usize>>,
    version: watch::Sender<usize>,
    /// Its present fault.
    pub fault: Cell<Option<Fault>>,
    recording: Rc<RefCell<Recording>>,
    fronts: usize,
}

impl Discovery {
    /// A list of servers that are all in service.
    pub fn new(
        entries: Vec<Entry>,
        fronts: usize,
        started: Instant,
        recording: Rc<RefCell<Recording>>,
    ) -> Rc<Discovery> {
        Rc::new(Discovery {
            started,
            entries: RefCell::new(entries),
            versions: RefCell::default(),
            version: watch::Sender::new(0),
            fault: Cell::new(None),
            recording,
            fronts,
        })
    }

    /// Changes the entry of a server.
    pub fn change(&self, server: usize, lifecycle: &'static str, started_ms: Option<u64>) {
        let mut entries = self.entries.borrow_mut();
        entries[server].lifecycle = lifecycle;
        entries[server].started_ms = started_ms.unwrap_or(entries[server].started_ms);
        drop(entries);
        self.recording.borrow_mut().changes.push(ListChange {
            server,
            is_ready: lifecycle == "Ready",
            at: self.started.elapsed(),
            notified_at: vec![None; self.fronts],
        });
        self.versions.borrow_mut().push(server);
        self.version.send_modify(|version| *version += 1);
    }

    /// The whole list as JSON.
    pub fn list(&self) -> String {
        let entries = self.entries.borrow();
        let all: Vec<usize> = (0..entries.len()).collect();
        self.message(true, &all)
    }

    fn message(&self, reset: bool, servers: &[usize]) -> String {
        let entries = self.entries.borrow();
        let entry = |server: &usize| {
            let Entry {
                address,
                lifecycle,
                started_ms,
            } = entries[*server];
            format!(
                r#"{{"instanceId":"s-{server}","hostPort":"{address}","zone":"zone-a","machineType":"m","cell":{server},"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":{started_ms}}}"#
            )
        };
        let entries: Vec<String> = servers.iter().map(entry).collect();
        let generation = self.version.borrow().to_owned() + 1;
        format!(
            r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#,
            entries.join(",")
        )
    }

    /// Serves the calls of one front until the task is ended.
    pub async fn serve(self: Rc<Self>, front: usize, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let discovery = Rc::clone(&self);
            spawn_local(async move {
                // A front that has ended reads no more.
                let _ = discovery.serve_watch(front, stream).await;
            });
        }
    }

    async fn serve_watch(&self, front: usize, mut stream: TcpStream) -> std::io::Result<()> {
        if self.fault.get() == Some(Fault::DiscoveryDown) {
            return Ok(());
        }
        let mut reader = MessageReader::new(&mut stream);
        if reader.next().await.is_none() {
            return Ok(());
        }
        if self.fault.get() == Some(Fault::DiscoverySlow) {
            tokio::time::sleep(SLOW_ANSWER).await;
        }
        self.wait_while_silent().await;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await?;
        let mut version = self.version.subscribe();
        let mut told = *version.borrow_and_update();
        write_chunk(&mut stream, &(self.list() + "\n")).await?;
        self.record_notified(front, 0..told);
        let mut quiet_since = Instant::now();
        loop {
            // The outcome shows in the version.
            let _ = tokio::time::timeout(FAULT_POLL, version.changed()).await;
            match self.fault.get() {
                Some(Fault::DiscoveryDown) => return Ok(()),
                // A watch that has fallen silent stays so.
                Some(Fault::DiscoverySilent) => return std::future::pending().await,
                _ => {}
            }
            let now_at = *version.borrow_and_update();
            if now_at > told {
                let servers = self.versions.borrow()[told..now_at].to_vec();
                write_chunk(&mut stream, &(self.message(false, &servers) + "\n")).await?;
                self.record_notified(front, told..now_at);
                told = now_at;
                quiet_since = Instant::now();
            } else if quiet_since.elapsed() >= KEEPALIVE {
                write_chunk(&mut stream, "\n").await?;
                quiet_since = Instant::now();
            }
        }
    }

    async fn wait_while_silent(&self) {
        while self.fault.get() == Some(Fault::DiscoverySilent) {
            tokio::time::sleep(FAULT_POLL).await;
        }
    }

    /// The latest telling counts: a front that was started anew is told anew.
    fn record_notified(&self, front: usize, versions: std::ops::Range<usize>) {
        let now = self.started.elapsed();
        let mut recording = self.recording.borrow_mut();
        for change in &mut recording.changes[versions] {
            change.notified_at[front] = Some(now);
        }
    }
}

async fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream
        .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
        .await
}
