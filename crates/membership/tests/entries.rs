//! What fronts tell each other beside: whose word counts, what is bounded, how a bad link is gone round.

use tulipbridge_membership::*;

const MS: Nanos = 1_000_000;
const SPAN: Nanos = 2_000 * MS;
const KEY: Key = Key { kind: 1, id: 7 };

struct Front {
    boot: Incarnation,
    contacts: MembershipTable,
    entries: GossipStore,
}

fn front(me: PeerId, boot: Incarnation, now: Nanos) -> Front {
    Front {
        boot,
        contacts: MembershipTable::new(me, 3, boot, SPAN),
        entries: GossipStore::new(me, 3, boot, 20_000, now),
    }
}

fn three() -> Vec<Front> {
    (0..3).map(|me| front(me, 100 + u64::from(me), 0)).collect()
}

/// A round of each front, where `cut` loses what one sends another; gives how often a front dropped what another had
/// said, and how many entries the first sent.
fn round(fronts: &mut [Front], now: Nanos, cut: &[(PeerId, PeerId)]) -> (usize, usize) {
    let (mut dropped, mut entries) = (0, 0);
    let mut queue: Vec<(PeerId, PeerId, GossipMessage)> = Vec::new();
    for from in 0..fronts.len() {
        let place = from as PeerId;
        fronts[from].contacts.begin_round(now);
        for to in (0..3).filter(|to| *to != place && !cut.contains(&(place, *to))) {
            let (boot, hello) = (fronts[from].boot, fronts[from].contacts.state_for(now, to));
            fronts[usize::from(to)].contacts.receive(now, place, boot, &hello);
        }
        let mut acts = Vec::new();
        let one = &mut fronts[from];
        one.entries.on(now, &one.contacts, GossipInput::Round, &mut acts).expect("a round puts nothing");
        queue.extend(sent(place, acts, &mut dropped));
    }
    while let Some((from, to, exchange)) = queue.pop() {
        if cut.contains(&(from, to)) {
            continue;
        }
        entries += exchange.deltas.iter().filter(|_| from == 0).map(|d| d.entries.len()).sum::<usize>();
        let told =
            GossipInput::Received { from, incarnation: fronts[usize::from(from)].boot, message: exchange };
        let mut acts = Vec::new();
        let one = &mut fronts[usize::from(to)];
        one.entries.on(now, &one.contacts, told, &mut acts).expect("hearing puts nothing");
        queue.extend(sent(to, acts, &mut dropped));
    }
    (dropped, entries)
}

fn sent(from: PeerId, acts: Vec<GossipAction>, dropped: &mut usize) -> Vec<(PeerId, PeerId, GossipMessage)> {
    let mut all = Vec::new();
    for act in acts {
        match act {
            GossipAction::Send { to, message: exchange } => all.push((from, to, exchange)),
            GossipAction::Dropped(_) => *dropped += 1,
            GossipAction::Changed(..) | GossipAction::Rejected(_) => {}
        }
    }
    all
}

fn put(front: &mut Front, now: Nanos, key: Key, value: Option<&[u8]>) -> Result<(), EntryError> {
    let told = GossipInput::Put(key, value.map(<[u8]>::to_vec));
    front.entries.on(now, &front.contacts, told, &mut Vec::new())
}

fn held(front: &Front, now: Nanos, origin: PeerId) -> Option<(Vec<u8>, Nanos)> {
    front.entries.get(now, origin, KEY).map(|(value, age)| (value.to_vec(), age / MS))
}

#[test]
fn an_entry_comes_with_its_age_is_replaced_and_taken_away() {
    let mut fronts = three();
    put(&mut fronts[0], 0, KEY, Some(b"one")).expect("it fits");
    for step in 0..4 {
        round(&mut fronts, step * 200 * MS, &[]);
    }
    assert_eq!(held(&fronts[2], 1_000 * MS, 0).map(|h| h.0), Some(b"one".to_vec()));
    put(&mut fronts[0], 800 * MS, KEY, Some(b"two")).expect("it fits");
    round(&mut fronts, 900 * MS, &[]);
    // It was put 100 ms ago, and may have been on its way since the last message of the second that the first had
    // heard: none, or 300 ms.
    let (value, age) = held(&fronts[1], 900 * MS, 0).expect("it has come");
    assert_eq!(value, b"two");
    assert!([100, 400].contains(&age), "{age}");
    put(&mut fronts[0], 1_000 * MS, KEY, None).expect("it goes");
    round(&mut fronts, 1_100 * MS, &[]);
    assert_eq!(held(&fronts[1], 1_100 * MS, 0), None);
    // Once all have said that they know it, nothing goes any more.
    round(&mut fronts, 1_300 * MS, &[]);
    assert_eq!(round(&mut fronts, 1_500 * MS, &[]).1, 0);
}

#[test]
fn a_bad_link_is_gone_round_by_whoever_hears_the_origin() {
    let mut fronts = three();
    put(&mut fronts[0], 0, KEY, Some(b"one")).expect("it fits");
    for step in 0..4 {
        round(&mut fronts, step * 200 * MS, &[(0, 2)]);
    }
    let (value, age) = held(&fronts[2], 600 * MS, 0).expect("it has come");
    assert_eq!(value, b"one");
    assert!((600..=1_200).contains(&age), "two ways, and never younger than it is: {age}");
}

#[test]
fn what_a_predecessor_said_is_dropped_also_where_only_others_hear_the_successor() {
    let mut fronts = three();
    put(&mut fronts[0], 0, KEY, Some(b"old")).expect("it fits");
    for step in 0..4 {
        round(&mut fronts, step * 200 * MS, &[]);
    }
    // It starts again, and the last does not hear it any more.
    let cut = [(0, 2)];
    fronts[0] = front(0, 200, 4_000 * MS);
    for step in 15..40 {
        round(&mut fronts, step * 200 * MS, &cut);
    }
    put(&mut fronts[0], 8_000 * MS, KEY, Some(b"new")).expect("it fits");
    let dropped: usize = (40..60).map(|step| round(&mut fronts, step * 200 * MS, &cut).0).sum();
    assert_eq!(dropped, 1, "what the predecessor said, at the last, and nothing of the successor's");
    assert_eq!(held(&fronts[1], 12_000 * MS, 0).map(|h| h.0), Some(b"new".to_vec()));
    assert_eq!(held(&fronts[2], 12_000 * MS, 0).map(|h| h.0), Some(b"new".to_vec()));
}

#[test]
fn what_is_too_much_is_refused_on_both_sides() {
    let mut fronts = three();
    for step in 0..3 {
        round(&mut fronts, step * 200 * MS, &[]);
    }
    let long = vec![0; MAX_VALUE + 1];
    assert_eq!(put(&mut fronts[0], 0, KEY, Some(&long)), Err(EntryError::TooLong));
    for id in 0..MAX_ENTRIES as u64 {
        put(&mut fronts[0], 0, Key { kind: 2, id }, Some(b"x")).expect("it fits");
    }
    assert_eq!(put(&mut fronts[0], 0, KEY, Some(b"x")), Err(EntryError::TooMany));
    assert_eq!(put(&mut fronts[0], 0, KEY, None), Ok(()), "what is not there goes without a place");
    let item =
        |version, value: &[u8]| GossipEntry { key: KEY, version, age_ms: 0, value: Some(value.to_vec()) };
    let delta =
        |origin, boot, after, to, items| Delta { origin, incarnation: boot, after, to, entries: items };
    for (delta, why) in [
        (delta(1, 101, 0, 1, vec![item(1, &long)]), GossipError::OutOfBounds),
        (delta(1, 101, 0, 2, vec![item(2, b"b"), item(1, b"a")]), GossipError::OutOfBounds),
        (delta(1, 101, 0, 1, vec![item(9, b"a")]), GossipError::OutOfBounds),
        (delta(1, 101, 5, 6, vec![item(6, b"a")]), GossipError::MissingVersions),
        (delta(1, 999, 0, 1, vec![item(1, b"a")]), GossipError::StaleIncarnation),
        (delta(0, 100, 0, 1, vec![item(1, b"a")]), GossipError::UnknownOrigin),
        (delta(9, 100, 0, 1, vec![item(1, b"a")]), GossipError::UnknownOrigin),
    ] {
        let exchange =
            GossipMessage { echo: Some((100, 400 * MS)), deltas: vec![delta], ..GossipMessage::default() };
        let one = &mut fronts[0];
        let mut acts = Vec::new();
        let told = GossipInput::Received { from: 1, incarnation: 101, message: exchange };
        one.entries.on(500 * MS, &one.contacts, told, &mut acts).expect("hearing puts nothing");
        assert_eq!(acts, vec![GossipAction::Rejected(why)]);
        assert_eq!(one.entries.known(1), Some((101, 0)));
    }
    let (one, mut acts) = (&mut fronts[0], Vec::new());
    let told = GossipInput::Received { from: 1, incarnation: 77, message: GossipMessage::default() };
    one.entries.on(500 * MS, &one.contacts, told, &mut acts).expect("hearing puts nothing");
    assert_eq!(
        acts,
        vec![GossipAction::Rejected(GossipError::StaleIncarnation)],
        "a boot that does not count says nothing"
    );
}

#[test]
fn what_goes_out_keeps_to_the_bytes_a_second() {
    let mut fronts = three();
    for step in 0..3 {
        round(&mut fronts, step * 200 * MS, &[]);
    }
    for id in 0..600 {
        put(&mut fronts[0], 600 * MS, Key { kind: 1, id }, Some(&[7; 100])).expect("it fits");
    }
    // 600 entries of 100 bytes to two fronts, at 20,000 bytes a second for all that goes out.
    let mut items = 0;
    for step in 3..13 {
        items += round(&mut fronts, step * 200 * MS, &[]).1;
    }
    assert!((300..=500).contains(&items), "{items} entries in 2 s and what was saved up");
    for step in 13..80 {
        round(&mut fronts, step * 200 * MS, &[]);
    }
    assert!((1..3).all(|at| held(&fronts[at], 0, 0).is_some()));
    assert_eq!(fronts[2].entries.all(0, 1).count(), 600);
}

#[test]
fn what_was_long_on_its_way_is_old_when_it_comes() {
    let mut fronts = three();
    for step in 0..4 {
        round(&mut fronts, step * 200 * MS, &[]);
    }
    let item = GossipEntry { key: KEY, version: 1, age_ms: 50, value: Some(b"late".to_vec()) };
    let delta = Delta { origin: 1, incarnation: 101, after: 0, to: 1, entries: vec![item] };
    let said = |echo| GossipMessage { echo, deltas: vec![delta.clone()], ..GossipMessage::default() };
    let one = &mut fronts[0];
    // For another boot of this front, or for none, nothing tells how old it is.
    for echo in [None, Some((99, 400 * MS))] {
        let mut acts = Vec::new();
        let told = GossipInput::Received { from: 1, incarnation: 101, message: said(echo) };
        one.entries.on(2_000 * MS, &one.contacts, told, &mut acts).expect("hearing puts nothing");
        assert_eq!(acts, vec![GossipAction::Rejected(GossipError::NoEcho)]);
    }
    let told = GossipInput::Received { from: 1, incarnation: 101, message: said(Some((100, 400 * MS))) };
    one.entries.on(2_000 * MS, &one.contacts, told, &mut Vec::new()).expect("hearing puts nothing");
    assert_eq!(held(&fronts[0], 2_000 * MS, 1), Some((b"late".to_vec(), 1_650)));
}

#[test]
fn a_front_that_is_told_to_send_less_does() {
    let mut fronts = three();
    for step in 0..3 {
        round(&mut fronts, step * 200 * MS, &[]);
    }
    fronts[0].entries.set_rate(1_000);
    for id in 0..100 {
        put(&mut fronts[0], 600 * MS, Key { kind: 1, id }, Some(&[7; 100])).expect("it fits");
    }
    // 1,000 bytes a second and as many in store, for 2 s; an entry takes 124 at the most.
    let items: usize = (3..13).map(|step| round(&mut fronts, step * 200 * MS, &[]).1).sum();
    assert!((10..=25).contains(&items), "{items} entries");
}
