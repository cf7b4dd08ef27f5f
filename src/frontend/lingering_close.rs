//! Closing a client's socket without losing the last response. A socket that is closed with unread
//! data resets its connection, and the client could lose the response before it has read it.

use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::time::Duration;

use tokio::net::tcp::OwnedReadHalf;
use tokio::task::yield_now;
use tokio::time::{sleep_until, timeout, Instant};

/// How long after accepting a connection that this side has closed is still drained, at the most.
const LINGER_TIMEOUT: Duration = Duration::from_secs(4);
/// Draining ends when no data arrives for this long.
const LINGER_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of the buffer that data of closing connections is discarded into.
const DISCARD_BUFFER_BYTES: usize = 64 * 1024;

/// Discards what clients still send on connections that this side has closed. One buffer serves all
/// connections, since its content is never read.
pub(super) struct LingeringClose {
    /// Borrowed for the length of one read that does not block.
    discard_buffer: RefCell<Vec<u8>>,
}

impl LingeringClose {
    /// Allocates the buffer.
    pub(super) fn new() -> LingeringClose {
        LingeringClose {
            discard_buffer: RefCell::new(vec![0; DISCARD_BUFFER_BYTES]),
        }
    }

    /// Discards data until the client closes the connection, stops sending or has used up the time
    /// for it. `connected_at` is when the connection was accepted.
    pub(super) async fn drain(&self, read: &OwnedReadHalf, connected_at: Instant) {
        let shortest = Instant::now() + LINGER_IDLE_TIMEOUT;
        let deadline = shortest.max(connected_at + LINGER_TIMEOUT);
        tokio::select! {
            biased;
            () = self.discard_all(read) => {}
            () = sleep_until(deadline) => {}
        }
    }

    /// Discards data until the client closes the connection or stops sending.
    async fn discard_all(&self, read: &OwnedReadHalf) {
        while let Ok(Ok(())) = timeout(LINGER_IDLE_TIMEOUT, read.readable()).await {
            match self.discard_available(read) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
            yield_now().await;
        }
    }

    /// Discards the data that is available now, up to the size of the buffer. Returns its length; 0
    /// is the end of the stream.
    fn discard_available(&self, read: &OwnedReadHalf) -> io::Result<usize> {
        read.try_read(&mut self.discard_buffer.borrow_mut())
    }
}
