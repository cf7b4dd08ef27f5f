//! One cold node and many initiators: the sum of what they send it stays under what it bears and chance, also where
//! all have saved up for it and a burst comes. Virtual time, ten seeds, a plain model of a node.

mod common;

use std::collections::VecDeque;

use common::*;
use tulipbridge_core::*;

/// Units a second that a warm node does.
const FULL: f64 = 80.0;
const NODES: usize = 12;

fn site(initiators: usize) -> Settings {
    let mut set = settings();
    set.initiators = initiators as u32;
    (set.warmup_floor, set.warmup_duration, set.overload_span, set.tip_multiple) = (0.18, 17 * S, 2 * S, 2.0);
    set.mean_units = 2.0;
    // What the site states as borne in any case: the least, by its slowest machines.
    set.warmup_units = 11.0;
    set
}

/// Requests of mean work that a node of this age bears in the span of the rule.
fn bears(set: &Settings, age: Nanos) -> f64 {
    let warmth =
        set.warmup_floor + (1.0 - set.warmup_floor) * (age as f64 / set.warmup_duration as f64).min(1.0);
    set.tip_multiple * warmth * FULL * set.overload_span as f64 / 1e9 / set.mean_units
}

/// Of one seed: the largest sum in a span as a part of what is borne with chance, and the requests that the node got
/// in its first ten seconds.
fn play(initiators: usize, seed: u64) -> (f64, usize) {
    let set = site(initiators);
    let mut random = fastrand::Rng::with_seed(seed);
    let seeds = (0..initiators as u64).map(|i| seed * 1000 + i);
    let mut rigs: Vec<Rig> = seeds.map(|s| Rig::seeded(set.clone(), NODES, s)).collect();
    let mut out = VecDeque::<(Nanos, Nanos, usize, RequestId, NodeId)>::new();
    let mut span = VecDeque::new();
    let (mut next, mut most, mut got, mut owed) = (0, 0.0, 0, 0.0);
    // The cold node serves in turn: when it will have done what it has.
    let mut done = 0;
    let up = 110 * S;
    while rigs[0].now < up + 10 * S {
        let now = rigs[0].now + 10 * MS;
        rigs.iter_mut().for_each(|r| r.now = now);
        let mut sent = Vec::new();
        while out.front().is_some_and(|(t, ..)| *t <= now) {
            let Some((_, since, who, id, at)) = out.pop_front() else { break };
            let ended = rigs[who].end(id, 0, at, Outcome::Served, now - since);
            sent.extend(places(&ended).into_iter().map(|p| (who, p)));
        }
        // A warm node is asked for half of what it can do; four seconds after the start five times as much comes
        // at once.
        let burst = (up + 4 * S..up + 6 * S).contains(&now);
        owed += 0.01 * NODES as f64 * FULL / set.mean_units * if burst { 2.5 } else { 0.5 };
        while owed >= 1.0 {
            owed -= 1.0;
            let (who, cell) = (random.usize(0..initiators), random.usize(0..NODES) as CellId);
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
            let mut answered = now + 20 * MS;
            if at == NODES {
                got += 1;
                span.push_back(now);
                let rate = bears(&set, now - up) / set.tip_multiple / set.overload_span as f64;
                done = done.max(now) + (1.0 / rate) as Nanos;
                answered = answered.max(done);
            }
            let place = out.partition_point(|(t, ..)| *t <= answered);
            out.insert(place, (answered, now, who, id, at));
        }
        span.retain(|t| *t > now - set.overload_span);
        if now > up {
            let borne = bears(&set, now - up);
            most = f64::max(most, span.len() as f64 / (borne + 2.0 * borne.sqrt() + 2.0));
        }
    }
    (most, got)
}

#[test]
fn a_burst_on_many_initiators_pushes_no_cold_node_over() {
    for initiators in [3, 20, 30] {
        let mut peaks: Vec<(f64, usize)> = (1..=10).map(|seed| play(initiators, seed)).collect();
        peaks.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (median, worst) = (peaks[5].0, peaks[9].0);
        let got = peaks.iter().map(|p| p.1).min().unwrap_or(0);
        println!(
            "{initiators} initiators: median {median:.2}, worst {worst:.2} of what is borne; {got} requests"
        );
        assert!(worst <= 1.0, "{initiators} initiators: {worst:.2} of what a cold node bears");
        assert!(
            got > 100,
            "{initiators} initiators: only {got} requests to a node that could do 200 in that time"
        );
    }
}
