//! Many processes of the built program: object fronts with a chunk server that the lab plays, a load on each front,
//! and a proxy on every link between two fronts. All on loopback, with ports that the system chooses.
//!
//! The parts are tasks on one thread; [`Lab::new`] must be called inside a tokio `LocalSet`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use simd_json::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::{spawn_local, JoinHandle};

use crate::register::{zone, Register};
use crate::schedule::{Fault, Schedule, Step};
use crate::server::{Manner, Sent, Server};
use crate::wire::{self, Wire};

const SETTINGS: &str = include_str!("settings.json");
const KEY: &str = "a key of the lab's fronts, and of no others";
/// How long a front may take to say where it listens.
const READY: Duration = Duration::from_secs(20);
/// How long a front may take to come to say something.
const LONG: Duration = Duration::from_secs(40);
/// Units of a second and in store, of the volume that is asked for.
pub const RATE: f64 = 40.0;
/// So much of a volume's limit that it never holds back.
pub const PLENTY: f64 = 4_000.0;
/// Most units in store.
pub const BURST: f64 = 20.0;
/// Units of one read.
pub const UNITS: f64 = 2.05;
/// By how much a clock may gain, as a factor.
const DRIFT: f64 = 1.001;
/// Units of the largest request.
pub const MOST_UNITS: f64 = 6.0;

/// What goes wrong with the lab itself.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// The system refused something.
    #[error("{what}: {why}")]
    System {
        /// What was tried.
        what: &'static str,
        /// What it said.
        why: std::io::Error,
    },
    /// A front did not say that it listens.
    #[error("front {front} did not start; its log ends: {log}")]
    NotReady {
        /// Which.
        front: usize,
        /// The last it said.
        log: String,
    },
}

fn system(what: &'static str) -> impl FnOnce(std::io::Error) -> LabError {
    move |why| LabError::System { what, why }
}

/// How the fronts are told of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// Not at all: each takes an even part by this number, as before.
    Even(u32),
    /// By peers.
    Peers,
    /// By peers, where the first half has a roster of itself alone, and the second one of all.
    HalfUnknown,
}

/// What is done to every datagram on a link.
#[derive(Clone, Copy, Debug, Default)]
struct Weather {
    lost: u8,
    repeated: u8,
    late: u64,
}

#[derive(Default)]
struct Link {
    cut: Cell<bool>,
    /// Where the front at the far end hears, once it runs.
    far: Cell<Option<SocketAddr>>,
}

/// A front's process.
struct Front {
    child: Child,
    clients: SocketAddr,
    console: SocketAddr,
    /// Where it hears its peers, once it does, and where its file says that it does.
    peers: Option<SocketAddr>,
    listen: Option<SocketAddr>,
    stopped: bool,
}

/// The first version of a front that has a second one beside it. Where it is dropped, it is killed.
pub struct First {
    process: Front,
    /// What the second one says.
    said: mpsc::Receiver<String>,
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// For what a front's process is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// As the only one of its name.
    Only,
    /// As a second one of its name, by mistake, with addresses of its own.
    Twin,
    /// As the second version, at the addresses of the first.
    Next {
        /// Where clients connect.
        clients: SocketAddr,
        /// Where peers are heard.
        peers: Option<SocketAddr>,
    },
}

/// What a process says first.
#[derive(Clone, Copy, Debug, Default)]
struct Said {
    clients: Option<SocketAddr>,
    console: Option<SocketAddr>,
    peers: Option<SocketAddr>,
}

impl Said {
    fn take(&mut self, line: &str) {
        let address = |after: &str| line.rsplit_once(after).and_then(|(_, at)| at.trim().parse().ok());
        self.clients = self.clients.or_else(|| address("listening on "));
        self.console = self.console.or_else(|| address("console on "));
        self.peers = self.peers.or_else(|| address("peers at "));
    }
}

/// The terms of a roster that fronts have as files: its revision, and its floor in hundredths.
#[derive(Clone, Copy, Debug)]
struct Roster {
    revision: u32,
    floor: u8,
}

/// What a lab is made of.
#[derive(Clone, Copy, Debug)]
pub struct Make {
    /// How many fronts.
    pub fronts: usize,
    /// How they share.
    pub sharing: Sharing,
    /// How many volumes, of which each read asks for any.
    pub volumes: usize,
    /// Units a second of each.
    pub rate: f64,
    /// What the fronts' files state for the fleet beside that, as JSON; empty is nothing.
    pub limits: &'static str,
    /// How many chunk servers, each with a shard.
    pub servers: usize,
    /// Over how many zones servers and fronts are spread.
    pub zones: usize,
    /// New objects among the requests, of a hundred; the rest are reads.
    pub new: u8,
    /// Whether the fronts share verdicts on servers.
    pub verdicts: bool,
    /// How they behave at first.
    pub manner: Manner,
    /// For the load and for what befalls datagrams.
    pub seed: u64,
}

impl Make {
    /// Fronts in two zones that share verdicts on so many servers, each of which takes so long, with no limit in the way
    /// of requests.
    pub fn judging(fronts: usize, servers: usize, takes: Duration, seed: u64) -> Make {
        Make {
            rate: PLENTY,
            limits: r#"{"starting_server": {"rate": 8, "burst": 11}}"#,
            servers,
            zones: 2,
            new: 50,
            verdicts: true,
            manner: Manner { takes, ..Manner::default() },
            ..Make::new(fronts, Sharing::Peers, seed)
        }
    }

    /// So many fronts and one volume.
    pub fn new(fronts: usize, sharing: Sharing, seed: u64) -> Make {
        let (limits, manner) = ("", Manner::default());
        Make {
            fronts,
            sharing,
            volumes: 1,
            rate: RATE,
            limits,
            servers: 1,
            zones: 1,
            new: 0,
            verdicts: false,
            manner,
            seed,
        }
    }
}

/// A request of the lab's clients, with its end.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// At which front.
    pub front: usize,
    /// When.
    pub at: Duration,
    /// How long it took; absent where no answer came within 3 s.
    pub took: Option<Duration>,
    /// Whether it was answered with success.
    pub served: bool,
    /// The shard that was read; absent is a new object.
    pub shard: Option<usize>,
}

/// What is done at one moment.
enum Act {
    Cut(usize, usize),
    Split(Vec<usize>),
    Weather(Weather),
    Load(usize, u32),
    Wire(Option<usize>, usize, wire::State),
    Server(usize, Duration, u8),
    /// Every wire to a server is whole.
    Mend,
    Signal(usize, Signal),
    End(usize, Signal),
    Start(usize),
    StartTwin(usize),
    /// The twin that has run for the longest.
    EndTwin,
    Upgrade(usize),
    Register(Option<usize>, wire::State),
    Replace(usize),
    /// Files with the next roster are laid for all.
    Lay(u8),
}

/// What is done for a fault, each so many milliseconds after the one before.
fn acts(fault: &Fault, fronts: usize) -> Vec<(u64, Act)> {
    match fault {
        Fault::Cut { from, to } => vec![(0, Act::Cut(*from, *to))],
        Fault::Split { side } => vec![(0, Act::Split(side.clone()))],
        Fault::Heal => vec![(0, Act::Split(Vec::new())), (0, Act::Mend)],
        Fault::Weather { lost, repeated, late } => {
            vec![(0, Act::Weather(Weather { lost: *lost, repeated: *repeated, late: *late }))]
        }
        Fault::Load { front, rate } => vec![(0, Act::Load(*front, *rate))],
        Fault::Wire { front, server, state } => vec![(0, Act::Wire(*front, *server, *state))],
        Fault::Server { server, takes, failing } => {
            vec![(0, Act::Server(*server, Duration::from_millis(*takes), *failing))]
        }
        Fault::Stop { front, millis } => {
            let signal = |signal| Act::Signal(*front, signal);
            vec![(0, signal(Signal::SIGSTOP)), (*millis, signal(Signal::SIGCONT))]
        }
        Fault::Kill { front, back } => {
            let back = back.iter().map(|back| (*back, Act::Start(*front)));
            [(0, Act::End(*front, Signal::SIGKILL))].into_iter().chain(back).collect()
        }
        Fault::Leave { front, back } => {
            vec![(0, Act::End(*front, Signal::SIGTERM)), (*back, Act::Start(*front))]
        }
        Fault::Twin { front, millis } => vec![(0, Act::StartTwin(*front)), (*millis, Act::EndTwin)],
        Fault::Upgrade { front } => vec![(0, Act::Upgrade(*front))],
        Fault::Register { front, state } => vec![(0, Act::Register(*front, *state))],
        Fault::Replace { server } => vec![(0, Act::Replace(*server))],
        // Who stands still hears the signal when it goes on; who is killed has the file when it is back.
        Fault::Roster { each, floor } => [(0, Act::Lay(*floor))]
            .into_iter()
            .chain((0..fronts).map(|front| (*each, Act::Signal(front, Signal::SIGHUP))))
            .collect(),
    }
}

/// A lab with its fronts.
pub struct Lab {
    program: PathBuf,
    folder: PathBuf,
    make: Make,
    count: usize,
    /// By front and server.
    wires: BTreeMap<(usize, usize), Wire>,
    register: Rc<Register>,
    /// Each front's way to the register.
    asks: Vec<Wire>,
    roster: Roster,
    manners: Vec<Rc<Cell<Manner>>>,
    links: BTreeMap<(usize, usize), Rc<Link>>,
    /// Where each front is told that another is: by the link's own socket.
    doors: BTreeMap<(usize, usize), SocketAddr>,
    weather: Rc<Cell<Weather>>,
    fronts: Vec<Rc<RefCell<Option<Front>>>>,
    /// Second processes of a name, the one that has run for the longest first, and what they say.
    twins: Vec<(Child, mpsc::Receiver<String>)>,
    twin_log: String,
    rates: Vec<Rc<Cell<u32>>>,
    sent: Rc<RefCell<Vec<Sent>>>,
    asked: Rc<RefCell<Vec<Asked>>>,
    began: Instant,
    tasks: Vec<JoinHandle<()>>,
    lot: fastrand::Rng,
}

impl Lab {
    /// Starts so many fronts of a program, and waits until each takes clients.
    ///
    /// # Errors
    /// Where the system refuses, or a front does not start.
    pub async fn new(program: &Path, make: Make) -> Result<Lab, LabError> {
        let Make { fronts: count, sharing, seed, .. } = make;
        let began = Instant::now();
        let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        // Each front has a folder of its own, from which a relative path would lead elsewhere.
        let program = program.canonicalize().map_err(system("the program"))?;
        let sent: Rc<RefCell<Vec<Sent>>> = Rc::default();
        let unique = format!("tulipbridge-lab-{}-{}", std::process::id(), fastrand::u32(..));
        let folder = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&folder).map_err(system("a folder"))?;
        std::fs::write(folder.join("key"), KEY).map_err(system("a key file"))?;
        let (mut tasks, mut wires, mut manners) = (Vec::new(), BTreeMap::new(), Vec::new());
        let seen = Rc::default();
        for number in 0..make.servers {
            let listener =
                TcpListener::bind("127.0.0.1:0").await.map_err(system("a chunk server's socket"))?;
            let at = listener.local_addr().map_err(system("a chunk server's socket"))?;
            for front in 0..count {
                let wire = Wire::to(at).await.map_err(system("a wire's socket"))?;
                wires.insert((front, number), wire);
            }
            let (manner, sent, seen) = (Rc::new(Cell::new(make.manner)), Rc::clone(&sent), Rc::clone(&seen));
            manners.push(Rc::clone(&manner));
            tasks.push(spawn_local(Server { number, manner, sent, began, seen }.serve(listener)));
        }
        let began_ms = wall.as_millis() as u64;
        let started_ms = if make.manner.starting { began_ms } else { 0 };
        let register = Register::new(vec![started_ms; make.servers], make.zones);
        let mut asks = Vec::new();
        for front in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.map_err(system("the register's socket"))?;
            let at = listener.local_addr().map_err(system("the register's socket"))?;
            asks.push(Wire::to(at).await.map_err(system("a wire's socket"))?);
            let servers = (0..make.servers).map(|server| wires[&(front, server)].at).collect();
            tasks.push(spawn_local(Rc::clone(&register).serve(listener, servers)));
        }
        let weather: Rc<Cell<Weather>> = Rc::default();
        let (mut links, mut doors) = (BTreeMap::new(), BTreeMap::new());
        if !matches!(sharing, Sharing::Even(_)) {
            for (from, to) in (0..count).flat_map(|f| (0..count).map(move |t| (f, t))).filter(|(f, t)| f != t)
            {
                let socket = UdpSocket::bind("127.0.0.1:0").await.map_err(system("a link's socket"))?;
                doors.insert((from, to), socket.local_addr().map_err(system("a link's socket"))?);
                let link: Rc<Link> = Rc::default();
                links.insert((from, to), Rc::clone(&link));
                tasks.push(spawn_local(proxy(socket, link, Rc::clone(&weather))));
            }
        }
        let rates: Vec<Rc<Cell<u32>>> = (0..count).map(|_| Rc::default()).collect();
        let fronts: Vec<Rc<RefCell<Option<Front>>>> = (0..count).map(|_| Rc::default()).collect();
        let lot = fastrand::Rng::with_seed(seed);
        let mut lab = Lab {
            program,
            folder,
            make,
            count,
            wires,
            manners,
            links,
            doors,
            weather,
            fronts,
            twins: Vec::new(),
            twin_log: String::new(),
            rates,
            sent,
            asked: Rc::default(),
            began,
            register,
            asks,
            roster: Roster { revision: 1, floor: 10 },
            tasks,
            lot,
        };
        for front in 0..count {
            lab.start(front).await?;
            let clients = Clients {
                number: front,
                rate: Rc::clone(&lab.rates[front]),
                front: Rc::clone(&lab.fronts[front]),
                asked: Rc::clone(&lab.asked),
                began,
                choice: (make.volumes, make.servers, make.new),
            };
            let lot = fastrand::Rng::with_seed(lab.lot.u64(..));
            lab.tasks.push(spawn_local(clients.load(lot)));
        }
        Ok(lab)
    }

    fn config(&self, front: usize, role: Role) -> String {
        let hosts = if let Sharing::Even(hosts) = self.make.sharing { hosts } else { 4 };
        let half = self.make.sharing == Sharing::HalfUnknown && front < self.count / 2;
        let known = if half { self.count / 2 } else { self.count };
        let told = |key: &str| format!("\"{key}\": {:.1}", self.make.rate);
        let mut settings = SETTINGS.replace("\"CeilingRate\": 40.0", &told("CeilingRate"));
        if !self.make.limits.is_empty() {
            // What is asked for is inside the volume's share, lest that holds back before what is stated.
            settings = settings.replace("\"Nominal\": 40.0", &told("Nominal"));
        }
        let buckets: Vec<String> = (0..self.make.volumes)
            .map(|v| {
                format!(
                    r#""b{v}": {{"volume": "{v:x}", "plan": "limited", "read": "read", "write": "write", "hosts": {hosts}}}"#
                )
            })
            .collect();
        let buckets = buckets.join(", ");
        let roster: Vec<String> = (0..known)
            .map(|to| {
                let at = self.doors.get(&(front, to)).map_or("127.0.0.1:1".to_owned(), ToString::to_string);
                let zone = zone(to % self.make.zones);
                format!(r#"{{"name": "object-{to}", "address": "{at}", "zone": "{zone}"}}"#)
            })
            .collect();
        let (clients, listen) = match role {
            Role::Next { clients, peers } => (clients.to_string(), peers.map(|at| at.to_string())),
            Role::Only | Role::Twin => ("127.0.0.1:0".to_owned(), None),
        };
        let listen = listen.unwrap_or_else(|| "127.0.0.1:0".to_owned());
        let Roster { revision, floor } = self.roster;
        let peers = match self.make.sharing {
            Sharing::Even(_) => String::new(),
            Sharing::Peers | Sharing::HalfUnknown => format!(
                r#""peers": {{"listen": "{listen}", "key_file": "{}", "revision": {revision}, "floor": 0.{floor:02},
                "roster": [{}]{}}},"#,
                self.folder.join("key").display(),
                roster.join(", "),
                match self.make.limits {
                    "" => String::new(),
                    limits => format!(r#", "limits": {limits}"#),
                } + if self.make.verdicts { r#", "verdicts": {}"# } else { "" }
            ),
        };
        let at: Vec<SocketAddr> =
            (0..self.make.servers).map(|server| self.wires[&(front, server)].at).collect();
        let known = self.register.list(&at);
        let zones: Vec<String> = (0..self.make.zones).map(|z| format!("\"{}\"", zone(z))).collect();
        let settings = settings.replace("\"zone-a\"", &zones.join(", "));
        let settings = settings.replace("\"Shards\": 1,", &format!("\"Shards\": {},", self.make.servers));
        format!(
            r#"{{"name": "object-{front}", "listen": "{clients}", "console": "127.0.0.1:0", "seed": "{:x}",
            "discovery": "{}", "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 512}}, {peers}
            "known": {known},
            "buckets": {{{buckets}}},
            "settings": {settings}}}"#,
            (front as u64 + 1) * 7919 + u64::from(role != Role::Only),
            self.asks[front].at,
        )
    }

    /// Starts a front's process, which remembers nothing, and waits until it takes clients.
    ///
    /// # Errors
    /// Where it does not start.
    pub async fn start(&mut self, front: usize) -> Result<(), LabError> {
        let role = Role::Only;
        let process = self.spawn(front, role)?;
        let peers_told = !matches!(self.make.sharing, Sharing::Even(_));
        let ready = |said: &Said| {
            said.clients.is_some() && said.console.is_some() && (!peers_told || said.peers.is_some())
        };
        self.run((front, role), process, ready).await?;
        Ok(())
    }

    /// Waits until a process has said what it must, and has it as the front's from then on. Gives what it says later,
    /// and the one before.
    async fn run(
        &self,
        (front, role): (usize, Role),
        (mut child, log): (Child, mpsc::Receiver<String>),
        ready: impl Fn(&Said) -> bool,
    ) -> Result<(mpsc::Receiver<String>, Option<Front>), LabError> {
        let (mut said, mut last) = (Said::default(), String::new());
        let until = Instant::now() + READY;
        while !ready(&said) {
            match log.try_recv() {
                Ok(line) => {
                    said.take(&line);
                    last = line;
                }
                Err(gone) => {
                    if Instant::now() >= until || gone == mpsc::TryRecvError::Disconnected {
                        let _ = child.kill();
                        let _ = child.wait();
                        return Err(LabError::NotReady { front, log: last });
                    }
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
            }
        }
        let mut before = None;
        if let (Some(clients), Some(console)) = (said.clients, said.console) {
            let peers = said.peers;
            let listen = if let Role::Next { peers, .. } = role { peers } else { None };
            let running = Front { child, clients, console, peers, listen, stopped: false };
            before = self.fronts[front].borrow_mut().replace(running);
        }
        let to_it = self.links.iter().filter(|((_, to), _)| *to == front && said.peers.is_some());
        to_it.for_each(|(_, link)| link.far.set(said.peers));
        Ok((log, before))
    }

    /// Starts a second version of a front at the first one's addresses, has the first one end in order once the second
    /// takes clients, and waits until the second hears its peers. Nothing where the front does not run, or stands
    /// still.
    ///
    /// # Errors
    /// Where the second one does not start, or does not come to hear its peers.
    pub async fn upgrade(&mut self, front: usize) -> Result<(), LabError> {
        if self.fronts[front].borrow().as_ref().is_none_or(|f| f.stopped) {
            return Ok(());
        }
        let first = self.beside(front).await?;
        self.finish(front, first).await
    }

    /// Starts a second version of a front at the first one's addresses. The second is the front from then on, and the
    /// first stands still, so that it takes no client.
    ///
    /// # Errors
    /// Where the front does not run, or the second one does not start.
    pub async fn beside(&self, front: usize) -> Result<First, LabError> {
        let log = "there is no first one".to_owned();
        let none = LabError::NotReady { front, log };
        let told = self.fronts[front].borrow().as_ref().map(|f| (f.clients, f.peers));
        let (clients, peers) = told.ok_or(none)?;
        let role = Role::Next { clients, peers };
        let process = self.spawn(front, role)?;
        let ready = |said: &Said| said.clients.is_some() && said.console.is_some();
        let (said, before) = self.run((front, role), process, ready).await?;
        let process = before.ok_or(LabError::NotReady { front, log: "the first one is gone".to_owned() })?;
        let _ = kill(Pid::from_raw(process.child.id() as i32), Signal::SIGSTOP);
        Ok(First { process, said })
    }

    /// Ends the first version in order, and waits until the second one hears its peers.
    ///
    /// # Errors
    /// Where it does not.
    pub async fn finish(&self, front: usize, first: First) -> Result<(), LabError> {
        let (mut process, log) = (first.process, first.said);
        let pid = Pid::from_raw(process.child.id() as i32);
        let _ = (kill(pid, Signal::SIGTERM), kill(pid, Signal::SIGCONT));
        let until = Instant::now() + READY;
        let mut said = Said::default();
        while process.peers.is_some() && said.peers.is_none() {
            log.try_iter().for_each(|line| said.take(&line));
            if Instant::now() >= until {
                let _ = process.child.kill();
                let _ = process.child.wait();
                return Err(LabError::NotReady { front, log: "it does not hear its peers".to_owned() });
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let _ = process.child.wait();
        if let Some(second) = self.fronts[front].borrow_mut().as_mut() {
            second.peers = said.peers;
        }
        Ok(())
    }

    fn spawn(&self, front: usize, role: Role) -> Result<(Child, mpsc::Receiver<String>), LabError> {
        let own = if role == Role::Twin { "-twin" } else { "" };
        let file = self.folder.join(format!("front-{front}{own}.json"));
        std::fs::write(&file, self.config(front, role)).map_err(system("a front's file"))?;
        let own = self.folder.join(format!("front-{front}"));
        std::fs::create_dir_all(&own).map_err(system("a front's folder"))?;
        let mut command = Command::new(&self.program);
        command.arg("object").arg(&file).current_dir(&own).env("TMPDIR", &own);
        let mut child = command.stderr(Stdio::piped()).spawn().map_err(system("starting the program"))?;
        let (say, log) = mpsc::channel();
        let errors = child.stderr.take();
        std::thread::spawn(move || {
            for line in errors.into_iter().flat_map(|e| BufReader::new(e).lines().map_while(Result::ok)) {
                // A lab that has gone reads no more; the front must be able to go on writing.
                let _ = say.send(line);
            }
        });
        Ok((child, log))
    }

    /// Lays a front's file anew, with the addresses that it has: it is read at its next SIGHUP.
    fn lay(&self, front: usize) -> Result<(), LabError> {
        let told = self.fronts[front].borrow().as_ref().map(|f| (f.clients, f.listen));
        let Some((clients, peers)) = told else { return Ok(()) };
        let file = self.folder.join(format!("front-{front}.json"));
        std::fs::write(&file, self.config(front, Role::Next { clients, peers }))
            .map_err(system("a front's file"))
    }

    /// So many reads a second come to a front from now on.
    pub fn load(&self, front: usize, rate: u32) {
        self.rates[front].set(rate);
    }

    /// Since the lab began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// All that the lab's clients asked and that has ended.
    pub fn asked(&self) -> Vec<Asked> {
        self.asked.borrow().clone()
    }

    /// What a front says of verdicts on servers, as JSON.
    pub async fn verdicts(&self, front: usize) -> Option<String> {
        self.get(front, "/status/verdicts").await
    }

    /// The servers that a front says it holds out.
    pub async fn held_out(&self, front: usize) -> Vec<String> {
        self.verdicts(front).await.map_or_else(Vec::new, |told| held_out(&told))
    }

    /// All that reached the chunk server.
    pub fn sent(&self) -> Vec<Sent> {
        self.sent.borrow().clone()
    }

    /// Where a front's clients connect.
    pub fn clients(&self, front: usize) -> Option<SocketAddr> {
        self.fronts[front].borrow().as_ref().map(|f| f.clients)
    }

    /// A front's console.
    pub fn console(&self, front: usize) -> Option<SocketAddr> {
        self.fronts[front].borrow().as_ref().map(|f| f.console)
    }

    /// What a front says of its peers, as JSON.
    pub async fn peers(&self, front: usize) -> Option<String> {
        self.get(front, "/status/peers").await
    }

    /// The figures of a front, as its console shows them.
    pub async fn metrics(&self, front: usize) -> Option<String> {
        self.get(front, "/status/metrics").await
    }

    /// The body of what a front's console answers.
    async fn get(&self, front: usize, path: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.console(front)?).await.ok()?;
        let asked = format!("GET {path} HTTP/1.1\r\nHost: lab\r\n\r\n");
        stream.write_all(asked.as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        answer.split_once("\r\n\r\n").map(|(_, body)| body.to_owned())
    }

    /// What second processes of a name have said.
    pub fn said_by_twins(&self) -> &str {
        &self.twin_log
    }

    /// Waits until a front says this of its peers; false where it does not within a time that is long for any
    /// machine.
    pub async fn until_peers(&self, front: usize, says: impl Fn(&str) -> bool) -> bool {
        self.until(front, "/status/peers", says).await
    }

    /// Waits until a front says this of verdicts, in the same way.
    pub async fn until_verdicts(&self, front: usize, says: impl Fn(&str) -> bool) -> bool {
        self.until(front, "/status/verdicts", says).await
    }

    async fn until(&self, front: usize, path: &str, says: impl Fn(&str) -> bool) -> bool {
        let until = Instant::now() + LONG;
        while Instant::now() < until {
            if self.get(front, path).await.is_some_and(|told| says(&told)) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Waits until every front that runs hears all others, and holds its bank.
    pub async fn until_joined(&self) -> bool {
        for front in 0..self.count {
            let whole = |told: &str| {
                told.matches("\"belief\":\"alive\"").count() == self.count - 1
                    && told.contains(&format!("\"banks\":[\"object-{front}\"]"))
            };
            if self.fronts[front].borrow().is_some() && !self.until_peers(front, whole).await {
                return false;
            }
        }
        true
    }

    /// Does what a fault says, and waits until it is over: also until a stopped front has gone on, or a killed one is
    /// back, where the fault says when.
    ///
    /// # Errors
    /// Where a front does not start again.
    pub async fn strike(&mut self, fault: &Fault) -> Result<(), LabError> {
        for (after, act) in acts(fault, self.count) {
            tokio::time::sleep(Duration::from_millis(after)).await;
            self.act(act).await?;
        }
        Ok(())
    }

    /// Plays a schedule to its end, each fault and each end of one at its moment.
    ///
    /// # Errors
    /// Where a front does not start again.
    pub async fn play(&mut self, schedule: &Schedule) -> Result<(), LabError> {
        let began = Instant::now();
        let mut due: Vec<(u64, Act)> = Vec::new();
        for Step { at, fault } in &schedule.steps {
            let mut at = *at;
            for (after, act) in acts(fault, self.count) {
                at += after;
                due.push((at, act));
            }
        }
        due.sort_by_key(|(at, _)| *at);
        for (at, act) in due.into_iter().filter(|(at, _)| *at <= schedule.millis) {
            tokio::time::sleep_until((began + Duration::from_millis(at)).into()).await;
            self.act(act).await?;
        }
        tokio::time::sleep_until((began + Duration::from_millis(schedule.millis)).into()).await;
        Ok(())
    }

    async fn act(&mut self, act: Act) -> Result<(), LabError> {
        match act {
            Act::Cut(from, to) => self.links.get(&(from, to)).into_iter().for_each(|l| l.cut.set(true)),
            Act::Split(side) => {
                for ((from, to), link) in &self.links {
                    link.cut.set(side.contains(from) != side.contains(to));
                }
            }
            Act::Mend => {
                self.wires.values().chain(&self.asks).for_each(|wire| wire.set(wire::State::Whole));
            }
            Act::Register(front, state) => {
                let of = self.asks.iter().enumerate().filter(|(f, _)| front.is_none_or(|front| front == *f));
                of.for_each(|(_, wire)| wire.set(state));
            }
            Act::Replace(server) => {
                let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
                let started_ms = wall.unwrap_or_default().as_millis() as u64;
                self.register.replace(server, started_ms);
            }
            Act::Upgrade(front) => self.upgrade(front).await?,
            Act::Lay(floor) => {
                self.roster = Roster { revision: self.roster.revision + 1, floor: floor.min(99) };
                for front in 0..self.count {
                    self.lay(front)?;
                }
            }
            Act::Weather(weather) => self.weather.set(weather),
            Act::Load(front, rate) => self.load(front, rate),
            Act::Wire(front, server, state) => {
                let of = |f: &usize| front.is_none_or(|front| front == *f);
                let wires = (0..self.count).filter(of).filter_map(|front| self.wires.get(&(front, server)));
                wires.for_each(|wire| wire.set(state));
            }
            Act::Server(server, takes, failing) => {
                if let Some(manner) = self.manners.get(server) {
                    manner.set(Manner { takes, failing, ..manner.get() });
                }
            }
            Act::Signal(front, signal) => self.signal(front, signal),
            Act::End(front, signal) => {
                // One that stands still would not end in order.
                self.signal(front, Signal::SIGCONT);
                self.end(front, signal).await;
            }
            Act::Start(front) if self.fronts[front].borrow().is_none() => self.start(front).await?,
            Act::Start(_) => {}
            Act::StartTwin(front) => {
                let twin = self.spawn(front, Role::Twin)?;
                self.twins.push(twin);
            }
            Act::EndTwin => {
                if !self.twins.is_empty() {
                    let (mut child, log) = self.twins.remove(0);
                    log.try_iter().for_each(|line| self.twin_log += &(line + "\n"));
                    let _ = child.kill();
                    let _ = child.wait();
                }
            }
        }
        Ok(())
    }

    /// Sends a front a signal.
    pub fn signal(&self, front: usize, signal: Signal) {
        if let Some(front) = self.fronts[front].borrow_mut().as_mut() {
            match signal {
                Signal::SIGSTOP => front.stopped = true,
                Signal::SIGCONT => front.stopped = false,
                _ => {}
            }
            let _ = kill(Pid::from_raw(front.child.id() as i32), signal);
        }
    }

    /// Ends a front with a signal and waits until it has ended.
    pub async fn end(&self, front: usize, signal: Signal) -> Option<i32> {
        self.signal(front, signal);
        loop {
            let ended = match self.fronts[front].borrow_mut().as_mut() {
                Some(front) => front.child.try_wait().ok().flatten(),
                None => return None,
            };
            if let Some(status) = ended {
                *self.fronts[front].borrow_mut() = None;
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        self.fronts.iter().for_each(|f| drop(f.borrow_mut().take()));
        for (mut child, _) in self.twins.drain(..) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A link from one front to another, one way; what is answered to its socket goes back the other way, as it would
/// between two machines.
async fn proxy(socket: UdpSocket, link: Rc<Link>, weather: Rc<Cell<Weather>>) {
    let socket = Rc::new(socket);
    let near: Rc<Cell<Option<SocketAddr>>> = Rc::default();
    let mut bytes = vec![0; 65_536];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut bytes).await else { continue };
        let to = match link.far.get() {
            Some(far) if source == far => near.get(),
            far => {
                near.set(Some(source));
                far
            }
        };
        let (Some(to), false) = (to, link.cut.get()) else { continue };
        let now = weather.get();
        let copies = 1 + usize::from(fastrand::u8(0..100) < now.repeated);
        for _ in 0..copies {
            if fastrand::u8(0..100) < now.lost {
                continue;
            }
            if now.late == 0 {
                let _ = socket.try_send_to(&bytes[..length], to);
                continue;
            }
            let (socket, link, told) = (Rc::clone(&socket), Rc::clone(&link), bytes[..length].to_vec());
            spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(fastrand::u64(0..=now.late))).await;
                if !link.cut.get() {
                    let _ = socket.try_send_to(&told, to);
                }
            });
        }
    }
}

/// The clients of one front.
struct Clients {
    number: usize,
    rate: Rc<Cell<u32>>,
    front: Rc<RefCell<Option<Front>>>,
    asked: Rc<RefCell<Vec<Asked>>>,
    began: Instant,
    /// Volumes and shards to choose from, and new objects of a hundred requests.
    choice: (usize, usize, u8),
}

impl Clients {
    /// Asks, at a rate, whatever becomes of it.
    async fn load(self, mut lot: fastrand::Rng) {
        let (volumes, shards, new) = self.choice;
        loop {
            let per_second = self.rate.get();
            if per_second == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
                continue;
            }
            let wait = -(1.0 - lot.f64()).ln() / f64::from(per_second);
            tokio::time::sleep(Duration::from_secs_f64(wait)).await;
            let at = self.front.borrow().as_ref().filter(|f| !f.stopped).map(|f| f.clients);
            let Some(at) = at else { continue };
            let (volume, shard, key) = (lot.usize(0..volumes), lot.usize(0..shards), lot.u64(..));
            let new = new > 0 && lot.u8(0..100) < new;
            let head = match new {
                true => format!("PUT /b{volume}/{key:016x} HTTP/1.1\r\nContent-Length: 3\r\n"),
                false => format!("GET /b{volume}/{key:016x}?versionId={shard}.v HTTP/1.1\r\n"),
            };
            let body = if new { "new" } else { "" };
            let text = format!("{head}Host: lab\r\nConnection: close\r\n\r\n{body}");
            let (asked, began, front) = (Rc::clone(&self.asked), self.began, self.number);
            spawn_local(async move {
                let from = began.elapsed();
                let answer = tokio::time::timeout(Duration::from_secs(3), ask(at, &text)).await;
                let answer = answer.ok().flatten();
                let took = answer.as_ref().map(|_| began.elapsed() - from);
                let served = answer.as_ref().is_some_and(|a| a.starts_with(b"HTTP/1.1 2"));
                let shard = (!new).then_some(shard);
                asked.borrow_mut().push(Asked { front, at: from, took, served, shard });
            });
        }
    }
}

/// The servers that are out, of what a front says of verdicts.
pub fn held_out(told: &str) -> Vec<String> {
    let told = simd_json::to_owned_value(&mut told.as_bytes().to_vec()).unwrap_or_default();
    let verdicts = told.get("verdicts").and_then(|v| v.as_array()).into_iter().flatten();
    let out = verdicts.filter(|one| one.get("out_ms").is_some_and(|ms| !ms.is_null()));
    out.filter_map(|one| one.get("server")?.as_str().map(str::to_owned)).collect()
}

/// The answer to a request, whole.
async fn ask(at: SocketAddr, text: &str) -> Option<Vec<u8>> {
    let mut stream = TcpStream::connect(at).await.ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok()?;
    Some(answer)
}

impl Lab {
    /// Units sent within a span, as a part of what the limits allow in it without any burst.
    pub fn served(&self, from: Duration, to: Duration) -> f64 {
        let count = self.sent.borrow().iter().filter(|s| s.at >= from && s.at < to).count();
        count as f64 * UNITS / (self.make.rate * self.make.volumes as f64 * (to - from).as_secs_f64())
    }

    /// The most of any volume that was sent, further attempts apart, within any window of up to 10 s beyond the bound for these fronts, in
    /// units: at most 0 where the bound holds. `slack` is how long a read may take from being sent to being noted.
    pub fn beyond(&self, slack: Duration) -> f64 {
        let (rate, most) = (self.make.rate, BURST + self.count as f64 * MOST_UNITS);
        let of = |volume| self.moments(move |s| s.volume == volume && !s.further);
        let volumes = (0..self.make.volumes).map(|v| beyond(&of(v), UNITS, rate, most, slack));
        volumes.fold(f64::NEG_INFINITY, f64::max)
    }

    /// The most of any volume that was sent within any window of a length, in units, and the bound for that length.
    pub fn most_within(&self, window: Duration, slack: Duration) -> (f64, f64) {
        let most = |volume| {
            let at = self.moments(move |s| s.volume == volume && !s.further);
            let mut first = 0;
            let count = |(last, end): (usize, &Duration)| {
                while at[first] + window < *end {
                    first += 1;
                }
                last - first + 1
            };
            at.iter().enumerate().map(count).max().unwrap_or(0)
        };
        let units = (0..self.make.volumes).map(most).max().unwrap_or(0) as f64 * UNITS;
        let span = (window + slack).as_secs_f64();
        (units, self.make.rate * span * DRIFT + BURST + self.count as f64 * MOST_UNITS)
    }

    /// When the attempts came that are looked for.
    pub fn moments(&self, which: impl Fn(&Sent) -> bool) -> Vec<Duration> {
        self.sent.borrow().iter().filter(|s| which(s)).map(|s| s.at).collect()
    }

    /// Most attempts that were out at the chunk server at a moment of a span.
    pub fn most_out(&self, from: Duration, to: Duration) -> usize {
        let sent = self.sent.borrow();
        let (mut steps, end) = (Vec::new(), self.now());
        for one in sent.iter().filter(|s| s.at < to && s.over.is_none_or(|over| over >= from)) {
            steps.push((one.at, 1i32));
            steps.push((one.over.unwrap_or(end), -1));
        }
        // Of one moment, what ends comes first: its place is free by then.
        steps.sort_unstable();
        let mut out = 0;
        let out = steps.into_iter().map(|(at, step)| {
            out += step;
            if at >= from && at < to {
                out
            } else {
                0
            }
        });
        out.max().unwrap_or(0).max(0) as usize
    }

    /// Sends every front datagrams that no front has made, for a while: any bytes, and some that begin as a message.
    pub async fn strangers(&self, each_second: u32, time: Duration) {
        let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await else { return };
        let until = Instant::now() + time;
        let mut lot = fastrand::Rng::with_seed(self.make.seed);
        while Instant::now() < until {
            for far in self.links.values().filter_map(|l| l.far.get()) {
                let mut bytes: Vec<u8> = (0..lot.usize(0..200)).map(|_| lot.u8(..)).collect();
                if lot.bool() {
                    bytes.splice(0..0, *b"TBP\x02");
                }
                let _ = socket.try_send_to(&bytes, far);
            }
            tokio::time::sleep(Duration::from_secs_f64(1.0 / f64::from(each_second.max(1)))).await;
        }
    }
}

/// The most that came within any window of up to 10 s beyond a rate and what may be in store, in units: at most 0 where
/// the bound holds. Each attempt is worth so many units, and is noted within `slack` of being sent.
pub fn beyond(moments: &[Duration], units: f64, rate: f64, most: f64, slack: Duration) -> f64 {
    let mut worst = f64::NEG_INFINITY;
    for (first, begin) in moments.iter().enumerate() {
        for (last, end) in moments.iter().enumerate().skip(first) {
            let window = end.saturating_sub(*begin);
            if window > Duration::from_secs(10) {
                break;
            }
            let bound = rate * (window + slack).as_secs_f64() * DRIFT + most;
            worst = worst.max((last - first + 1) as f64 * units - bound);
        }
    }
    worst
}
