//! Discarding what a client sends beyond its last request, to close its socket without losing the last
//! response, and to learn that the client has closed its side. Closing a socket that has unread
//! data resets the connection, and a client that has not read the response yet could lose it.

use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::time::Duration;

use tokio::net::tcp::OwnedReadHalf;
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// A connection that this side has closed is drained until this long after it was accepted, or for
/// [`LINGER_IDLE_TIMEOUT`] where that is later.
const LINGER_TIMEOUT: Duration = Duration::from_secs(4);
/// Draining ends once no data has arrived for this long.
const LINGER_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two looks for data behind a request.
const DISCARD_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the buffer for discarded data.
const DISCARD_BUFFER_BYTES: usize = 64 * 1024;

/// Discards data that clients still send on connections that this side has closed. All connections
/// share one buffer, since its content is never read.
pub(super) struct LingeringClose {
    /// Borrowed only for single non-blocking reads.
    discard_buffer: RefCell<Vec<u8>>,
}

impl LingeringClose {
    /// Allocates the buffer that all connections share.
    pub(super) fn new() -> LingeringClose {
        LingeringClose {
            discard_buffer: RefCell::new(vec![0; DISCARD_BUFFER_BYTES]),
        }
    }

    /// Discards data until the client closes the connection, has stopped sending, or the time limit
    /// has passed. `connected_at` is when the connection was accepted.
    pub(super) async fn drain(&self, read: &OwnedReadHalf, connected_at: Instant) {
        let shortest = Instant::now() + LINGER_IDLE_TIMEOUT;
        let deadline = shortest.max(connected_at + LINGER_TIMEOUT);
        tokio::select! {
            biased;
            () = self.discard_all(read) => {}
            () = sleep_until(deadline) => {}
        }
    }

    /// Discards data until the client closes the connection or sends nothing for
    /// [`LINGER_IDLE_TIMEOUT`].
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

    /// Discards the data that a client sends behind its request, and returns once the stream ends or
    /// `max_bytes` have been discarded. `is_request_complete` tells whether what arrives is behind the
    /// request.
    pub(super) async fn discard_behind_request(
        &self,
        read: &OwnedReadHalf,
        max_bytes: usize,
        is_request_complete: impl Fn() -> bool,
    ) {
        let mut discarded = 0;
        while discarded < max_bytes {
            if !is_request_complete() {
                sleep(DISCARD_INTERVAL).await;
                continue;
            }
            match self.discard_available(read) {
                Ok(0) => return,
                Ok(count) => {
                    discarded += count;
                    yield_now().await;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    sleep(DISCARD_INTERVAL).await;
                }
                Err(_) => return,
            }
        }
    }

    /// Discards the data that is available now, up to the size of the buffer. Returns its length,
    /// which is 0 at the end of the stream.
    fn discard_available(&self, read: &OwnedReadHalf) -> io::Result<usize> {
        read.try_read(&mut self.discard_buffer.borrow_mut())
    }
}
