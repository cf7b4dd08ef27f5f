//! This front among its peers: the sockets and clocks round [`Quota`]. Beats go out and come in as datagrams; what
//! may be used of each limit is told to the module, and looked at again before each decision, so that a front that
//! stood still uses nothing that has ended meanwhile.
//!
//! Nothing here runs unless the operators' file has `peers`.

use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use nix::time::{clock_gettime, ClockId};
use prometheus::{GaugeVec, IntCounterVec, IntGauge, Opts};
use serde::{Deserialize, Serialize};
use simd_json::prelude::*;
use simd_json::{json, OwnedValue as Value};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tulipbridge_core as core;
use tulipbridge_core::request_tracker::Input;
use tulipbridge_core::{NodeId, RequestId, Semantics, Settings, SharedLimit};
use tulipbridge_fleet_limits::{
    Effect, Event, Heartbeat, Limit, LimitCoordinator, LimitsConfig, Share, FULL_SHARE,
};
use tulipbridge_membership::{
    EnvelopeCodec, EnvelopeError, GossipAction, GossipError, GossipInput, GossipMessage as Exchanged,
    GossipStore, Key, MessageStatus, PeerId, PeerStatus, MAX_MESSAGE,
};

use crate::cluster::ejections::{self, DisplayNames, EjectionChanges, Ejections};
use crate::cluster::limits::{self, ConfiguredLimits, FleetLimits};
use crate::config::settings::{list, num, text, Res};
use crate::exchange::{Exchange, FleetState};
use crate::telemetry::log::log;
use crate::telemetry::metrics::Metrics;
use crate::upstream::Upstream;

/// Between two tries to hear, where the system refuses.
const RECEIVE_RETRY: Duration = Duration::from_millis(10);
/// Between two looks at verdicts for what others told or went badly here.
const EVALUATION_PAUSE: Duration = Duration::from_millis(50);

/// What a front tells of itself: the version of its program.
const VERSION_KEY: Key = Key { kind: 0, id: 0 };
/// Bytes a second of entries, where nothing else is told.
const DEFAULT_GOSSIP_RATE: f64 = 20_000.0;

/// What a datagram says.
#[derive(Serialize)]
enum OutgoingMessage<'a> {
    Heartbeat(&'a Heartbeat),
    Gossip(&'a Exchanged),
}

/// The same, as it comes.
#[derive(Deserialize)]
enum IncomingMessage {
    Heartbeat(Box<Heartbeat>),
    Gossip(Exchanged),
}

/// What the operators' file says of the front's peers.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Where this front hears its peers.
    pub listen: SocketAddr,
    /// The file of the key that all share.
    pub key_file: PathBuf,
    /// Names by their order, each with where this front reaches it.
    pub roster: Vec<(String, SocketAddr)>,
    /// The zones there are by their names, and the one of each name in the roster.
    pub zones: (Vec<String>, Vec<usize>),
    /// Whether and how verdicts on chunk servers are shared.
    pub ejections: Option<ejections::Config>,
    /// What the machine is told.
    pub limits_config: LimitsConfig,
    /// Limits beside those of volumes' plans.
    pub fleet_limits: ConfiguredLimits,
    /// Bytes a second of entries that all peers together are sent at most.
    pub gossip_bytes_per_second: u64,
}

impl Config {
    /// Reads `peers` of a front's file, for the front of this name.
    ///
    /// # Errors
    /// A plain sentence that names the path of what is wrong.
    pub fn read(value: &Value, name: &str) -> Res<Config> {
        let object = value.as_object().ok_or("'peers' must be an object")?;
        let known = [
            "listen",
            "key_file",
            "roster",
            "revision",
            "life_ms",
            "beat_ms",
            "floor",
            "limits",
            "verdicts",
            "entry_bytes_per_s",
        ];
        if let Some(other) = object.keys().find(|k| !known.contains(&k.as_str())) {
            return Err(format!("'peers.{other}' is not known"));
        }
        let address = |value: Option<&Value>, path: &str| {
            let told = text(value, path)?;
            told.parse::<SocketAddr>().map_err(|_| format!("'{path}' {told} is no address"))
        };
        let mut roster = Vec::new();
        for (i, entry) in
            list(value, "roster").map_err(|_| "'peers.roster' must be an array")?.iter().enumerate()
        {
            let path = |key: &str| format!("peers.roster[{i}].{key}");
            let name = text(entry.get("name"), &path("name"))?.to_owned();
            let at = address(entry.get("address"), &path("address"))?;
            if roster.iter().any(|(n, _, _)| *n == name) {
                return Err(format!("'{}' {name} is there twice", path("name")));
            }
            if roster.iter().any(|(_, a, _)| *a == at) {
                return Err(format!("'{}' {at} is there twice", path("address")));
            }
            let zone = match entry.get("zone") {
                None => String::new(),
                zone => text(zone, &path("zone"))?.to_owned(),
            };
            roster.push((name, at, zone));
        }
        // Files may list the names in any order; places follow the names.
        roster.sort();
        let mut zones: Vec<String> = roster.iter().map(|(_, _, zone)| zone.clone()).collect();
        zones.sort();
        zones.dedup();
        if zones.len() > usize::from(u8::MAX) {
            return Err("'peers.roster' names more than 255 zones".to_owned());
        }
        let of = |zone: &String| zones.iter().position(|z| z == zone).unwrap_or_default();
        let of_each: Vec<usize> = roster.iter().map(|(_, _, zone)| of(zone)).collect();
        let roster: Vec<(String, SocketAddr)> = roster.into_iter().map(|(name, at, _)| (name, at)).collect();
        let me = roster.iter().position(|(n, _)| n == name);
        let me = me.ok_or_else(|| format!("'peers.roster' does not name this front, {name}"))?;
        let fronts = PeerId::try_from(roster.len()).ok().filter(|n| *n <= 1_000);
        let fronts = fronts.ok_or("'peers.roster' names more than 1000 fronts")?;
        let or = |key: &str, usual: f64| match num(value, key) {
            Ok(0.0) if value.get(key).is_none() => Ok(usual),
            Ok(told) if told >= 0.0 => Ok(told),
            _ => Err(format!("'peers.{key}' must be a number of 0 or more")),
        };
        let mut terms = LimitsConfig::new(me as PeerId, fronts, 0);
        terms.revision = or("revision", 1.0)? as u32;
        terms.lease_duration = (or("life_ms", terms.lease_duration as f64 / 1e6)? * 1e6) as i64;
        terms.heartbeat_interval = (or("beat_ms", terms.heartbeat_interval as f64 / 1e6)? * 1e6) as i64;
        terms.floor =
            (or("floor", f64::from(terms.floor) / f64::from(FULL_SHARE))? * f64::from(FULL_SHARE)) as Share;
        let entry_bytes = or("entry_bytes_per_s", DEFAULT_GOSSIP_RATE)? as u64;
        if terms.revision == 0 {
            return Err("'peers.revision' counts from 1".to_owned());
        }
        let names: Vec<&str> = roster.iter().map(|(n, _)| n.as_str()).collect();
        let whole = format!("{}|{}|{}|{:?}", terms.revision, terms.lease_duration, terms.floor, names);
        let told = value.get("verdicts").map(ejections::Config::read).transpose()?;
        // Fronts that judge by other terms, or know other zones, are of another roster.
        // This text is part of a digest that fronts of different versions compare: it must not change.
        let judged = told.map_or_else(String::new, |ejections| {
            let ejections::Config { max_ejected_fraction, witnesses } = ejections;
            format!("|Config {{ most_out: {max_ejected_fraction:?}, witnesses: {witnesses:?} }}|{zones:?}|{of_each:?}")
        });
        terms.roster = EnvelopeCodec::digest(&(whole + &judged));
        terms.check().map_err(|why| format!("'peers': {why}"))?;
        Ok(Config {
            listen: address(value.get("listen"), "peers.listen")?,
            key_file: PathBuf::from(text(value.get("key_file"), "peers.key_file")?),
            roster,
            limits_config: terms,
            fleet_limits: ConfiguredLimits::read(value.get("limits"))?,
            zones: (zones, of_each),
            ejections: told,
            gossip_bytes_per_second: entry_bytes,
        })
    }
}

impl Config {
    /// The terms of verdicts, where they are shared.
    ///
    /// # Errors
    /// Where they cannot hold.
    fn ejection_config(&self) -> Res<Option<tulipbridge_outlier_detection::DetectorConfig>> {
        let LimitsConfig { me, fronts, .. } = self.limits_config;
        // As many zones as fit into a number of one byte have been read.
        let zone = self.zones.1.get(usize::from(me)).copied().unwrap_or_default() as u8;
        let terms = self.ejections.map(|told| told.detector_config(me, fronts, zone)).transpose();
        terms.map_err(|why| format!("'peers.verdicts': {why}"))
    }
}

/// Counts for operators.
struct Counts {
    messages: IntCounterVec,
    alive: IntGauge,
    issuers_held: IntGauge,
    standby: IntGauge,
    shares: GaugeVec,
}

/// This front among its peers.
pub struct Peers {
    coordinator: RefCell<LimitCoordinator>,
    codec: EnvelopeCodec,
    /// Absent while another process has the address.
    socket: OnceCell<UdpSocket>,
    config: RefCell<Config>,
    limits: RefCell<FleetLimits>,
    gossip: RefCell<GossipStore>,
    exchange: Rc<Exchange<Upstream>>,
    /// Where verdicts are shared.
    ejections: RefCell<Option<Ejections>>,
    /// What others told of servers has changed.
    gossip_changed: Notify,
    /// Names of the classes, in the settings' order.
    classes: Vec<String>,
    counts: Counts,
    /// What each front was last believed to be, to say a change once.
    logged_status: RefCell<Vec<PeerStatus>>,
    was_standby: Cell<bool>,
}

/// This moment by a clock that runs on while the process, or the machine, stands still, and that no one sets.
fn now() -> i64 {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(0, |t| t.tv_sec() * 1_000_000_000 + t.tv_nsec())
}

/// A socket that hears what comes to an address.
fn bind_socket(at: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(at)?;
    socket.set_nonblocking(true)?;
    let socket = UdpSocket::from_std(socket)?;
    log!("peers at {}", socket.local_addr()?);
    Ok(socket)
}

/// The key in a file.
fn read_key(file: &Path) -> Res<EnvelopeCodec> {
    let bytes =
        std::fs::read(file).map_err(|e| format!("'peers.key_file': cannot read {}: {e}", file.display()))?;
    EnvelopeCodec::new(&bytes).map_err(|why| format!("'peers.key_file': {}: {why}", file.display()))
}

impl Peers {
    /// Joins the peers, and has the module told from now on what it may use.
    ///
    /// # Errors
    /// A plain sentence, where the socket or the key cannot be had.
    pub fn join(
        told: Config,
        classes: Vec<String>,
        exchange: &Rc<Exchange<Upstream>>,
        figures: &Metrics,
    ) -> Res<Rc<Peers>> {
        let seal = read_key(&told.key_file)?;
        let socket = match bind_socket(told.listen) {
            Ok(socket) => OnceCell::from(socket),
            Err(why) if why.kind() == std::io::ErrorKind::AddrInUse => {
                let at = told.listen;
                log!("peers: another process has {at}; this one uses no shared limit until that is free");
                OnceCell::new()
            }
            Err(why) => return Err(format!("'peers.listen': cannot listen on {}: {why}", told.listen)),
        };
        // Not from the seed in the file: a front that starts again must be another boot.
        let boot = fastrand::Rng::new().u64(1..u64::MAX);
        let quota = LimitCoordinator::new(told.limits_config.clone(), boot, now())
            .map_err(|why| format!("'peers': {why}"))?;
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("the names are valid");
        let counts = Counts {
            messages: IntCounterVec::new(
                Opts::new("app_peer_messages", "Messages of peers by what they were worth"),
                &["worth"],
            )
            .expect("the names are valid"),
            alive: gauge("app_peers_alive", "Peers that are heard"),
            issuers_held: gauge("app_peer_banks", "Banks of the fleet's limits that this front holds"),
            standby: gauge("app_peer_standing_back", "1 while another process has this front's name"),
            shares: GaugeVec::new(
                Opts::new("app_peer_part", "This front's part of a limit that the fleet shares"),
                &["limit"],
            )
            .expect("the names are valid"),
        };
        figures.register(counts.messages.clone());
        figures.register(counts.shares.clone());
        for gauge in [&counts.alive, &counts.issuers_held, &counts.standby] {
            figures.register(gauge.clone());
        }
        let (me, fronts) = (told.limits_config.me, told.limits_config.fronts);
        let bench = match told.ejection_config()? {
            None => None,
            Some(terms) => Some(
                Ejections::new(terms, ejections::EjectionMetrics::new(figures))
                    .map_err(|why| format!("'peers.verdicts': {why}"))?,
            ),
        };
        let judges = bench.is_some();
        let peers = Rc::new(Peers {
            gossip: RefCell::new(GossipStore::new(me, fronts, boot, told.gossip_bytes_per_second, now())),
            logged_status: RefCell::new(vec![PeerStatus::Unknown; told.roster.len()]),
            coordinator: RefCell::new(quota),
            codec: seal,
            socket,
            config: RefCell::new(told),
            limits: RefCell::default(),
            exchange: Rc::clone(exchange),
            ejections: RefCell::new(bench),
            gossip_changed: Notify::new(),
            classes,
            counts,
            was_standby: Cell::new(false),
        });
        exchange.set_fleet_state(Rc::clone(&peers) as Rc<dyn FleetState>);
        peers.apply_fleet_limits();
        peers.publish(VERSION_KEY, Some(env!("CARGO_PKG_VERSION").into()));
        spawn_local(Rc::clone(&peers).receive_loop());
        spawn_local(Rc::clone(&peers).send_heartbeats());
        if judges {
            spawn_local(Rc::clone(&peers).evaluate_on_change());
        }
        Ok(peers)
    }

    /// Whether what a new file says of the peers can be taken.
    ///
    /// # Errors
    /// Where it says what only a restart can change.
    pub fn check(&self, told: Option<&Config>) -> Res<()> {
        let told = told.ok_or("'peers' cannot be left out while the front runs; restart it")?;
        let held = self.config.borrow();
        if held.listen != told.listen || held.key_file != told.key_file {
            return Err("'peers.listen' and 'peers.key_file' change with a restart only".to_owned());
        }
        if held.ejections.is_some() != told.ejections.is_some() {
            return Err("'peers.verdicts' comes and goes with a restart only".to_owned());
        }
        told.ejection_config()?;
        if !held.fleet_limits.is_within(&told.fleet_limits) {
            return Err(
                "a limit in 'peers.limits' cannot be left out while the front runs; restart it".to_owned()
            );
        }
        Ok(())
    }

    /// Takes what a new file says of the peers, which [`Peers::check`] has found right.
    pub fn reload(&self, told: Config) {
        let terms = told.limits_config.clone();
        *self.logged_status.borrow_mut() = vec![PeerStatus::Unknown; told.roster.len()];
        *self.config.borrow_mut() = told;
        self.apply_fleet_limits();
        // Places are another roster's only where that is another.
        if self.coordinator.borrow().config().roster != terms.roster {
            let renewed = self.gossip.borrow().with_roster(terms.me, terms.fronts, now());
            *self.gossip.borrow_mut() = renewed;
        }
        let rate = self.config.borrow().gossip_bytes_per_second;
        self.gossip.borrow_mut().set_rate(rate);
        let judged = self.config.borrow().ejection_config();
        if let (Some(bench), Ok(Some(judged))) = (self.ejections.borrow_mut().as_mut(), judged) {
            if *bench.config() != judged {
                // Checked before the file was taken.
                let _ = bench.reconfigure(judged);
            }
        }
        self.update_limits(Event::Reconfigure(terms), None);
        self.evaluate_ejections();
    }

    /// Has the module told what the file states for the fleet, as far as there is a part of it here.
    fn apply_fleet_limits(&self) {
        let stated = self.config.borrow().fleet_limits;
        let told = self.exchange.with_settings(|set| self.limits.borrow_mut().configure(stated, set));
        for (of, figures) in told {
            self.exchange.apply_fleet_update(self.limit_update(of, figures, now()));
        }
    }

    /// Says that this front ends.
    pub fn shut_down(&self) {
        self.update_limits(Event::Shutdown, None);
        self.update_limits(Event::HeartbeatDue, None);
    }

    async fn send_heartbeats(self: Rc<Self>) {
        loop {
            let beat = self.coordinator.borrow().config().heartbeat_interval as u64;
            // Not all at one moment, over and over.
            let wait = beat - beat / 20 + fastrand::u64(0..=beat / 10);
            tokio::time::sleep(Duration::from_nanos(wait)).await;
            self.update_limits(Event::HeartbeatDue, None);
            self.evaluate_ejections();
            self.update_gossip(GossipInput::Round);
            self.report_status();
        }
    }

    /// Looks at verdicts when others have told something of servers or an attempt went badly, and not over and over.
    async fn evaluate_on_change(self: Rc<Self>) {
        loop {
            self.gossip_changed.notified().await;
            if self.evaluate_ejections() {
                self.update_gossip(GossipInput::Round);
            }
            tokio::time::sleep(EVALUATION_PAUSE).await;
        }
    }

    /// Looks at what was seen of servers here and told by others; whether there is something to tell them.
    fn evaluate_ejections(&self) -> bool {
        let (now, module_now) = (now(), self.exchange.now());
        let done = match self.ejections.borrow_mut().as_mut() {
            Some(bench) => bench.evaluate(now, module_now, &self.gossip.borrow()),
            None => return false,
        };
        if self.ejections.borrow().as_ref().is_some_and(|bench| bench.is_waiting(now)) {
            self.gossip_changed.notify_one();
        }
        let EjectionChanges { entries: puts, updates: told } = done;
        let tells = !puts.is_empty();
        puts.into_iter().for_each(|(key, value)| self.publish(key, value));
        told.into_iter().for_each(|told| self.exchange.apply_fleet_update(told));
        tells
    }

    async fn receive_loop(self: Rc<Self>) {
        let mut bytes = vec![0; MAX_MESSAGE + 1];
        loop {
            let Some(socket) = self.socket.get() else {
                tokio::time::sleep(RECEIVE_RETRY).await;
                let at = self.config.borrow().listen;
                // In this order, so that nothing of its own is used before the whole quiet time.
                self.note_address_in_use();
                if let Ok(socket) = bind_socket(at) {
                    let _ = self.socket.set(socket);
                }
                continue;
            };
            match socket.recv_from(&mut bytes).await {
                Ok((length, source)) => self.receive(&bytes[..length], source),
                // A peer that is gone makes its system say so, once; what lasts must not keep this thread busy.
                Err(_) => tokio::time::sleep(RECEIVE_RETRY).await,
            }
        }
    }

    fn receive(&self, bytes: &[u8], source: SocketAddr) {
        match self.codec.open::<IncomingMessage>(bytes) {
            Ok(opened) => {
                let (from, boot) = (opened.from, opened.incarnation);
                match opened.message {
                    IncomingMessage::Heartbeat(beat) => self.update_limits(
                        Event::HeartbeatReceived { from, boot, heartbeat: beat },
                        Some(source),
                    ),
                    IncomingMessage::Gossip(exchange) => {
                        self.update_gossip(GossipInput::Received {
                            from,
                            incarnation: boot,
                            message: exchange,
                        });
                    }
                }
            }
            Err(why) => self.count(match why {
                EnvelopeError::NotAMessage | EnvelopeError::TooLong | EnvelopeError::KeyTooShort => {
                    "no_message"
                }
                EnvelopeError::Version(_) => "other_version",
                EnvelopeError::Digest => "wrong_digest",
                EnvelopeError::Malformed => "wrong_form",
            }),
        }
    }

    /// Counts as one that starts now while another process has the address.
    fn note_address_in_use(&self) {
        if self.socket.get().is_none() {
            self.coordinator.borrow_mut().on(now(), Event::AddressInUse, &mut Vec::new());
        }
    }

    /// An entry of this front's own, which all others learn.
    fn publish(&self, key: Key, value: Option<Vec<u8>>) {
        self.update_gossip(GossipInput::Put(key, value));
    }

    /// Has the entries take what happens, and carries out what is to be done.
    fn update_gossip(&self, told: GossipInput) {
        let mut acts = Vec::new();
        let done = self.gossip.borrow_mut().on(now(), self.coordinator.borrow().members(), told, &mut acts);
        if let Err(why) = done {
            log!("peers: an entry is not told: {why}");
        }
        for act in acts {
            match act {
                GossipAction::Send { to, message: exchange } => {
                    let to = self.config.borrow().roster.get(usize::from(to)).map(|(_, at)| *at);
                    self.send(to, &OutgoingMessage::Gossip(&exchange));
                }
                GossipAction::Rejected(why) => self.count(match why {
                    GossipError::StaleIncarnation | GossipError::UnknownOrigin => "entries_no_peer",
                    GossipError::MissingVersions => "entries_gap",
                    GossipError::NoEcho => "entries_no_echo",
                    GossipError::OutOfBounds => "entries_bounds",
                }),
                // What is shown is looked up when it is asked for.
                GossipAction::Changed(..) | GossipAction::Dropped(_) => self.gossip_changed.notify_one(),
            }
        }
    }

    fn count(&self, worth: &str) {
        self.counts.messages.with_label_values(&[worth]).inc();
    }

    /// Has the machine take an event, and carries out what it says.
    fn update_limits(&self, event: Event, source: Option<SocketAddr>) {
        let mut effects = Vec::new();
        self.note_address_in_use();
        self.coordinator.borrow_mut().on(now(), event, &mut effects);
        let module = self.exchange.with_settings(|set| self.carry_out(effects, source, set));
        for told in module {
            self.exchange.apply_fleet_update(told);
        }
    }

    /// Carries effects out, but for what the module is to be told, which is given.
    fn carry_out(
        &self,
        effects: Vec<Effect>,
        source: Option<SocketAddr>,
        set: &Settings,
    ) -> Vec<core::FleetUpdate> {
        let mut module = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send { to, heartbeat: beat } => {
                    let to = self.config.borrow().roster.get(usize::from(to)).map(|(_, at)| *at);
                    self.send(to, &OutgoingMessage::Heartbeat(&beat));
                }
                Effect::Reply { heartbeat: beat } => self.send(source, &OutgoingMessage::Heartbeat(&beat)),
                Effect::ShareChanged { limit, share: part, at } => {
                    let told = self.limits.borrow_mut().set_share(limit, part, set);
                    module.extend(told.into_iter().map(|(of, figures)| self.limit_update(of, figures, at)));
                }
                Effect::Forget(limit) => {
                    let told = self.limits.borrow_mut().forget(limit, set);
                    module
                        .extend(told.into_iter().map(|(of, figures)| self.limit_update(of, figures, now())));
                }
                Effect::Received(news) => self.count(match news {
                    MessageStatus::Accepted { .. } => "counts",
                    MessageStatus::Stale => "old",
                    MessageStatus::Unconfirmed => "unproven",
                    MessageStatus::Conflicting => "stranger",
                    MessageStatus::RosterMismatch => "other_roster",
                    MessageStatus::UnknownPeer => "no_peer",
                }),
            }
        }
        module
    }

    /// What the module is told of a limit, from a moment on.
    fn limit_update(&self, of: SharedLimit, figures: limits::LimitRate, at: i64) -> core::FleetUpdate {
        let at = self.exchange.now() - (now() - at);
        core::FleetUpdate::SharedLimit { limit: of, rate: figures.rate, burst: figures.burst, at }
    }

    fn send(&self, to: Option<SocketAddr>, saying: &OutgoingMessage) {
        let (me, boot) = {
            let quota = self.coordinator.borrow();
            (quota.config().me, quota.incarnation())
        };
        let Some(to) = to else { return };
        match self.codec.seal(me, boot, saying) {
            // A datagram that cannot go is lost like any other, and the next beat says all anew.
            Ok(bytes) => {
                let _ = self.socket.get().map(|socket| socket.try_send_to(&bytes, to));
            }
            Err(_) => self.count("too_long"),
        }
    }

    /// Says changes in the log, and sets the figures.
    fn report_status(&self) {
        let (quota, told, now) = (self.coordinator.borrow(), self.config.borrow(), now());
        let mut alive = 0;
        for place in quota.members().others() {
            let belief = quota.members().status(now, place);
            alive += i64::from(belief == PeerStatus::Alive);
            let mut said = self.logged_status.borrow_mut();
            let before = std::mem::replace(&mut said[usize::from(place)], belief);
            if before != belief {
                log!("peers: {} is {}", told.roster[usize::from(place)].0, status_name(belief));
            }
        }
        let back = quota.is_standby(now) || self.socket.get().is_none();
        if self.was_standby.replace(back) != back {
            let name = &told.roster[usize::from(quota.config().me)].0;
            match back {
                true if quota.yields_to_roster(now) => {
                    let revision = quota.config().revision;
                    log!("peers: others run with another roster of revision {revision}; this one uses no shared limit");
                }
                true => {
                    log!("peers: another process has the name {name}; this one uses no shared limit until it is gone");
                }
                false => log!("peers: this front shares limits again"),
            }
        }
        self.counts.alive.set(alive);
        self.counts.issuers_held.set(quota.issuers_held(now).len() as i64);
        self.counts.standby.set(i64::from(back));
        for (name, part) in self.shares() {
            self.counts.shares.with_label_values(&[name]).set(part);
        }
    }

    /// This front's parts of the limits that are no volume's.
    fn shares(&self) -> Vec<(&'static str, f64)> {
        let shares = self.limits.borrow();
        let part = |limit: Limit| f64::from(shares.share(limit)) / f64::from(FULL_SHARE);
        shares.configured().limits().map(|(limit, name)| (name, part(limit))).collect()
    }

    /// What there is to say of verdicts on servers, or of one of them, as JSON.
    ///
    /// # Errors
    /// A plain sentence, where verdicts are not shared or there is no such server.
    pub fn ejection_status(&self, server: Option<&str>) -> Res<Value> {
        let bench = self.ejections.borrow();
        let bench = bench.as_ref().ok_or("this front shares no verdicts")?;
        let told = self.config.borrow();
        let fronts: Vec<String> = told.roster.iter().map(|(name, _)| name.clone()).collect();
        let names = DisplayNames { fronts: &fronts, zones: &told.zones.0, classes: &self.classes };
        let status = bench.status(now(), &self.gossip.borrow(), &names, server);
        status.ok_or_else(|| format!("no such chunk server: {}", server.unwrap_or_default()))
    }

    /// What this front believes of its peers, as JSON.
    pub fn status(&self) -> Value {
        let (quota, told, now) = (self.coordinator.borrow(), self.config.borrow(), now());
        let entries = self.gossip.borrow();
        let name = |place: PeerId| told.roster[usize::from(place)].0.clone();
        let millis = |span: i64| span / 1_000_000;
        let peers: Vec<Value> = quota
            .members()
            .others()
            .map(|place| {
                let standing = quota.peer_report(now, place);
                let about = entries.get(now, place, VERSION_KEY);
                json!({
                    "name": name(place),
                    "address": told.roster[usize::from(place)].1.to_string(),
                    "belief": status_name(standing.status),
                    "boot": standing.incarnation.map(|b| format!("{b:016x}")),
                    "silent_ms": standing.silent_for.map(millis),
                    "heard_by": standing.reachable_from.into_iter().map(name).collect::<Vec<_>>(),
                    "second_process": standing.conflicting.map(|b| format!("{b:016x}")),
                    "version": about.map(|(told, _)| String::from_utf8_lossy(told).into_owned()),
                    "told_ms": about.map(|(_, age)| millis(age)),
                    "lent": f64::from(standing.granted) / f64::from(FULL_SHARE),
                    "borrowed": f64::from(standing.leased) / f64::from(FULL_SHARE),
                })
            })
            .collect();
        json!({
            "name": name(quota.config().me),
            "boot": format!("{:016x}", quota.incarnation()),
            "revision": quota.config().revision,
            "settled": quota.is_settled(),
            "just_started": quota.is_starting(now),
            "standing_back": quota.is_standby(now) || self.socket.get().is_none(),
            "other_roster": quota.yields_to_roster(now),
            "banks": quota.issuers_held(now).into_iter().map(name).collect::<Vec<_>>(),
            "limits": self.shares().into_iter()
                .map(|(limit, part)| json!({"limit": limit, "part": part}))
                .collect::<Vec<_>>(),
            "peers": peers,
        })
    }
}

impl FleetState for Peers {
    fn attempt_sent(&self, id: RequestId, attempt: u32, node: NodeId, class: usize) {
        if let Some(bench) = self.ejections.borrow_mut().as_mut() {
            let semantics = self.exchange.with_settings(|set| set.classes.get(class).map(|c| c.semantics));
            bench.attempt_sent(now(), (id, attempt), node, class, semantics == Some(Semantics::Idempotent));
        }
    }

    fn updates_before(&self, input: &Input, set: &Settings) -> Vec<core::FleetUpdate> {
        let (mut effects, mut module, now) = (Vec::new(), Vec::new(), now());
        if let Some(bench) = self.ejections.borrow_mut().as_mut() {
            if bench.observe_input(now, input) {
                self.gossip_changed.notify_one();
            }
            if let Input::Endpoints { scope, nodes } = input {
                bench.update_endpoints(*scope, nodes, |node| self.exchange.transport().id(node));
            }
        }
        let mut asked = self.limits.borrow().configured().demand_of(input);
        if let Input::RequestReceived(r) = input {
            if set.plans.get(r.plan).is_some_and(|p| p.limit_rate > 0.0) {
                let told = self.limits.borrow_mut().volume_requested(r.volume, r.plan, set);
                module.extend(told.map(|(of, figures)| self.limit_update(of, figures, now)));
                asked.push((Limit::Volume(r.volume), r.units));
            }
        }
        self.note_address_in_use();
        {
            let mut quota = self.coordinator.borrow_mut();
            if asked.is_empty() && now >= quota.next_expiry() {
                quota.on(now, Event::Poll, &mut effects);
            }
            for (limit, units) in asked {
                quota.on(now, Event::Demanded { limit, units }, &mut effects);
            }
        }
        module.extend(self.carry_out(effects, None, set));
        module
    }
}

fn status_name(belief: PeerStatus) -> &'static str {
    match belief {
        PeerStatus::Unknown => "unheard",
        PeerStatus::Alive => "alive",
        PeerStatus::Suspect => "suspect",
        PeerStatus::Dead => "dead",
        PeerStatus::Left => "left",
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Res<Config> {
        Config::read(&simd_json::to_owned_value(&mut text.as_bytes().to_vec()).expect("JSON"), "b")
    }

    const FINE: &str = r#"{"listen": "127.0.0.1:1", "key_file": "k",
        "roster": [{"name": "b", "address": "127.0.0.1:2"}, {"name": "a", "address": "127.0.0.1:3"}]}"#;

    #[test]
    fn places_follow_the_names_and_addresses_may_differ() {
        let peers = read(FINE).expect("it holds");
        assert_eq!(
            (peers.limits_config.me, peers.limits_config.fronts, peers.limits_config.revision),
            (1, 2, 1)
        );
        let elsewhere = read(&FINE.replace("127.0.0.1:3", "127.0.0.1:9")).expect("it holds");
        assert_eq!(elsewhere.limits_config, peers.limits_config);
        let other = read(&FINE.replace("\"a\"", "\"c\"")).expect("it holds");
        assert_ne!(other.limits_config.roster, peers.limits_config.roster);
    }

    #[test]
    fn what_is_wrong_is_named_by_its_path() {
        for (from, to, said) in [
            (
                "\"b\", \"address\": \"127.0.0.1:2\"",
                "\"b\", \"address\": \"here\"",
                "'peers.roster[0].address' here is no address",
            ),
            ("\"a\"", "\"b\"", "'peers.roster[1].name' b is there twice"),
            ("127.0.0.1:3", "127.0.0.1:2", "'peers.roster[1].address' 127.0.0.1:2 is there twice"),
            ("\"b\", \"address\"", "\"c\", \"address\"", "'peers.roster' does not name this front, b"),
            (
                "\"listen\"",
                "\"floor\": 2, \"listen\"",
                "'peers': a floor of 2000000 millionths is more than the whole",
            ),
            ("\"listen\"", "\"beat\": 2, \"listen\"", "'peers.beat' is not known"),
            ("\"listen\"", "\"revision\": 0, \"listen\"", "'peers.revision' counts from 1"),
            ("\"k\"", "7", "'peers.key_file' must be a text"),
        ] {
            assert_eq!(read(&FINE.replacen(from, to, 1)).err().as_deref(), Some(said), "{to}");
        }
    }
}
