//! The agent: keeps many fronts as they are declared, in a file or under a prefix in etcd. It starts what is
//! missing, restarts what has crashed with growing pauses, stops with SIGTERM before SIGKILL, and answers the
//! command line over HTTP.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{Either, Full};
use hyper::{Method, Response, StatusCode};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use simd_json::prelude::*;
use simd_json::{json, OwnedValue as Value};
use tokio::process::{Child, Command};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, Instant};

use crate::config::settings::{text, Res};
use crate::control::etcd::{Declared, Prefix};
use crate::control::http_client::call;
use crate::front::{on_one_thread, shutdown_signal};
use crate::frontend::listener::{listen, plain, Handler, Listener, ListenerState, ReceivedRequest, Reply};
use crate::telemetry::log::log;

/// First and longest pause before a crashed front is started again, and how long one must have run for the first
/// to hold again.
const PAUSE: Duration = Duration::from_millis(200);
const PAUSE_MOST: Duration = Duration::from_secs(30);
const SOUND: Duration = Duration::from_secs(60);
/// From SIGTERM to SIGKILL. A front needs 3.4 s at the most to answer what it has taken.
const GRACE: Duration = Duration::from_secs(6);
/// How often a file is looked at, and a starting front asked whether it is ready.
const LOOK: Duration = Duration::from_millis(500);
const ASK: Duration = Duration::from_millis(50);
/// Connections to the agent; the command line needs one.
const MOST: usize = 32;

/// Where fronts are declared.
pub enum Source {
    /// `{"fronts": {"NAME": {"kind": "platform", "config": "PATH"}}}`.
    File(PathBuf),
    /// One key for each front, with such an object as its value.
    Etcd(Prefix),
}

/// A front as declared.
#[derive(Clone, PartialEq)]
struct Front {
    object: bool,
    config: String,
}

/// What is wanted of a front.
#[derive(Clone, PartialEq)]
struct Wanted {
    front: Front,
    drained: bool,
    /// Another number is another start.
    turn: u64,
}

/// What became of it.
#[derive(Clone)]
struct Status {
    state: &'static str,
    pid: Option<u32>,
    starts: u64,
    crashes: u64,
}

impl Status {
    fn started(&mut self, pid: Option<u32>) {
        (self.state, self.pid, self.starts) = ("starting", pid, self.starts + 1);
    }

    fn crashed(&mut self) {
        (self.state, self.crashes) = ("crashed", self.crashes + 1);
    }
}

struct Kept {
    wanted: watch::Sender<Wanted>,
    status: Rc<RefCell<Status>>,
    task: JoinHandle<()>,
}

#[derive(Default)]
struct Agent {
    fronts: RefCell<BTreeMap<String, Kept>>,
    /// Fronts no longer declared, while they end.
    ending: RefCell<BTreeMap<String, JoinHandle<()>>>,
}

/// Runs the agent until SIGTERM or SIGINT; then stops all fronts.
///
/// # Errors
/// A plain sentence, where it cannot begin.
pub fn run(source: Source, control: SocketAddr) -> Res<()> {
    on_one_thread(async move {
        let listener = listen(control).await?;
        let shutdown = shutdown_signal()?;
        let agent = Rc::new(Agent::default());
        let (out, mut declared) = mpsc::channel(8);
        let followed = tokio::task::spawn_local(async move {
            match source {
                Source::File(path) => follow_file(path, out).await,
                Source::Etcd(prefix) => prefix.follow(out).await,
            }
        });
        let applied = Rc::clone(&agent);
        let applying = tokio::task::spawn_local(async move {
            while let Some(all) = declared.recv().await {
                applied.apply(all);
            }
        });
        Listener::new(Control(Rc::clone(&agent)), MOST, ListenerState::default())
            .serve(listener, shutdown)
            .await;
        followed.abort();
        applying.abort();
        let all = std::mem::take(&mut *agent.fronts.borrow_mut());
        // Each front's sender goes with it, which tells them all to stop at the same time.
        let mut tasks: Vec<_> = all.into_values().map(|kept| kept.task).collect();
        tasks.extend(std::mem::take(&mut *agent.ending.borrow_mut()).into_values());
        for task in tasks {
            // A task that has failed has no front left, since its child goes with it.
            let _ = task.await;
        }
        Ok(())
    })
}

/// Sends what a file declares, at first and whenever it has changed.
async fn follow_file(path: PathBuf, out: mpsc::Sender<Declared>) {
    let mut last = None;
    loop {
        match std::fs::read(&path).map_err(|e| e.to_string()) {
            Ok(bytes) if last.as_ref() != Some(&bytes) => {
                match declared_in(&bytes) {
                    Ok(all) => {
                        if out.send(all).await.is_err() {
                            return;
                        }
                    }
                    Err(why) => log!("{}: {why}", path.display()),
                }
                last = Some(bytes);
            }
            Ok(_) => {}
            Err(why) => log!("cannot read {}: {why}", path.display()),
        }
        sleep(LOOK).await;
    }
}

fn declared_in(bytes: &[u8]) -> Res<Declared> {
    let value = simd_json::to_owned_value(&mut bytes.to_vec()).map_err(|e| format!("not JSON: {e}"))?;
    let fronts = value.get("fronts").and_then(Value::as_object).ok_or("'fronts' must be an object")?;
    Ok(fronts.iter().map(|(name, front)| (name.clone(), front.encode().into_bytes())).collect())
}

impl Front {
    fn read(bytes: &[u8]) -> Res<Front> {
        let value = simd_json::to_owned_value(&mut bytes.to_vec()).map_err(|e| format!("not JSON: {e}"))?;
        let object = match text(value.get("kind"), "kind")? {
            "platform" => false,
            "object" => true,
            other => return Err(format!("'kind' {other} is not known")),
        };
        Ok(Front { object, config: text(value.get("config"), "config")?.to_owned() })
    }

    fn start(&self) -> std::io::Result<Child> {
        let mut command = Command::new(std::env::current_exe()?);
        // What the agent was told is not for its fronts; each has its own configuration.
        for name in ["BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY", "BALANCER_CONFIG"] {
            command.env_remove(name);
        }
        match self.object {
            true => command.arg("object").arg(&self.config),
            false => command.env("BALANCER_CONFIG", &self.config),
        };
        command.kill_on_drop(true).spawn()
    }

    /// Waits until the front is ready. One that never says where it listens is never ready.
    async fn ready(&self) {
        let address = std::fs::read(&self.config).ok().and_then(|mut bytes| {
            let value = simd_json::to_owned_value(&mut bytes).ok()?;
            value.get("listen").and_then(Value::as_str)?.parse::<SocketAddr>().ok()
        });
        let Some(address) = address else { return std::future::pending().await };
        loop {
            let asked = call(address, Method::GET, "/health/ready", String::new(), LOOK, LOOK).await;
            if asked.is_ok_and(|answer| answer.status == StatusCode::OK) {
                return;
            }
            sleep(ASK).await;
        }
    }
}

impl Agent {
    /// Makes the fronts what is declared. A declaration that cannot hold leaves its front as it is.
    fn apply(&self, declared: Declared) {
        let mut fronts = self.fronts.borrow_mut();
        let mut ending = self.ending.borrow_mut();
        ending.retain(|_, task| !task.is_finished());
        let gone: Vec<String> = fronts.keys().filter(|name| !declared.contains_key(*name)).cloned().collect();
        ending.extend(gone.into_iter().filter_map(|name| fronts.remove(&name).map(|kept| (name, kept.task))));
        for (name, bytes) in declared {
            let front = match Front::read(&bytes) {
                Ok(front) => front,
                Err(why) => {
                    log!("front {name}: {why}");
                    continue;
                }
            };
            match fronts.get(&name) {
                Some(kept) => {
                    kept.wanted.send_if_modified(|wanted| {
                        let changed = wanted.front != front;
                        wanted.front = front;
                        changed
                    });
                }
                None => {
                    let (wanted, told) = watch::channel(Wanted { front, drained: false, turn: 0 });
                    let status = Status { state: "waiting", pid: None, starts: 0, crashes: 0 };
                    let status = Rc::new(RefCell::new(status));
                    let (kept, before) = (keep(name.clone(), told, Rc::clone(&status)), ending.remove(&name));
                    let task = tokio::task::spawn_local(async move {
                        // One of the same name may still be answering, and holds the address.
                        if let Some(before) = before {
                            let _ = before.await;
                        }
                        kept.await;
                    });
                    fronts.insert(name, Kept { wanted, status, task });
                }
            }
        }
    }

    fn status(&self) -> Value {
        let fronts = self.fronts.borrow();
        let rows = fronts.iter().map(|(name, kept)| {
            let Status { state, pid, starts, crashes } = kept.status.borrow().clone();
            json!({"name": name.as_str(), "state": state, "pid": pid, "starts": starts, "crashes": crashes})
        });
        json!({ "fronts": rows.collect::<Vec<_>>() })
    }
}

/// Keeps one front as wanted, until nobody wants it.
async fn keep(name: String, mut told: watch::Receiver<Wanted>, status: Rc<RefCell<Status>>) {
    let mut pause = PAUSE;
    loop {
        let wanted = told.borrow_and_update().clone();
        if wanted.drained {
            status.borrow_mut().state = "drained";
            if told.changed().await.is_err() {
                return;
            }
            continue;
        }
        let began = Instant::now();
        let ended = match wanted.front.start() {
            Ok(mut child) => {
                status.borrow_mut().started(child.id());
                let ready = async {
                    wanted.front.ready().await;
                    status.borrow_mut().state = "ready";
                    std::future::pending::<()>().await;
                };
                let ended = tokio::select! {
                    ended = child.wait() => Some(ended.map_or_else(|e| e.to_string(), |code| code.to_string())),
                    _ = told.wait_for(|w| *w != wanted) => None,
                    () = ready => None,
                };
                if ended.is_none() {
                    status.borrow_mut().state = "stopping";
                    end(&name, &mut child).await;
                }
                status.borrow_mut().pid = None;
                ended
            }
            Err(why) => Some(why.to_string()),
        };
        if told.has_changed().is_err() {
            return;
        }
        let Some(why) = ended else { continue };
        if began.elapsed() >= SOUND {
            pause = PAUSE;
        }
        log!("front {name} ended ({why}); again in {pause:?}");
        status.borrow_mut().crashed();
        // A change of what is wanted is not kept waiting.
        if let Ok(Err(_)) = timeout(pause, told.changed()).await {
            return;
        }
        pause = (pause * 2).min(PAUSE_MOST);
    }
}

/// SIGTERM, time to answer what was taken, and SIGKILL.
async fn end(name: &str, child: &mut Child) {
    if let Some(pid) = child.id().and_then(|id| i32::try_from(id).ok()) {
        // It may have ended by itself in this moment, and is then still ours to wait for.
        let _ = kill(Pid::from_raw(pid), Signal::SIGTERM);
    }
    if timeout(GRACE, child.wait()).await.is_err() {
        log!("front {name} does not end; it is killed");
        let _ = child.kill().await;
    }
}

/// What the command line asks.
struct Control(Rc<Agent>);

impl Handler for Control {
    fn longest_deadline(&self) -> Duration {
        GRACE
    }

    async fn answer(&self, request: ReceivedRequest, _leaving: bool) -> Reply {
        if let Err(status) = *request.body() {
            return plain(status, "the request is not taken");
        }
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (&Method::GET, ["fronts"]) => {
                Response::new(Either::Left(Full::from(self.0.status().encode().into_bytes())))
            }
            (&Method::POST, ["fronts", name, verb]) => {
                let fronts = self.0.fronts.borrow();
                let Some(kept) = fronts.get(*name) else {
                    return plain(StatusCode::NOT_FOUND, "no such front");
                };
                match *verb {
                    "drain" => kept.wanted.send_modify(|w| w.drained = true),
                    "resume" => kept.wanted.send_modify(|w| w.drained = false),
                    "restart" => kept.wanted.send_modify(|w| w.turn += 1),
                    _ => return plain(StatusCode::NOT_FOUND, "no such command"),
                }
                plain(StatusCode::ACCEPTED, "ok")
            }
            _ => plain(StatusCode::NOT_FOUND, "no such thing"),
        }
    }
}
