//! Reading HTTP/1.1 messages, for the stand-ins of a soak run.

use std::time::Instant;

use tokio::io::{AsyncRead, AsyncReadExt};

/// The longest head, in bytes.
const MAX_HEAD: usize = 16 * 1024;
/// What separates the head of a message from its body.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// What ends a line.
const LINE_END: &[u8] = b"\r\n";

/// A complete message.
pub struct Message {
    /// The start line and the header fields.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub first_byte_at: Instant,
}

impl Message {
    /// The value of the first header field of a name; the case of the name does not matter.
    pub fn header(&self, name: &str) -> Option<&str> {
        let fields = self
            .head
            .lines()
            .skip(1)
            .filter_map(|line| line.split_once(':'));
        let mut values = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value.trim())
    }

    /// The status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct MessageReader<S> {
    stream: S,
    buffer: Vec<u8>,
}

impl<S: AsyncRead + Unpin> MessageReader<S> {
    /// Reads from a stream.
    pub fn new(stream: S) -> MessageReader<S> {
        MessageReader {
            stream,
            buffer: Vec::new(),
        }
    }

    /// The stream. Bytes that were read ahead are lost.
    pub fn into_stream(self) -> S {
        self.stream
    }

    /// The next message; `None` if the connection ends before it is complete, or its head is too
    /// long.
    pub async fn next(&mut self) -> Option<Message> {
        let mut first_byte_at = (!self.buffer.is_empty()).then(Instant::now);
        let head_length = loop {
            if let Some(length) = self.buffered_head_length() {
                break length;
            }
            if self.buffer.len() > MAX_HEAD {
                return None;
            }
            self.fill().await?;
            first_byte_at.get_or_insert_with(Instant::now);
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_length]).into_owned();
        self.buffer.drain(..head_length);
        let mut message = Message {
            head,
            body: Vec::new(),
            first_byte_at: first_byte_at.unwrap_or_else(Instant::now),
        };
        if message.header("transfer-encoding") == Some("chunked") {
            message.body = self.chunked_body().await?;
            return Some(message);
        }
        let length = message
            .header("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        while self.buffer.len() < length {
            self.fill().await?;
        }
        message.body = self.buffer.drain(..length).collect();
        Some(message)
    }

    /// A body in chunks; `None` if the connection ends before it is complete, or it is malformed.
    async fn chunked_body(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let size = usize::from_str_radix(self.line().await?.trim(), 16).ok()?;
            while self.buffer.len() < size + LINE_END.len() {
                self.fill().await?;
            }
            body.extend(self.buffer.drain(..size));
            self.buffer.drain(..LINE_END.len());
            if size == 0 {
                return Some(body);
            }
        }
    }

    /// The next line, without its end.
    async fn line(&mut self) -> Option<String> {
        loop {
            let mut windows = self.buffer.windows(LINE_END.len());
            if let Some(length) = windows.position(|window| window == LINE_END) {
                let line = String::from_utf8_lossy(&self.buffer[..length]).into_owned();
                self.buffer.drain(..length + LINE_END.len());
                return Some(line);
            }
            self.fill().await?;
        }
    }

    /// The length of the head in the buffer, in bytes, if it is complete.
    fn buffered_head_length(&self) -> Option<usize> {
        let mut windows = self.buffer.windows(HEAD_END.len());
        let start = windows.position(|window| window == HEAD_END)?;
        Some(start + HEAD_END.len())
    }

    /// Reads more bytes into the buffer; `None` if the connection has ended.
    async fn fill(&mut self) -> Option<()> {
        let count = self.stream.read_buf(&mut self.buffer).await.ok()?;
        (count > 0).then_some(())
    }
}
