//! The pool of idle connections to chunk servers: which one is reused, and when.

use tulipbridge_core::connection_pool::{Capacity, ConnectionPool};
use tulipbridge_core::{Nanos, NodeId};

const MILLISECOND: Nanos = 1_000_000;
const IDLE_TIMEOUT: Nanos = 1_000 * MILLISECOND;
const REUSE_DELAY: Nanos = 20 * MILLISECOND;
const MAX_CONNECTIONS: usize = 3;
const NODE: NodeId = NodeId(0);

/// A pool of one node whose connections are numbers.
fn pool() -> ConnectionPool<u32> {
    let mut pool = ConnectionPool::new(IDLE_TIMEOUT, MAX_CONNECTIONS).with_reuse_delay(REUSE_DELAY);
    pool.add(NODE);
    pool
}

fn release(pool: &mut ConnectionPool<u32>, connection: u32, now: Nanos) {
    assert_eq!(pool.release(NODE, 0, connection, now, true), None);
}

/// Takes a connection at a time when every idle connection is quiet.
fn take(pool: &mut ConnectionPool<u32>, now: Nanos) -> Option<u32> {
    pool.take(NODE, now, |_| true).reusable
}

/// Guards against a late second response that is served to the next request on its connection.
#[test]
fn connection_is_reused_only_after_the_delay() {
    let mut pool = pool();
    release(&mut pool, 1, 0);
    assert_eq!(take(&mut pool, REUSE_DELAY - 1), None);
    assert_eq!(take(&mut pool, REUSE_DELAY), Some(1));
}

/// Guards against the same where the second response has arrived within the delay.
#[test]
fn connection_with_unsolicited_bytes_after_the_delay_is_closed() {
    let mut pool = pool();
    release(&mut pool, 1, 0);
    let taken = pool.take(NODE, REUSE_DELAY, |_| false);
    assert_eq!((taken.reusable, taken.unusable), (None, vec![1]));
}

#[test]
fn most_recently_used_connection_after_its_delay_is_reused_first() {
    let mut pool = pool();
    release(&mut pool, 1, 0);
    release(&mut pool, 2, 5 * MILLISECOND);
    release(&mut pool, 3, 10 * MILLISECOND);
    assert_eq!(take(&mut pool, 26 * MILLISECOND), Some(2));
    assert_eq!(take(&mut pool, 26 * MILLISECOND), Some(1));
    assert_eq!(take(&mut pool, 26 * MILLISECOND), None);
    assert_eq!(take(&mut pool, 30 * MILLISECOND), Some(3));
}

#[test]
fn connection_within_its_delay_gives_way_to_a_new_one_at_the_limit() {
    let mut pool = pool();
    release(&mut pool, 1, 0);
    assert_eq!(take(&mut pool, 0), None);
    assert!(matches!(
        pool.capacity(MAX_CONNECTIONS),
        Capacity::AfterClosing(1)
    ));
    assert!(matches!(
        pool.capacity(MAX_CONNECTIONS),
        Capacity::Exhausted
    ));
}
