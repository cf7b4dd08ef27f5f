//! What a few machines do among themselves, step by step. Orders of faults are the simulation's and the checker's.

use std::hash::{DefaultHasher, Hasher};

use tulipbridge_fleet_limits::{
    Effect, Event, Heartbeat, Limit, LimitCoordinator, LimitsConfig, Nanos, PeerId, FULL_SHARE,
};

const MS: Nanos = 1_000_000;

fn front(me: PeerId, fronts: PeerId, roster: u64) -> LimitCoordinator {
    LimitCoordinator::new(LimitsConfig::new(me, fronts, roster), u64::from(me) * 100 + roster, 0)
        .expect("the terms hold")
}

/// A beat of each, heard by all others at once; answers go back to whom they answer.
fn round(fronts: &mut [LimitCoordinator], now: Nanos) {
    for from in 0..fronts.len() {
        let mut effects = Vec::new();
        fronts[from].on(now, Event::Demanded { limit: Limit::Volume(7), units: 2.0 }, &mut effects);
        fronts[from].on(now, Event::HeartbeatDue, &mut effects);
        let (place, boot) = (fronts[from].config().me, fronts[from].incarnation());
        let beat = effects.iter().find_map(|e| match e {
            Effect::Send { heartbeat: beat, .. } => Some(beat.clone()),
            _ => None,
        });
        for to in (0..fronts.len()).filter(|to| *to != from) {
            // Each is sent its own; where the receiver is in no roster of the sender's, what any other is sent.
            let own = effects.iter().find_map(|e| match e {
                Effect::Send { to: at, heartbeat: beat } if *at == fronts[to].config().me => {
                    Some(beat.clone())
                }
                _ => None,
            });
            let Some(beat) = own.or(beat.clone()) else { continue };
            let mut answers = Vec::new();
            fronts[to].on(now, Event::HeartbeatReceived { from: place, boot, heartbeat: beat }, &mut answers);
            let (at, its) = (fronts[to].config().me, fronts[to].incarnation());
            for answer in answers {
                if let Effect::Reply { heartbeat: beat } = answer {
                    fronts[from].on(
                        now,
                        Event::HeartbeatReceived { from: at, boot: its, heartbeat: beat },
                        &mut Vec::new(),
                    );
                }
            }
        }
    }
}

fn parts(fronts: &[LimitCoordinator], now: Nanos) -> Vec<u32> {
    fronts.iter().map(|f| f.share(now, Limit::Volume(7))).collect()
}

#[test]
fn a_front_that_has_started_uses_nothing_of_its_own_for_a_life() {
    let mut fronts = [front(0, 2, 1), front(1, 2, 1)];
    let mut now = 0;
    while now < 1_900 * MS {
        now += 200 * MS;
        round(&mut fronts, now);
        assert_eq!(parts(&fronts, now), vec![0, 0], "at {} ms", now / MS);
    }
    for _ in 0..10 {
        now += 200 * MS;
        round(&mut fronts, now);
    }
    let sum: u32 = parts(&fronts, now).iter().sum();
    assert!((FULL_SHARE - FULL_SHARE / 50..=FULL_SHARE).contains(&sum), "{sum}");
}

#[test]
fn who_is_cut_off_among_three_falls_to_its_floor_when_its_agreements_end() {
    let mut fronts = [front(0, 3, 1), front(1, 3, 1), front(2, 3, 1)];
    let mut now = 0;
    for _ in 0..20 {
        now += 200 * MS;
        round(&mut fronts, now);
    }
    let floor = fronts[0].config().floor_share();
    let mut effects = Vec::new();
    fronts[2].on(now + 2_001 * MS, Event::Poll, &mut effects);
    let told = effects.iter().find_map(|e| match e {
        Effect::ShareChanged { share: part, at, .. } => Some((*part, *at)),
        _ => None,
    });
    let (part, at) = told.expect("it is told that it has less");
    assert_eq!(part, floor);
    assert!(at <= now + 2_000 * MS, "from when it ended, not from when it was looked at");
}

#[test]
fn of_two_rosters_of_one_revision_the_fronts_of_one_use_nothing() {
    // Two that know each other alone, and two that know all four: places 0 and 1 are the same fronts in both.
    let mut fronts = [front(0, 2, 1), front(1, 2, 1), front(2, 4, 2), front(3, 4, 2)];
    let mut now = 0;
    for _ in 0..40 {
        now += 200 * MS;
        round(&mut fronts, now);
        let sum: u32 = parts(&fronts, now).iter().sum();
        assert!(sum <= FULL_SHARE, "{sum} at {} ms", now / MS);
    }
    let yields: Vec<bool> = fronts.iter().map(|f| f.yields_to_roster(now)).collect();
    assert_eq!(yields, vec![false, false, true, true]);
    assert!(parts(&fronts, now)[..2].iter().all(|p| *p > FULL_SHARE / 3));
}

#[test]
fn the_same_loan_for_a_shorter_time_is_less() {
    let mut fronts = [front(0, 2, 1), front(1, 2, 1)];
    for step in 1..20 {
        round(&mut fronts, step * 200 * MS);
    }
    let now = 4_000 * MS;
    let mut effects = Vec::new();
    fronts[1].on(now, Event::HeartbeatDue, &mut effects);
    let Some(Effect::Send { heartbeat: beat, .. }) = effects.into_iter().next() else { panic!("a beat") };
    let boot = fronts[1].incarnation();
    let mut part = |number, term| {
        let mut told = beat.clone();
        told.state.sent_at += number as Nanos;
        told.grant.number += number;
        told.grant.duration = term;
        told.grant.leases.iter_mut().for_each(|l| l.share = 200_000);
        let mut effects = Vec::new();
        fronts[0].on(now, Event::HeartbeatReceived { from: 1, boot, heartbeat: told }, &mut effects);
        let told = effects.iter().find_map(|e| match e {
            Effect::ShareChanged { share: part, .. } => Some(*part),
            _ => None,
        });
        (told, fronts[0].share(now, Limit::Volume(7)))
    };
    let (_, longer) = part(1, 2_000 * MS);
    let (told, shorter) = part(2, 0);
    assert!(shorter + 200_000 == longer, "{shorter}, {longer}");
    assert_eq!(told, Some(shorter), "the module must be told");
}

#[test]
fn a_volume_that_nobody_asks_for_is_forgotten() {
    let mut alone = front(0, 1, 1);
    let mut effects = Vec::new();
    alone.on(3_000 * MS, Event::Demanded { limit: Limit::Volume(7), units: 2.0 }, &mut effects);
    alone.on(3_200 * MS, Event::HeartbeatDue, &mut effects);
    alone.on(17_000 * MS, Event::HeartbeatDue, &mut effects);
    assert!(!effects.contains(&Effect::Forget(Limit::Volume(7))));
    alone.on(19_000 * MS, Event::HeartbeatDue, &mut effects);
    assert!(effects.contains(&Effect::Forget(Limit::Volume(7))));
}

#[test]
fn states_from_which_different_things_follow_have_different_fingerprints() {
    let mut fronts = [front(0, 2, 1), front(1, 2, 1)];
    for step in 1..20 {
        round(&mut fronts, step * 200 * MS);
    }
    let now = 4_000 * MS;
    let mut effects = Vec::new();
    fronts[1].on(now, Event::HeartbeatDue, &mut effects);
    let Some(Effect::Send { heartbeat: beat, .. }) = effects.into_iter().next() else { panic!("a beat") };
    let print = |number: u64, units: f64| {
        let (mut one, mut told) = (fronts[0].clone(), beat.clone());
        told.grant.number += number;
        one.on(
            now,
            Event::HeartbeatReceived { from: 1, boot: fronts[1].incarnation(), heartbeat: told },
            &mut Vec::new(),
        );
        one.on(now, Event::Demanded { limit: Limit::Volume(7), units }, &mut Vec::new());
        let mut hasher = DefaultHasher::new();
        one.fingerprint(now, &mut hasher);
        hasher.finish()
    };
    assert_eq!(print(0, 2.0), print(0, 2.0));
    assert_ne!(
        print(0, 2.0),
        print(1, 2.0),
        "the next loan may be the same number as the one held, or a later"
    );
    assert_ne!(print(0, 2.0), print(0, 2.000_001), "demands that are told alike now drift apart");
}

#[test]
fn a_beat_with_any_places_and_numbers_does_no_harm() {
    let mut fronts = [front(0, 2, 1), front(1, 2, 1)];
    for step in 1..20 {
        round(&mut fronts, step * 200 * MS);
    }
    let mut effects = Vec::new();
    fronts[1].on(4_000 * MS, Event::HeartbeatDue, &mut effects);
    let Some(Effect::Send { heartbeat: beat, .. }) = effects.into_iter().next() else { panic!("a beat") };
    let mut wild: Heartbeat = *beat;
    (wild.claims, wild.votes) = (vec![0, 1, 9, u16::MAX], vec![0, 1, 9, u16::MAX]);
    (wild.settled, wild.state.hears) = (vec![7, u16::MAX], vec![9, u16::MAX]);
    wild.grant.number = u64::MAX;
    wild.grant.duration = Nanos::MAX;
    wild.demands.iter_mut().for_each(|a| a.milli_units_per_second = u64::MAX);
    let boot = fronts[1].incarnation();
    for from in [0, 1, 2, u16::MAX] {
        fronts[0].on(
            4_001 * MS,
            Event::HeartbeatReceived { from, boot, heartbeat: Box::new(wild.clone()) },
            &mut Vec::new(),
        );
        fronts[0].on(4_200 * MS, Event::HeartbeatDue, &mut Vec::new());
    }
    assert!(fronts[0].share(4_300 * MS, Limit::Volume(7)) <= FULL_SHARE);
}
