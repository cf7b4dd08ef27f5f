//! Splits a stream of bytes into JSON messages. A message may stand on one line or be indented over
//! many. Empty lines between messages are keep-alives.

use bytes::{Buf, BytesMut};

/// One message of a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum Message {
    /// An empty line.
    KeepAlive,
    /// The bytes of a JSON object or array, or a line that begins like neither, for the receiver to
    /// reject.
    Json(BytesMut),
}

/// Buffers the bytes of a stream and returns each message once it is complete.
#[derive(Debug, Default)]
pub struct MessageReader {
    buffer: BytesMut,
    /// Bytes of the buffer that have been scanned for the end of the message.
    scanned: usize,
    /// Objects and arrays that are open there.
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl MessageReader {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes buffered of messages that have not been returned.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// The next message, if it is complete.
    pub fn pop(&mut self) -> Option<Message> {
        if self.scanned == 0 {
            if self.skip_blank() {
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

    /// Skips white space before a message. Whether a line ended in it.
    fn skip_blank(&mut self) -> bool {
        let blank = self
            .buffer
            .iter()
            .take_while(|byte| byte.is_ascii_whitespace())
            .count();
        let has_line_end = self.buffer[..blank].contains(&b'\n');
        self.buffer.advance(blank);
        has_line_end
    }

    /// Scans one byte. Whether the outermost object or array ends with it.
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
