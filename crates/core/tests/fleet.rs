//! What a hundred initiators do together: each is harmless alone, the sum is what a node or discovery meets.
//! Virtual time, fixed seeds, a plain model of a node.

mod common;

use std::collections::VecDeque;

use common::*;
use tulipbridge_core::*;

const COUNT: usize = 100;
const NODES: usize = 40;

/// A node of forty is replaced. Each of a hundred initiators has met the old one twice in ten seconds, too seldom
/// to learn what it served there. The new one gets work from the start all the same, and in no span more than it
/// bears.
#[test]
fn a_hundred_initiators_that_hardly_met_a_node_use_its_cold_replacement() {
    let mut set = settings();
    set.initiators = COUNT as u32;
    set.warmup_units = 6.0;
    set.warmup_floor = 0.2;
    let mut random = fastrand::Rng::with_seed(11);
    let mut rigs: Vec<Rig> = (0..COUNT as u64).map(|seed| Rig::seeded(set.clone(), NODES, seed)).collect();
    let (mut next, mut out, mut span) =
        (0, VecDeque::<(Nanos, usize, RequestId, NodeId)>::new(), VecDeque::new());
    let (up, end) = (110 * S, 118 * S);
    let mut units = 0.0;
    // 20 requests of 2 units a second for each node, which can do 80 units a second when warm.
    while rigs[0].now < end {
        let now = rigs[0].now + 10 * MS;
        rigs.iter_mut().for_each(|r| r.now = now);
        let mut sent = Vec::new();
        while out.front().is_some_and(|(t, ..)| *t <= now) {
            let Some((_, who, id, at)) = out.pop_front() else { break };
            sent.extend(
                places(&rigs[who].end(id, 0, at, Outcome::Served, 20 * MS)).into_iter().map(|p| (who, p)),
            );
        }
        for _ in 0..8 {
            let who = random.usize(0..COUNT);
            let cell = random.usize(0..NODES) as CellId;
            sent.extend(places(&rigs[who].ask(request(next, 0, Some(cell)))).into_iter().map(|p| (who, p)));
            next += 1;
        }
        for (who, rig) in rigs.iter_mut().enumerate() {
            if now == up {
                let new = NodeInfo { node: NODES, zone: 0, cell: 0, listed: Listed::Up, started_at: up };
                let nodes = vec![node(0, Listed::Removed, 0), new];
                let told = rig.event(Event::Endpoints { scope: UpdateScope::Update, nodes });
                sent.extend(places(&told).into_iter().map(|p| (who, p)));
            }
            sent.extend(places(&rig.event(Event::Timer(1))).into_iter().map(|p| (who, p)));
        }
        for (who, (id, at)) in sent {
            out.push_back((now + 20 * MS, who, id, at));
            if at == NODES {
                units += 2.0;
                span.push_back(now);
            }
        }
        span.retain(|t| *t > now - set.overload_span);
        if now >= up {
            let age = (now - up) as f64 / set.warmup_duration as f64;
            let bears = set.tip_multiple * (0.2 + 0.8 * age) * 80.0;
            assert!(
                span.len() as f64 * 2.0 <= bears,
                "rule 4: {} requests, {bears} units are borne",
                span.len()
            );
        }
    }
    // 320 units were asked for, of 310 that it could do by the least it warms.
    assert!(units > 100.0, "only {units} units to a node that could do 310 while cold");
}

/// All of a hundred initiators start at one moment while discovery fails every call after 2 s. It takes calls in
/// turn, so what counts is how many come together, and that they become fewer while none succeeds. None stays
/// without a call for as long as makes a list count as told.
#[test]
fn a_hundred_starts_and_failed_calls_do_not_meet_at_discovery() {
    let mut set = settings();
    set.initiators = COUNT as u32;
    let began = 100 * S;
    let (mut rigs, mut calls, mut fails) = (Vec::new(), Vec::new(), vec![None; COUNT]);
    for (who, fail) in fails.iter_mut().enumerate() {
        let scheduler = Scheduler::new(set.clone(), who as u64, began).expect("settings hold");
        let mut rig = Rig { scheduler, now: began };
        let nodes = (0..4).map(|n| node(n, Listed::Up, 0)).collect();
        if rig.event(Event::Endpoints { scope: UpdateScope::Restored, nodes }).contains(&Action::Subscribe) {
            calls.push(began);
            *fail = Some(began + 2 * S);
        }
        rigs.push(rig);
    }
    let mut last = vec![began; COUNT];
    for step in 0..3000 {
        let now = began + step * 10 * MS;
        for (who, rig) in rigs.iter_mut().enumerate() {
            rig.now = now;
            if fails[who].is_some_and(|t| t <= now) {
                fails[who] = None;
                last[who] = now;
                rig.event(Event::Endpoints { scope: UpdateScope::Unavailable, nodes: Vec::new() });
            }
            if rig.event(Event::Timer(1)).contains(&Action::Subscribe) {
                calls.push(now);
                fails[who] = Some(now + 2 * S);
            }
            assert!(now - last[who] < set.poll_interval, "initiator {who} has not asked for too long");
        }
    }
    let within = |span: Nanos, from: Nanos| {
        let most = calls.iter().filter(|t| **t >= from);
        most.map(|t| calls.iter().filter(|c| **c >= *t && **c < *t + span).count()).max().unwrap_or(0)
    };
    assert!(within(100 * MS, began) <= 12, "{} calls in 100 ms", within(100 * MS, began));
    assert!(within(S, began + 10 * S) <= 30, "{} calls in a second", within(S, began + 10 * S));
    assert!(calls.len() > 3 * COUNT, "they go on asking");
}

/// An initiator that has just seen many attempts come to nothing, at nodes 1 and 2 of five.
fn crowded() -> Rig {
    let mut set = settings();
    set.classes.iter_mut().for_each(|c| c.late_value = 0.1);
    let mut rig = Rig::new(set, 5);
    rig.warm(0, 8, 0, 20 * MS);
    for (id, at) in [(100, 1), (101, 2), (102, 1)] {
        if !places(&rig.ask(request(id, 0, Some(at)))).is_empty() {
            rig.end(id, 0, at as NodeId, Outcome::Rejected, MS);
        }
    }
    // Far more is asked of one of them than it may be sent.
    let asks: Vec<Vec<Action>> = (110..150).map(|id| rig.ask(request(id, 0, Some(1)))).collect();
    let turned = (110..150).zip(&asks).filter(|(id, a)| refused(a, *id)).count();
    assert!(turned >= 10, "the crowd is turned away: {turned}");
    rig
}

fn patience(actions: &[Action]) -> Option<Nanos> {
    actions.iter().find_map(|a| match a {
        Action::Send { timeout: patience, .. } => Some(*patience),
        _ => None,
    })
}

/// Where much is late, a read does not wait past its aim in a node's queue, in front of others: its place is worth
/// more. A write is left alone, lest it be in doubt; and where all goes well nobody is hurried.
#[test]
fn in_a_crowd_reads_end_at_their_aim_and_writes_do_not() {
    let mut rig = crowded();
    let mut calm = Rig::new(settings(), 3);
    assert_eq!(patience(&calm.ask(request(1, 0, Some(0)))), Some(0), "a calm day");
    let read = rig.ask(request(300, 0, Some(0)));
    assert_eq!(patience(&read), Some(200 * MS), "the aim of a read");
    rig.now += 200 * MS;
    let ended = rig.event(ended(300, 0, 0, Outcome::TimedOut, 200 * MS, false));
    assert!(refused(&ended, 300) && places(&ended).is_empty(), "its answer goes out at once: {ended:?}");
    let write = rig.ask(request(301, 2, Some(0)));
    assert!(patience(&write).is_none_or(|p| p == 0), "a write waits: {write:?}");
}

/// A new object whose node refused the connection has run nowhere and goes to another node, also in a crowd:
/// a list that names nodes which have gone must not cost the writes that any other node could take.
#[test]
fn a_refused_new_object_goes_elsewhere_in_a_crowd() {
    let mut rig = crowded();
    let first = places(&rig.ask(request(500, 2, None)));
    let (id, at) = first[0];
    let mut sent = rig.end(id, 0, at, Outcome::NotExecuted, MS);
    sent.extend(rig.pass(100 * MS));
    let again = places(&sent);
    assert!(!refused(&sent, id), "it was refused: {sent:?}");
    assert!(again.iter().any(|(r, to)| *r == id && *to != at), "it went elsewhere: {again:?}");
}

/// New objects may go anywhere. A hundred initiators that each send a few a second keep to nodes that they have
/// heard of lately, each to its own, so that a connection is used again and a slow node shows; together they use
/// all nodes, and leave the slow one out.
#[test]
fn new_objects_keep_to_nodes_heard_of_lately_and_leave_a_slow_one_out() {
    let mut set = settings();
    set.initiators = COUNT as u32;
    let mut random = fastrand::Rng::with_seed(3);
    let mut rigs: Vec<Rig> = (0..COUNT as u64).map(|seed| Rig::seeded(set.clone(), NODES, seed)).collect();
    let began = rigs[0].now;
    let mut out: Vec<(Nanos, usize, RequestId, NodeId, Nanos)> = Vec::new();
    let (mut late, mut users) = (vec![0; NODES], vec![std::collections::BTreeSet::new(); NODES]);
    for step in 0..2000 {
        let now = began + step * 10 * MS;
        rigs.iter_mut().for_each(|r| r.now = now);
        let mut sent = Vec::new();
        let (due, still): (Vec<_>, Vec<_>) = out.into_iter().partition(|o| o.0 <= now);
        out = still;
        for (_, who, id, at, at_first) in due {
            sent.extend(
                places(&rigs[who].end(id, 0, at, Outcome::Served, now - at_first))
                    .into_iter()
                    .map(|p| (who, p)),
            );
        }
        for id in [3 * step as RequestId, 3 * step as RequestId + 1, 3 * step as RequestId + 2] {
            let who = random.usize(0..COUNT);
            sent.extend(places(&rigs[who].ask(request(id, 2, None))).into_iter().map(|p| (who, p)));
        }
        for (who, (id, at)) in sent {
            // Node 0 is ten times slower than the others.
            out.push((now + if at == 0 { 190 * MS } else { 20 * MS }, who, id, at, now));
            users[at].insert(who);
            late[at] += usize::from(step >= 1000);
        }
    }
    let pairs: usize = users.iter().map(std::collections::BTreeSet::len).sum();
    assert!(pairs < 2200, "{pairs} pairs of an initiator and a node have met, each a connection");
    assert!(users.iter().all(|u| u.len() >= 10), "every node is used by some");
    let mean = late[1..].iter().sum::<usize>() / (NODES - 1);
    assert!(late[0] * 4 < mean, "the slow node got {} in the last 10 s, the others {mean}", late[0]);
}
