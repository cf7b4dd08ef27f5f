//! All decisions: here the event loop, in each submodule one kind of decision. "Design" marks a
//! constant of the design document; all others are starting values of this project.

mod admission;
mod congestion;
mod discovery;
mod health;
mod placement;
mod retry;
mod slow_start;
mod value;

use crate::interface::{Action, Event, Nanos, Outcome, Request, RuntimeCommand, UpdateScope};
use crate::mutations::{mutated, Mutation};
use crate::state::{LiveRequest, Scheduler};

type Actions = Vec<Action>;

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;
/// Well below the shortest latency objective anyone would configure.
const TICK_INTERVAL: Nanos = 10 * MILLISECOND;
const TICK_COOKIE: u64 = 1;
/// Without an event for this long, many ticks, the front itself was paused.
const LOCAL_PAUSE_MIN: Nanos = 100 * MILLISECOND;
/// An idle volume is dropped after this time; its buckets restart empty, which is safe.
const VOLUME_IDLE_MAX: Nanos = 60 * SECOND;

impl Scheduler {
    /// Handles one event and appends the actions to carry out.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        let elapsed = now - self.now;
        self.now = self.now.max(now);
        if elapsed > LOCAL_PAUSE_MIN {
            self.forgive_local_pause(elapsed);
        }
        if !self.started {
            self.started = true;
            self.warmup_factor = 1.0;
            self.schedule_first_subscription();
            self.tick(actions);
        }
        match event {
            Event::Endpoints {
                scope: UpdateScope::Unavailable,
                ..
            } => self.back_off_subscription(),
            Event::Endpoints { scope, nodes } => self.on_endpoints(scope, nodes, actions),
            Event::Request(request) => self.on_request(request, actions),
            Event::ClientGone(id) => {
                self.record_client_left(id);
                self.cancel_abandoned(id, actions);
                if !mutated(Mutation::IgnoresClientGone) {
                    self.finish(id);
                }
            }
            Event::ResponseStarted(id) => self.record_response_started(id),
            Event::AttemptEnded { .. } => self.on_attempt_ended(&event, actions),
            Event::Timer(TICK_COOKIE) => self.tick(actions),
            Event::FleetUpdate(update) => self.apply_fleet_update(update),
            Event::Timer(_) => {}
        }
    }

    fn on_request(&mut self, request: Request, actions: &mut Actions) {
        let id = request.id;
        if self.live.contains_key(&id) {
            return;
        }
        if request.class >= self.settings.classes.len() || request.plan >= self.settings.plans.len()
        {
            actions.push(Action::Reject { id, retry_after: 0 });
            return;
        }
        self.record_request(self.retry_budget().window);
        let objective = self.remaining_objective(&request);
        self.join_key_queue(&request);
        self.ensure_volume(&request);
        let admitted = self.admit(&request);
        self.track(LiveRequest::new(
            request,
            self.now,
            objective,
            self.settings.max_attempts,
        ));
        if admitted {
            self.enqueue(id, actions);
        }
        // A request may come with less time left than a tick takes.
        if !admitted
            || self
                .live
                .get(&id)
                .is_some_and(|live| self.is_hopeless(live))
        {
            self.give_up(id, actions);
        }
    }

    fn on_attempt_ended(&mut self, event: &Event, actions: &mut Actions) {
        let &Event::AttemptEnded {
            id,
            attempt,
            node: at,
            outcome,
            took,
            last,
            ..
        } = event
        else {
            return;
        };
        if last {
            self.record_client_stayed(id);
        }
        let Some((sent, request)) = self.record_end(id, attempt, at, outcome, last) else {
            return;
        };
        if outcome.may_still_execute() {
            self.settle_key(request.key, self.now + self.settings.order_settle_time);
        }
        if outcome == Outcome::NotSent && attempt == 0 {
            self.refund(request.volume, request.units);
        }
        if outcome == Outcome::Served {
            self.learn_from_answer(&request, at, took);
        }
        self.count_outcome(at, outcome, took, &sent);
        actions.extend(self.update_health(at, outcome, sent.sent_at));
        if self.live[&id].finished {
            self.finish(id);
        } else {
            self.on_failure(id, at, outcome, actions);
        }
        let shard = self.nodes[&at].shard;
        self.dispatch(shard, actions);
        if let Some(next) = self
            .next_shard_for_key(request.key)
            .filter(|next| *next != shard)
        {
            self.dispatch(next, actions);
        }
    }

    fn tick(&mut self, actions: &mut Actions) {
        actions.push(Action::Runtime(RuntimeCommand::SetTimer {
            after: TICK_INTERVAL,
            cookie: TICK_COOKIE,
        }));
        if self.subscribe_at.take_if(|at| self.now >= *at).is_some() {
            actions.push(Action::Runtime(RuntimeCommand::Subscribe));
        }
        self.count_overdue();
        self.accrue_warmup_budgets();
        self.detect_silence(actions);
        for id in self.live_ids(|live| self.is_hopeless(live)) {
            self.give_up(id, actions);
        }
        self.move_waiting_objects(actions);
        if self.now - self.last_second_at >= SECOND {
            self.last_second_at = self.now;
            self.rebalance_base_weights();
            self.update_warm_rates();
            self.expire_idle(VOLUME_IDLE_MAX, self.retry_budget().window);
            actions.extend(
                self.forget_removed_nodes()
                    .into_iter()
                    .map(|node| Action::Runtime(RuntimeCommand::ForgetNode(node))),
            );
        }
        self.dispatch_all(actions);
    }
}
