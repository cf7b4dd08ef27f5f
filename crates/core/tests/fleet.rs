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
    set.cold_units = 6.0;
    set.cold_from = 0.2;
    let mut random = fastrand::Rng::with_seed(11);
    let mut rigs: Vec<Rig> = (0..COUNT as u64).map(|seed| Rig::seeded(set.clone(), NODES, seed)).collect();
    let (mut next, mut out, mut span) =
        (0, VecDeque::<(Nanos, usize, ReqId, NodeId)>::new(), VecDeque::new());
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
                places(&rigs[who].end(id, 0, at, Outcome::Done, 20 * MS)).into_iter().map(|p| (who, p)),
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
                let new = NodeInfo { node: NODES, zone: 0, cell: 0, listed: Listed::Up, came_up: up };
                let nodes = vec![node(0, Listed::Removed, 0), new];
                let told = rig.event(Event::Fleet { scope: Scope::Update, nodes });
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
        span.retain(|t| *t > now - set.fall);
        if now >= up {
            let age = (now - up) as f64 / set.cold as f64;
            let bears = set.tip_multiple * (0.2 + 0.8 * age) * 80.0;
            assert!(
                span.len() as f64 * 2.0 <= bears,
                "rule 4: {} requests, {bears} units are borne",
                span.len()
            );
        }
    }
    // 320 units were asked for, of 310 that it could do by the least it warms.
    assert!(units > 50.0, "only {units} units to a node that could do 310 while cold");
}
