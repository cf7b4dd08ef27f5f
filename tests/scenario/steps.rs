//! A running scenario: the front under test, the parties that the test plays, and the steps that
//! neither exchange messages nor wait.

use std::net::Shutdown;

use super::clients::Clients;
use super::discovery::Discovery;
use super::front_process::FrontProcess;
use super::party::{server_index, Party};
use super::script::{Edit, Script};
use super::server::Server;
use super::transcript::Transcript;
use super::Front;

/// KiB per MiB.
pub const KIB_PER_MIB: u64 = 1024;

/// The front under test with all parties around it.
pub struct Scenario {
    pub(super) front: FrontProcess,
    pub(super) clients: Clients,
    pub(super) servers: Vec<Server>,
    pub(super) discovery: Discovery,
    pub(super) transcript: Transcript,
}

impl Scenario {
    /// Starts the front, with this number of chunk servers.
    pub fn start(front: Front, servers: usize, script: &Script) -> Scenario {
        let servers: Vec<Server> = (0..servers).map(|_| Server::new()).collect();
        let discovery = Discovery::new();
        let process = FrontProcess::start(front, &servers, &discovery, script);
        let clients = Clients::new(front, process.address());
        Scenario {
            front: process,
            clients,
            servers,
            discovery,
            transcript: Transcript::new(front),
        }
    }

    /// Ends the scenario. Returns what happened.
    pub fn into_transcript(self) -> String {
        self.transcript.text
    }

    /// Takes one step. The first word of the line is the verb, the second most often the party.
    pub fn step(&mut self, line: &str) {
        let line = self.transcript.substitute(line);
        let (verb, arguments) = line.split_once(' ').unwrap_or((&line, ""));
        let (party, rest) = arguments.split_once(' ').unwrap_or((arguments, ""));
        match verb {
            "send" => self.send(party, rest),
            "expect" => self.expect(party, rest),
            "load" => self.load(party, rest),
            "wait" => self.wait(party),
            "within" => self.within(party, rest),
            "await" => self.await_condition(arguments),
            "close" => self.close(party),
            "reset" => self.reset(party),
            "half-close" => self.half_close(party),
            "slow" => self.clients.connect_slowly(party),
            "crowd" => self.clients.open_crowd(parse_number(party), rest),
            "more" => self.server(party).continue_raw_answer(rest),
            "end" => drop(self.server(party).take_raw_answered()),
            "break" => self.server(party).take_raw_answered().reset(),
            "full" => self.server(party).fill_backlog(),
            "free" => self.server(party).free_backlog(),
            "call" => self.discovery.accept_subscription(&mut self.transcript),
            "answer" => self.discovery.answer_oldest(),
            "drip" => self.discovery.drip(&mut self.transcript),
            "flood" => self.discovery.flood(parse_number(rest)),
            "down" => self.discovery.go_down(),
            "up" => self.discovery.come_up(),
            _ => self.step_of_front(verb, arguments),
        }
    }

    /// A step that the process under test takes, or that is taken on its files.
    fn step_of_front(&mut self, verb: &str, arguments: &str) {
        match verb {
            "faults" => self.front.set_faults(arguments),
            "restart" => self.restart_front(),
            "upgrade" => self.upgrade_front(),
            "reload" => self.reload(arguments),
            "retune" => self.retune(arguments),
            "signal" => self.front.signal(arguments),
            "lock" => self.front.lock_held_file(),
            "unlock" => self.front.unlock_held_file(),
            "memory" => self.check_memory(arguments),
            _ => panic!("no such step: {verb} {arguments}"),
        }
    }

    /// The server with this name.
    pub(super) fn server(&mut self, name: &str) -> &mut Server {
        let index = server_index(name).expect("a server");
        &mut self.servers[index]
    }

    fn close(&mut self, party: &str) {
        match Party::parse(party) {
            Party::Front => self.front.signal("TERM"),
            Party::Log => self.front.close_log(),
            Party::Discovery => self.discovery.close_watch(),
            Party::Crowd => self.clients.close_crowd(),
            Party::Server(index) => drop(self.servers[index].take_oldest()),
            Party::Client(name) => self.clients.close(name),
            Party::Console => panic!("the console has no connection to close"),
        }
    }

    fn reset(&mut self, party: &str) {
        match Party::parse(party) {
            Party::Discovery => self.discovery.reset_watch(),
            Party::Server(index) => self.servers[index].take_oldest().reset(),
            Party::Client(name) => self.clients.reset(name),
            _ => panic!("{party} has no connection to reset"),
        }
    }

    fn half_close(&mut self, client: &str) {
        let stream = &self.clients.connection(client).stream;
        stream.shutdown(Shutdown::Write).expect("it is open");
    }

    /// `at-most MIB`: how much memory the front has taken so far, at its peak.
    fn check_memory(&mut self, arguments: &str) {
        let limit = arguments.strip_prefix("at-most ").expect("a limit");
        let limit_mib: u64 = parse_number(limit);
        let peak_kib = self.front.peak_memory_kib();
        eprintln!("peak of {peak_kib} KiB, at most {limit_mib} MiB");
        let is_within = peak_kib <= limit_mib * KIB_PER_MIB;
        self.transcript.line(format_args!(
            "front: memory at most {limit_mib} MiB: {is_within}"
        ));
    }

    /// Restarts the front; its clients have to connect anew.
    fn restart_front(&mut self) {
        self.front.restart();
        self.clients = Clients::new(self.clients.front(), self.front.address());
    }

    /// Starts another process of the front, to which further clients connect.
    fn upgrade_front(&mut self) {
        self.front.start_successor();
        self.clients.connect_to(self.front.address());
    }

    /// Reloads with this file; without one, with discovery at another address.
    fn reload(&mut self, file: &str) {
        let result = if file.is_empty() {
            let old = self.discovery.address();
            self.discovery.move_elsewhere();
            self.front
                .reload_with_discovery(old, self.discovery.address())
        } else {
            self.front.reload(file)
        };
        self.show_reload(result);
    }

    /// `FROM => TO`.
    fn retune(&mut self, edit: &str) {
        let edit = Edit::parse(edit).expect("FROM => TO");
        let result = self.front.reload_with_edit(&edit);
        self.show_reload(result);
    }

    fn show_reload(&mut self, result: Option<String>) {
        if let Some(result) = result {
            self.transcript.line(format_args!("front: {result}"));
        }
    }
}

/// A number of the script.
pub fn parse_number<N: std::str::FromStr>(word: &str) -> N {
    word.parse()
        .unwrap_or_else(|_| panic!("'{word}' is no such number"))
}
