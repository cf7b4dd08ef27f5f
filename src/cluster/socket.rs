//! The UDP socket between fronts, with the authentication of each datagram.

use std::cell::OnceCell;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use tokio::net::UdpSocket;
use tulipbridge_membership::{Envelope, EnvelopeCodec, EnvelopeError, Incarnation, PeerId};

use crate::cluster::errors::JoinError;
use crate::cluster::messages::{IncomingMessage, OutgoingMessage};
use crate::telemetry::log::log;

/// A socket that sends and receives authenticated messages.
pub(super) struct PeerSocket {
    codec: EnvelopeCodec,
    /// Empty while another process has the address.
    socket: OnceCell<UdpSocket>,
}

/// A datagram in the caller's buffer.
pub(super) struct ReceivedDatagram {
    /// Its length in bytes.
    pub length: usize,
    /// Its sender's address.
    pub source: SocketAddr,
}

impl PeerSocket {
    /// Reads the shared key and binds the address. Where another process has the address, such as
    /// this front's predecessor during an upgrade, the socket stays unbound until
    /// [`PeerSocket::bind`] succeeds.
    ///
    /// # Errors
    /// A key that cannot be read or used, or an address that cannot be bound for any other reason.
    pub(super) fn open(address: SocketAddr, key_file: &Path) -> Result<PeerSocket, JoinError> {
        let codec = read_key(key_file)?;
        let socket = match bind_socket(address) {
            Ok(socket) => OnceCell::from(socket),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                log!(
                    "peers: standby, no share of the fleet's limits: another process has {address}"
                );
                OnceCell::new()
            }
            Err(source) => return Err(JoinError::Listen { address, source }),
        };
        Ok(PeerSocket { codec, socket })
    }

    /// Whether the address is this process's.
    pub(super) fn is_bound(&self) -> bool {
        self.socket.get().is_some()
    }

    /// Binds an address that was in use.
    ///
    /// # Errors
    /// Where the address is still in use, or cannot be bound for another reason.
    pub(super) fn bind(&self, address: SocketAddr) -> io::Result<()> {
        let socket = bind_socket(address)?;
        ignore_bound_before(self.socket.set(socket));
        Ok(())
    }

    /// Waits for the next datagram; `None` while the address is not bound.
    pub(super) async fn receive(&self, buffer: &mut [u8]) -> Option<io::Result<ReceivedDatagram>> {
        match self.socket.get() {
            None => None,
            Some(socket) => {
                let received = socket.recv_from(buffer).await;
                Some(received.map(|(length, source)| ReceivedDatagram { length, source }))
            }
        }
    }

    /// Authenticates and decodes a datagram.
    ///
    /// # Errors
    /// A datagram that is damaged, of another version, or authenticated with another key.
    pub(super) fn decode(
        &self,
        datagram: &[u8],
    ) -> Result<Envelope<IncomingMessage>, EnvelopeError> {
        self.codec.open(datagram)
    }

    /// Sends a message as this front's. A datagram that the system rejects is lost like any other:
    /// later messages repeat its content.
    ///
    /// # Errors
    /// A message that cannot be encoded, for it is too long.
    pub(super) fn send(
        &self,
        from: PeerId,
        incarnation: Incarnation,
        to: SocketAddr,
        message: &OutgoingMessage,
    ) -> Result<(), EnvelopeError> {
        let datagram = self.codec.seal(from, incarnation, message)?;
        if let Some(socket) = self.socket.get() {
            ignore_lost_datagram(socket.try_send_to(&datagram, to));
        }
        Ok(())
    }
}

/// Ignores a socket for a cell that has one: only the receive loop binds, and only while the cell is
/// empty.
fn ignore_bound_before(_result: Result<(), UdpSocket>) {}

/// Ignores that the system has rejected a datagram: later messages repeat its content.
fn ignore_lost_datagram(_result: io::Result<usize>) {}

fn read_key(file: &Path) -> Result<EnvelopeCodec, JoinError> {
    let key = std::fs::read(file).map_err(|source| JoinError::KeyFile {
        file: file.to_owned(),
        source,
    })?;
    EnvelopeCodec::new(&key).map_err(|source| JoinError::Key {
        file: file.to_owned(),
        source,
    })
}

fn bind_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    let socket = UdpSocket::from_std(socket)?;
    log!("peers at {}", socket.local_addr()?);
    Ok(socket)
}
