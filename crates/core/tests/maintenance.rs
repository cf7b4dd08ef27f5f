//! Servers in maintenance: the entries that the decision module gets in place of the listed ones,
//! and the calls that fail.

use std::collections::BTreeSet;

use tulipbridge_core::maintenance::{MaintenanceError, MaintenanceSet};
use tulipbridge_core::{EndpointState, Nanos, NodeId, NodeInfo, ShardId};

fn entry(node: usize, state: EndpointState, started_at: Nanos) -> NodeInfo {
    NodeInfo {
        node: NodeId(node),
        zone: 0,
        shard: ShardId(3),
        state,
        started_at,
    }
}

#[test]
fn server_in_maintenance_drains_whatever_the_list_says() {
    let mut maintenance = MaintenanceSet::new();
    let key = "s-1".to_owned();
    assert_eq!(
        maintenance
            .endpoint_listed(&key, entry(0, EndpointState::Up, 0))
            .state,
        EndpointState::Up
    );
    assert_eq!(
        maintenance.enter(&key),
        Ok(Some(entry(0, EndpointState::Draining, 0)))
    );
    assert_eq!(
        maintenance.enter(&key),
        Ok(None),
        "entering twice succeeds without a change"
    );
    assert_eq!(
        maintenance
            .endpoint_listed(&key, entry(0, EndpointState::Up, 0))
            .state,
        EndpointState::Draining
    );
    // A server that leaves the list and returns with another node number is still in maintenance.
    assert_eq!(
        maintenance
            .endpoint_listed(&key, entry(0, EndpointState::Removed, 0))
            .state,
        EndpointState::Removed
    );
    maintenance.list_replaced(&BTreeSet::new());
    assert_eq!(
        maintenance
            .endpoint_listed(&key, entry(7, EndpointState::Up, 5))
            .state,
        EndpointState::Draining
    );
    assert_eq!(
        maintenance.exit(&key, 90),
        Ok(Some(entry(7, EndpointState::Up, 90))),
        "back in service, with a slow start from the end of its maintenance"
    );
    assert_eq!(maintenance.exit(&key, 95), Ok(None));
    assert_eq!(
        maintenance
            .endpoint_listed(&key, entry(7, EndpointState::Up, 5))
            .state,
        EndpointState::Up
    );
}

#[test]
fn server_that_was_never_listed_is_refused_without_a_change() {
    let mut maintenance: MaintenanceSet<String> = MaintenanceSet::new();
    assert_eq!(
        maintenance.enter(&"s-9".to_owned()),
        Err(MaintenanceError::NeverListed)
    );
    assert_eq!(
        maintenance.exit(&"s-9".to_owned(), 1),
        Err(MaintenanceError::NeverListed)
    );
    assert_eq!(maintenance.in_maintenance().count(), 0);
}

#[test]
fn server_listed_as_draining_still_drains_after_its_maintenance() {
    let mut maintenance = MaintenanceSet::new();
    let key = 4u32;
    maintenance.endpoint_listed(&key, entry(2, EndpointState::Draining, 0));
    assert_eq!(
        maintenance.enter(&key),
        Ok(Some(entry(2, EndpointState::Draining, 0)))
    );
    assert_eq!(
        maintenance.exit(&key, 10),
        Ok(Some(entry(2, EndpointState::Draining, 10)))
    );
}

#[test]
fn set_persisted_by_another_process_replaces_the_present_one() {
    let mut maintenance = MaintenanceSet::new();
    for (node, key) in [(0, 'a'), (1, 'b')] {
        maintenance.endpoint_listed(&key, entry(node, EndpointState::Up, 0));
    }
    let changed = maintenance.replace_set(&BTreeSet::from(['a', 'z']), 50);
    assert_eq!(changed, vec![entry(0, EndpointState::Draining, 0)]);
    assert!(
        maintenance.contains(&'z'),
        "in maintenance before the list names it"
    );
    assert_eq!(
        maintenance
            .endpoint_listed(&'z', entry(2, EndpointState::Up, 0))
            .state,
        EndpointState::Draining
    );
    let changed = maintenance.replace_set(&BTreeSet::from(['b']), 60);
    assert_eq!(
        changed,
        vec![
            entry(0, EndpointState::Up, 60),
            entry(2, EndpointState::Up, 60),
            entry(1, EndpointState::Draining, 0)
        ]
    );
    assert_eq!(maintenance.in_maintenance().collect::<Vec<_>>(), vec![&'b']);
}
