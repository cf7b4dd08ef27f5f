//! Connections of the parties that a scenario plays, and the HTTP messages on them.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Instant;

use nix::sys::socket::{
    connect, setsockopt, socket, sockopt, AddressFamily, SockFlag, SockType, SockaddrIn,
};

use super::{pause, POLL_INTERVAL, STEP_TIMEOUT};

/// What ends the head of a message.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Receive buffer of a client that reads slowly, in bytes.
const SMALL_RECEIVE_BUFFER: usize = 4096;
/// How much one read takes at most, in bytes.
const READ_BUFFER_BYTES: usize = 16384;

/// An HTTP message.
pub struct Message {
    /// The start line without the version of a request.
    pub start_line: String,
    /// Headers by lower-case name; of a repeated header the last.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// A connection with the bytes that have been read from it.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// A connection whose reads fail after [`STEP_TIMEOUT`].
    pub fn new(stream: TcpStream) -> Connection {
        stream
            .set_read_timeout(Some(STEP_TIMEOUT))
            .expect("settable");
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Connects to an address of the front.
    pub fn open(address: SocketAddr) -> Connection {
        Connection::new(TcpStream::connect(address).expect("it accepts connections"))
    }

    /// A connection whose receive buffer is small.
    pub fn open_slow(address: SocketAddr) -> Connection {
        let socket = socket(
            AddressFamily::Inet,
            SockType::Stream,
            SockFlag::empty(),
            None,
        )
        .expect("a socket");
        setsockopt(&socket, sockopt::RcvBuf, &SMALL_RECEIVE_BUFFER).expect("settable");
        let SocketAddr::V4(address) = address else {
            panic!("{address} is of IPv4")
        };
        connect(socket.as_raw_fd(), &SockaddrIn::from(address)).expect("it accepts connections");
        Connection::new(TcpStream::from(socket))
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) {
        ignore_closed_peer(self.stream.write_all(bytes));
    }

    /// Whether unread bytes or the end of the stream wait.
    pub fn is_readable(&mut self) -> bool {
        self.stream.set_nonblocking(true).expect("settable");
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).expect("settable");
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Reads a complete message.
    pub fn read_message(&mut self) -> std::io::Result<Message> {
        self.read_message_with(BodyLength::Announced)
    }

    /// Reads the response to a HEAD request, which has no body.
    pub fn read_head_response(&mut self) -> std::io::Result<Message> {
        self.read_message_with(BodyLength::Zero)
    }

    fn read_message_with(&mut self, body_length: BodyLength) -> std::io::Result<Message> {
        let head_length = self.read_head()?;
        let head = String::from_utf8_lossy(&self.buffer[..head_length]).into_owned();
        let mut lines = head.lines();
        let start_line = lines.next().unwrap_or_default().replace(" HTTP/1.1", "");
        let fields = lines.filter_map(|line| line.split_once(':'));
        let headers: HashMap<_, _> = fields
            .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
            .collect();
        self.buffer.drain(..head_length);
        let is_chunked = headers
            .get("transfer-encoding")
            .is_some_and(|coding| coding == "chunked");
        let body = match body_length {
            BodyLength::Zero => Vec::new(),
            BodyLength::Announced if is_chunked => self.read_chunks()?,
            BodyLength::Announced => {
                let length = headers.get("content-length");
                self.take(length.and_then(|length| length.parse().ok()).unwrap_or(0))?
            }
        };
        Ok(Message {
            start_line,
            headers,
            body,
        })
    }

    /// Reads a body in chunks without trailers.
    fn read_chunks(&mut self) -> std::io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let length = usize::from_str_radix(&line, 16).expect("the length of a chunk");
            body.extend(self.take(length)?);
            assert!(self.read_line()?.is_empty(), "a line ends each chunk");
            if length == 0 {
                return Ok(body);
            }
        }
    }

    /// Reads a line, without its end.
    fn read_line(&mut self) -> std::io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads this many bytes.
    fn take(&mut self, length: usize) -> std::io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads until the buffer has a complete head. Returns its length.
    fn read_head(&mut self) -> std::io::Result<usize> {
        loop {
            if let Some(end) = self
                .buffer
                .windows(HEAD_END.len())
                .position(|window| window == HEAD_END)
            {
                return Ok(end + HEAD_END.len());
            }
            self.fill()?;
        }
    }

    fn fill(&mut self) -> std::io::Result<()> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let linger = nix::libc::linger {
            l_onoff: 1,
            l_linger: 0,
        };
        setsockopt(&self.stream, sockopt::Linger, &linger).expect("settable");
    }
}

/// Ignores that the front has closed a connection: the next `expect` shows it.
fn ignore_closed_peer(_result: std::io::Result<()>) {}

/// How the length of a body is found.
enum BodyLength {
    Zero,
    /// As the head says.
    Announced,
}

/// A connection that waits to be accepted, if any.
pub fn try_accept(listener: &TcpListener) -> Option<Connection> {
    listener.set_nonblocking(true).expect("settable");
    let (stream, _) = listener.accept().ok()?;
    stream.set_nonblocking(false).expect("settable");
    Some(Connection::new(stream))
}

/// Accepts the next connection; the scenario fails where none comes.
pub fn accept(listener: &TcpListener) -> Connection {
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        if let Some(connection) = try_accept(listener) {
            return connection;
        }
        assert!(Instant::now() < deadline, "no connection came");
        pause(POLL_INTERVAL);
    }
}

/// The bytes that a script spells with `\r` and `\n`.
pub fn unescape(text: &str) -> Vec<u8> {
    text.replace("\\r", "\r").replace("\\n", "\n").into_bytes()
}

/// The body that a script spells: `*N` is N bytes of `x`.
pub fn spelled_body(body: &str) -> Vec<u8> {
    match body.strip_prefix('*').and_then(|count| count.parse().ok()) {
        Some(count) => vec![b'x'; count],
        None => body.as_bytes().to_vec(),
    }
}
