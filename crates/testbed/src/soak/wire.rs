//! Messages of HTTP/1.1 as the stand-ins read them.

use std::time::Instant;

use tokio::io::{AsyncRead, AsyncReadExt};

/// The longest head, in bytes.
const MAX_HEAD: usize = 16 * 1024;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A message that was read whole.
pub struct Message {
    /// The start line and the headers.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub first_byte_at: Instant,
}

impl Message {
    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let fields = self
            .head
            .lines()
            .skip(1)
            .filter_map(|line| line.split_once(':'));
        let mut values = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value.trim())
    }

    /// The status of a response; 0 where it has none.
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

    /// The stream, without what was read of it.
    pub fn into_stream(self) -> S {
        self.stream
    }

    /// The next message; `None` where the connection ends or breaks before it is whole.
    pub async fn next(&mut self) -> Option<Message> {
        let mut first_byte_at = (!self.buffer.is_empty()).then(Instant::now);
        let head_length = loop {
            if let Some(end) = self
                .buffer
                .windows(HEAD_END.len())
                .position(|window| window == HEAD_END)
            {
                break end + HEAD_END.len();
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

    async fn fill(&mut self) -> Option<()> {
        let count = self.stream.read_buf(&mut self.buffer).await.ok()?;
        (count > 0).then_some(())
    }
}
