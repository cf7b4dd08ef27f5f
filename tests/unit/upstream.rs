//! Connections to chunk servers that are used again.

use std::io::{Read, Write};
use std::net::TcpListener;

use super::*;

/// The bytes lie in the socket before the runtime has heard of them, so only a look at the socket itself
/// tells, at the moment of reuse.
#[test]
fn bytes_that_wait_at_reuse_are_no_answer() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let served = tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let upstream = Upstream::new(Duration::from_secs(1), Duration::from_secs(30), 8);
        let node = upstream.locate("s-0", listener.local_addr().expect("bound"), 0);
        let payload = Rc::new(Payload {
            method: Method::GET,
            target: Uri::from_static("/api"),
            id: HeaderValue::from_static("0000000000000001"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            accepts: Accepts::Served,
            metrics: None,
            reservation: None,
        });
        let until = Instant::now() + Duration::from_secs(10);
        let say = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{body}");
        let answering = |listener: TcpListener, body: &'static str| {
            std::thread::spawn(move || {
                let mut stream = listener.accept().expect("a connection").0;
                let _ = stream.read(&mut [0; 4096]).expect("a request");
                stream.write_all(say(body).as_bytes()).expect("written");
                stream
            })
        };
        let server = answering(listener.try_clone().expect("another handle"), "good");
        let first = upstream.attempt(node, Rc::clone(&payload), until, Withdrawal::never()).await;
        let mut stream = server.join().expect("it answered");
        stream.write_all(say("copy").as_bytes()).expect("written");
        let server = answering(listener, "well");
        let second = upstream.attempt(node, payload, until, Withdrawal::never()).await;
        drop(server);
        [first, second].map(|e| e.answer.map(|a| a.body))
    });
    assert_eq!(served, [Some(Bytes::from_static(b"good")), Some(Bytes::from_static(b"well"))]);
}

/// The history that the checker found: a node speaks before it was asked, and is read after the request is out.
#[test]
fn nothing_is_written_where_bytes_wait_already() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        for ends in [false, true] {
            let stream = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("connected");
            let (mut node, _) = listener.accept().expect("a connection");
            if ends {
                drop(node);
            } else {
                node.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("written");
            }
            stream.readable().await.expect("what the node sent is there");
            let wire = Rc::new(WireState::default());
            wire.begin_request(0, None, Withdrawal::never());
            let mut watched = ObservedStream { stream, wire: Rc::clone(&wire) };
            let request = b"GET /api HTTP/1.1\r\n\r\n";
            let wrote = std::future::poll_fn(|cx| Pin::new(&mut watched).poll_write(cx, request)).await;
            assert!(wrote.is_err(), "the node ended: {ends}");
            assert_eq!(wire.execution(), Execution::NotStarted, "so the next connection gets the request");
        }
    });
}
