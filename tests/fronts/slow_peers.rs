//! Hundreds of peers at once that write or read slowly: the memory of the front stays within the
//! limit of its configuration.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use crate::scenario::connection::Connection;
use crate::scenario::discovery::Discovery;
use crate::scenario::front_process::FrontProcess;
use crate::scenario::script::Script;
use crate::scenario::server::Server;
use crate::scenario::{Front, STEP_TIMEOUT};

const KIB_PER_MIB: u64 = 1024;
/// Time between two looks at the memory of the front.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);
/// What is added to a request head, in bytes.
const HEAD_PADDING_BYTES: usize = 15_000;
/// How often a client reads on, and how much at a time, in bytes.
const READS: usize = 40;
const READ_BYTES: usize = 32 * 1024;
/// The transaction ids of requests of a kind are from here on, so that no two have the same.
const FIRST_READ_ID: usize = 0xf_0000;
const FIRST_HEAD_ID: usize = 0xd_0000;
/// Number of chunk servers, each with a shard of its own.
const SERVERS: usize = 8;
/// How the answer to a served request starts.
const START_OF_SERVED: [u8; 12] = *b"HTTP/1.1 200";
/// Size of a chunk of a long answer in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// How a chunk server announces the length of a long answer.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Chunked,
    /// The answer ends with its connection.
    Unknown,
    Length,
}

/// A front whose chunk servers answer each request with a body that does not end.
struct FrontWithLongAnswers {
    process: FrontProcess,
    memory_kib: u64,
    /// The most memory that the front has had so far, its program file not counted.
    peak_kib: u64,
    _parties: (Vec<Server>, Discovery),
}

impl FrontWithLongAnswers {
    fn start(memory_mib: u64, descriptors: u64, framing: Framing) -> FrontWithLongAnswers {
        let servers: Vec<Server> = (0..SERVERS).map(|_| Server::new()).collect();
        let discovery = Discovery::new();
        let limits = format!(
            "settings \"memory_mb\":192,\"sockets\":256 => \"memory_mb\":{memory_mib},\"sockets\":{descriptors}"
        );
        let script = Script::parse(&limits);
        let process = FrontProcess::start(Front::Platform, &servers, &discovery, &script);
        for server in &servers {
            let listener = server.listener.try_clone().expect("another handle");
            std::thread::spawn(move || answer_all(&listener, framing));
        }
        FrontWithLongAnswers {
            process,
            memory_kib: memory_mib * KIB_PER_MIB,
            peak_kib: 0,
            _parties: (servers, discovery),
        }
    }

    fn address(&self) -> SocketAddr {
        self.process.address()
    }

    fn sample(&mut self) {
        self.peak_kib = self.peak_kib.max(self.process.own_memory_kib());
        assert!(
            self.peak_kib <= self.memory_kib,
            "{} of {} KiB",
            self.peak_kib,
            self.memory_kib
        );
    }

    /// Waits until a condition holds; looks at the memory meanwhile.
    fn sample_until(&mut self, what: &str, mut is_met: impl FnMut() -> bool) {
        let deadline = Instant::now() + STEP_TIMEOUT;
        while !is_met() {
            assert!(Instant::now() < deadline, "waited in vain for {what}");
            self.sample();
            std::thread::sleep(SAMPLE_INTERVAL);
        }
        self.sample();
    }

    /// Sends reads from as many clients at once, which read only the beginning of their answers.
    /// Clients that are rejected try again.
    fn open_readers(&mut self, count: usize) -> Vec<Connection> {
        let mut readers = Vec::new();
        let mut ids = FIRST_READ_ID..;
        let deadline = Instant::now() + STEP_TIMEOUT;
        while readers.len() < count {
            assert!(Instant::now() < deadline, "{} answers", readers.len());
            let missing = count - readers.len();
            let started: Vec<_> = ids
                .by_ref()
                .take(missing)
                .map(|id| self.start_read(id))
                .collect();
            for mut reader in started {
                self.sample_until("an answer", || reader.is_readable());
                let mut start = [0; START_OF_SERVED.len()];
                reader.stream.read_exact(&mut start).expect("an answer");
                if start == START_OF_SERVED {
                    readers.push(reader);
                }
            }
        }
        readers
    }

    fn start_read(&self, id: usize) -> Connection {
        let mut reader = Connection::open(self.address());
        reader.write(request_head("GET", id, "").as_bytes());
        reader
    }

    /// Opens as many connections that send a request head of the maximum length, whose body never
    /// comes.
    fn open_long_heads(&mut self, count: usize) -> Vec<TcpStream> {
        let padding = format!("X-Padding: {}\r\n", "p".repeat(HEAD_PADDING_BYTES / 90));
        let more = format!("{}Content-Length: 1\r\n", padding.repeat(90));
        let connect = |number| {
            let mut stream = TcpStream::connect(self.address()).expect("it accepts connections");
            let head = request_head("PUT", FIRST_HEAD_ID + number, &more);
            stream.write_all(head.as_bytes()).expect("written");
            stream
        };
        (0..count).map(connect).collect()
    }

    /// Lets each client read some more of its answer, in turn.
    fn read_on(&mut self, readers: &mut [Connection]) {
        for _ in 0..READS {
            for reader in &mut *readers {
                let mut bytes = [0; READ_BYTES];
                reader.stream.read_exact(&mut bytes).expect("more");
            }
            self.sample();
        }
    }

    /// Sends all but the last byte of as many bodies.
    fn open_writers(&mut self, count: usize, body_bytes: usize) -> Vec<TcpStream> {
        let mut writers = Vec::new();
        for number in 0..count {
            let length = format!("Content-Length: {body_bytes}\r\n");
            let head = request_head("PUT", number, &length);
            let mut writer = TcpStream::connect(self.address()).expect("it accepts connections");
            writer.write_all(head.as_bytes()).expect("written");
            writer
                .write_all(&vec![b'q'; body_bytes - 1])
                .expect("written");
            self.sample();
            writers.push(writer);
        }
        writers
    }
}

/// The head of a request of the platform's protocol.
fn request_head(method: &str, number: usize, more: &str) -> String {
    let class = if method == "GET" {
        "batch-export"
    } else {
        "form-submit"
    };
    let shard = number % SERVERS;
    format!(
        "{method} /api HTTP/1.1\r\nHost: t\r\nX-Txn: {number:016x}\r\nX-Lane: {class}\r\n\
         X-Plan: basico\r\nX-Remaining: 2500m\r\nCookie: block={number:016x}\r\n\
         X-IO: volume={number:016x},units=2,shard={shard},hosts=1\r\n{more}\r\n"
    )
}

/// Accepts connections and answers what comes on them, each on a thread of its own.
fn answer_all(listener: &TcpListener, framing: Framing) {
    listener.set_nonblocking(false).expect("settable");
    for stream in listener.incoming() {
        let Ok(stream) = stream else { return };
        std::thread::spawn(move || answer_without_end(stream, framing));
    }
}

/// Answers the first request of a connection with a body that ends when the front closes it.
fn answer_without_end(mut stream: TcpStream, framing: Framing) -> std::io::Result<()> {
    stream.read_exact(&mut [0])?;
    let (head, chunk) = match framing {
        Framing::Chunked => ("Transfer-Encoding: chunked", chunk()),
        Framing::Unknown => ("Connection: close", vec![b'a'; CHUNK_BYTES]),
        Framing::Length => ("Content-Length: 33554432", vec![b'a'; CHUNK_BYTES]),
    };
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n").as_bytes())?;
    loop {
        stream.write_all(&chunk)?;
    }
}

/// A chunk of [`CHUNK_BYTES`] bytes.
fn chunk() -> Vec<u8> {
    let mut chunk = format!("{CHUNK_BYTES:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + CHUNK_BYTES, b'a');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Opens `readers` of long answers beside `writers` of bodies of 2 MB, which fill the memory for
/// bodies, and checks the memory of the front.
fn check_memory(memory_mib: u64, readers: usize, writers: usize, framing: Framing) {
    let mut front = FrontWithLongAnswers::start(memory_mib, 1024, framing);
    let writers = front.open_writers(writers, 2_000_000);
    let mut readers = front.open_readers(readers);
    let heads = front.open_long_heads(readers.len() / 3);
    front.read_on(&mut readers);
    drop(heads);
    eprintln!(
        "{framing:?}, {} readers, {} writers: peak of {} of {} KiB",
        readers.len(),
        writers.len(),
        front.peak_kib,
        front.memory_kib
    );
}

/// Guards against a front that is killed for memory by the answers that its clients read slowly,
/// since only bodies are counted.
#[test]
fn long_answers_beside_bodies_stay_within_the_memory() {
    check_memory(96, 300, 20, Framing::Chunked);
}

/// The same with the other framings and sizes.
#[test]
fn long_answers_of_all_framings_stay_within_the_memory() {
    check_memory(64, 190, 12, Framing::Unknown);
    check_memory(48, 140, 8, Framing::Length);
    check_memory(32, 90, 4, Framing::Chunked);
}
