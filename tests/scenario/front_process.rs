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
use super::script::{Edit, Script};
use super::server::Server;
use super::steps::parse_number;
use super::Front;

/// The settings of the front, as the operators' file has them.
const SETTINGS: &str = include_str!("settings.json");
/// The name of the configuration file in the folder of the front.
const CONFIG_FILE: &str = "config.json";
/// The file with the rules of the fault shim.
const RULES_FILE: &str = "faults";
/// The fault shim, beside the programs of the tests.
const SHIM: &str = "libtulipbridge_fault_shim.so";
/// How the file of servers in maintenance of the front ends.
const HELD_FILE: &str = "tulipbridge-t-held.json";

/// A front under test with its files, through restarts.
pub struct FrontProcess {
    front: Front,
    discovery: SocketAddr,
    /// Whether it runs under the fault shim.
    uses_faults: bool,
    /// The lock on the file of servers in maintenance, while the test holds it.
    held_file_lock: Option<Flock<File>>,
    running: RunningFront,
    /// The process before, which still runs.
    predecessor: Option<RunningFront>,
    folder: PathBuf,
    /// The configuration that the front uses.
    config: String,
}

/// The process of a front that accepts connections.
struct RunningFront {
    process: Child,
    /// Standard error; `None` once it is closed.
    log: Option<BufReader<ChildStderr>>,
    /// Where it accepts clients.
    address: SocketAddr,
    console: SocketAddr,
}

impl FrontProcess {
    /// Starts a front as the script prepares it: with edits of its configuration, and under the
    /// fault shim where the script uses faults.
    pub fn start(
        front: Front,
        servers: &[Server],
        discovery: &Discovery,
        script: &Script,
    ) -> FrontProcess {
        let discovery_address = discovery.address();
        let folder = std::env::temp_dir().join(format!(
            "tulipbridge-{}-{}",
            std::process::id(),
            discovery_address.port()
        ));
        std::fs::create_dir_all(&folder).expect("a folder");
        let original = config(servers, discovery_address);
        let apply = |config: String, edit: &Edit| edit.apply(&config);
        let config = script.edits.iter().fold(original, apply);
        std::fs::write(folder.join(CONFIG_FILE), &config).expect("written");
        if let Some(rules) = &script.faults {
            write_rules(&folder, rules);
        }
        let uses_faults = script.faults.is_some();
        FrontProcess {
            front,
            discovery: discovery_address,
            uses_faults,
            held_file_lock: None,
            running: RunningFront::start(front, &folder, discovery_address, uses_faults),
            predecessor: None,
            folder,
            config,
        }
    }

    /// Where the front accepts clients.
    pub fn address(&self) -> SocketAddr {
        self.running.address
    }

    /// Kills the front and starts it again.
    pub fn restart(&mut self) {
        self.running.process.kill().expect("it runs");
        self.running.process.wait().expect("it ends");
        self.running =
            RunningFront::start(self.front, &self.folder, self.discovery, self.uses_faults);
    }

    /// Starts another process of the front with the same file and folder, as for a new version. The
    /// steps concern that one from now on.
    pub fn start_successor(&mut self) {
        let successor =
            RunningFront::start(self.front, &self.folder, self.discovery, self.uses_faults);
        self.predecessor = Some(std::mem::replace(&mut self.running, successor));
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

    /// The most memory that the process has had resident so far, its program file included.
    pub fn peak_memory_kib(&self) -> u64 {
        self.status_kib("VmHWM:")
    }

    /// The memory that the process has resident now, without its program file.
    pub fn own_memory_kib(&self) -> u64 {
        self.status_kib("RssAnon:")
    }

    /// A line of the process's status that is in KiB.
    fn status_kib(&self, name: &str) -> u64 {
        let path = format!("/proc/{}/status", self.running.process.id());
        let status = std::fs::read_to_string(path).expect("it runs");
        let value = status
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_suffix("kB"));
        parse_number(value.expect("the line").trim())
    }

    /// Sends a signal, such as `HUP`.
    pub fn signal(&self, name: &str) {
        let process_id = self.running.process.id().to_string();
        let status = Command::new("kill")
            .args([format!("-{name}"), process_id])
            .status();
        assert!(status.expect("kill").success());
    }

    /// Waits for the end of the process. Returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.running.process.wait().expect("it ends").code()
    }

    /// Closes the reading end of the log.
    pub fn close_log(&mut self) {
        self.running.log = None;
    }

    /// Reloads the configuration with discovery at another address.
    pub fn reload_with_discovery(&mut self, old: SocketAddr, new: SocketAddr) -> Option<String> {
        self.config = self.config.replace(&old.to_string(), &new.to_string());
        let config = self.config.clone();
        self.reload(&config)
    }

    /// Reloads the configuration after an edit. An edit that the front rejects is not the base of
    /// the next.
    pub fn reload_with_edit(&mut self, edit: &Edit) -> Option<String> {
        let config = edit.apply(&self.config);
        let result = self.reload(&config);
        if result
            .as_deref()
            .is_some_and(|line| line.contains("new configuration applied"))
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
        let log = self.running.log.as_mut()?;
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
        let mut connection = Connection::open(self.running.console);
        let request = format!("{method} {path} HTTP/1.1\r\nHost: t\r\nContent-Length: 0\r\n\r\n");
        connection.write(request.as_bytes());
        connection.read_message().expect("an answer")
    }
}

impl Drop for FrontProcess {
    fn drop(&mut self) {
        self.running.stop();
        if let Some(predecessor) = &mut self.predecessor {
            predecessor.stop();
        }
        ignore_cleanup_error(std::fs::remove_dir_all(&self.folder));
    }
}

impl RunningFront {
    /// Starts the program in its folder, and waits until it listens.
    fn start(
        front: Front,
        folder: &Path,
        discovery: SocketAddr,
        uses_faults: bool,
    ) -> RunningFront {
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
        RunningFront {
            process,
            log: Some(log),
            address,
            console,
        }
    }

    /// Kills the process, which may have ended already.
    fn stop(&mut self) {
        ignore_cleanup_error(self.process.kill());
        self.process.wait().expect("it ends");
    }
}

/// Ignores that a process has ended already or that a file cannot be removed: neither changes the
/// result of a test.
fn ignore_cleanup_error(_result: std::io::Result<()>) {}

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

/// A configuration with these chunk servers in its list.
fn config(servers: &[Server], discovery: SocketAddr) -> String {
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
        discovery,
        entries.join(","),
    );
    config.replace("\"Shards\": 10", &format!("\"Shards\": {}", servers.len()))
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
