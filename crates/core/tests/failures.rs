//! One test for each failure found, and for each part of the mechanism. No bench is needed.

mod common;

use common::*;
use tulipbridge_core::*;

#[test]
fn a_try_shorter_than_a_tick_is_answered_at_once() {
    let mut rig = Rig::new(settings(), 0);
    let mut short = request(1, 0, Some(0));
    short.patience = 3 * MS;
    assert!(refused(&rig.ask(short), 1));
}

#[test]
fn what_is_out_at_the_deadline_is_answered_before_it() {
    let mut rig = Rig::new(settings(), 2);
    for (id, class) in [(1, 0), (2, 1)] {
        assert_eq!(places(&rig.ask(request(id, class, Some(id as CellId - 1)))).len(), 1);
    }
    let done = rig.pass(S - MS);
    assert!(refused(&done, 1), "safe to repeat: refused");
    assert!(failed(&done, 2), "keyed and perhaps run: failed, never refused");
    assert!(!refused(&done, 2));
}

#[test]
fn the_draw_follows_the_weights() {
    let mut set = settings();
    set.retry_budget = None;
    let mut rig = Rig::new(set, 2);
    // Node 0 errs once a period: its weight halves again and again. Node 1 stays at base.
    let mut hits = [0u32; 2];
    for id in 0..400 {
        let sent = places(&rig.ask(request(id, 2, None)));
        let at = sent[0].1;
        hits[at] += 1;
        rig.now += 20 * MS;
        rig.end(id, 0, at, if at == 0 { Outcome::Error } else { Outcome::Served }, 20 * MS);
    }
    assert!(hits[0] > 0, "an erring node is still tried");
    assert!(hits[0] * 5 < hits[1], "drawn {hits:?}");
}

#[test]
fn an_even_draw_at_first() {
    let mut rig = Rig::new(settings(), 4);
    let mut hits = [0u32; 4];
    for id in 0..400 {
        let at = places(&rig.ask(request(id, 0, None)))[0].1;
        hits[at] += 1;
        rig.now += 20 * MS;
        rig.end(id, 0, at, Outcome::Served, 20 * MS);
    }
    assert!(hits.iter().all(|h| (60..=140).contains(h)), "drawn {hits:?}");
}

#[test]
fn costly_requests_are_no_congestion() {
    let mut rig = Rig::new(settings(), 2);
    rig.warm(0, 40, 0, 20 * MS);
    rig.warm(100, 40, 1, 20 * MS);
    // Node 0 gets four times the size and takes four times as long: it must keep its part of the draw.
    for id in 200..220 {
        let mut big = request(id, 0, Some(0));
        big.units = 8.0;
        assert_eq!(places(&rig.ask(big)).len(), 1);
        rig.now += 80 * MS;
        rig.end(id, 0, 0, Outcome::Served, 80 * MS);
    }
    let mut hits = [0u32; 2];
    for id in 300..500 {
        let at = places(&rig.ask(request(id, 0, None)))[0].1;
        hits[at] += 1;
        rig.now += 20 * MS;
        rig.end(id, 0, at, Outcome::Served, 20 * MS);
    }
    assert!(hits[0] > 60, "drawn {hits:?}");
}

#[test]
fn a_silent_node_gets_trials_only_and_comes_back() {
    let mut rig = Rig::new(settings(), 2);
    rig.warm(0, 30, 0, 20 * MS);
    rig.ask(request(50, 0, Some(0)));
    rig.ask(request(51, 0, Some(0)));
    let quiet = rig.pass(400 * MS);
    assert!(quiet.iter().any(|a| matches!(a, Action::Log { text: "node is silent", node: 0 })));
    let mut sent = 0;
    for id in 60..90 {
        sent += places(&rig.ask(request(id, 0, Some(0)))).len();
    }
    assert!(sent <= 1, "{sent} sent to a silent node at one moment");
    for id in 100..120 {
        assert_eq!(places(&rig.ask(request(id, 0, None)))[0].1, 1, "new objects avoid a silent node");
        rig.now += MS;
        rig.end(id, 0, 1, Outcome::Served, MS);
    }
    let back = rig.end(50, 0, 0, Outcome::Served, 400 * MS);
    assert!(back.iter().any(|a| matches!(a, Action::Log { text: "node answers again", node: 0 })));
    let mut again = 0;
    for id in 200..220 {
        again += places(&rig.ask(request(id, 0, Some(0)))).len() + places(&rig.pass(50 * MS)).len();
    }
    assert!(again > 0);
}

#[test]
fn the_window_bounds_a_node_and_follows_its_latency() {
    let mut set = settings();
    set.plans[0].reserve_rate = 1e6;
    let mut rig = Rig::new(set, 1);
    let flood = |rig: &mut Rig, from: RequestId| {
        (from..from + 60).map(|id| places(&rig.ask(request(id, 0, Some(0)))).len()).sum::<usize>()
    };
    let first = flood(&mut rig, 0);
    assert!((2..=8).contains(&first), "several at first, not {first}");
    let mut out: Vec<RequestId> = (0..first as u64).collect();
    let mut next = 1000;
    for _ in 0..300 {
        rig.now += 10 * MS;
        for id in std::mem::take(&mut out) {
            out.extend(places(&rig.end(id, 0, 0, Outcome::Served, 10 * MS)).iter().map(|p| p.0));
        }
        for _ in 0..40 {
            out.extend(places(&rig.ask(request(next, 0, Some(0)))).iter().map(|p| p.0));
            next += 1;
        }
    }
    assert!(out.len() > first, "widened to {}", out.len());
    assert!(out.len() <= 32, "cap: {}", out.len());
}

#[test]
fn a_leaving_node_gets_nothing_new() {
    for listed in [Listed::Draining, Listed::Removed] {
        let mut rig = Rig::new(settings(), 2);
        rig.event(Event::Endpoints { scope: UpdateScope::Update, nodes: vec![node(0, listed, 0)] });
        assert!(places(&rig.ask(request(1, 0, Some(0)))).is_empty());
        let later = rig.pass(S);
        assert!(places(&later).is_empty());
        assert!(refused(&later, 1));
        for id in 10..30 {
            assert!(places(&rig.ask(request(id, 0, None))).iter().all(|p| p.1 == 1));
        }
    }
}

#[test]
fn a_full_list_without_a_node_removes_it() {
    let mut rig = Rig::new(settings(), 2);
    rig.event(Event::Endpoints { scope: UpdateScope::Replace, nodes: vec![node(1, Listed::Up, 0)] });
    assert!(places(&rig.ask(request(1, 0, Some(0)))).is_empty());
}

#[test]
fn a_cold_node_gets_no_more_than_its_part() {
    let mut rig = Rig::new(settings(), 1);
    let up = rig.now;
    rig.event(Event::Endpoints { scope: UpdateScope::Update, nodes: vec![node(0, Listed::Up, up)] });
    let mut units = 0.0;
    for id in 0..50 {
        for (id, at) in places(&rig.ask(request(id, 0, Some(0)))) {
            units += 2.0;
            rig.now += MS;
            rig.end(id, 0, at, Outcome::Served, MS);
        }
    }
    assert!(units > 0.0 && units <= 8.0, "{units} units of 16 for two initiators");
}

#[test]
fn silence_in_a_crowd_is_no_restart() {
    // A node that answered nobody for seconds and does so again is as warm as before, unless the list says so.
    let mut rig = Rig::new(settings(), 1);
    rig.warm(0, 20, 0, 10 * MS);
    for id in 100..103 {
        rig.ask(request(id, 0, Some(0)));
        rig.end(id, 0, 0, Outcome::NotExecuted, MS);
    }
    rig.pass(2 * S);
    let mut trial = places(&rig.ask(request(200, 0, Some(0))));
    trial.extend(places(&rig.pass(900 * MS)));
    assert_eq!(trial.len(), 1, "one trial");
    rig.end(trial[0].0, 0, 0, Outcome::Served, 10 * MS);
    let mut units = 2.0;
    for id in 300..350 {
        for (id, at) in places(&rig.ask(request(id, 0, Some(0)))) {
            units += 2.0;
            rig.now += MS;
            rig.end(id, 0, at, Outcome::Served, MS);
        }
    }
    assert!(units > 50.0, "{units} units only");
}

#[test]
fn a_limit_starts_empty_and_is_kept() {
    let mut rig = Rig::new(settings(), 1);
    let mut limited = request(1, 0, Some(0));
    limited.plan = 1;
    assert!(places(&rig.ask(limited.clone())).is_empty(), "a restarted initiator cannot know what it drew");
    assert_eq!(places(&rig.pass(120 * MS)).len(), 1, "20 units a second give 2 in 0.1 s");
}

#[test]
fn order_holds_while_an_attempt_is_unsettled() {
    let mut rig = Rig::new(settings(), 2);
    let with_key = |id| Request { key: Some(9), ..request(id, 3, Some((id % 2) as CellId)) };
    assert_eq!(places(&rig.ask(with_key(1))).len(), 1);
    assert!(places(&rig.ask(with_key(2))).is_empty());
    rig.event(Event::ClientGone(1));
    assert!(places(&rig.pass(50 * MS)).is_empty(), "the first may still run");
    rig.event(ended(1, 0, 1, Outcome::TimedOut, 50 * MS, true));
    assert!(places(&rig.pass(40 * MS)).is_empty(), "the key rests");
    assert_eq!(places(&rig.pass(30 * MS)), vec![(2, 0)]);
}

#[test]
fn at_most_once_is_tried_again_only_if_it_never_ran() {
    let mut rig = Rig::new(settings(), 2);
    rig.ask(request(1, 2, Some(0)));
    assert!(failed(&rig.end(1, 0, 0, Outcome::Error, MS), 1));
    rig.ask(request(2, 2, Some(1)));
    let again = rig.end(2, 0, 1, Outcome::Rejected, MS);
    assert!(!failed(&again, 2) && !refused(&again, 2));
    let mut sent = places(&again);
    sent.extend(places(&rig.pass(100 * MS)));
    assert_eq!(sent, vec![(2, 1)]);
}

#[test]
fn further_attempts_keep_their_budget() {
    let mut rig = Rig::new(settings(), 1);
    let mut further = 0;
    for id in 0..10 {
        let mut sent = places(&rig.ask(request(id, 0, Some(0))));
        let mut attempt = 0;
        while let Some((id, at)) = sent.pop() {
            rig.now += MS;
            sent = places(&rig.end(id, attempt, at, Outcome::Error, MS));
            attempt += 1;
            further += sent.len();
        }
    }
    assert!((3..=4).contains(&further), "{further} further attempts of 3 + 15% of 10");
}

#[test]
fn clients_that_leave_early_are_not_waited_for() {
    let mut rig = Rig::new(settings(), 1);
    rig.warm(0, 30, 0, 20 * MS);
    for id in 100..120 {
        rig.ask(request(id, 0, Some(0)));
        rig.now += 60 * MS;
        rig.event(Event::ClientGone(id));
        rig.end(id, 0, 0, Outcome::Served, 60 * MS);
    }
    // The node is filled; what waits past the usual leaving time is refused long before its aim.
    for id in 200..230 {
        rig.ask(request(id, 0, Some(0)));
    }
    let done = rig.pass(100 * MS);
    assert!((200..230).any(|id| refused(&done, id)));
}

#[test]
fn clients_that_leave_at_random_moments_say_nothing_of_the_others() {
    let mut rig = Rig::new(settings(), 1);
    rig.warm(0, 30, 0, 20 * MS);
    // Two at a time, each answered well within the aim; of every five, one leaves before.
    let mut done = Vec::new();
    for id in (100..300).step_by(2) {
        for id in [id, id + 1] {
            done.extend(rig.ask(request(id, 0, Some(0))));
        }
        let after = [MS / 2, 4 * MS, 50 * MS, 2 * MS][id as usize / 5 % 4];
        let leaves = id % 5 == 0;
        if leaves {
            rig.now += after;
            rig.event(Event::ClientGone(id));
        }
        done.extend(rig.pass(60 * MS - if leaves { after } else { 0 }));
        for id in [id, id + 1] {
            done.extend(rig.end(id, 0, 0, Outcome::Served, 60 * MS));
        }
    }
    assert!(!(100..300).any(|id| refused(&done, id)), "the aim is far away");
}

#[test]
fn work_for_a_client_that_left_is_given_up_where_it_may_run_again() {
    let mut rig = Rig::new(settings(), 1);
    rig.warm(0, 3, 0, 20 * MS);
    for (id, class, spared) in [(100, 0, true), (101, 2, false)] {
        rig.ask(request(id, class, Some(0)));
        let done = rig.event(Event::ClientGone(id));
        assert_eq!(done.contains(&Action::Cancel { id, attempt: 0 }), spared);
        assert!(!rig.event(Event::ClientGone(id)).contains(&Action::Cancel { id, attempt: 0 }), "once");
    }
}

#[test]
fn a_node_that_is_gone_is_forgotten_once_nothing_is_out_to_it() {
    let mut rig = Rig::new(settings(), 1);
    rig.warm(0, 3, 0, 20 * MS);
    rig.ask(request(100, 0, Some(0)));
    rig.event(Event::Endpoints { scope: UpdateScope::Update, nodes: vec![node(0, Listed::Removed, 0)] });
    assert!(!rig.pass(5 * S / 10).contains(&Action::ForgetNode(0)), "one is out");
    rig.end(100, 0, 0, Outcome::Served, 20 * MS);
    let done = rig.pass(5 * S);
    assert_eq!(done.iter().filter(|a| **a == Action::ForgetNode(0)).count(), 1);
}

#[test]
fn a_lost_subscription_is_asked_for_again() {
    let mut rig = Rig::new(settings(), 1);
    rig.event(Event::Endpoints { scope: UpdateScope::Unavailable, nodes: vec![] });
    let asked = rig.pass(S);
    assert_eq!(asked.iter().filter(|a| **a == Action::Subscribe).count(), 1);
    for _ in 0..10 {
        rig.event(Event::Endpoints { scope: UpdateScope::Unavailable, nodes: vec![] });
        assert!(rig.pass(5 * S).contains(&Action::Subscribe), "never past the time it must ask");
    }
}

#[test]
fn settings_that_cannot_hold_are_an_error() {
    let spoil: [fn(&mut Settings); 4] = [
        |s| s.classes.clear(),
        |s| s.plans[0].limit_rate = f64::NAN,
        |s| s.mean_units = 0.0,
        |s| s.initiators = 0,
    ];
    for f in spoil {
        let mut set = settings();
        f(&mut set);
        assert!(Scheduler::new(set, 1, 0).is_err());
    }
}

#[test]
fn the_unknown_is_ignored() {
    let mut rig = Rig::new(settings(), 1);
    assert!(places(&rig.end(77, 0, 5, Outcome::Served, MS)).is_empty());
    rig.event(Event::ClientGone(77));
    rig.event(Event::ResponseStarted(77));
    assert!(refused(&rig.ask(request(1, 99, Some(0))), 1));
    assert_eq!(places(&rig.ask(request(2, 0, Some(0)))).len(), 1);
}

#[test]
fn a_warm_node_goes_on_while_its_cold_replacement_starts() {
    let mut rig = Rig::new(settings(), 1);
    let fresh = NodeInfo { node: 1, zone: 0, cell: 0, listed: Listed::Up, started_at: rig.now };
    rig.event(Event::Endpoints { scope: UpdateScope::Update, nodes: vec![fresh] });
    assert_eq!(places(&rig.ask(request(1, 0, Some(0)))), vec![(1, 0)]);
    rig.event(Event::Endpoints { scope: UpdateScope::Update, nodes: vec![node(0, Listed::Draining, 0)] });
    assert_eq!(places(&rig.ask(request(2, 0, Some(0)))), vec![(2, 1)]);
}

#[test]
fn one_halving_a_period_and_recovery_stops_at_base() {
    let mut rig = Rig::new(settings(), 2);
    rig.warm(0, 30, 0, 20 * MS);
    rig.warm(100, 30, 1, 20 * MS);
    rig.pass(2 * S);
    for id in 200..205 {
        assert_eq!(places(&rig.ask(request(id, 2, Some(0)))), vec![(id, 0)]);
        rig.end(id, 0, 0, Outcome::Error, MS);
    }
    rig.pass(20 * MS);
    // The clock stands still meanwhile, so that no period ends.
    let draws = |rig: &mut Rig, from: RequestId| {
        let mut hits = 0;
        for id in from..from + 300 {
            let at = places(&rig.ask(request(id, 0, None)))[0].1;
            hits += usize::from(at == 0);
            rig.end(id, 0, at, Outcome::Served, 20 * MS);
        }
        hits
    };
    let halved = draws(&mut rig, 1000);
    assert!((70..=130).contains(&halved), "a third of 300 at half weight, not {halved}");
    rig.pass(10 * S);
    let back = draws(&mut rig, 2000);
    assert!((120..=180).contains(&back), "half of 300 at base, not {back}");
}

#[test]
fn a_reset_now_and_then_is_no_sick_node() {
    // One answer in three is reset though the work is done: the node must go on getting new work.
    let mut rig = Rig::new(settings(), 2);
    rig.warm(0, 30, 0, 20 * MS);
    for id in 100..130 {
        assert_eq!(places(&rig.ask(request(id, 2, Some(0)))), vec![(id, 0)], "request {id} must go out");
        rig.now += 20 * MS;
        rig.end(id, 0, 0, if id % 3 == 0 { Outcome::Reset } else { Outcome::Served }, 20 * MS);
    }
}

#[test]
fn a_lost_answer_frees_its_place() {
    // At a paced node one attempt gets no answer: what comes two aims later must not wait for it.
    let mut rig = Rig::new(settings(), 1);
    rig.warm(0, 30, 0, 20 * MS);
    rig.warm(100, 12, 0, 180 * MS);
    let mut lost = request(200, 0, Some(0));
    lost.patience = 5 * S;
    assert_eq!(places(&rig.ask(lost)).len(), 1);
    rig.pass(S);
    let mut sent = places(&rig.ask(request(201, 0, Some(0))));
    sent.extend(places(&rig.pass(400 * MS)));
    assert_eq!(sent, vec![(201, 0)]);
}

#[test]
fn a_full_node_is_paced_by_all_classes() {
    // 'Busy' comes at once: it must count as crowding, not as a quick answer.
    let mut rig = Rig::new(settings(), 1);
    rig.warm(0, 30, 0, 20 * MS);
    let mut sent = 0;
    for id in 100..200 {
        for (one, at) in places(&rig.ask(request(id, 0, Some(0)))) {
            sent += usize::from(id >= 150);
            rig.end(one, 0, at, Outcome::Rejected, MS);
        }
        rig.now += 10 * MS;
    }
    assert!(sent < 25, "{sent} of 50 requests sent at once to a node known to be full");
}

#[test]
fn with_no_node_listed_requests_wait_and_are_answered_in_time() {
    let mut rig = Rig::new(settings(), 0);
    for (id, cell) in [(1, None), (2, Some(3))] {
        let done = rig.ask(request(id, 0, cell));
        assert!(places(&done).is_empty() && !refused(&done, id));
    }
    rig.event(Event::Endpoints { scope: UpdateScope::Update, nodes: vec![node(0, Listed::Up, 0)] });
    assert_eq!(places(&rig.pass(30 * MS)), vec![(1, 0)], "a new object goes to the first node there is");
    assert!(refused(&rig.pass(S), 2), "no node holds its data");
}

#[test]
fn odd_input_does_no_harm() {
    let mut rig = Rig::new(settings(), 2);
    rig.event(Event::Endpoints { scope: UpdateScope::Update, nodes: vec![] });
    let odd = [0.0, f64::NAN, f64::INFINITY, -1.0];
    for (id, units) in (10..).zip(odd) {
        rig.ask(Request { units, front_count: 0, ..request(id, 0, Some(0)) });
        rig.ask(request(id, 0, Some(0)));
    }
    rig.now -= 50 * MS;
    rig.pass(100 * MS);
    let moved = NodeInfo { cell: 1, ..node(0, Listed::Up, 0) };
    rig.event(Event::Endpoints { scope: UpdateScope::Update, nodes: vec![moved] });
    let done = rig.pass(2 * S);
    assert!((10..14).all(|id| refused(&done, id) || !places(&done).iter().any(|p| p.0 == id && p.1 > 1)));
    assert!(!places(&rig.ask(request(99, 0, Some(1)))).is_empty(), "the cell is served still");
}

#[test]
fn time_that_the_initiator_stood_still_is_no_silence() {
    let mut rig = Rig::new(settings(), 1);
    rig.warm(0, 30, 0, 20 * MS);
    rig.ask(request(50, 0, Some(0)));
    rig.pass(20 * MS);
    rig.now += 900 * MS;
    let after = rig.pass(20 * MS);
    assert!(!after.iter().any(|a| matches!(a, Action::Log { .. })), "{after:?}");
    rig.end(50, 0, 0, Outcome::Served, 20 * MS);
    assert_eq!(places(&rig.ask(request(51, 0, Some(0)))).len(), 1);
}

#[test]
fn what_is_refused_is_refused_at_once_with_a_growing_spread_wait() {
    let mut set = settings();
    set.max_retry_after = 5 * S;
    let mut rig = Rig::new(set, 3);
    let wait_of = |actions: &[Action]| match actions {
        [Action::Reject { retry_after: wait, .. }] => Some(*wait),
        _ => None,
    };
    // Nodes turn away all they are sent, so that little is sent and the rest refused.
    let mut waits = Vec::new();
    for id in 0..600 {
        let mut done = rig.ask(request(id, 0, Some((id % 3) as CellId)));
        for (id, at) in places(&done) {
            done = rig.end(id, 0, at, Outcome::Rejected, MS);
        }
        waits.extend(wait_of(&done));
        rig.pass(10 * MS);
    }
    let mean = |w: &[Nanos]| w.iter().sum::<Nanos>() / w.len() as Nanos;
    let late = &waits[waits.len() - 100..];
    assert!(mean(late) > mean(&waits[..20]), "{} and {}", mean(&waits[..20]), mean(late));
    assert!(late.iter().max() > late.iter().min(), "all come back at one moment");
}

#[test]
fn what_is_out_for_long_counts_before_its_outcome() {
    let mut set = settings();
    set.initiators = 200;
    let mut rig = Rig::new(set, 10);
    for id in 0..10 {
        assert_eq!(places(&rig.ask(request(id, 0, Some(id as CellId)))).len(), 1);
    }
    rig.pass(300 * MS);
    let at_once = (10..40).filter(|id| refused(&rig.ask(request(*id, 0, Some((id % 10) as CellId))), *id));
    let refused = at_once.count();
    assert!(refused >= 20, "{refused} of 30 refused at once while nobody answers");
}

#[test]
fn an_overtaken_attempt_is_no_sign_of_load() {
    // Every third answer is lost, later ones come: the node must go on getting all work.
    let mut set = settings();
    set.initiators = 200;
    let mut rig = Rig::new(set, 1);
    rig.warm(0, 30, 0, 20 * MS);
    for id in 100..190 {
        assert_eq!(places(&rig.ask(request(id, 0, Some(0)))).len(), 1, "request {id}");
        rig.pass(20 * MS);
        if id % 3 > 0 {
            rig.end(id, 0, 0, Outcome::Served, 20 * MS);
        }
    }
}

#[test]
fn a_full_node_is_not_back() {
    let mut rig = Rig::new(settings(), 1);
    rig.warm(0, 20, 0, 10 * MS);
    rig.ask(request(100, 0, Some(0)));
    rig.end(100, 0, 0, Outcome::NotExecuted, MS);
    let mut trials = Vec::new();
    for id in 200..220 {
        trials.extend(places(&rig.ask(request(id, 0, Some(0)))));
        trials.extend(places(&rig.pass(50 * MS)));
        for (id, at) in std::mem::take(&mut trials) {
            let done = rig.end(id, 0, at, Outcome::Rejected, MS);
            assert!(!done.iter().any(|a| matches!(a, Action::Log { text: "node answers again", .. })));
        }
    }
}

#[test]
fn trials_are_spread_over_the_initiators() {
    let trials = |initiators| {
        let mut set = settings();
        set.initiators = initiators;
        let mut rig = Rig::new(set, 1);
        let mut sent = 0;
        for id in 0..600 {
            let mut actions = rig.ask(request(id, 0, Some(0)));
            actions.extend(rig.pass(100 * MS));
            for (id, at) in places(&actions) {
                sent += 1;
                rig.end(id, 0, at, Outcome::NotExecuted, MS);
            }
        }
        sent
    };
    let (few, many) = (trials(2), trials(400));
    assert!(few > 30 && many < 20, "{few} trials a minute of one in two, {many} of one in 400");
}

#[test]
fn what_was_never_sent_is_refused_by_half_of_its_time() {
    // The second waits for its key's turn, at a node that goes on answering others.
    let mut rig = Rig::new(settings(), 1);
    let mut done = Vec::new();
    for id in [1, 2] {
        let mut ordered = request(id, 3, Some(0));
        ordered.key = Some(9);
        done.extend(rig.ask(ordered));
    }
    assert_eq!(places(&done), vec![(1, 0)]);
    for id in 10..19 {
        rig.ask(request(id, 0, Some(0)));
        rig.now += 10 * MS;
        rig.end(id, 0, 0, Outcome::Served, 10 * MS);
        let waiting = rig.pass(40 * MS);
        assert!(!refused(&waiting, 2), "there is time yet");
    }
    assert!(refused(&rig.pass(50 * MS), 2), "a refusal after half of the time leaves the client none");
}
