//! What this front knows of one chunk server: its entry in the endpoint list, and the state of each
//! policy for it.

use std::hash::{Hash, Hasher};

use super::admission::AdmissionCredit;
use super::congestion_window::CongestionWindow;
use super::health::HealthState;
use super::in_flight::{AttemptKey, AttemptResult, InFlightAttempts, SentAttempt};
use super::latency::{LatencyEstimate, LoadSignal};
use super::slow_start::SlowStart;
use super::weight::PlacementWeight;
use crate::ejection::EjectionState;
use crate::fleet_limits::NodeLimits;
use crate::interface::{EndpointState, Nanos, NodeInfo, Outcome, Settings, ShardId};

/// The state that this front keeps for one chunk server.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    shard: ShardId,
    zone: u32,
    state: EndpointState,
    /// Time of its last start according to the endpoint list; 0 is long ago.
    started_at: Nanos,
    /// Its latency, learned from its answers.
    pub latency: LatencyEstimate,
    /// How many requests this front may have in flight there.
    pub window: CongestionWindow,
    /// Its weight in the placement of new objects.
    pub weight: PlacementWeight,
    /// Whether it gets regular requests, and when a suspect is probed.
    pub health: HealthState,
    /// Its warm-up, which limits the units sent to it after a start or a readmission.
    pub slow_start: SlowStart,
    /// The attempts of this front in flight there.
    pub in_flight: InFlightAttempts,
    /// The requests that its timely answers admit.
    pub credit: AdmissionCredit,
    /// This front's part of the fleet's limits for the server.
    pub limits: NodeLimits,
    /// Its ejection by the fleet, and the probes that may readmit it.
    pub ejection: EjectionState,
}

impl Node {
    /// Creates the state of a server from its first entry in the endpoint list.
    pub fn new(info: &NodeInfo, now: Nanos, limits: NodeLimits) -> Node {
        Node {
            shard: info.shard,
            zone: info.zone,
            state: info.state,
            started_at: 0,
            latency: LatencyEstimate::new(now),
            window: CongestionWindow::new(),
            weight: PlacementWeight::new(now),
            health: HealthState::new(now),
            slow_start: SlowStart::new(now),
            in_flight: InFlightAttempts::default(),
            credit: AdmissionCredit::new(),
            limits,
            ejection: EjectionState::default(),
        }
    }

    /// Returns the shard that the server holds.
    pub fn shard(&self) -> ShardId {
        self.shard
    }

    /// Returns the zone that the endpoint list gives for the server.
    pub fn zone(&self) -> u32 {
        self.zone
    }

    /// Returns when the server last started according to the endpoint list; 0 is long ago.
    pub fn started_at(&self) -> Nanos {
        self.started_at
    }

    /// Returns whether the endpoint list has the server in service.
    pub fn is_up(&self) -> bool {
        self.state == EndpointState::Up
    }

    /// Returns whether the server finishes its work before it goes out of service.
    pub fn is_draining(&self) -> bool {
        self.state == EndpointState::Draining
    }

    /// Returns whether the server was removed from the endpoint list.
    pub fn is_removed(&self) -> bool {
        self.state == EndpointState::Removed
    }

    /// Returns whether the server takes regular requests.
    pub fn is_healthy(&self) -> bool {
        self.health.is_healthy()
    }

    /// Returns whether the server is up, healthy and not warming up. The rate that it serves then
    /// shows what such a server can do.
    pub fn is_warm(&self) -> bool {
        self.is_up() && self.is_healthy() && !self.slow_start.is_active()
    }

    /// Returns whether the server is up and healthy, and its timely answers admit a request.
    pub fn has_admission_credit(&self) -> bool {
        self.is_up() && self.is_healthy() && self.credit.is_available()
    }

    /// Returns whether the limits of the fleet allow no further attempt in flight.
    pub fn is_full(&self) -> bool {
        self.limits.is_full(self.in_flight.len())
    }

    /// Returns whether a probe may be sent to a suspect server now.
    pub fn may_probe(&self, now: Nanos) -> bool {
        (self.ejection.is_probe_due(now) || self.health.is_probe_due(now)) && !self.is_full()
    }

    /// Returns whether a window allows one more request. A window below 1 paces requests, because
    /// one request from each front may already be too many.
    pub fn has_capacity(&self, window: f64, now: Nanos) -> bool {
        let window = if self.is_full() {
            0.0
        } else {
            window.min(self.limits.max_in_flight())
        };
        let pending = self.in_flight.pending(self.health.newest_answered_send());
        if window < 1.0 {
            let pause = self.latency.pacing_pause(window);
            return pending == 0 && now - self.health.last_answer_at() >= pause;
        }
        (pending as f64) < window.floor()
    }

    /// Returns the units that the server may get now; infinite unless it is warming up.
    pub fn warmup_quota(&self, now: Nanos, settings: &Settings) -> f64 {
        let Some(growth) = self.slow_start.growth(now, settings) else {
            return f64::INFINITY;
        };
        match self.limits.warmup_allowance(now) {
            Some(units) => units * growth,
            None => self.slow_start.allowance(now, settings, growth),
        }
    }

    /// Returns whether the server's state can change by the passage of time alone.
    pub fn needs_ticks(&self) -> bool {
        let has_sends = !self.in_flight.is_empty() || self.slow_start.has_recent_sends();
        let is_recovering = self.weight.is_recovering() || self.window.is_reduced();
        has_sends || is_recovering || self.slow_start.is_active()
    }

    /// Updates the zone and the state from an entry of the endpoint list.
    pub fn update_entry(&mut self, info: &NodeInfo) {
        self.zone = info.zone;
        self.state = info.state;
    }

    /// Moves the server to another shard and returns the old one.
    pub fn replace_shard(&mut self, shard: ShardId) -> ShardId {
        std::mem::replace(&mut self.shard, shard)
    }

    /// Marks the server as removed from the endpoint list.
    pub fn mark_removed(&mut self) {
        self.state = EndpointState::Removed;
    }

    /// Updates the time of the last start. Returns whether the server has started again.
    pub fn update_start(&mut self, started_at: Nanos) -> bool {
        let has_started = started_at > self.started_at;
        self.started_at = self.started_at.max(started_at);
        has_started
    }

    /// Starts a warm-up with a budget in units, and discards the latencies learned before it, which
    /// no longer apply.
    pub fn start_warmup(&mut self, started_at: Nanos, ends_at: Nanos, budget: f64) {
        self.slow_start.start(started_at, ends_at, budget);
        self.latency.reset();
    }

    /// Records an attempt that is sent to the server, and its units.
    pub fn record_send(
        &mut self,
        key: AttemptKey,
        sent: SentAttempt,
        units: f64,
        settings: &Settings,
    ) {
        let now = sent.sent_at();
        if let Some(growth) = self.slow_start.growth(now, settings) {
            self.limits.record_warmup_units(now, units / growth);
        }
        self.slow_start.record_send(now, units);
        self.credit.spend();
        self.in_flight.insert(key, sent);
    }

    /// Records that the response of an attempt began at `began_at`, which ends the server's silence.
    pub fn record_response(&mut self, key: AttemptKey, began_at: Nanos) {
        self.in_flight.record_response(key, began_at);
        self.health.end_silence(began_at);
    }

    /// Records whether an attempt was answered in time.
    pub fn record_result(&mut self, result: AttemptResult) {
        self.credit.record_result(result.failed);
        self.ejection.record_result(result.class, result.failed);
    }

    /// Records the latency of an answer, scaled to the mean request, and adapts the window.
    /// `objective` is the tightest latency objective of any class. Both are in nanoseconds.
    pub fn record_latency(&mut self, now: Nanos, latency: f64, objective: f64) {
        let in_flight = self.in_flight.len();
        match self.latency.record(now, latency, objective) {
            LoadSignal::Uncongested => self.window.grow(in_flight),
            LoadSignal::Balanced => {}
            LoadSignal::Congested { target_ratio } => self.window.reduce(target_ratio, in_flight),
        }
        if self.latency.is_rising() {
            self.weight.mark_congested();
        }
    }

    /// Updates the congestion state and the health with the outcome of an attempt. A failure marks
    /// the control period as congested, however quick it was. Returns whether the server has
    /// recovered.
    pub fn record_outcome(&mut self, now: Nanos, outcome: Outcome, sent_at: Nanos) -> bool {
        if matches!(outcome, Outcome::Rejected | Outcome::TimedOut) {
            self.window.reduce_strongly(self.in_flight.len());
        }
        if outcome == Outcome::Rejected {
            self.latency.record_rejection();
        }
        let has_recovered = self.health.record_outcome(now, outcome, sent_at);
        if !matches!(
            outcome,
            Outcome::Served | Outcome::NotSent | Outcome::Cancelled
        ) {
            self.weight.mark_congested();
        }
        self.end_period(now);
        has_recovered
    }

    /// Marks the server as suspect if it is silent, which detects hangs, network partitions, dead
    /// machines and long stalls. Returns whether it has just become suspect.
    pub fn detect_silence(&mut self, now: Nanos) -> bool {
        let Some(oldest_sent_at) = self.in_flight.oldest_unanswered_at() else {
            return false;
        };
        let expected_latency = self.in_flight.longest_expected_latency(self.latency.slow());
        if !self.health.is_silent(now, oldest_sent_at, expected_latency) {
            return false;
        }
        let was_healthy = self.is_healthy();
        self.health.mark_suspect(now);
        self.weight.mark_congested();
        was_healthy
    }

    /// Ends the control period if it is over: updates the weight and lets the window be reduced
    /// again.
    pub fn end_period(&mut self, now: Nanos) {
        if self.weight.end_period(now, self.latency.fast()) {
            self.window.start_period();
        }
    }

    /// Excludes a pause of this front from the silence of the server and the lateness of its
    /// answers.
    pub fn exclude_local_pause(&mut self, now: Nanos, pause: Nanos) {
        self.health.restart_silence(now);
        self.in_flight.extend_due_times(pause);
    }

    /// Hashes all that later decisions depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        (self.shard, self.zone, self.state).hash(hasher);
        self.health.fingerprint(now, hasher);
        self.slow_start.fingerprint(now, hasher);
        self.weight.fingerprint(now, hasher);
        self.latency.fingerprint(now, hasher);
        self.credit.fingerprint(hasher);
        self.window.fingerprint(hasher);
        self.in_flight.fingerprint(now, hasher);
        self.limits.fingerprint(now, hasher);
        self.ejection.fingerprint(now, hasher);
    }
}
