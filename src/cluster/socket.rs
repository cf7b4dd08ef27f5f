//! The UDP socket for messages between fronts, with the authentication of each datagram.

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
    /// Empty until the address can be bound: another process may have it.
    socket: OnceCell<UdpSocket>,
}

/// A datagram in the caller's buffer.
pub(super) struct ReceivedDatagram {
    /// Length of the datagram in bytes.
    pub length: usize,
    /// Address of the datagram's sender.
    pub source: SocketAddr,
}

impl PeerSocket {
    /// Reads the shared key and binds the address. If another process has the address, such as the
    /// previous process of this front during an upgrade, the socket stays unbound until
    /// [`PeerSocket::bind`] succeeds.
    ///
    /// # Errors
    /// Returns an error if the key cannot be read or is invalid, or if the address cannot be bound
    /// for another reason.
    pub(super) fn open(address: SocketAddr, key_file: &Path) -> Result<PeerSocket, JoinError> {
        let codec = read_key(key_file)?;
        let socket = match bind_socket(address) {
            Ok(socket) => OnceCell::from(socket),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                log!(
                    "peers: suspended without a share of the fleet-wide limits: another process \
                     has the address {address}"
                );
                OnceCell::new()
            }
            Err(source) => return Err(JoinError::Listen { address, source }),
        };
        Ok(PeerSocket { codec, socket })
    }

    /// Returns whether this process has bound the address.
    pub(super) fn is_bound(&self) -> bool {
        self.socket.get().is_some()
    }

    /// Binds an address that was in use when the socket was opened.
    ///
    /// # Errors
    /// Returns an error if the address is still in use or cannot be bound for another reason.
    pub(super) fn bind(&self, address: SocketAddr) -> io::Result<()> {
        let socket = bind_socket(address)?;
        ignore_already_bound(self.socket.set(socket));
        Ok(())
    }

    /// Waits for the next datagram. Returns `None` at once while the address is not bound.
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
    /// Returns an error if the datagram is damaged, of another version, or authenticated with
    /// another key.
    pub(super) fn decode(
        &self,
        datagram: &[u8],
    ) -> Result<Envelope<IncomingMessage>, EnvelopeError> {
        self.codec.open(datagram)
    }

    /// Sends a message with `from` as the sender. A datagram that the operating system rejects is
    /// treated like one lost on the network: later messages repeat its content.
    ///
    /// # Errors
    /// Returns an error if the message is too long to be encoded.
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

/// Ignores that the cell has a socket already: this cannot happen, since only the receive loop
/// binds, and only while the cell is empty.
fn ignore_already_bound(_result: Result<(), UdpSocket>) {}

/// Ignores that the operating system rejected a datagram: later messages repeat its content.
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
