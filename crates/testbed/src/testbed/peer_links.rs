//! The links between fronts: a UDP proxy for each pair and each way, which can be cut, and which
//! loses, duplicates and delays datagrams.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use tokio::net::UdpSocket;
use tokio::task::{spawn_local, JoinHandle};

use super::error::TestbedError;
use crate::best_effort;
use crate::schedule::DatagramFaults;

/// The largest datagram, in bytes.
const MAX_DATAGRAM: usize = 65_536;
/// How a datagram of the fronts' protocol begins.
const DATAGRAM_PREFIX: [u8; 4] = *b"TBP\x02";
/// The longest unauthenticated datagram, in bytes, without the prefix.
const MAX_UNAUTHENTICATED_DATAGRAM: usize = 200;

/// A link from one front to another, one way.
pub struct PeerLink {
    /// Where the sender reaches the receiver: the proxy's own socket.
    pub address: SocketAddr,
    is_cut: Cell<bool>,
    /// Where the receiver receives, once it runs.
    target: Cell<Option<SocketAddr>>,
}

/// All links between fronts.
#[derive(Default)]
pub struct PeerLinks {
    /// By sender and receiver.
    links: BTreeMap<(usize, usize), Rc<PeerLink>>,
    faults: Rc<Cell<DatagramFaults>>,
    /// The proxies of the links.
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for PeerLinks {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl PeerLinks {
    /// Opens a healthy link for each pair of fronts and each way. They work for as long as the
    /// returned value lives.
    ///
    /// # Errors
    /// If the operating system rejects a socket.
    pub async fn open(fronts: usize) -> Result<PeerLinks, TestbedError> {
        let mut links = PeerLinks::default();
        for from in 0..fronts {
            for to in (0..fronts).filter(|to| *to != from) {
                let socket = bind()
                    .await
                    .map_err(TestbedError::system("a link's socket"))?;
                let address = socket
                    .local_addr()
                    .map_err(TestbedError::system("a link's socket"))?;
                let link = Rc::new(PeerLink {
                    address,
                    is_cut: Cell::default(),
                    target: Cell::default(),
                });
                links.links.insert((from, to), Rc::clone(&link));
                let proxy = proxy(Rc::new(socket), link, Rc::clone(&links.faults));
                links.tasks.push(spawn_local(proxy));
            }
        }
        Ok(links)
    }

    /// The link from one front to another, if there is one.
    pub fn link(&self, from: usize, to: usize) -> Option<&PeerLink> {
        self.links.get(&(from, to)).map(Rc::as_ref)
    }

    /// Cuts the link from one front to another.
    pub fn cut(&self, from: usize, to: usize) {
        if let Some(link) = self.link(from, to) {
            link.is_cut.set(true);
        }
    }

    /// Cuts exactly the links between fronts of this side and all others; with no side, heals every
    /// link.
    pub fn partition(&self, side: &[usize]) {
        for ((from, to), link) in &self.links {
            link.is_cut.set(side.contains(from) != side.contains(to));
        }
    }

    /// Changes what happens to datagrams on all links.
    pub fn set_faults(&self, faults: DatagramFaults) {
        self.faults.set(faults);
    }

    /// Sets where a front receives datagrams.
    pub fn set_target(&self, front: usize, target: Option<SocketAddr>) {
        for ((_, to), link) in &self.links {
            if *to == front {
                link.target.set(target);
            }
        }
    }

    /// Where each link leads, as far as that is known.
    fn targets(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.links.values().filter_map(|link| link.target.get())
    }

    /// Sends every front datagrams for a while that no front has sent: random bytes, of which some
    /// begin as a message.
    pub async fn send_unauthenticated_datagrams(
        &self,
        per_second: u32,
        duration: Duration,
        mut rng: Rng,
    ) {
        let Ok(socket) = bind().await else { return };
        let deadline = Instant::now() + duration;
        let interval = Duration::from_secs_f64(1.0 / f64::from(per_second.max(1)));
        while Instant::now() < deadline {
            for target in self.targets() {
                let bytes = unauthenticated_datagram(&mut rng);
                best_effort::send_datagram(&socket, &bytes, target);
            }
            tokio::time::sleep(interval).await;
        }
    }
}

/// A datagram socket at a port that the system chooses.
async fn bind() -> std::io::Result<UdpSocket> {
    UdpSocket::bind("127.0.0.1:0").await
}

/// Random bytes; about half of the datagrams begin as a message.
fn unauthenticated_datagram(rng: &mut Rng) -> Vec<u8> {
    let length = rng.usize(0..MAX_UNAUTHENTICATED_DATAGRAM);
    let mut bytes: Vec<u8> = (0..length).map(|_| rng.u8(..)).collect();
    if rng.bool() {
        bytes.splice(0..0, DATAGRAM_PREFIX);
    }
    bytes
}

/// Forwards datagrams of one link without end. What the receiver answers to the proxy's socket goes
/// back to the sender, as it would between two machines.
async fn proxy(socket: Rc<UdpSocket>, link: Rc<PeerLink>, faults: Rc<Cell<DatagramFaults>>) {
    let mut sender: Option<SocketAddr> = None;
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let target = match link.target.get() {
            Some(target) if source == target => sender,
            target => {
                sender = Some(source);
                target
            }
        };
        let Some(target) = target.filter(|_| !link.is_cut.get()) else {
            continue;
        };
        forward(&socket, &link, faults.get(), &buffer[..length], target);
    }
}

/// Sends each copy of a datagram that arrives, at once or after a delay.
fn forward(
    socket: &Rc<UdpSocket>,
    link: &Rc<PeerLink>,
    faults: DatagramFaults,
    bytes: &[u8],
    target: SocketAddr,
) {
    let copies = 1 + usize::from(fastrand::u8(0..100) < faults.duplication_percent);
    for _ in 0..copies {
        if fastrand::u8(0..100) < faults.loss_percent {
            continue;
        }
        if faults.max_delay.is_zero() {
            best_effort::send_datagram(socket, bytes, target);
            continue;
        }
        let delay = Duration::from_millis(fastrand::u64(0..=faults.max_delay.as_millis() as u64));
        let socket = Rc::clone(socket);
        let link = Rc::clone(link);
        let bytes = bytes.to_vec();
        spawn_local(async move {
            tokio::time::sleep(delay).await;
            if !link.is_cut.get() {
                best_effort::send_datagram(&socket, &bytes, target);
            }
        });
    }
}
