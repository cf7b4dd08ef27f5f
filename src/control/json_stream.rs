//! Where one JSON message of a stream ends. Messages may stand on a line each or be indented over many; between
//! them there may be empty lines, which say that nothing has changed.

use bytes::{Buf, BytesMut};

/// What has come whole.
#[derive(Debug, PartialEq, Eq)]
pub enum Message {
    /// An empty line.
    KeepAlive,
    /// A JSON object or array; or a line that is neither, for its reader to refuse.
    Json(BytesMut),
}

/// Takes bytes as they come and gives messages, each once it is whole.
#[derive(Debug, Default)]
pub struct MessageReader {
    buffer: BytesMut,
    /// Bytes looked at already, and what is open there.
    seen: usize,
    depth: usize,
    in_text: bool,
    escaped: bool,
}

impl MessageReader {
    /// Takes what has come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes held of a message that is not whole.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// The next message, where one is whole.
    pub fn pop(&mut self) -> Option<Message> {
        if self.seen == 0 {
            let blank = self.buffer.iter().take_while(|b| b.is_ascii_whitespace()).count();
            let empty = self.buffer[..blank].contains(&b'\n');
            self.buffer.advance(blank);
            if empty {
                return Some(Message::KeepAlive);
            }
            if !matches!(self.buffer.first(), None | Some(b'{' | b'[')) {
                let end = self.buffer.iter().position(|b| *b == b'\n')?;
                return Some(Message::Json(self.buffer.split_to(end + 1)));
            }
        }
        while let Some(byte) = self.buffer.get(self.seen).copied() {
            self.seen += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_text => self.escaped = true,
                b'"' => self.in_text = !self.in_text,
                _ if self.in_text => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => {
                    self.depth = self.depth.saturating_sub(1);
                    if self.depth == 0 {
                        let end = std::mem::take(&mut self.seen);
                        return Some(Message::Json(self.buffer.split_to(end)));
                    }
                }
                _ => {}
            }
        }
        None
    }
}
