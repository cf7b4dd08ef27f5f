//! The membership table: which messages are accepted, and which status of a peer results from them.

use tulipbridge_membership::{
    Echo, Incarnation, MembershipTable, MessageStatus, Nanos, PeerId, PeerState, PeerStatus,
};

const FAILURE_TIMEOUT: Nanos = 100;

/// Returns the tables of fronts 0 and 1, which have accepted each other's messages at time 10. The
/// membership list has a third front, which has sent none.
fn connected_pair() -> (MembershipTable, MembershipTable) {
    let mut a = MembershipTable::new(PeerId(0), 3, Incarnation(7), FAILURE_TIMEOUT);
    let mut b = MembershipTable::new(PeerId(1), 3, Incarnation(8), FAILURE_TIMEOUT);
    a.begin_round(0);
    b.begin_round(0);
    assert_eq!(
        b.receive(5, PeerId(0), Incarnation(7), &a.state_for(0, PeerId(1))),
        MessageStatus::Unconfirmed
    );
    assert_eq!(
        a.receive(5, PeerId(1), Incarnation(8), &b.state_for(5, PeerId(0))),
        MessageStatus::Accepted { first: true }
    );
    a.begin_round(10);
    assert_eq!(
        b.receive(10, PeerId(0), Incarnation(7), &a.state_for(10, PeerId(1))),
        MessageStatus::Accepted { first: true }
    );
    (a, b)
}

#[test]
fn incarnation_is_accepted_once_it_has_shown_that_it_receives_messages() {
    let (a, b) = connected_pair();
    assert_eq!(
        [a.status(10, PeerId(1)), b.status(10, PeerId(0))],
        [PeerStatus::Alive; 2]
    );
    assert_eq!(a.status(10, PeerId(2)), PeerStatus::Unknown);
    assert!(a.has_recent_echo_from(10, PeerId(1)));
}

#[test]
fn reordered_repeated_and_misaddressed_messages_are_rejected() {
    let (mut a, mut b) = connected_pair();
    a.begin_round(20);
    let early = a.state_for(20, PeerId(1));
    a.begin_round(30);
    let late = a.state_for(30, PeerId(1));
    assert_eq!(
        b.receive(31, PeerId(0), Incarnation(7), &late),
        MessageStatus::Accepted { first: false }
    );
    assert_eq!(
        b.receive(32, PeerId(0), Incarnation(7), &early),
        MessageStatus::Stale
    );
    assert_eq!(
        b.receive(33, PeerId(0), Incarnation(7), &late),
        MessageStatus::Stale
    );
    assert_eq!(
        b.receive(33, PeerId(1), Incarnation(7), &late),
        MessageStatus::UnknownPeer
    );
    assert_eq!(
        b.receive(33, PeerId(9), Incarnation(7), &late),
        MessageStatus::UnknownPeer
    );
}

#[test]
fn second_incarnation_is_rejected_until_the_first_is_silent_for_the_failure_timeout() {
    let (mut a, mut b) = connected_pair();
    let mut second = MembershipTable::new(PeerId(0), 3, Incarnation(9), FAILURE_TIMEOUT);
    second.begin_round(40);
    assert_eq!(
        b.receive(
            40,
            PeerId(0),
            Incarnation(9),
            &second.state_for(40, PeerId(1))
        ),
        MessageStatus::Conflicting
    );
    b.begin_round(41);
    let rejection = b.state_for(41, PeerId(0));
    assert_eq!(rejection.conflicting, Some(Incarnation(9)));
    // Both incarnations receive the rejection, but only the second one is rejected.
    assert_eq!(
        second.receive(41, PeerId(1), Incarnation(8), &rejection),
        MessageStatus::Accepted { first: true }
    );
    a.receive(41, PeerId(1), Incarnation(8), &rejection);
    assert_eq!([a.is_rejected(41), second.is_rejected(41)], [false, true]);
    assert_eq!(b.status(109, PeerId(0)), PeerStatus::Alive);
    assert_eq!(b.status(110, PeerId(0)), PeerStatus::Dead);
    second.begin_round(111);
    assert_eq!(
        b.receive(
            111,
            PeerId(0),
            Incarnation(9),
            &second.state_for(111, PeerId(1))
        ),
        MessageStatus::Accepted { first: true }
    );
    b.begin_round(112);
    assert_eq!(
        second.receive(112, PeerId(1), Incarnation(8), &b.state_for(112, PeerId(0))),
        MessageStatus::Accepted { first: false }
    );
    assert!(!second.is_rejected(113));
    // Now a delayed message of the first incarnation is in conflict with the second.
    assert_eq!(
        b.receive(114, PeerId(0), Incarnation(7), &a.state_for(10, PeerId(1))),
        MessageStatus::Conflicting
    );
}

#[test]
fn silent_peer_is_suspect_while_another_receives_from_it_and_left_after_its_shutdown() {
    let (mut a, _) = connected_pair();
    let state = |sent_at, reachable: &[PeerId], shutting_down| PeerState {
        sent_at,
        echo: Some(Echo {
            incarnation: Incarnation(7),
            sent_at: 10,
        }),
        conflicting: None,
        shutting_down,
        reachable: reachable.to_vec(),
    };
    assert_eq!(
        a.receive(
            50,
            PeerId(2),
            Incarnation(30),
            &state(50, &[PeerId(1)], false)
        ),
        MessageStatus::Accepted { first: true }
    );
    assert_eq!(
        a.status(120, PeerId(1)),
        PeerStatus::Suspect,
        "the third front receives its messages"
    );
    assert_eq!(
        a.status(150, PeerId(1)),
        PeerStatus::Dead,
        "the third front is silent too"
    );
    a.receive(160, PeerId(2), Incarnation(30), &state(160, &[], true));
    assert_eq!(a.status(160, PeerId(2)), PeerStatus::Left);
    assert_eq!(
        a.receive(161, PeerId(2), Incarnation(31), &state(1, &[], false)),
        MessageStatus::Accepted { first: true },
        "the successor is accepted at once"
    );
    assert_eq!(
        a.receive(162, PeerId(2), Incarnation(30), &state(170, &[], false)),
        MessageStatus::Conflicting,
        "the incarnation that was shut down is rejected"
    );
}
