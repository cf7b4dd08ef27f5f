//! The gossip store: replication of entries, rejection of deltas and limits on size and rate.

use tulipbridge_membership::*;

const MS: Nanos = 1_000_000;
const FAILURE_TIMEOUT: Nanos = 2_000 * MS;
const ROUND_INTERVAL: Nanos = 200 * MS;
const FRONT_COUNT: u16 = 3;
const BYTES_PER_SECOND: u64 = 20_000;
const KEY: EntryKey = EntryKey { kind: 1, id: 7 };

struct Front {
    incarnation: Incarnation,
    members: MembershipTable,
    store: GossipStore,
}

impl Front {
    fn new(me: PeerId, incarnation: Incarnation, now: Nanos) -> Front {
        Front {
            incarnation,
            members: MembershipTable::new(me, FRONT_COUNT, incarnation, FAILURE_TIMEOUT),
            store: GossipStore::new(me, FRONT_COUNT, incarnation, BYTES_PER_SECOND, now),
        }
    }

    /// Handles an input that cannot fail.
    fn handle(&mut self, now: Nanos, input: GossipInput) -> Vec<GossipAction> {
        let mut actions = Vec::new();
        self.store
            .on(now, &self.members, input, &mut actions)
            .expect("no input but a put can fail");
        actions
    }

    fn put(&mut self, now: Nanos, key: EntryKey, value: Option<&[u8]>) -> Result<(), EntryError> {
        let input = GossipInput::Put(key, value.map(<[u8]>::to_vec));
        self.store.on(now, &self.members, input, &mut Vec::new())
    }

    /// Returns an origin's value under [`KEY`] and its age in milliseconds.
    fn get(&self, now: Nanos, origin: PeerId) -> Option<(Vec<u8>, Nanos)> {
        self.store
            .get(now, origin, KEY)
            .map(|entry| (entry.value.to_vec(), entry.age / MS))
    }

    /// Returns an origin's value under [`KEY`].
    fn value(&self, now: Nanos, origin: PeerId) -> Option<Vec<u8>> {
        self.get(now, origin).map(|(value, _)| value)
    }
}

/// A network link from one front to another, in one direction.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Link {
    from: PeerId,
    to: PeerId,
}

const FROM_0_TO_2: Link = Link {
    from: PeerId(0),
    to: PeerId(2),
};

/// A message in flight.
struct InFlight {
    from: PeerId,
    to: PeerId,
    message: GossipMessage,
}

/// Counts of events in one or more rounds.
#[derive(Default)]
struct Round {
    /// How often a front discarded its replica of a peer's entries.
    dropped: usize,
    /// Entries in messages from front 0 that were delivered.
    entries: usize,
}

fn three_fronts() -> Vec<Front> {
    PeerId::all(FRONT_COUNT)
        .map(|me| Front::new(me, Incarnation(100 + u64::from(me.0)), 0))
        .collect()
}

/// Runs a round of each front and delivers all messages. Those on the links in `cut` are lost.
fn round(fronts: &mut [Front], now: Nanos, cut: &[Link]) -> Round {
    let mut round = Round::default();
    let mut queue: Vec<InFlight> = Vec::new();
    for from in PeerId::all(FRONT_COUNT) {
        let sender = from.index();
        fronts[sender].members.begin_round(now);
        for to in PeerId::all(FRONT_COUNT)
            .filter(|to| *to != from && !cut.contains(&Link { from, to: *to }))
        {
            let (incarnation, state) = (
                fronts[sender].incarnation,
                fronts[sender].members.state_for(now, to),
            );
            fronts[to.index()]
                .members
                .receive(now, from, incarnation, &state);
        }
        let actions = fronts[sender].handle(now, GossipInput::Round);
        queue.extend(sent_messages(from, actions, &mut round));
    }
    while let Some(InFlight { from, to, message }) = queue.pop() {
        if cut.contains(&Link { from, to }) {
            continue;
        }
        if from.index() == 0 {
            round.entries += message
                .deltas
                .iter()
                .map(|delta| delta.entries.len())
                .sum::<usize>();
        }
        let incarnation = fronts[from.index()].incarnation;
        let actions = fronts[to.index()].handle(
            now,
            GossipInput::Received {
                from,
                incarnation,
                message,
            },
        );
        queue.extend(sent_messages(to, actions, &mut round));
    }
    round
}

/// Runs the rounds with these numbers, at multiples of [`ROUND_INTERVAL`]. Returns the totals.
fn rounds(fronts: &mut [Front], numbers: std::ops::Range<Nanos>, cut: &[Link]) -> Round {
    let mut total = Round::default();
    for number in numbers {
        let round = round(fronts, number * ROUND_INTERVAL, cut);
        total.dropped += round.dropped;
        total.entries += round.entries;
    }
    total
}

/// Returns the messages that a front's actions send, and counts discarded replicas.
fn sent_messages(from: PeerId, actions: Vec<GossipAction>, round: &mut Round) -> Vec<InFlight> {
    let mut sent = Vec::new();
    for action in actions {
        match action {
            GossipAction::Send { to, message } => sent.push(InFlight { from, to, message }),
            GossipAction::Dropped(_) => round.dropped += 1,
            GossipAction::Changed(..) | GossipAction::Rejected(_) => {}
        }
    }
    sent
}

#[test]
fn entry_is_replicated_with_its_age_and_replaced_and_deleted() {
    let mut fronts = three_fronts();
    fronts[0].put(0, KEY, Some(b"one")).expect("it fits");
    rounds(&mut fronts, 0..4, &[]);
    assert_eq!(
        fronts[2].value(1_000 * MS, PeerId(0)),
        Some(b"one".to_vec())
    );
    fronts[0].put(800 * MS, KEY, Some(b"two")).expect("it fits");
    round(&mut fronts, 900 * MS, &[]);
    // It was written 100 ms ago. The limit of its transit time is the time since the echoed message
    // was sent: 0 or 300 ms.
    let (value, age) = fronts[1]
        .get(900 * MS, PeerId(0))
        .expect("it was replicated");
    assert_eq!(value, b"two");
    assert!([100, 400].contains(&age), "{age}");
    fronts[0]
        .put(1_000 * MS, KEY, None)
        .expect("it can be deleted");
    round(&mut fronts, 1_100 * MS, &[]);
    assert_eq!(fronts[1].get(1_100 * MS, PeerId(0)), None);
    // No entry is sent once all peers have acknowledged it.
    round(&mut fronts, 1_300 * MS, &[]);
    assert_eq!(round(&mut fronts, 1_500 * MS, &[]).entries, 0);
}

#[test]
fn entry_is_relayed_around_a_broken_link() {
    let mut fronts = three_fronts();
    fronts[0].put(0, KEY, Some(b"one")).expect("it fits");
    rounds(&mut fronts, 0..4, &[FROM_0_TO_2]);
    let (value, age) = fronts[2]
        .get(600 * MS, PeerId(0))
        .expect("it was replicated");
    assert_eq!(value, b"one");
    assert!(
        (600..=1_200).contains(&age),
        "over two links, and not less than its true age: {age}"
    );
}

#[test]
fn entries_of_an_earlier_incarnation_are_discarded_even_without_a_direct_link() {
    let mut fronts = three_fronts();
    fronts[0].put(0, KEY, Some(b"old")).expect("it fits");
    rounds(&mut fronts, 0..4, &[]);
    // Front 0 restarts, and front 2 no longer receives its messages.
    let cut = [FROM_0_TO_2];
    fronts[0] = Front::new(PeerId(0), Incarnation(200), 4_000 * MS);
    rounds(&mut fronts, 15..40, &cut);
    fronts[0]
        .put(8_000 * MS, KEY, Some(b"new"))
        .expect("it fits");
    let dropped = rounds(&mut fronts, 40..60, &cut).dropped;
    assert_eq!(dropped, 1, "only the old entry at front 2");
    assert_eq!(
        fronts[1].value(12_000 * MS, PeerId(0)),
        Some(b"new".to_vec())
    );
    assert_eq!(
        fronts[2].value(12_000 * MS, PeerId(0)),
        Some(b"new".to_vec())
    );
}

#[test]
fn writes_beyond_the_limits_are_rejected() {
    let mut front = Front::new(PeerId(0), Incarnation(100), 0);
    let too_long = vec![0; MAX_VALUE_BYTES + 1];
    assert_eq!(front.put(0, KEY, Some(&too_long)), Err(EntryError::TooLong));
    for id in 0..MAX_ENTRIES as u64 {
        front
            .put(0, EntryKey { kind: 2, id }, Some(b"x"))
            .expect("it fits");
    }
    assert_eq!(front.put(0, KEY, Some(b"x")), Err(EntryError::TooMany));
    assert_eq!(
        front.put(0, KEY, None),
        Ok(()),
        "deleting an unknown key does not need an entry"
    );
}

/// Returns the echo of a message that an incarnation of front 0 sent at 400 ms.
fn echo(incarnation: u64) -> Echo {
    Echo {
        incarnation: Incarnation(incarnation),
        sent_at: 400 * MS,
    }
}

fn entry(version: u64, value: &[u8]) -> GossipEntry {
    GossipEntry {
        key: KEY,
        version,
        age_ms: 0,
        value: Some(value.to_vec()),
    }
}

fn delta(
    origin: PeerId,
    incarnation: Incarnation,
    after: u64,
    to: u64,
    entries: Vec<GossipEntry>,
) -> Delta {
    Delta {
        origin,
        incarnation,
        after,
        to,
        entries,
    }
}

/// Returns deltas that break a rule, each with the error it is rejected with.
fn broken_deltas() -> Vec<(Delta, GossipError)> {
    let too_long = vec![0; MAX_VALUE_BYTES + 1];
    vec![
        (
            delta(PeerId(1), Incarnation(101), 0, 1, vec![entry(1, &too_long)]),
            GossipError::OutOfBounds,
        ),
        (
            delta(
                PeerId(1),
                Incarnation(101),
                0,
                2,
                vec![entry(2, b"b"), entry(1, b"a")],
            ),
            GossipError::OutOfBounds,
        ),
        (
            delta(PeerId(1), Incarnation(101), 0, 1, vec![entry(9, b"a")]),
            GossipError::OutOfBounds,
        ),
        (
            delta(PeerId(1), Incarnation(101), 5, 6, vec![entry(6, b"a")]),
            GossipError::MissingVersions,
        ),
        (
            delta(PeerId(1), Incarnation(999), 0, 1, vec![entry(1, b"a")]),
            GossipError::StaleIncarnation,
        ),
        (
            delta(PeerId(0), Incarnation(100), 0, 1, vec![entry(1, b"a")]),
            GossipError::UnknownOrigin,
        ),
        (
            delta(PeerId(9), Incarnation(100), 0, 1, vec![entry(1, b"a")]),
            GossipError::UnknownOrigin,
        ),
    ]
}

#[test]
fn deltas_that_break_a_rule_are_rejected_with_the_cause() {
    let mut fronts = three_fronts();
    rounds(&mut fronts, 0..3, &[]);
    for id in 0..MAX_ENTRIES as u64 {
        fronts[0]
            .put(0, EntryKey { kind: 2, id }, Some(b"x"))
            .expect("it fits");
    }
    let nothing_known = KnownVersion {
        origin: PeerId(1),
        incarnation: Incarnation(101),
        version: 0,
    };
    for (delta, cause) in broken_deltas() {
        let message = GossipMessage {
            echo: Some(echo(100)),
            deltas: vec![delta],
            ..GossipMessage::default()
        };
        let input = GossipInput::Received {
            from: PeerId(1),
            incarnation: Incarnation(101),
            message,
        };
        assert_eq!(
            fronts[0].handle(500 * MS, input),
            vec![GossipAction::Rejected(cause)]
        );
        assert_eq!(fronts[0].store.known(PeerId(1)), Some(nothing_known));
    }
}

#[test]
fn message_of_an_incarnation_that_is_not_accepted_is_rejected() {
    let mut fronts = three_fronts();
    rounds(&mut fronts, 0..3, &[]);
    let input = GossipInput::Received {
        from: PeerId(1),
        incarnation: Incarnation(77),
        message: GossipMessage::default(),
    };
    assert_eq!(
        fronts[0].handle(500 * MS, input),
        vec![GossipAction::Rejected(GossipError::StaleIncarnation)]
    );
}

#[test]
fn sent_bytes_stay_within_the_rate() {
    let mut fronts = three_fronts();
    rounds(&mut fronts, 0..3, &[]);
    for id in 0..600 {
        fronts[0]
            .put(600 * MS, EntryKey { kind: 1, id }, Some(&[7; 100]))
            .expect("it fits");
    }
    // 600 entries of 100 bytes are sent to two fronts, at 20,000 bytes per second in total.
    let sent = rounds(&mut fronts, 3..13, &[]).entries;
    assert!(
        (300..=500).contains(&sent),
        "{sent} entries in 2 s, with a full budget at the start"
    );
    rounds(&mut fronts, 13..80, &[]);
    assert!(fronts[1..]
        .iter()
        .all(|front| front.get(0, PeerId(0)).is_some()));
    assert_eq!(fronts[2].store.all(0, 1).count(), 600);
}

#[test]
fn age_of_a_delayed_entry_includes_its_transit_time() {
    let mut fronts = three_fronts();
    rounds(&mut fronts, 0..4, &[]);
    let late = GossipEntry {
        age_ms: 50,
        ..entry(1, b"late")
    };
    let late = delta(PeerId(1), Incarnation(101), 0, 1, vec![late]);
    let received = |echo| {
        let message = GossipMessage {
            echo,
            deltas: vec![late.clone()],
            ..GossipMessage::default()
        };
        GossipInput::Received {
            from: PeerId(1),
            incarnation: Incarnation(101),
            message,
        }
    };
    // Without an echo of this incarnation, the transit time has no upper limit.
    for echo in [None, Some(echo(99))] {
        let actions = fronts[0].handle(2_000 * MS, received(echo));
        assert_eq!(actions, vec![GossipAction::Rejected(GossipError::NoEcho)]);
    }
    fronts[0].handle(2_000 * MS, received(Some(echo(100))));
    assert_eq!(
        fronts[0].get(2_000 * MS, PeerId(1)),
        Some((b"late".to_vec(), 1_650))
    );
}

#[test]
fn lowered_rate_limits_the_bytes_sent_from_then_on() {
    let mut fronts = three_fronts();
    rounds(&mut fronts, 0..3, &[]);
    fronts[0].store.set_rate(1_000);
    for id in 0..100 {
        fronts[0]
            .put(600 * MS, EntryKey { kind: 1, id }, Some(&[7; 100]))
            .expect("it fits");
    }
    // 1,000 bytes per second for 2 s, and as many in the budget at the start. An entry counts as
    // 124 bytes.
    let sent = rounds(&mut fronts, 3..13, &[]).entries;
    assert!((10..=25).contains(&sent), "{sent} entries");
}
