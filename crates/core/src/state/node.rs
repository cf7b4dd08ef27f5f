//! What the front knows of one chunk server.

use std::collections::{BTreeMap, VecDeque};

use crate::ejection::EjectionState;
use crate::fleet_limits::NodeLimits;
use crate::interface::{Listed, Nanos, NodeInfo, RequestId, ShardId};
use crate::state::statistics::{Rate, SlidingMinimum};

/// Whether a chunk server is trusted, whatever the kind of failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Health {
    /// It takes regular requests.
    Healthy,
    /// It does not answer or its connections fail: it gets probe requests only.
    Suspect,
}

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    /// When it was sent.
    pub sent_at: Nanos,
    /// The request class.
    pub class: usize,
    /// The expected latency in nanoseconds.
    pub expected_latency: f64,
    /// After this time it counts as failed, by the tightest latency objective scaled to its work.
    pub due_at: Nanos,
    /// Whether it was already counted as failed while in flight.
    pub counted: bool,
}

impl SentAttempt {
    /// An attempt that is sent now.
    pub fn new(now: Nanos, class: usize, expected_latency: f64, due_at: Nanos) -> SentAttempt {
        SentAttempt {
            sent_at: now,
            class,
            expected_latency,
            due_at,
            counted: false,
        }
    }
}

/// Units sent to a chunk server that may be warming up.
#[derive(Clone, Copy, Debug)]
pub struct WarmupSend {
    /// When they were sent.
    pub sent_at: Nanos,
    /// The units of work.
    pub units: f64,
}

/// A chunk server. Latencies are in nanoseconds, scaled to a request of mean size.
#[derive(Clone, Debug)]
pub struct Node {
    /// The shard it holds.
    pub shard: ShardId,
    /// Its zone.
    pub zone: u32,
    /// Its state in the endpoint list.
    pub listed: Listed,
    /// When it last started, by the endpoint list; 0 is long ago.
    pub started_at: Nanos,
    /// When its warm-up began, while it is warming up.
    pub warmup_since: Option<Nanos>,
    /// When its warm-up is over.
    pub warmup_until: Nanos,
    /// Recent sends, which count against a warm-up.
    pub warmup_sends: VecDeque<WarmupSend>,
    /// Units that this front may send during the warm-up, by the rate served before.
    pub warmup_budget: f64,
    /// Units per second that it serves this front.
    pub served_rate: Rate,
    /// Units per second that it served this front when it was last up, healthy and warm.
    pub warm_rate: f64,
    /// The weight without recent congestion.
    pub base_weight: f64,
    /// The present weight.
    pub weight: f64,
    /// Moving average over few answers; absent until the first.
    pub fast_latency: Option<f64>,
    /// Moving average over many answers.
    pub slow_latency: f64,
    /// Up to this latency the window grows.
    pub uncongested_latency: f64,
    /// The tightest latency objective of any class, as of the last answer.
    pub tightest_objective: f64,
    /// Requests that its timely answers admit.
    pub admission_credit: f64,
    /// The recent minimum of the fast average.
    pub best_latency: SlidingMinimum,
    /// The congestion window in requests; below 1 it is paced.
    pub window: f64,
    /// When a latency was last recorded.
    pub latency_updated_at: Nanos,
    /// When the control period began.
    pub period_started_at: Nanos,
    /// Whether congestion was seen in this period.
    pub period_congested: bool,
    /// Whether the window was reduced in this period.
    pub window_reduced: bool,
    /// Whether it is trusted.
    pub health: Health,
    /// Lost attempts since the last answer.
    pub consecutive_losses: u32,
    /// When it last answered.
    pub last_answer_at: Nanos,
    /// Send time of the latest-sent attempt that was answered.
    pub newest_answered_send: Nanos,
    /// When a suspect may be probed next.
    pub probe_at: Nanos,
    /// The time between two probes.
    pub probe_interval: Nanos,
    /// Attempts in flight.
    pub in_flight: BTreeMap<AttemptKey, SentAttempt>,
    /// The least window, by the number of fronts that share the server; 0 until known.
    pub min_window: f64,
    /// The front's part of the limits of the fleet.
    pub limits: NodeLimits,
    /// Its ejection by the fleet.
    pub ejection: EjectionState,
}

impl Node {
    /// A server of which only the entry in the endpoint list is known.
    pub fn new(info: &NodeInfo, now: Nanos, window: f64, limits: NodeLimits) -> Node {
        Node {
            shard: info.shard,
            zone: info.zone,
            listed: info.listed,
            started_at: 0,
            warmup_since: None,
            warmup_until: 0,
            warmup_sends: VecDeque::new(),
            warmup_budget: 0.0,
            served_rate: Rate::new(now),
            warm_rate: 0.0,
            base_weight: 1.0,
            weight: 1.0,
            fast_latency: None,
            slow_latency: 0.0,
            uncongested_latency: f64::INFINITY,
            tightest_objective: f64::INFINITY,
            admission_credit: 1.0,
            best_latency: SlidingMinimum::new(now),
            window,
            latency_updated_at: now,
            period_started_at: now,
            period_congested: false,
            window_reduced: false,
            health: Health::Healthy,
            consecutive_losses: 0,
            last_answer_at: now,
            newest_answered_send: 0,
            probe_at: 0,
            probe_interval: 0,
            in_flight: BTreeMap::new(),
            min_window: 0.0,
            limits,
            ejection: EjectionState::default(),
        }
    }

    /// Whether it is in service by the endpoint list.
    pub fn is_up(&self) -> bool {
        self.listed == Listed::Up
    }

    /// Whether it is trusted.
    pub fn is_healthy(&self) -> bool {
        self.health == Health::Healthy
    }

    /// Whether it is up and past its warm-up: what it serves is what such a server can do.
    pub fn is_warm(&self) -> bool {
        self.is_up() && self.is_healthy() && self.warmup_since.is_none()
    }

    /// Whether the limits of the fleet allow no further attempt.
    pub fn is_full(&self) -> bool {
        self.limits.is_full(self.in_flight.len())
    }

    /// Whether a suspect may be sent a probe now.
    pub fn may_probe(&self, now: Nanos) -> bool {
        (self.ejection.is_probe_due(now) || now >= self.probe_at) && !self.is_full()
    }

    /// Units sent after a time, as far as sends are kept.
    pub fn units_sent_after(&self, time: Nanos) -> f64 {
        let recent = self.warmup_sends.iter().filter(|send| send.sent_at > time);
        recent.map(|send| send.units).sum()
    }

    /// Counts units served, other than during the warm-up.
    pub fn record_served(&mut self, now: Nanos, units: f64, memory: f64) {
        if self.warmup_since.is_none() {
            self.served_rate.add(now, units, memory);
        }
    }

    /// Records whether an attempt was answered in time: if so it earns a credit, up to a bound,
    /// else none is left.
    pub fn record_result(&mut self, class: usize, failed: bool, max_credit: f64) {
        self.admission_credit = if failed {
            0.0
        } else {
            (self.admission_credit + 1.0).min(max_credit)
        };
        self.ejection.record_result(class, failed);
    }

    /// Records the answer to an attempt that was sent at a time.
    pub fn record_answer(&mut self, now: Nanos, sent_at: Nanos) {
        self.last_answer_at = now;
        self.newest_answered_send = self.newest_answered_send.max(sent_at);
        self.consecutive_losses = 0;
    }

    /// Starts a warm-up: the latencies learned before no longer hold.
    pub fn start_warmup(&mut self, since: Nanos, until: Nanos) {
        self.warmup_since = Some(since);
        self.warmup_until = until;
        self.fast_latency = None;
        self.slow_latency = 0.0;
        self.best_latency.clear();
    }

    /// Ends a warm-up that is over and drops sends before the given span.
    pub fn expire_warmup(&mut self, now: Nanos, span: Nanos) {
        if self.warmup_since.is_some() && now >= self.warmup_until {
            self.warmup_since = None;
            self.warmup_budget = 0.0;
        }
        while self
            .warmup_sends
            .front()
            .is_some_and(|send| send.sent_at <= now - span)
        {
            self.warmup_sends.pop_front();
        }
    }

    /// Starts a control period, in which no congestion was seen yet.
    pub fn start_period(&mut self, now: Nanos) {
        self.period_started_at = now;
        self.period_congested = false;
        self.window_reduced = false;
    }

    /// Shifts the base weight; the weight keeps its ratio to it.
    pub fn shift_base_weight(&mut self, amount: f64) {
        let ratio = self.weight / self.base_weight;
        self.base_weight += amount;
        self.weight = ratio * self.base_weight;
    }
}
