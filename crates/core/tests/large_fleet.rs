//! The work of a tick on a front with thousands of servers.

mod common;

use common::*;
use tulipbridge_core::*;

const NODES: usize = 3_200;

#[test]
fn a_tick_visits_only_servers_that_something_changes_at() {
    let mut front = TestFront::new(settings(), NODES);
    front.advance(3 * S);
    assert_eq!(front.scheduler.nodes_per_tick(), 0);
    for id in 0..5 {
        front.submit(request(id, 0, Some(id as u32)));
    }
    front.advance(10 * MS);
    assert_eq!(front.scheduler.nodes_per_tick(), 5);
    for id in 0..5 {
        front.end_attempt(id, 0, id as usize, Outcome::Served, 20 * MS);
    }
    front.advance(10 * S);
    assert_eq!(front.scheduler.nodes_per_tick(), 0);
}
