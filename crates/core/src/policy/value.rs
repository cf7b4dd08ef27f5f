//! The value of a request, by its class, plan and volume's share, and the latency to expect of it.

use super::slow_start::SERVED_RATE_MEMORY_NS;
use crate::interface::{Nanos, NodeId, Request};
use crate::state::{
    mean, moving_average, LiveRequest, Node, RateLimit, Scheduler, TokenBucket, Volume,
};

/// A volume's rate beyond its reserve is fair up to this multiple of the smallest rate by weight.
const FAIR_SHARE_RATIO: f64 = 2.0;
/// Fraction of a limit's burst that the class with the lowest weight leaves to others.
const LIMIT_HEADROOM: f64 = 0.4;
pub(super) const VOLUME_RATE_MEMORY_NS: f64 = 1.5e9;
/// Smoothing of the cost of a unit. It leans to the low side: what a unit costs with little
/// waiting.
const LOWER_COST_ALPHA: f64 = 0.05;
const HIGHER_COST_ALPHA: f64 = 0.005;
const UNITS_MIN: f64 = 0.1;
const PLAN_WEIGHT_MIN: f64 = 0.01;

impl Scheduler {
    /// Creates a volume at its first request. Its limit starts empty, as a restarted front forgets
    /// its use, and its reserve always holds the largest request.
    pub(super) fn ensure_volume(&mut self, request: &Request) {
        let (now, settings) = (self.now, &self.settings);
        let plan = &settings.plans[request.plan];
        let fronts = f64::from(request.front_count.max(1));
        self.volumes.entry(request.volume).or_insert_with(|| {
            let rates = settings
                .plans
                .iter()
                .map(|plan| plan.nominal / plan.weight.max(PLAN_WEIGHT_MIN));
            let min_rate = rates
                .filter(|rate| *rate > 0.0)
                .fold(f64::INFINITY, f64::min);
            let fair_share =
                min_rate * FAIR_SHARE_RATIO * plan.weight.max(PLAN_WEIGHT_MIN) / fronts;
            let even_part = RateLimit {
                rate: plan.limit_rate / fronts,
                burst: plan.limit_burst / fronts,
            };
            let limit = self
                .assigned_limits
                .get(&request.volume)
                .copied()
                .unwrap_or(even_part);
            let limit = (plan.limit_rate > 0.0).then(|| limit.empty_bucket(now));
            let (rate, max_units) = (plan.reserve_rate / fronts, settings.max_units);
            let reserve = TokenBucket::new(rate, rate + max_units, rate.min(max_units), now);
            Volume::new(limit, reserve, fair_share, now)
        });
    }

    /// Whether the volume's limit allows the request; classes of lower weight leave part of the
    /// burst.
    pub(super) fn volume_limit_allows(&self, request: &Request) -> bool {
        let limit = self
            .volumes
            .get(&request.volume)
            .and_then(|volume| volume.limit.as_ref());
        let Some(limit) = limit else { return true };
        let weights = self
            .settings
            .classes
            .iter()
            .map(|class| class.priority_weight);
        let relative_weight =
            self.class(request).priority_weight / weights.fold(0.0, f64::max).max(1e-9);
        let headroom = limit.capacity * LIMIT_HEADROOM * (1.0 - relative_weight);
        limit.rate > 0.0
            && limit.level_at(self.now) >= (request.units + headroom).min(limit.capacity)
    }

    /// The expected value per unit of work at a server.
    pub(super) fn score(&self, live: &LiveRequest, node: &Node) -> f64 {
        self.value_fraction(live, node) * self.full_value_per_work(&live.request)
    }

    /// The fraction of the full value that a request would earn at a server, by its share and
    /// lateness.
    pub(super) fn value_fraction(&self, live: &LiveRequest, node: &Node) -> f64 {
        let late_value = self.class(&live.request).late_value;
        self.share_value(&live.request)
            * if self.would_be_late(live, node) {
                late_value
            } else {
                1.0
            }
    }

    pub(super) fn would_be_late(&self, live: &LiveRequest, node: &Node) -> bool {
        self.now + self.expected_latency(live, node) as Nanos > self.answer_due_at(live)
    }

    /// The value by share: full within the reserve, less within the fair share, least beyond.
    pub(super) fn share_value(&self, request: &Request) -> f64 {
        let Some(volume) = self.volumes.get(&request.volume) else {
            return 1.0;
        };
        let reserved =
            (volume.reserve.level_at(self.now) / request.units.max(UNITS_MIN)).clamp(0.0, 1.0);
        let is_fair = volume.excess_rate.now(self.now, VOLUME_RATE_MEMORY_NS) <= volume.fair_share;
        let excess_value = if is_fair {
            self.settings.fair_share_value
        } else {
            self.settings.idle_value
        };
        reserved + (1.0 - reserved) * excess_value
    }

    pub(super) fn full_value_per_work(&self, request: &Request) -> f64 {
        let price = self.settings.plans[request.plan].price;
        self.class(request).priority_weight * price / self.unit_cost[request.class].max(1.0)
    }

    /// The server's fast average, scaled from the mean request to this one, or the work alone.
    pub(super) fn expected_latency(&self, live: &LiveRequest, node: &Node) -> f64 {
        let Some(fast) = node.fast_latency else {
            return self.work(&live.request);
        };
        fast * self.relative_latency(&live.request, node)
    }

    /// A request's latency over that of the mean request; costly requests must not look like
    /// congestion.
    pub(super) fn relative_latency(&self, request: &Request, node: &Node) -> f64 {
        let known_costs = self.unit_cost.iter().copied().filter(|cost| *cost > 0.0);
        let mean_work = mean(known_costs).unwrap_or(0.0) * self.settings.mean_units.max(1.0);
        let work = self.work(request);
        if mean_work <= 0.0 || work <= 0.0 {
            return 1.0;
        }
        let waiting = (node.slow_latency - mean_work).max(0.0);
        (work + waiting) / (mean_work + waiting)
    }

    /// Nanoseconds of work of a request without waiting, as learned; 0 while unknown.
    fn work(&self, request: &Request) -> f64 {
        self.unit_cost[request.class] * request.units
    }

    /// Learns the class's cost and the server's latency from an answer.
    pub(super) fn learn_from_answer(&mut self, request: &Request, at: NodeId, took: Nanos) {
        let unit_cost = took as f64 / request.units.max(UNITS_MIN);
        let learned = self.unit_cost[request.class];
        let alpha = if unit_cost < learned {
            LOWER_COST_ALPHA
        } else {
            HIGHER_COST_ALPHA
        };
        self.unit_cost[request.class] = moving_average(learned, alpha, unit_cost);
        let latency = took as f64 / self.relative_latency(request, &self.nodes[&at]).max(0.05);
        let classes = self.settings.classes.iter().enumerate();
        let objectives =
            classes.map(|(i, class)| class.latency_objective.min(self.typical_wait(i)));
        let tightest = objectives.min().unwrap_or(0) as f64;
        let (now, min_window) = (self.now, self.min_window());
        let Some(node) = self.nodes.get_mut(&at) else {
            return;
        };
        node.min_window = min_window;
        node.record_served(now, request.units, SERVED_RATE_MEMORY_NS);
        node.record_latency(now, latency, tightest);
    }
}
