//! Nodes that all initiators hold out, as one of them is told, beside what it saw itself.

mod common;

use std::collections::HashMap;

use common::*;
use tulipbridge_core::*;

const ONCE: usize = 2;

/// Where requests of a class for a cell, or new objects, go within two seconds, one every 10 ms; each is answered at
/// once as `outcome` says.
fn sent(
    rig: &mut Rig,
    class: usize,
    cell: Option<CellId>,
    outcome: impl Fn(NodeId) -> Outcome,
) -> Vec<NodeId> {
    let first = rig.now as RequestId;
    let (mut nodes, mut tries) = (Vec::new(), HashMap::new());
    for step in 0..200 {
        let mut due = places(&rig.ask(request(first + step, class, cell)));
        due.extend(places(&rig.pass(10 * MS)));
        while let Some((id, node)) = due.pop() {
            nodes.push(node);
            let attempt: &mut u32 = tries.entry(id).or_default();
            due.extend(places(&rig.end(id, *attempt, node, outcome(node), 2 * MS)));
            *attempt += 1;
        }
    }
    nodes
}

fn done(_: NodeId) -> Outcome {
    Outcome::Served
}

fn out(rig: &mut Rig, node: NodeId, out: ClassSet) {
    rig.event(Event::FleetUpdate(FleetUpdate::Ejection { node, classes: out }));
}

fn rig(nodes: usize) -> Rig {
    let mut rig = Rig::new(settings(), nodes);
    (0..nodes).for_each(|n| rig.warm(10 * n as RequestId, 4, n, 2 * MS));
    rig
}

/// Two nodes that hold one cell, and one that holds another.
fn pair() -> Rig {
    let mut rig = rig(3);
    let mut second = node(1, Listed::Up, 0);
    second.cell = 0;
    rig.event(Event::Endpoints { scope: UpdateScope::Update, nodes: vec![second] });
    rig
}

#[test]
fn a_node_that_is_out_gets_no_new_objects_and_what_it_alone_holds() {
    let mut rig = rig(3);
    assert!(sent(&mut rig, ONCE, None, done).contains(&1));
    out(&mut rig, 1, ClassSet::ALL);
    assert!(!sent(&mut rig, ONCE, None, done).contains(&1));
    assert_eq!(rig.scheduler.census(), (3, 1));
    let reads = sent(&mut rig, ONCE, Some(1), |_| Outcome::Error);
    assert!(reads.len() > 100 && reads.iter().all(|n| *n == 1), "the last holder: {}", reads.len());
}

#[test]
fn what_another_holds_as_well_goes_there() {
    let mut rig = pair();
    assert!(sent(&mut rig, 0, Some(0), done).iter().all(|n| *n == 0), "the first of two");
    out(&mut rig, 0, ClassSet::ALL);
    let there = sent(&mut rig, 0, Some(0), done);
    assert!(there.len() > 100 && there.iter().all(|n| *n == 1), "{there:?}");
    // Both out: each by the front's own view, as without verdicts.
    out(&mut rig, 1, ClassSet::ALL);
    assert!(sent(&mut rig, 0, Some(0), done).len() > 100);
}

#[test]
fn a_class_alone_may_be_out() {
    let mut rig = rig(2);
    out(&mut rig, 0, ClassSet::NONE.with(ONCE));
    assert!(sent(&mut rig, 0, None, done).contains(&0));
    assert!(!sent(&mut rig, ONCE, None, done).contains(&0));
    assert_eq!(rig.scheduler.census(), (2, 0), "it is not out for all");
}

#[test]
fn all_out_is_as_none_out_for_new_objects() {
    let mut rig = rig(2);
    (0..2).for_each(|n| out(&mut rig, n, ClassSet::ALL));
    assert!(sent(&mut rig, ONCE, None, |_| Outcome::Error).len() > 100);
}

#[test]
fn own_answers_in_time_end_a_verdict_here_and_a_bad_one_brings_it_back() {
    let mut rig = rig(2);
    out(&mut rig, 0, ClassSet::ALL);
    // Reads of what it alone holds are answered well.
    sent(&mut rig, 0, Some(0), done);
    assert!(sent(&mut rig, ONCE, None, done).contains(&0), "own evidence is the fresher one");
    sent(&mut rig, 0, Some(0), |_| Outcome::TimedOut);
    assert!(!sent(&mut rig, ONCE, None, done).contains(&0), "and it goes the other way");
}

#[test]
fn a_trial_is_one_request_that_may_run_again_within_its_time() {
    let mut rig = pair();
    out(&mut rig, 0, ClassSet::ALL);
    let until = rig.now + 500 * MS;
    rig.event(Event::FleetUpdate(FleetUpdate::Probe { node: 0, until }));
    // Work that may run once only is none, and does not use the trial up.
    let once = rig.ask(request(9_000, ONCE, Some(0)));
    assert_eq!(places(&once), [(9_000, 1)]);
    rig.end(9_000, 0, 1, Outcome::Served, 2 * MS);
    let first = rig.ask(request(9_001, 0, Some(0)));
    assert_eq!(places(&first), [(9_001, 0)]);
    rig.end(9_001, 0, 0, Outcome::Error, 2 * MS);
    assert!(!sent(&mut rig, 0, Some(0), done).contains(&0), "one alone");
    let until = rig.now;
    rig.event(Event::FleetUpdate(FleetUpdate::Probe { node: 0, until }));
    assert!(!sent(&mut rig, 0, Some(0), done).contains(&0), "its time was over");
    // A new object that may be put again does as well.
    let until = rig.now + 500 * MS;
    rig.event(Event::FleetUpdate(FleetUpdate::Probe { node: 0, until }));
    assert_eq!(places(&rig.ask(request(9_002, 0, None))), [(9_002, 0)]);
}

#[test]
fn a_node_that_comes_back_is_met_as_one_that_starts() {
    let mut rig = rig(2);
    rig.event(Event::FleetUpdate(FleetUpdate::SharedLimit {
        limit: SharedLimit::WarmingUpNode,
        rate: 4.0,
        burst: 4.0,
        at: rig.now,
    }));
    out(&mut rig, 0, ClassSet::ALL);
    sent(&mut rig, ONCE, None, done);
    out(&mut rig, 0, ClassSet::NONE);
    let units = 2 * sent(&mut rig, 0, Some(0), done).len();
    // 4 in store and 4 a second for 2 s, a little more as it grows.
    assert!((8..=16).contains(&units), "{units}");
    sent(&mut rig, 0, None, done);
    sent(&mut rig, 0, None, done);
    assert!(sent(&mut rig, 0, Some(0), done).len() > 150, "the ramp is over");
}
