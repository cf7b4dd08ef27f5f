//! The TCP proxy: what passes in each state of the link.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tulipbridge_testbed::parallel::block_on_local;
use tulipbridge_testbed::tcp_proxy::{LinkState, TcpProxy};

/// Runs a test on one thread, as a proxy needs it.
fn on_one_thread(test: impl std::future::Future<Output = ()>) {
    block_on_local(test).expect("a runtime");
}

/// A proxy of a server that sends back what it receives, and a connection through it.
async fn connect_to_echo_server() -> (TcpProxy, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let server = listener.local_addr().expect("the socket has an address");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawn_local(async move {
                let (mut from, mut to) = stream.split();
                // A reset connection ends the copy.
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    let proxy = TcpProxy::start(server).await.expect("a proxy");
    let stream = TcpStream::connect(proxy.address)
        .await
        .expect("it connects");
    (proxy, stream)
}

async fn round_trip(stream: &mut TcpStream) -> std::io::Result<u8> {
    stream.write_all(b"x").await?;
    stream.read_u8().await
}

#[test]
fn held_back_bytes_pass_when_the_link_is_healthy_again() {
    on_one_thread(async {
        for state in [LinkState::Silent, LinkState::NoResponses] {
            let (proxy, mut stream) = connect_to_echo_server().await;
            assert_eq!(round_trip(&mut stream).await.expect("healthy"), b'x');
            proxy.set(state);
            {
                let mut waiting = std::pin::pin!(round_trip(&mut stream));
                tokio::select! {
                    answer = &mut waiting => panic!("{state:?}: {answer:?}"),
                    () = tokio::time::sleep(Duration::from_millis(50)) => {}
                }
                proxy.set(LinkState::Healthy);
                assert_eq!(waiting.await.expect("healthy again"), b'x');
            }
            for state in [
                LinkState::Delayed(1),
                LinkState::Lossy(0),
                LinkState::Throttled(100_000),
            ] {
                proxy.set(state);
                assert_eq!(round_trip(&mut stream).await.expect("it passes"), b'x');
            }
        }
    });
}

#[test]
fn reset_ends_present_and_new_connections_until_the_link_is_healthy_again() {
    on_one_thread(async {
        let (proxy, mut stream) = connect_to_echo_server().await;
        assert_eq!(round_trip(&mut stream).await.expect("healthy"), b'x');
        proxy.set(LinkState::Reset);
        assert!(stream.read_u8().await.is_err(), "the connection is reset");
        let mut second = TcpStream::connect(proxy.address)
            .await
            .expect("it connects");
        assert!(
            round_trip(&mut second).await.is_err(),
            "a new connection is reset"
        );
        proxy.set(LinkState::Healthy);
        let mut third = TcpStream::connect(proxy.address)
            .await
            .expect("it connects");
        assert_eq!(round_trip(&mut third).await.expect("healthy"), b'x');
    });
}
