//! The program under test: its configuration file, and how it is started.

use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::running::Front;

/// A configuration that is valid for both kinds of front: three peers, two chunk servers, two
/// buckets.
pub const CONFIG: &str = include_str!("front.json");
/// How long the program may take for anything before the test has failed.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The environment variables that the program reads.
const ENVIRONMENT_VARIABLES: [&str; 6] = [
    "BALANCER_CONFIG",
    "BALANCER_NAME",
    "BALANCER_LISTEN",
    "BALANCER_CONSOLE",
    "BALANCER_DISCOVERY",
    "TULIPBRIDGE_TRACE",
];

/// [`CONFIG`] with the first text of each pair replaced by the second.
pub fn edited(edits: &[(&str, &str)]) -> String {
    edits.iter().fold(CONFIG.to_owned(), |config, (from, to)| {
        assert!(config.contains(from), "no {from} in the file");
        config.replacen(from, to, 1)
    })
}

/// The kind of front that the program runs.
#[derive(Clone, Copy, PartialEq)]
pub enum FrontKind {
    Platform,
    Object,
}

/// A temporary folder, removed on drop.
pub struct Folder(PathBuf);

impl Folder {
    /// An empty folder with the key file that [`CONFIG`] names.
    pub fn new() -> Folder {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!(
            "tulipbridge-golden-{}-{number}",
            std::process::id()
        ));
        std::fs::create_dir_all(&path).expect("a folder");
        std::fs::write(path.join("peers.key"), "a key for the golden tests").expect("written");
        Folder(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a configuration and returns its path.
    pub fn configuration(&self, text: &str) -> PathBuf {
        let file = self.0.join("front.json");
        std::fs::write(&file, text).expect("written");
        file
    }

    /// A text with the folder's path replaced by `FOLDER`.
    pub fn masked(&self, text: &str) -> String {
        text.replace(&self.0.display().to_string(), "FOLDER")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        ignore_cleanup_error(std::fs::remove_dir_all(&self.0));
    }
}

/// Ignores that a process has ended already or that a file cannot be removed: neither changes the
/// result of a test.
pub fn ignore_cleanup_error(_result: std::io::Result<()>) {}

/// The program, without any of its environment variables.
pub fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tulipbridge"));
    for variable in ENVIRONMENT_VARIABLES {
        command.env_remove(variable);
    }
    command.stdin(Stdio::null());
    command
}

/// The program as a front of this kind with this file, run in the file's folder: paths in it are
/// relative, so that it has the same bytes on each run.
pub fn front(kind: FrontKind, file: &Path) -> Command {
    let mut command = program();
    command.current_dir(file.parent().expect("a file is in a folder"));
    match kind {
        FrontKind::Platform => command.env("BALANCER_CONFIG", file),
        FrontKind::Object => command.arg("object").arg(file),
    };
    command
}

/// A front with [`CONFIG`] that no peer reaches; it counts as starting for as long as a test runs.
pub fn isolated_front(kind: FrontKind, folder: &Folder) -> Front {
    let mut command = front(kind, &folder.configuration(CONFIG));
    command.env("TMPDIR", folder.path());
    Front::start(command)
}

/// Runs a command that should exit by itself; one that does not is killed, and the test fails.
pub fn run_to_end(mut command: Command) -> Output {
    let mut child = command
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let deadline = Instant::now() + TIMEOUT;
    while matches!(child.try_wait(), Ok(None)) {
        if Instant::now() > deadline {
            child.kill().expect("it runs");
            let output = child.wait_with_output().expect("it was started");
            panic!("it runs on: {}", String::from_utf8_lossy(&output.stderr));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    child.wait_with_output().expect("it was started")
}
