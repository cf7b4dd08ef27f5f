//! The front under test: a process with its configuration file, log and console.

use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};

use nix::fcntl::{Flock, FlockArg};
use tulipbridge_fault_shim::RULES_VARIABLE;

use super::connection::{Connection, Message};
use super::discovery::Discovery;
use super::server::Server;
use super::Front;

const SETTINGS: &str = include_str!("settings.json");
const CONFIG_FILE: &str = "config.json";

/// The file with the rules of the fault shim.
const RULES_FILE: &str = "faults";
/// The fault shim, beside the programs of the tests.
const SHIM: &str = "libtulipbridge_fault_shim.so";
/// How the file of servers in maintenance of the front ends.
const HELD_FILE: &str = "tulipbridge-t-held.json";

pub struct FrontProcess {
    front: Front,
    discovery: SocketAddr,
    uses_faults: bool,
    /// The lock on the file of servers in maintenance, while the test holds it.
    held_file_lock: Option<Flock<File>>,
    process: Child,
    /// Standard error; `None` once it is closed.
    log: Option<BufReader<ChildStderr>>,
    pub address: SocketAddr,
    console: SocketAddr,
    folder: PathBuf,
    config: String,
}

impl FrontProcess {
    /// Starts a front. In its configuration the first text of each of the `edits` is replaced by
    /// the second. With `faults` it runs under the fault shim, with these rules at first.
    pub fn start(
        front: Front,
        servers: &[Server],
        discovery: &Discovery,
        edits: &[(&str, &str)],
        faults: Option<&str>,
    ) -> FrontProcess {
        let folder = format!(
            "tulipbridge-{}-{}",
            std::process::id(),
            discovery.address().port()
        );
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let config = edits
            .iter()
            .fold(config(servers, discovery), |config, (from, to)| {
                edit(&config, from, to)
            });
        std::fs::write(folder.join(CONFIG_FILE), &config).expect("written");
        if let Some(rules) = faults {
            write_rules(&folder, rules);
        }
        let uses_faults = faults.is_some();
        let discovery = discovery.address();
        let (process, log, address, console) = spawn(front, &folder, discovery, uses_faults);
        let log = Some(log);
        FrontProcess {
            front,
            discovery,
            uses_faults,
            held_file_lock: None,
            process,
            log,
            address,
            console,
            folder,
            config,
        }
    }

    /// Kills the front and starts it again.
    pub fn restart(&mut self) {
        self.process.kill().expect("it runs");
        self.process.wait().expect("it ends");
        let (process, log, address, console) =
            spawn(self.front, &self.folder, self.discovery, self.uses_faults);
        (self.process, self.log, self.address, self.console) =
            (process, Some(log), address, console);
    }

    /// Replaces the rules of the fault shim.
    pub fn set_faults(&self, rules: &str) {
        write_rules(&self.folder, rules);
    }

    /// The content of the file of servers in maintenance; empty where there is none.
    pub fn held_file(&self) -> String {
        std::fs::read_to_string(self.folder.join(HELD_FILE)).unwrap_or_default()
    }

    /// Takes the lock on the file of servers in maintenance.
    pub fn lock_held_file(&mut self) {
        let path = self.folder.join(HELD_FILE).with_extension("lock");
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path);
        let lock = Flock::lock(file.expect("opened"), FlockArg::LockExclusive);
        self.held_file_lock = Some(lock.expect("locked"));
    }

    /// Gives that lock back.
    pub fn unlock_held_file(&mut self) {
        self.held_file_lock = None;
    }

    /// Sends a signal, such as `HUP`.
    pub fn signal(&self, name: &str) {
        let process_id = self.process.id().to_string();
        let status = Command::new("kill")
            .args([format!("-{name}"), process_id])
            .status();
        assert!(status.expect("kill").success());
    }

    /// Waits for the end of the process. Returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.process.wait().expect("it ends").code()
    }

    /// Closes the reading end of the log.
    pub fn close_log(&mut self) {
        self.log = None;
    }

    /// Reloads the configuration with discovery at another address.
    pub fn reload_with_discovery(&mut self, old: SocketAddr, new: SocketAddr) -> Option<String> {
        self.config = self.config.replace(&old.to_string(), &new.to_string());
        let config = self.config.clone();
        self.reload(&config)
    }

    /// Reloads the configuration with the first `from` replaced by `to`. An edit that the front
    /// refuses is not the base of the next.
    pub fn reload_with_edit(&mut self, from: &str, to: &str) -> Option<String> {
        let config = edit(&self.config, from, to);
        let result = self.reload(&config);
        if result
            .as_deref()
            .is_some_and(|line| line.contains("is taken"))
        {
            self.config = config;
        }
        result
    }

    /// Writes the file, sends SIGHUP and waits for the front to log the result. Returns that line
    /// without the name of the file; `None` where the log is closed.
    pub fn reload(&mut self, config: &str) -> Option<String> {
        std::fs::write(self.folder.join(CONFIG_FILE), config).expect("written");
        self.signal("HUP");
        let log = self.log.as_mut()?;
        let mut line = String::new();
        while !line.contains("configuration") {
            line.clear();
            if log.read_line(&mut line).expect("the log is readable") == 0 {
                return None;
            }
        }
        let message = line
            .trim()
            .split_once("] ")
            .map_or(line.trim(), |(_, message)| message);
        // The path of the file, which differs from run to run, follows the colon.
        Some(message.split(": /").next().unwrap_or(message).to_owned())
    }

    /// Calls the console on a connection of its own.
    pub fn call_console(&self, method: &str, path: &str) -> Message {
        let mut connection = Connection::open(self.console);
        let request = format!("{method} {path} HTTP/1.1\r\nHost: t\r\nContent-Length: 0\r\n\r\n");
        connection.write(request.as_bytes());
        connection.read_message().expect("an answer")
    }
}

impl Drop for FrontProcess {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Starts the program in its folder. Returns the process, its log, and the addresses for clients
/// and of the console.
fn spawn(
    front: Front,
    folder: &Path,
    discovery: SocketAddr,
    uses_faults: bool,
) -> (Child, BufReader<ChildStderr>, SocketAddr, SocketAddr) {
    let file = folder.join(CONFIG_FILE);
    let mut command = Command::new(env!("CARGO_BIN_EXE_tulipbridge"));
    match front {
        Front::Platform => command
            .env("BALANCER_CONFIG", &file)
            .env("BALANCER_DISCOVERY", discovery.to_string()),
        Front::Object => command.arg("object").arg(&file),
    };
    command.env("TMPDIR", folder);
    if uses_faults {
        command
            .env("LD_PRELOAD", shim())
            .env(RULES_VARIABLE, folder.join(RULES_FILE));
    }
    let mut process = command
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut log = BufReader::new(process.stderr.take().expect("a pipe"));
    let address = read_address(&mut log, "listening on ");
    let console = read_address(&mut log, "console on ");
    (process, log, address, console)
}

/// Where the fault shim is: cargo leaves it beside this program.
fn shim() -> PathBuf {
    let program = std::env::current_exe().expect("a path");
    let shim = program.parent().expect("a folder").join(SHIM);
    assert!(shim.exists(), "{} is missing", shim.display());
    shim
}

/// Replaces the file of rules as a whole; the rules are separated by semicolons.
fn write_rules(folder: &Path, rules: &str) {
    let next = folder.join("faults.next");
    std::fs::write(&next, rules.replace("; ", "\n")).expect("written");
    std::fs::rename(&next, folder.join(RULES_FILE)).expect("replaced");
}

fn config(servers: &[Server], discovery: &Discovery) -> String {
    let entries: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| server.entry(index, "Ready"))
        .collect();
    let config = format!(
        r#"{{"name":"t","listen":"127.0.0.1:0","console":"127.0.0.1:0","discovery":"{}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},
        "known":{{"generation":1,"reset":true,"instances":[{}]}},"settings":{SETTINGS},
        "buckets":{{"photos":{{"volume":"3b4d60021","plan":"basico","read":"form-read","write":"form-submit"}}}}}}"#,
        discovery.address(),
        entries.join(","),
    );
    config.replace("\"Shards\": 10", &format!("\"Shards\": {}", servers.len()))
}

fn edit(config: &str, from: &str, to: &str) -> String {
    assert!(config.contains(from), "no {from} in the file");
    config.replacen(from, to, 1)
}

/// The address at the end of the next line of the log with this prefix.
fn read_address(log: &mut impl BufRead, prefix: &str) -> SocketAddr {
    let mut line = String::new();
    while !line.contains(prefix) {
        line.clear();
        assert!(
            log.read_line(&mut line).expect("the log is readable") > 0,
            "no line with '{prefix}'"
        );
    }
    let address = line
        .trim()
        .rsplit_once(prefix)
        .and_then(|(_, address)| address.parse().ok());
    address.unwrap_or_else(|| panic!("no address after '{prefix}': {line}"))
}
