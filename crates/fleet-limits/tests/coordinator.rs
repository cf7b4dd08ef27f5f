//! Tests of small fleets of coordinators with fixed sequences of events. Arbitrary orders of faults
//! are covered by the simulation and by the model checker.

use std::hash::{DefaultHasher, Hasher};

use tulipbridge_fleet_limits::{
    Effect, Event, Heartbeat, Incarnation, Limit, LimitCoordinator, LimitsConfig, Nanos, PeerId,
    Share, FULL_SHARE,
};

const MS: Nanos = 1_000_000;
const HEARTBEAT_INTERVAL: Nanos = 200 * MS;
const VOLUME: Limit = Limit::Volume(7);

fn front(me: PeerId, fronts: u16, membership_digest: u64) -> LimitCoordinator {
    let incarnation = Incarnation(u64::from(me.0) * 100 + membership_digest);
    LimitCoordinator::new(
        LimitsConfig::new(me, fronts, membership_digest),
        incarnation,
        0,
    )
    .expect("the configuration is valid")
}

/// Returns the event that delivers a front's heartbeat.
fn received(sender: &LimitCoordinator, heartbeat: Box<Heartbeat>) -> Event {
    Event::HeartbeatReceived {
        from: sender.config().me,
        incarnation: sender.incarnation(),
        heartbeat,
    }
}

/// Returns the first heartbeat to a peer, or the first to any peer if `to` is `None`.
fn heartbeat_to(effects: &[Effect], to: Option<PeerId>) -> Option<Box<Heartbeat>> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send {
            to: receiver,
            heartbeat,
        } if to.is_none_or(|to| to == *receiver) => Some(heartbeat.clone()),
        _ => None,
    })
}

/// Returns the next heartbeat of a front to its first peer.
fn next_heartbeat(front: &mut LimitCoordinator, now: Nanos) -> Box<Heartbeat> {
    let mut effects = Vec::new();
    front.on(now, Event::HeartbeatDue, &mut effects);
    heartbeat_to(&effects[..1], None).expect("the first effect is a heartbeat")
}

/// Returns the first changed share among `effects` and the time from which it applies.
fn first_share_change(effects: &[Effect]) -> Option<(Share, Nanos)> {
    effects.iter().find_map(|effect| match effect {
        Effect::ShareChanged { share, at, .. } => Some((*share, *at)),
        _ => None,
    })
}

/// Delivers one heartbeat of every front to all others at once, and the replies to the senders.
fn exchange_heartbeats(fronts: &mut [LimitCoordinator], now: Nanos) {
    for from in 0..fronts.len() {
        let mut effects = Vec::new();
        fronts[from].on(
            now,
            Event::Demanded {
                limit: VOLUME,
                units: 2.0,
            },
            &mut effects,
        );
        fronts[from].on(now, Event::HeartbeatDue, &mut effects);
        for to in (0..fronts.len()).filter(|to| *to != from) {
            // A receiver that is not in the sender's membership list gets the heartbeat for some
            // other front.
            let own = heartbeat_to(&effects, Some(fronts[to].config().me));
            let Some(heartbeat) = own.or_else(|| heartbeat_to(&effects, None)) else {
                continue;
            };
            deliver(fronts, now, from, to, heartbeat);
        }
    }
}

/// Delivers a heartbeat, and the replies to its sender.
fn deliver(
    fronts: &mut [LimitCoordinator],
    now: Nanos,
    from: usize,
    to: usize,
    heartbeat: Box<Heartbeat>,
) {
    let heartbeat = received(&fronts[from], heartbeat);
    let mut effects = Vec::new();
    fronts[to].on(now, heartbeat, &mut effects);
    for effect in effects {
        if let Effect::Reply { heartbeat } = effect {
            let reply = received(&fronts[to], heartbeat);
            fronts[from].on(now, reply, &mut Vec::new());
        }
    }
}

/// Returns two fronts after 19 rounds of heartbeats, the last one at 3.8 s.
fn established_pair() -> [LimitCoordinator; 2] {
    let mut fronts = [front(PeerId(0), 2, 1), front(PeerId(1), 2, 1)];
    for step in 1..20 {
        exchange_heartbeats(&mut fronts, step * HEARTBEAT_INTERVAL);
    }
    fronts
}

fn shares(fronts: &[LimitCoordinator], now: Nanos) -> Vec<Share> {
    fronts
        .iter()
        .map(|front| front.share(now, VOLUME))
        .collect()
}

#[test]
fn a_restarted_front_uses_nothing_of_its_own_for_a_lease_duration() {
    let mut fronts = [front(PeerId(0), 2, 1), front(PeerId(1), 2, 1)];
    let mut now = 0;
    while now < 1_900 * MS {
        now += HEARTBEAT_INTERVAL;
        exchange_heartbeats(&mut fronts, now);
        assert_eq!(
            shares(&fronts, now),
            vec![Share::NONE; 2],
            "at {} ms",
            now / MS
        );
    }
    for _ in 0..10 {
        now += HEARTBEAT_INTERVAL;
        exchange_heartbeats(&mut fronts, now);
    }
    let sum: Share = shares(&fronts, now).into_iter().sum();
    assert!(
        (FULL_SHARE - FULL_SHARE / 50..=FULL_SHARE).contains(&sum),
        "{sum}"
    );
}

#[test]
fn a_partitioned_front_of_three_falls_to_its_floor_when_its_votes_expire() {
    let mut fronts = [
        front(PeerId(0), 3, 1),
        front(PeerId(1), 3, 1),
        front(PeerId(2), 3, 1),
    ];
    let mut now = 0;
    for _ in 0..20 {
        now += HEARTBEAT_INTERVAL;
        exchange_heartbeats(&mut fronts, now);
    }
    let floor = fronts[0].config().floor_share();
    let mut effects = Vec::new();
    fronts[2].on(now + 2_001 * MS, Event::Poll, &mut effects);
    let (share, at) = first_share_change(&effects).expect("the smaller share is reported");
    assert_eq!(share, floor);
    assert!(
        at <= now + 2_000 * MS,
        "the reduction applies from the expiry, not from its detection"
    );
}

#[test]
fn of_two_membership_lists_with_the_same_revision_one_yields() {
    // The membership list of the first two fronts has only these two, that of the other two has all
    // four. Fronts 0 and 1 have the same positions in both lists.
    let mut fronts = [
        front(PeerId(0), 2, 1),
        front(PeerId(1), 2, 1),
        front(PeerId(2), 4, 2),
        front(PeerId(3), 4, 2),
    ];
    let mut now = 0;
    for _ in 0..40 {
        now += HEARTBEAT_INTERVAL;
        exchange_heartbeats(&mut fronts, now);
        let sum: Share = shares(&fronts, now).into_iter().sum();
        assert!(sum <= FULL_SHARE, "{sum} at {} ms", now / MS);
    }
    let yielding: Vec<bool> = fronts
        .iter()
        .map(|front| front.yields_to_membership_list(now))
        .collect();
    assert_eq!(yielding, vec![false, false, true, true]);
    assert!(shares(&fronts, now)[..2]
        .iter()
        .all(|share| *share > FULL_SHARE / 3));
}

#[test]
fn a_lease_of_the_same_share_for_a_shorter_time_is_reported_as_a_reduction() {
    let mut fronts = established_pair();
    let now = 4_000 * MS;
    let heartbeat = next_heartbeat(&mut fronts[1], now);
    let mut share_after = |number: u64, duration: Nanos| {
        let mut heartbeat = heartbeat.clone();
        heartbeat.state.sent_at += number as Nanos;
        heartbeat.grant.number += number;
        heartbeat.grant.duration = duration;
        heartbeat
            .grant
            .leases
            .iter_mut()
            .for_each(|lease| lease.share = Share(200_000));
        let event = received(&fronts[1], heartbeat);
        let mut effects = Vec::new();
        fronts[0].on(now, event, &mut effects);
        let reported = first_share_change(&effects).map(|(share, _)| share);
        (reported, fronts[0].share(now, VOLUME))
    };
    let (_, with_longer_lease) = share_after(1, 2_000 * MS);
    let (reported, with_shorter_lease) = share_after(2, 0);
    assert!(
        with_shorter_lease + Share(200_000) == with_longer_lease,
        "{with_shorter_lease}, {with_longer_lease}"
    );
    assert_eq!(
        reported,
        Some(with_shorter_lease),
        "the reduction must be reported"
    );
}

#[test]
fn a_volume_without_demand_is_forgotten_after_fifteen_seconds() {
    let mut single_front = front(PeerId(0), 1, 1);
    let mut effects = Vec::new();
    single_front.on(
        3_000 * MS,
        Event::Demanded {
            limit: VOLUME,
            units: 2.0,
        },
        &mut effects,
    );
    single_front.on(3_200 * MS, Event::HeartbeatDue, &mut effects);
    single_front.on(17_000 * MS, Event::HeartbeatDue, &mut effects);
    assert!(!effects.contains(&Effect::Forget(VOLUME)));
    single_front.on(19_000 * MS, Event::HeartbeatDue, &mut effects);
    assert!(effects.contains(&Effect::Forget(VOLUME)));
}

#[test]
fn states_that_lead_to_different_behavior_have_different_fingerprints() {
    let mut fronts = established_pair();
    let now = 4_000 * MS;
    let heartbeat = next_heartbeat(&mut fronts[1], now);
    let fingerprint_after = |number: u64, units: f64| {
        let mut front = fronts[0].clone();
        let mut heartbeat = heartbeat.clone();
        heartbeat.grant.number += number;
        front.on(now, received(&fronts[1], heartbeat), &mut Vec::new());
        front.on(
            now,
            Event::Demanded {
                limit: VOLUME,
                units,
            },
            &mut Vec::new(),
        );
        let mut hasher = DefaultHasher::new();
        front.fingerprint(now, &mut hasher);
        hasher.finish()
    };
    assert_eq!(fingerprint_after(0, 2.0), fingerprint_after(0, 2.0));
    assert_ne!(
        fingerprint_after(0, 2.0),
        fingerprint_after(1, 2.0),
        "the number of the held grant decides whether the next grant is accepted"
    );
    assert_ne!(
        fingerprint_after(0, 2.0),
        fingerprint_after(0, 2.000_001),
        "demands that are reported as equal now may differ in later reports"
    );
}

#[test]
fn a_heartbeat_with_arbitrary_peers_and_numbers_keeps_the_share_within_the_limit() {
    let mut fronts = established_pair();
    let mut malformed = next_heartbeat(&mut fronts[1], 4_000 * MS);
    malformed.claims = [0, 1, 9, u16::MAX].map(PeerId).to_vec();
    malformed.votes = [0, 1, 9, u16::MAX].map(PeerId).to_vec();
    malformed.settled = [7, u16::MAX].map(PeerId).to_vec();
    malformed.state.reachable = [9, u16::MAX].map(PeerId).to_vec();
    malformed.grant.number = u64::MAX;
    malformed.grant.duration = Nanos::MAX;
    malformed
        .demands
        .iter_mut()
        .for_each(|demand| demand.milli_units_per_second = u64::MAX);
    let incarnation = fronts[1].incarnation();
    for from in [0, 1, 2, u16::MAX].map(PeerId) {
        let event = Event::HeartbeatReceived {
            from,
            incarnation,
            heartbeat: malformed.clone(),
        };
        fronts[0].on(4_001 * MS, event, &mut Vec::new());
        fronts[0].on(4_200 * MS, Event::HeartbeatDue, &mut Vec::new());
    }
    assert!(fronts[0].share(4_300 * MS, VOLUME) <= FULL_SHARE);
}
