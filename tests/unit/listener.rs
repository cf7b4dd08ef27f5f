//! The listening socket of a front.

use tulipbridge::frontend::socket::listen;

/// A new version listens at the address of the old one while the old one still serves.
#[test]
fn a_second_process_may_listen_beside_the_first() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let first = listen("127.0.0.1:0".parse().expect("an address"))
            .await
            .expect("a socket");
        let address = first.local_addr().expect("bound");
        let second = listen(address)
            .await
            .expect("a second socket at the same address");
        assert_eq!(second.local_addr().expect("bound"), address);
    });
}
