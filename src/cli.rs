//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use hyper::{Method, StatusCode};
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tokio::time::{sleep, Instant};

use crate::config::settings::{list, text, Res};
use crate::config::Config;
use crate::control::agent;
use crate::control::agent::Source;
use crate::control::etcd::Prefix;
use crate::control::http_client::call;
use crate::front::on_one_thread;
use crate::telemetry::log::log;
use crate::{front, object};

/// How long an agent may take to answer, and a front to do as it is told.
const ANSWER: Duration = Duration::from_secs(5);
const DONE: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(100);

/// Runs storage fronts. Without a command: one front of the platform, as BALANCER_CONFIG and its companions
/// tell.
#[derive(Parser)]
#[command(name = "tulipbridge", version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs an object front.
    Object {
        /// Its configuration, such as deploy/object.json.
        file: PathBuf,
    },
    /// Keeps many fronts as they are declared.
    Agent {
        #[command(flatten)]
        source: Declared,
        /// Prefix of the keys in etcd; what follows it is a front's name.
        #[arg(long, default_value = "/tulipbridge/fronts/")]
        prefix: String,
        /// Where it answers the commands below.
        #[arg(long, default_value = "127.0.0.1:7900")]
        control: SocketAddr,
    },
    /// Shows the fronts that an agent keeps.
    Status(Asked),
    /// Stops a front once it has answered what it has taken, and keeps it stopped.
    Drain {
        /// Its name.
        name: String,
        #[command(flatten)]
        asked: Asked,
    },
    /// Shows what a front believes of its peers, by what evidence.
    Peers {
        /// The front's console.
        #[arg(long)]
        console: SocketAddr,
        /// As a table or as JSON.
        #[arg(short, long, default_value = "table")]
        output: Output,
    },
    /// Shows which chunk servers a front holds out with its peers, and which it may come to hold out.
    Verdicts {
        /// The front's console.
        #[arg(long)]
        console: SocketAddr,
        /// As a table or as JSON.
        #[arg(short, long, default_value = "table")]
        output: Output,
    },
    /// Explains how a chunk server stands: who saw what and when, why it is out, when that lapses, who tries next.
    Explain {
        /// Its name, as discovery has it.
        server: String,
        /// The front's console.
        #[arg(long)]
        console: SocketAddr,
        /// As text or as JSON.
        #[arg(short, long, default_value = "table")]
        output: Output,
    },
    /// Starts a drained front again.
    Resume {
        /// Its name.
        name: String,
        #[command(flatten)]
        asked: Asked,
    },
    /// Restarts fronts, one after another, each once the one before is ready.
    Restart {
        /// Their names; none is all of them.
        names: Vec<String>,
        #[command(flatten)]
        asked: Asked,
    },
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Output {
    Table,
    Json,
}

#[derive(Args)]
#[group(required = true, multiple = false)]
struct Declared {
    /// A file that declares them.
    #[arg(long)]
    file: Option<PathBuf>,
    /// The address of etcd's JSON gateway.
    #[arg(long)]
    etcd: Option<SocketAddr>,
}

#[derive(Args)]
struct Asked {
    /// The agent's address.
    #[arg(long, default_value = "127.0.0.1:7900")]
    agent: SocketAddr,
}

/// Runs the program. Bad usage and bad configuration end it with 2 and a plain message.
pub fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        None => Config::from_env().and_then(front::run),
        Some(Command::Object { file }) => object::run(&file),
        Some(Command::Agent { source, prefix, control }) => match (source.file, source.etcd) {
            (Some(file), _) => agent::run(Source::File(file), control),
            (None, Some(address)) => agent::run(Source::Etcd(Prefix { address, prefix }), control),
            (None, None) => Err("where the fronts are declared is missing".to_owned()),
        },
        Some(Command::Status(asked)) => on_one_thread(asked.print()),
        Some(Command::Peers { console, output }) => on_one_thread(peers(console, output)),
        Some(Command::Verdicts { console, output }) => on_one_thread(verdicts(console, output)),
        Some(Command::Explain { server, console, output }) => on_one_thread(explain(server, console, output)),
        Some(Command::Drain { name, asked }) => on_one_thread(asked.tell(&name, "drain", "drained")),
        Some(Command::Resume { name, asked }) => on_one_thread(asked.tell(&name, "resume", "ready")),
        Some(Command::Restart { names, asked }) => on_one_thread(asked.restart(names)),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            log!("tulipbridge: {why}");
            ExitCode::from(2)
        }
    }
}

/// What a front's console says; nothing where it has been printed as it came.
async fn console_says(console: SocketAddr, path: &str, output: Output) -> Res<Option<Value>> {
    let asked = call(console, Method::GET, path, String::new(), ANSWER, ANSWER).await;
    let answer = asked.map_err(|why| format!("the console at {console}: {why}"))?;
    let status = answer.status;
    let mut body = answer.read_all(ANSWER).await?;
    if status != StatusCode::OK {
        return Err(format!("the console at {console}: {}", String::from_utf8_lossy(&body).trim()));
    }
    if let Output::Json = output {
        println!("{}", String::from_utf8_lossy(&body));
        return Ok(None);
    }
    simd_json::to_owned_value(&mut body).map(Some).map_err(|e| format!("the console's answer: {e}"))
}

/// A span as the console tells it, in seconds.
fn seconds(of: &Value, key: &str) -> String {
    let ms = of.get(key).and_then(Value::as_i64);
    ms.map_or("-".to_owned(), |ms| format!("{:.1} s", ms as f64 / 1e3))
}

/// Shows the verdicts that a front shares.
async fn verdicts(console: SocketAddr, output: Output) -> Res<()> {
    let Some(told) = console_says(console, "/status/verdicts", output).await? else { return Ok(()) };
    println!(
        "{:<20} {:<22} {:>9} {:>9} {:>8}  TRIES",
        "SERVER", "HELD OUT FOR", "SINCE", "LAPSES IN", "ASSENTS"
    );
    for one in list(&told, "verdicts")? {
        let out = one.get("out_ms").and_then(Value::as_i64).is_some();
        let scope = text(one.get("scope"), "scope")?;
        let scope = if out { scope.to_owned() } else { format!("({scope})") };
        let tries = one.get("tries").and_then(Value::as_str).unwrap_or("-");
        println!(
            "{:<20} {scope:<22} {:>9} {:>9} {:>8}  {tries}",
            text(one.get("server"), "server")?,
            seconds(one, "out_ms"),
            if out { seconds(one, "lapses_ms") } else { "-".to_owned() },
            list(one, "assents")?.len(),
        );
    }
    let number = |key: &str| told.get(key).and_then(Value::as_u64).unwrap_or(0);
    println!(
        "this front: {}; {} servers, of which it may assent to hold out {}; a verdict needs {} fronts",
        text(told.get("name"), "name")?,
        number("servers"),
        number("most_assents"),
        number("needed")
    );
    if told.get("suspect").and_then(Value::as_bool) == Some(true) {
        println!("what it sees contradicts its peers, and counts for nothing: look at its own network");
    }
    Ok(())
}

/// Explains how a chunk server stands.
async fn explain(server: String, console: SocketAddr, output: Output) -> Res<()> {
    let id = percent_encoding::utf8_percent_encode(&server, percent_encoding::NON_ALPHANUMERIC);
    let path = format!("/status/verdicts/{id}");
    let Some(told) = console_says(console, &path, output).await? else { return Ok(()) };
    let verdicts = list(&told, "verdicts")?;
    if verdicts.iter().all(|one| one.get("out_ms").and_then(Value::as_i64).is_none()) {
        println!("{server} is not held out");
    }
    for one in verdicts {
        let scope = text(one.get("scope"), "scope")?;
        let names: Vec<String> = list(one, "assents")?
            .iter()
            .filter_map(|a| Some(format!("{} {} ago", a.get("front")?.as_str()?, seconds(a, "age_ms"))))
            .collect();
        let needed = told.get("needed").and_then(Value::as_u64).unwrap_or(0);
        if one.get("out_ms").and_then(Value::as_i64).is_some() {
            println!("{server} has been held out for {scope} for {}", seconds(one, "out_ms"));
            println!("  it lapses in {} unless it is renewed", seconds(one, "lapses_ms"));
            let tries = one.get("tries").and_then(Value::as_str);
            println!("  {} tries it now", tries.unwrap_or("nobody"));
        } else {
            println!("{server} may come to be held out for {scope}");
        }
        println!(
            "  assents ({needed} are needed): {}",
            if names.is_empty() { "none".to_owned() } else { names.join(", ") }
        );
    }
    println!("{:<20} {:>9} {:>6} {:>9}  WHAT EACH FRONT SAW", "FRONT", "ATTEMPTS", "BAD", "TOLD");
    for saw in list(&told, "saw").into_iter().flatten() {
        let number = |key: &str| saw.get(key).and_then(Value::cast_f64).unwrap_or(0.0);
        let counts = saw.get("counts").and_then(Value::as_bool) != Some(false);
        println!(
            "{:<20} {:>9.1} {:>6.1} {:>9}  {}",
            text(saw.get("front"), "front")?,
            number("attempts"),
            number("bad"),
            seconds(saw, "age_ms"),
            if counts { "" } else { "contradicts the others, and does not count" }
        );
    }
    Ok(())
}

/// Shows a front's peers.
async fn peers(console: SocketAddr, output: Output) -> Res<()> {
    let Some(told) = console_says(console, "/status/peers", output).await? else { return Ok(()) };
    println!(
        "{:<20} {:<8} {:<8} {:>10} {:>7} {:>9}  EVIDENCE",
        "PEER", "VERSION", "BELIEF", "SILENT", "LENT", "BORROWED"
    );
    for peer in list(&told, "peers")? {
        let name = text(peer.get("name"), "name")?;
        let belief = text(peer.get("belief"), "belief")?;
        let silent = peer.get("silent_ms").and_then(Value::as_i64);
        let silent = silent.map_or("-".to_owned(), |ms| format!("{ms} ms"));
        let part = |key: &str| peer.get(key).and_then(Value::cast_f64).unwrap_or(0.0);
        let by: Vec<&str> = list(peer, "heard_by")?.iter().filter_map(Value::as_str).collect();
        let mut evidence =
            vec![if by.is_empty() { String::new() } else { format!("heard by {}", by.join(", ")) }];
        if let Some(boot) = peer.get("second_process").and_then(Value::as_str) {
            evidence.push(format!("a second process has its name: boot {boot}"));
        }
        evidence.retain(|e| !e.is_empty());
        let (lent, borrowed) = (part("lent"), part("borrowed"));
        let version = peer.get("version").and_then(Value::as_str).unwrap_or("-");
        println!(
            "{name:<20} {version:<8} {belief:<8} {silent:>10} {lent:>7.3} {borrowed:>9.3}  {}",
            evidence.join("; ")
        );
    }
    let is = |key: &str| told.get(key).and_then(Value::as_bool) == Some(true);
    let banks: Vec<&str> = list(&told, "banks")?.iter().filter_map(Value::as_str).collect();
    println!("this front: {}, holds the banks of: {}", text(told.get("name"), "name")?, banks.join(", "));
    // A front of an earlier version tells none.
    for limit in list(&told, "limits").into_iter().flatten() {
        let part = limit.get("part").and_then(Value::cast_f64).unwrap_or(0.0);
        println!(
            "its part of the limit on {}: {part:.3}",
            text(limit.get("limit"), "limit")?.replace('_', " ")
        );
    }
    if is("just_started") {
        println!("it has just started, and uses nothing of its own yet");
    }
    if is("other_roster") {
        println!("other fronts run with another roster of its revision, and it uses no shared limit");
    } else if is("standing_back") {
        println!("another process has its name, and it uses no shared limit");
    }
    if !is("settled") {
        println!("not every front in the roster is known to have taken it: floors only");
    }
    Ok(())
}

impl Asked {
    async fn call(&self, method: Method, path: &str) -> Res<Vec<u8>> {
        let answer = call(self.agent, method, path, String::new(), ANSWER, ANSWER).await;
        let answer = answer.map_err(|why| format!("the agent at {}: {why}", self.agent))?;
        let status = answer.status;
        let body = answer.read_all(ANSWER).await?;
        match status {
            StatusCode::OK | StatusCode::ACCEPTED => Ok(body),
            _ => Err(format!("the agent at {}: {}", self.agent, String::from_utf8_lossy(&body))),
        }
    }

    async fn fronts(&self) -> Res<Vec<Value>> {
        let mut body = self.call(Method::GET, "/fronts").await?;
        let value = simd_json::to_owned_value(&mut body).map_err(|e| format!("the agent's answer: {e}"))?;
        list(&value, "fronts").map(|fronts| fronts.to_vec())
    }

    async fn print(&self) -> Res<()> {
        println!("{:<24} {:<9} {:>8} {:>7} {:>8}", "NAME", "STATE", "PID", "STARTS", "CRASHES");
        for front in self.fronts().await? {
            let name = text(front.get("name"), "name")?;
            let state = text(front.get("state"), "state")?;
            let number =
                |key: &str| front.get(key).and_then(Value::as_u64).map_or("-".to_owned(), |n| n.to_string());
            let (pid, starts, crashes) = (number("pid"), number("starts"), number("crashes"));
            println!("{name:<24} {state:<9} {pid:>8} {starts:>7} {crashes:>8}");
        }
        Ok(())
    }

    /// Tells the agent what to do with a front, and waits until it is done.
    async fn tell(&self, name: &str, verb: &str, state: &str) -> Res<()> {
        let find = |fronts: Vec<Value>| {
            fronts.into_iter().find(|f| f.get("name").and_then(Value::as_str) == Some(name))
        };
        let starts = |front: &Value| front.get("starts").and_then(Value::as_u64);
        let before = find(self.fronts().await?).ok_or_else(|| format!("no such front: {name}"))?;
        self.call(Method::POST, &format!("/fronts/{name}/{verb}")).await?;
        let began = Instant::now();
        while began.elapsed() < DONE {
            let front = find(self.fronts().await?).ok_or_else(|| format!("{name} is no longer declared"))?;
            let again = verb != "restart" || starts(&front) != starts(&before);
            if again && front.get("state").and_then(Value::as_str) == Some(state) {
                println!("{name} is {state}");
                return Ok(());
            }
            sleep(LOOK).await;
        }
        Err(format!("{name} is not {state} after {} s", DONE.as_secs()))
    }

    async fn restart(&self, mut names: Vec<String>) -> Res<()> {
        if names.is_empty() {
            for front in self.fronts().await? {
                // A drained front is meant to stay so.
                if text(front.get("state"), "state")? != "drained" {
                    names.push(text(front.get("name"), "name")?.to_owned());
                }
            }
        }
        for name in names {
            self.tell(&name, "restart", "ready").await?;
        }
        Ok(())
    }
}
