//! A platform front that writes its trace, with the servers around it.

use std::io::Write;
use std::net::{TcpListener, TcpStream};

use crate::program::{edited, front, Folder, FrontKind};
use crate::running::{accept, bind, read_head, Front};

/// A platform front that writes its trace. The test plays its chunk server and discovery.
pub struct TracedFront {
    pub front: Front,
    server: TcpListener,
    watch: TcpStream,
    folder: Folder,
}

impl TracedFront {
    pub fn start() -> TracedFront {
        let folder = Folder::new();
        let server = bind();
        let discovery = bind();
        let file = folder.configuration(&edited(&[
            ("127.0.0.1:7101", &address(&server)),
            // Nothing is sent to the other server.
            (
                "\"cell\": 1, \"lifecycle\": \"Ready\"",
                "\"cell\": 1, \"lifecycle\": \"Draining\"",
            ),
            // The only fleet-wide limit left delays no first attempt.
            (
                ", \"starting_server\": {\"rate\": 8, \"burst\": 11}, \"out_at_server\": 64",
                "",
            ),
            // A read waits until its client's deadline.
            ("\"Deadline\": 750000000", "\"Deadline\": 10000000000"),
            // Discovery is called soon after the start.
            ("\"AskEvery\": 10000000000", "\"AskEvery\": 1000000000"),
        ]));
        let mut command = front(FrontKind::Platform, &file);
        command
            .env("TULIPBRIDGE_TRACE", "1")
            .env("BALANCER_DISCOVERY", address(&discovery));
        let front = Front::start(command);
        let mut watch = accept(&discovery);
        read_head(&mut watch);
        watch
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .expect("sent");
        TracedFront {
            front,
            server,
            watch,
            folder,
        }
    }

    /// Sends an update of the draining server from discovery.
    pub fn send_endpoints(&mut self, reset: bool, lifecycle: &str) {
        let change = format!(
            r#"{{"generation":1,"reset":{reset},"instances":[{{"instanceId":"s-1","hostPort":"127.0.0.1:7102","zone":"edificio-b","machineType":"standard-1c","cell":1,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}]}}"#
        );
        write!(self.watch, "{:x}\r\n{change}\n\r\n", change.len() + 1).expect("sent");
    }

    /// Sends a read of shard 0 by a client that waits for `remaining` milliseconds.
    pub fn send_read(&self, id: u64, remaining: u32) -> TcpStream {
        let mut client = TcpStream::connect(self.front.clients).expect("it takes connections");
        let head = format!(
            "GET /api HTTP/1.1\r\nHost: t\r\nX-Lane: form-read\r\nX-Plan: basico\r\nX-Txn: {id:016x}\r\n\
             Cookie: block=7f3a9c21e0b4d655\r\nX-Remaining: {remaining}m\r\n\
             X-IO: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\nContent-Length: 0\r\n\r\n"
        );
        client.write_all(head.as_bytes()).expect("sent");
        client
    }

    /// A text with the values that differ between runs replaced.
    pub fn masked(&self, text: &str) -> String {
        self.folder
            .masked(text)
            .replace(&address(&self.server), "SERVER")
    }

    /// Waits until the request with this id is at the server, and returns its connection.
    pub fn wait_for_request(&mut self, id: u64) -> TcpStream {
        self.front
            .wait_for_line(&format!(r#""e":"send","id":{id},"#));
        let mut upstream = accept(&self.server);
        read_head(&mut upstream);
        upstream
    }
}

/// The address of a listening socket.
fn address(listener: &TcpListener) -> String {
    listener.local_addr().expect("bound").to_string()
}
