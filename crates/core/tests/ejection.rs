//! Ejections by a vote of the fronts, and how a front combines them with its own results.

mod common;

use std::collections::HashMap;

use common::*;
use tulipbridge_core::*;

/// The index of the class whose requests are executed at most once.
const AT_MOST_ONCE: usize = 2;

/// Submits a request every 10 ms for two seconds, for a shard or for a new object, and ends each
/// attempt at once with the outcome that `outcome` returns for its server. Returns the server of
/// each attempt.
fn servers_used(
    front: &mut TestFront,
    class: usize,
    shard: Option<u32>,
    outcome: impl Fn(usize) -> Outcome,
) -> Vec<usize> {
    let first_id = front.now as u64;
    let (mut nodes, mut attempts) = (Vec::new(), HashMap::new());
    for step in 0..200 {
        let mut in_flight = sends(&front.submit(request(first_id + step, class, shard)));
        in_flight.extend(sends(&front.advance(10 * MS)));
        while let Some((id, node)) = in_flight.pop() {
            nodes.push(node);
            let attempt: &mut u32 = attempts.entry(id).or_default();
            in_flight.extend(sends(&front.end_attempt(
                id,
                *attempt,
                node,
                outcome(node),
                2 * MS,
            )));
            *attempt += 1;
        }
    }
    nodes
}

fn served(_: usize) -> Outcome {
    Outcome::Served
}

/// Ejects a server for the given classes; the empty set readmits it.
fn eject(front: &mut TestFront, node: usize, classes: ClassSet) {
    front.event(Event::FleetUpdate(FleetUpdate::Ejection {
        node: NodeId(node),
        classes,
    }));
}

/// Returns a front that has sent four requests to each of its servers.
fn warm_front(nodes: usize) -> TestFront {
    let mut front = TestFront::new(settings(), nodes);
    (0..nodes).for_each(|n| front.warm(10 * n as u64, 4, n, 2 * MS));
    front
}

/// Returns a front with servers 0 and 1 in one shard and server 2 in another.
fn front_with_two_servers_of_a_shard() -> TestFront {
    let mut front = warm_front(3);
    let mut second = node(1, EndpointState::Up, 0);
    second.shard = ShardId(0);
    front.event(Event::Endpoints {
        scope: UpdateScope::Update,
        nodes: vec![second],
    });
    front
}

#[test]
fn an_ejected_server_gets_no_new_objects_but_the_data_it_alone_holds() {
    let mut front = warm_front(3);
    assert!(servers_used(&mut front, AT_MOST_ONCE, None, served).contains(&1));
    eject(&mut front, 1, ClassSet::ALL);
    assert!(!servers_used(&mut front, AT_MOST_ONCE, None, served).contains(&1));
    assert_eq!(
        front.scheduler.node_counts(),
        NodeCounts {
            listed: 3,
            avoided: 1
        }
    );
    let reads = servers_used(&mut front, AT_MOST_ONCE, Some(1), |_| Outcome::Error);
    assert!(
        reads.len() > 100 && reads.iter().all(|n| *n == 1),
        "the only server of the shard gets its requests: {}",
        reads.len()
    );
}

#[test]
fn requests_go_to_another_server_of_the_shard() {
    let mut front = front_with_two_servers_of_a_shard();
    assert!(
        servers_used(&mut front, 0, Some(0), served)
            .iter()
            .all(|n| *n == 0),
        "before the ejection, the first of two"
    );
    eject(&mut front, 0, ClassSet::ALL);
    let used = servers_used(&mut front, 0, Some(0), served);
    assert!(used.len() > 100 && used.iter().all(|n| *n == 1), "{used:?}");
    // If all servers of the shard are ejected, their ejections are ignored.
    eject(&mut front, 1, ClassSet::ALL);
    assert!(servers_used(&mut front, 0, Some(0), served).len() > 100);
}

#[test]
fn a_server_may_be_ejected_for_one_class() {
    let mut front = warm_front(2);
    eject(&mut front, 0, ClassSet::NONE.with(AT_MOST_ONCE));
    assert!(servers_used(&mut front, 0, None, served).contains(&0));
    assert!(!servers_used(&mut front, AT_MOST_ONCE, None, served).contains(&0));
    assert_eq!(
        front.scheduler.node_counts(),
        NodeCounts {
            listed: 2,
            avoided: 0
        },
        "it is not ejected for all classes"
    );
}

#[test]
fn new_objects_ignore_ejections_if_all_servers_are_ejected() {
    let mut front = warm_front(2);
    (0..2).for_each(|n| eject(&mut front, n, ClassSet::ALL));
    assert!(servers_used(&mut front, AT_MOST_ONCE, None, |_| Outcome::Error).len() > 100);
}

#[test]
fn own_good_results_readmit_a_server_and_a_failure_ejects_it_again() {
    let mut front = warm_front(2);
    eject(&mut front, 0, ClassSet::ALL);
    // Requests for the data that only this server holds are served.
    servers_used(&mut front, 0, Some(0), served);
    assert!(
        servers_used(&mut front, AT_MOST_ONCE, None, served).contains(&0),
        "the front's own results are more recent than the ejection"
    );
    servers_used(&mut front, 0, Some(0), |_| Outcome::TimedOut);
    assert!(
        !servers_used(&mut front, AT_MOST_ONCE, None, served).contains(&0),
        "a failure ejects it again"
    );
}

#[test]
fn a_probe_is_one_idempotent_request_before_its_deadline() {
    let mut front = front_with_two_servers_of_a_shard();
    eject(&mut front, 0, ClassSet::ALL);
    let until = front.now + 500 * MS;
    front.event(Event::FleetUpdate(FleetUpdate::Probe {
        node: NodeId(0),
        until,
    }));
    // A request that may be executed only once is never sent as a probe.
    let at_most_once = front.submit(request(9_000, AT_MOST_ONCE, Some(0)));
    assert_eq!(sends(&at_most_once), [(9_000, 1)]);
    front.end_attempt(9_000, 0, 1, Outcome::Served, 2 * MS);
    let first = front.submit(request(9_001, 0, Some(0)));
    assert_eq!(sends(&first), [(9_001, 0)]);
    front.end_attempt(9_001, 0, 0, Outcome::Error, 2 * MS);
    assert!(
        !servers_used(&mut front, 0, Some(0), served).contains(&0),
        "one probe only"
    );
    let until = front.now;
    front.event(Event::FleetUpdate(FleetUpdate::Probe {
        node: NodeId(0),
        until,
    }));
    assert!(
        !servers_used(&mut front, 0, Some(0), served).contains(&0),
        "its deadline has passed"
    );
    // An idempotent request for a new object may be the probe.
    let until = front.now + 500 * MS;
    front.event(Event::FleetUpdate(FleetUpdate::Probe {
        node: NodeId(0),
        until,
    }));
    assert_eq!(sends(&front.submit(request(9_002, 0, None))), [(9_002, 0)]);
}

#[test]
fn a_readmitted_server_warms_up() {
    let mut front = warm_front(2);
    front.event(Event::FleetUpdate(FleetUpdate::SharedLimit {
        limit: SharedLimit::WarmingUpNode,
        rate: 4.0,
        burst: 4.0,
        at: front.now,
    }));
    eject(&mut front, 0, ClassSet::ALL);
    servers_used(&mut front, AT_MOST_ONCE, None, served);
    eject(&mut front, 0, ClassSet::NONE);
    let units = 2 * servers_used(&mut front, 0, Some(0), served).len();
    // A burst of 4 units and 4 units per second for 2 s, and a few more as its capacity grows.
    assert!((8..=16).contains(&units), "{units}");
    servers_used(&mut front, 0, None, served);
    servers_used(&mut front, 0, None, served);
    assert!(
        servers_used(&mut front, 0, Some(0), served).len() > 150,
        "the warm-up is over"
    );
}
