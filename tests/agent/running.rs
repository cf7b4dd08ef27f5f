//! An agent that runs as a process, and the configurations of its fronts.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const SETTINGS: &str = include_str!("../scenario/settings.json");
/// The longest time for anything that a test waits for.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// What the status table says of a front, but for its process id.
#[derive(Debug, PartialEq)]
pub struct FrontRow {
    name: String,
    state: String,
    starts: String,
    crashes: String,
}

impl FrontRow {
    fn new(name: &str, state: &str, starts: u32, crashes: u32) -> FrontRow {
        let (name, state) = (name.to_owned(), state.to_owned());
        FrontRow {
            name,
            state,
            starts: starts.to_string(),
            crashes: crashes.to_string(),
        }
    }
}

/// A front that is ready.
pub fn ready(name: &str, starts: u32, crashes: u32) -> FrontRow {
    FrontRow::new(name, "ready", starts, crashes)
}

/// A front that is drained.
pub fn drained(name: &str, starts: u32, crashes: u32) -> FrontRow {
    FrontRow::new(name, "drained", starts, crashes)
}

/// An agent that runs as a process. It ends with its fronts when this is dropped.
pub struct RunningAgent {
    pub process: Child,
    pub folder: PathBuf,
    control: SocketAddr,
}

impl RunningAgent {
    /// Starts an agent with a folder of its own, from whose path `arguments` gives the command
    /// line.
    pub fn start(name: &str, arguments: impl FnOnce(&Path) -> Vec<String>) -> RunningAgent {
        let folder =
            std::env::temp_dir().join(format!("tulipbridge-agent-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut command = Command::new(env!("CARGO_BIN_EXE_tulipbridge"));
        command
            .args(["agent", "--control", "127.0.0.1:0"])
            .args(arguments(&folder));
        command.stdout(Stdio::null()).stderr(Stdio::piped());
        let mut process = command.spawn().expect("the agent starts");
        let mut log = BufReader::new(process.stderr.take().expect("a pipe"));
        let mut line = String::new();
        log.read_line(&mut line).expect("a first line");
        let address = line.trim().rsplit(' ').next();
        let control = address
            .and_then(|address| address.parse().ok())
            .expect("the address of its API");
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        RunningAgent {
            process,
            folder,
            control,
        }
    }

    /// Runs a command that calls the agent.
    pub fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tulipbridge"));
        command
            .args(arguments)
            .args(["--agent", &self.control.to_string()])
            .output()
            .expect("it runs")
    }

    /// Runs a command that calls the agent and must succeed.
    pub fn run_successfully(&self, arguments: &[&str]) {
        let output = self.run(arguments);
        assert!(
            output.status.success(),
            "{arguments:?}: {}, {}",
            output.status,
            String::from_utf8_lossy(&output.stderr)
        );
    }

    /// Waits until the status table has exactly these rows. Returns the process ids of the fronts,
    /// in the same order.
    pub fn wait_for_fronts(&self, expected: &[FrontRow]) -> Vec<String> {
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            let table = String::from_utf8(self.run(&["status"]).stdout).expect("text");
            let (rows, pids) = read_status(&table);
            if rows == expected {
                return pids;
            }
            assert!(Instant::now() < until, "expected {expected:?}, saw {table}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Ends the agent, which must succeed.
    pub fn stop(&mut self) {
        send_signal(&self.process.id().to_string(), "-TERM");
        assert!(self.process.wait().expect("it ends").success());
    }
}

impl Drop for RunningAgent {
    fn drop(&mut self) {
        // Not SIGKILL at first: an agent that is killed leaves its fronts behind. Errors are
        // ignored, since the agent may have ended in the test.
        let _ = Command::new("kill")
            .args(["-TERM", &self.process.id().to_string()])
            .status();
        let until = Instant::now() + TEST_TIMEOUT;
        while matches!(self.process.try_wait(), Ok(None)) && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The rows of a status table, and the process ids in them.
fn read_status(table: &str) -> (Vec<FrontRow>, Vec<String>) {
    let lines = table.lines().skip(1);
    let rows = lines.map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let [name, state, pid, starts, crashes] = columns[..] else {
            panic!("five columns in {line}")
        };
        let row = FrontRow {
            name: name.to_owned(),
            state: state.to_owned(),
            starts: starts.to_owned(),
            crashes: crashes.to_owned(),
        };
        (row, pid.to_owned())
    });
    rows.unzip()
}

/// Writes the configuration of a front, which listens at a port that was free a moment ago. Returns
/// its declaration.
pub fn declare_front(folder: &Path, name: &str) -> String {
    let free = TcpListener::bind("127.0.0.1:0")
        .expect("a free port")
        .local_addr()
        .expect("bound");
    let path = folder.join(format!("{name}.json"));
    let config = format!(
        r#"{{"listen":"{free}","seed":"1","known":{{"generation":0,"instances":[]}},"settings":{SETTINGS}}}"#
    );
    std::fs::write(&path, config).expect("written");
    format!(r#"{{"kind":"platform","config":"{}"}}"#, path.display())
}

/// Replaces the file that declares the fronts.
pub fn write_declarations(folder: &Path, fronts: &[(&str, &str)]) {
    let fronts: Vec<String> = fronts
        .iter()
        .map(|(name, declaration)| format!("\"{name}\":{declaration}"))
        .collect();
    let next = folder.join("new");
    std::fs::write(&next, format!("{{\"fronts\":{{{}}}}}", fronts.join(","))).expect("written");
    std::fs::rename(next, declarations_path(folder)).expect("renamed");
}

/// The path of the file that declares the fronts.
pub fn declarations_path(folder: &Path) -> PathBuf {
    folder.join("fronts.json")
}

/// Sends a signal, such as `-TERM`, to a process.
pub fn send_signal(pid: &str, signal: &str) {
    assert!(Command::new("kill")
        .args([signal, pid])
        .status()
        .expect("kill")
        .success());
}

/// Whether a process exists.
pub fn is_running(pid: &str) -> bool {
    Command::new("kill")
        .args(["-0", pid])
        .output()
        .expect("kill")
        .status
        .success()
}
