//! Connections to chunk servers: reuse, and unsolicited bytes.

use std::future::poll_fn;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use tokio::io::AsyncWrite;
use tulipbridge::exchange::{AttemptContext, AttemptObserver, Transport, Withdrawal};
use tulipbridge::memory_budget::MemoryBudget;
use tulipbridge::server_connection::Execution;
use tulipbridge::upstream::connection::ObservedStream;
use tulipbridge::upstream::response_memory::RESPONSE_BYTES;
use tulipbridge::upstream::wire_state::WireState;
use tulipbridge::upstream::{AcceptedResponses, Payload, ResponseMemory, Upstream};
use tulipbridge_core::{Outcome, ShardId};

fn read_request() -> Payload {
    Payload {
        method: Method::GET,
        target: Uri::from_static("/api"),
        transaction_id: HeaderValue::from_static("0000000000000001"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        accepted_responses: AcceptedResponses::OkOnly,
        metrics: None,
        reservation: None,
    }
}

/// A transport that may open eight connections and has this memory for responses.
/// An attempt that nothing replaces.
struct OnlyAttempt;

impl AttemptObserver for OnlyAttempt {
    fn response_began(&self, _age: Duration) {}

    fn response_paused(&self) {}

    fn response_stopped(&self) {}

    fn would_retry(&self) -> bool {
        false
    }
}

fn context(deadline: Instant) -> AttemptContext {
    AttemptContext {
        deadline,
        client_deadline: deadline,
        withdrawal: Withdrawal::never(),
        observer: Rc::new(OnlyAttempt),
    }
}

fn upstream_with_memory(memory: Arc<MemoryBudget>) -> Upstream {
    let memory = ResponseMemory::new(memory);
    Upstream::new(Duration::from_secs(1), Duration::from_secs(30), 8, memory)
}

fn response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{body}")
}

/// Accepts a connection in a thread and answers its first request with `body`.
fn answer_one_request(
    listener: TcpListener,
    body: &'static str,
) -> std::thread::JoinHandle<TcpStream> {
    std::thread::spawn(move || {
        let mut stream = listener.accept().expect("a connection").0;
        let length = stream.read(&mut [0; 4096]).expect("a request");
        assert!(length > 0, "the client sent a request");
        stream
            .write_all(response(body).as_bytes())
            .expect("written");
        stream
    })
}

/// The unsolicited bytes are in the socket's buffer before the runtime has been notified of them,
/// so only a look at the socket itself at the moment of reuse finds them.
#[test]
fn unsolicited_bytes_are_not_the_next_response() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let bodies = tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let upstream = upstream_with_memory(MemoryBudget::new(2 * RESPONSE_BYTES));
        let node = upstream.upsert_server("s-0", listener.local_addr().expect("bound"), ShardId(0));
        let payload = Rc::new(read_request());
        let deadline = Instant::now() + Duration::from_secs(10);
        let server = answer_one_request(listener.try_clone().expect("another handle"), "good");
        let first = upstream
            .attempt(node, Rc::clone(&payload), context(deadline))
            .await;
        let mut stream = server.join().expect("it answered");
        stream
            .write_all(response("copy").as_bytes())
            .expect("written");
        let server = answer_one_request(listener, "well");
        let second = upstream.attempt(node, payload, context(deadline)).await;
        drop(server);
        [first, second].map(|report| report.answer.map(|answer| answer.body))
    });
    assert_eq!(
        bodies,
        [
            Some(Bytes::from_static(b"good")),
            Some(Bytes::from_static(b"well"))
        ]
    );
}

/// A history that the model checker found: a server sends bytes before a request, and they are read
/// after the request has been written.
#[test]
fn nothing_is_written_where_unread_bytes_wait() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        for server_closes in [false, true] {
            let stream = tokio::net::TcpStream::connect(address)
                .await
                .expect("connected");
            let (mut server, _) = listener.accept().expect("a connection");
            if server_closes {
                drop(server);
            } else {
                server
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    .expect("written");
            }
            stream
                .readable()
                .await
                .expect("what the server sent is there");
            let wire = Rc::new(WireState::default());
            wire.begin_request(0, None, &context(Instant::now()));
            let mut observed = ObservedStream::new(stream, Rc::clone(&wire));
            let request = b"GET /api HTTP/1.1\r\n\r\n";
            let written = poll_fn(|cx| Pin::new(&mut observed).poll_write(cx, request)).await;
            assert!(written.is_err(), "the server closes: {server_closes}");
            assert_eq!(
                wire.execution(),
                Execution::NotStarted,
                "so the next connection gets the request"
            );
        }
    });
}

/// Guards against a request that may run although there is no memory for its response.
#[test]
fn request_is_not_sent_without_memory_for_its_response() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let report = tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let upstream = upstream_with_memory(MemoryBudget::new(RESPONSE_BYTES - 1));
        let node = upstream.upsert_server("s-0", listener.local_addr().expect("bound"), ShardId(0));
        let payload = Rc::new(read_request());
        let deadline = Instant::now() + Duration::from_secs(10);
        let attempt = upstream.attempt(node, payload, context(deadline));
        let report = attempt.await;
        listener.set_nonblocking(true).expect("settable");
        assert!(listener.accept().is_err(), "no connection is opened");
        report
    });
    assert_eq!(report.outcome, Outcome::NotSent);
}
