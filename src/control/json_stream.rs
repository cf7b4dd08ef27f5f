//! Splits a stream of bytes into JSON messages.
//!
//! A message may be on one line or indented over several. Empty lines between messages are
//! keep-alives.

use bytes::{Buf, BytesMut};

/// One message of a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum Message {
    /// An empty line.
    KeepAlive,
    /// The bytes of a JSON object or array. A line that begins with neither is passed on as well,
    /// for the receiver to reject.
    Json(BytesMut),
}

/// Buffers the bytes of a stream and returns each message once it is complete.
#[derive(Debug, Default)]
pub struct MessageReader {
    buffer: BytesMut,
    /// The number of bytes of the buffer that have been scanned for the end of the message.
    scanned: usize,
    /// The number of objects and arrays open after the scanned bytes.
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl MessageReader {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes, which belong to messages not yet returned.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the next message, if it is complete.
    pub fn pop(&mut self) -> Option<Message> {
        if self.scanned == 0 {
            if self.skip_whitespace() {
                return Some(Message::KeepAlive);
            }
            if !matches!(self.buffer.first(), None | Some(b'{' | b'[')) {
                let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
                return Some(Message::Json(self.buffer.split_to(end + 1)));
            }
        }
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.scanned += 1;
            if self.closes_message(byte) {
                let end = std::mem::take(&mut self.scanned);
                return Some(Message::Json(self.buffer.split_to(end)));
            }
        }
        None
    }

    /// Skips white space before a message. Returns whether it contained the end of a line.
    fn skip_whitespace(&mut self) -> bool {
        let whitespace = self
            .buffer
            .iter()
            .take_while(|byte| byte.is_ascii_whitespace())
            .count();
        let has_line_end = self.buffer[..whitespace].contains(&b'\n');
        self.buffer.advance(whitespace);
        has_line_end
    }

    /// Scans one byte. Returns whether the outermost object or array ends with it.
    fn closes_message(&mut self, byte: u8) -> bool {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => {
                self.depth = self.depth.saturating_sub(1);
                return self.depth == 0;
            }
            _ => {}
        }
        false
    }
}
