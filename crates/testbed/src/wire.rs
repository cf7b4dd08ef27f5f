//! The way from a front to a chunk server: a proxy of its TCP connections, which can be silent, lose answers, reset,
//! be late, lose or throttle.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// After how long what was lost is sent again at first, as TCP does; twice as long each further time.
const AGAIN: Duration = Duration::from_millis(200);

/// What a wire does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// All passes at once.
    #[default]
    Whole,
    /// Nothing passes until this is over, and connections stay open: cut both ways.
    Silent,
    /// What the front sends arrives, and no answer comes back until this is over: cut one way.
    NoAnswers,
    /// Connections are reset, new ones as well.
    Reset,
    /// All is late by so many milliseconds.
    Late(u64),
    /// Of a hundred pieces so many are lost, and sent again later.
    Lossy(u8),
    /// So many bytes a second each way.
    Throttled(u32),
}

/// A wire with a socket that the front connects to.
pub struct Wire {
    /// Where the front finds its server.
    pub at: SocketAddr,
    state: watch::Sender<State>,
}

impl Wire {
    /// A whole wire to a server, for as long as what is given lives. Must be called inside a tokio `LocalSet`.
    ///
    /// # Errors
    /// Where the system has no socket.
    pub async fn to(server: SocketAddr) -> std::io::Result<Wire> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (at, state) = (listener.local_addr()?, watch::Sender::new(State::Whole));
        let seen = state.subscribe();
        spawn_local(async move {
            let mut gone = seen.clone();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        if let Ok((near, _)) = accepted {
                            spawn_local(carry(near, server, seen.clone()));
                        }
                    }
                    () = ended(&mut gone) => return,
                }
            }
        });
        Ok(Wire { at, state })
    }

    /// From now on the wire does this.
    pub fn set(&self, state: State) {
        self.state.send_replace(state);
    }
}

/// Returns when the wire is no more.
async fn ended(state: &mut watch::Receiver<State>) {
    while state.changed().await.is_ok() {}
}

/// Returns when connections are to be reset.
async fn reset(mut state: watch::Receiver<State>) {
    let _ = state.wait_for(|s| *s == State::Reset).await;
}

async fn carry(mut near: TcpStream, server: SocketAddr, state: watch::Receiver<State>) {
    let mut far = None;
    tokio::select! {
        () = reset(state.clone()) => {}
        connected = TcpStream::connect(server) => far = connected.ok(),
    }
    if let Some(far) = &mut far {
        // Small pieces are not gathered on the way.
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (from_near, to_near) = near.split();
        let (from_far, to_far) = far.split();
        tokio::select! {
            () = reset(state.clone()) => {}
            _ = async { tokio::join!(
                pump(from_near, to_far, state.clone(), false),
                pump(from_far, to_near, state.clone(), true),
            ) } => return,
        }
    }
    for stream in [Some(near), far].into_iter().flatten() {
        let _ = stream.set_zero_linger();
    }
}

/// Passes one way on until that way ends.
async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut state: watch::Receiver<State>,
    answers: bool,
) {
    let mut bytes = vec![0; 16_384];
    while let Ok(length @ 1..) = from.read(&mut bytes).await {
        if !passes(&mut state, answers, length).await || to.write_all(&bytes[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

/// Waits until a piece may pass; false where the wire is no more.
async fn passes(state: &mut watch::Receiver<State>, answers: bool, length: usize) -> bool {
    loop {
        let now = *state.borrow_and_update();
        let wait = match now {
            State::Whole => return true,
            State::NoAnswers if !answers => return true,
            State::Silent | State::NoAnswers | State::Reset => {
                if state.changed().await.is_err() {
                    return false;
                }
                continue;
            }
            State::Late(millis) => Duration::from_millis(millis),
            State::Lossy(lost) => {
                let again = std::iter::repeat_with(|| fastrand::u8(0..100)).take_while(|lot| *lot < lost);
                // The sum of as many waits, each twice as long as the one before.
                AGAIN * ((1 << again.take(4).count()) - 1)
            }
            State::Throttled(per_second) => {
                Duration::from_secs_f64(length as f64 / f64::from(per_second.max(1)))
            }
        };
        tokio::time::sleep(wait).await;
        return true;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn on_one_thread(steps: impl std::future::Future<Output = ()>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, steps);
    }

    /// A wire to a server that sends back what comes, and a connection through it.
    async fn echo() -> (Wire, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
        let at = listener.local_addr().expect("it has an address");
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                spawn_local(async move {
                    let (mut from, mut to) = stream.split();
                    let _ = tokio::io::copy(&mut from, &mut to).await;
                });
            }
        });
        let wire = Wire::to(at).await.expect("a wire");
        let stream = TcpStream::connect(wire.at).await.expect("it connects");
        (wire, stream)
    }

    async fn there_and_back(stream: &mut TcpStream) -> std::io::Result<u8> {
        stream.write_all(b"x").await?;
        stream.read_u8().await
    }

    #[test]
    fn what_was_held_back_comes_when_the_wire_is_whole_again() {
        on_one_thread(async {
            for state in [State::Silent, State::NoAnswers] {
                let (wire, mut stream) = echo().await;
                assert_eq!(there_and_back(&mut stream).await.expect("whole"), b'x');
                wire.set(state);
                {
                    let mut waiting = std::pin::pin!(there_and_back(&mut stream));
                    let soon = tokio::time::sleep(Duration::from_millis(50));
                    tokio::select! {
                        answer = &mut waiting => panic!("{state:?}: {answer:?}"),
                        () = soon => {}
                    }
                    wire.set(State::Whole);
                    assert_eq!(waiting.await.expect("whole again"), b'x');
                }
                for state in [State::Late(1), State::Lossy(0), State::Throttled(100_000)] {
                    wire.set(state);
                    assert_eq!(there_and_back(&mut stream).await.expect("it comes"), b'x');
                }
            }
        });
    }

    #[test]
    fn a_reset_ends_connections_and_new_ones_until_it_is_over() {
        on_one_thread(async {
            let (wire, mut stream) = echo().await;
            assert_eq!(there_and_back(&mut stream).await.expect("whole"), b'x');
            wire.set(State::Reset);
            assert!(stream.read_u8().await.is_err(), "reset");
            let mut again = TcpStream::connect(wire.at).await.expect("it connects");
            assert!(there_and_back(&mut again).await.is_err(), "and reset again");
            wire.set(State::Whole);
            let mut again = TcpStream::connect(wire.at).await.expect("it connects");
            assert_eq!(there_and_back(&mut again).await.expect("whole"), b'x');
        });
    }
}
