//! The value of a request, and the latency to expect of it at a server.

use super::client_patience::ClientPatience;
use super::learned_cost::LearnedCost;
use super::node::Node;
use super::volume_limits::VolumeTable;
use crate::interface::{Class, Nanos, Request, Settings};
use crate::state::LiveRequest;

/// A class counts as costing at least this many nanoseconds per unit.
const UNIT_COST_MIN: f64 = 1.0;

/// Values requests at one moment, by all that is known then.
#[derive(Clone, Copy)]
pub(crate) struct Valuation<'a> {
    /// The present time.
    pub now: Nanos,
    /// The classes and plans.
    pub settings: &'a Settings,
    /// The cost of a unit of each class.
    pub learned_cost: &'a LearnedCost,
    /// How long the clients of each class wait.
    pub client_patience: &'a [ClientPatience],
    /// The limits and shares of volumes.
    pub volumes: &'a VolumeTable,
}

impl Valuation<'_> {
    /// The expected value per unit of work of a request at a server.
    pub fn score(&self, live: &LiveRequest, node: &Node) -> f64 {
        self.value_fraction(live, node) * self.full_value_per_work(live.request())
    }

    /// The fraction of its full value that a request would earn at a server, by its volume's share
    /// and its lateness.
    pub fn value_fraction(&self, live: &LiveRequest, node: &Node) -> f64 {
        let lateness_value = if self.would_be_late(live, node) {
            self.class(live.request()).late_value
        } else {
            1.0
        };
        self.share_value(live.request()) * lateness_value
    }

    /// Whether the limit of its volume allows a request.
    pub fn volume_limit_allows(&self, request: &Request) -> bool {
        self.volumes.allows(self.now, request, self.settings)
    }

    /// The value per unit of work of a request that is answered in time.
    pub fn timely_value_per_work(&self, request: &Request) -> f64 {
        self.share_value(request) * self.full_value_per_work(request)
    }

    /// Whether an answer from a server would come too late for the latency objective or for the
    /// client's patience.
    pub fn would_be_late(&self, live: &LiveRequest, node: &Node) -> bool {
        self.expected_answer_at(live, node) > self.answer_due_at(live)
    }

    /// When a server is expected to answer a request that is sent now.
    pub fn expected_answer_at(&self, live: &LiveRequest, node: &Node) -> Nanos {
        self.now + self.expected_latency(live.request(), node) as Nanos
    }

    /// Until when an answer is in time.
    pub fn answer_due_at(&self, live: &LiveRequest) -> Nanos {
        let client_leaves_at = live.received_at() + self.typical_wait(live.request().class);
        live.objective_at().min(client_leaves_at)
    }

    /// How long the clients of a class typically wait.
    pub fn typical_wait(&self, class: usize) -> Nanos {
        self.client_patience[class].typical_wait(self.now)
    }

    /// The latency of a request at a server in nanoseconds: the server's fast average, scaled from
    /// the mean request to this one, or its work alone before the first answer.
    pub fn expected_latency(&self, request: &Request, node: &Node) -> f64 {
        let Some(fast) = node.latency.fast() else {
            return self.learned_cost.work(request);
        };
        fast * self.relative_latency(request, node)
    }

    /// A request's latency at a server as a multiple of that of the mean request.
    pub fn relative_latency(&self, request: &Request, node: &Node) -> f64 {
        let mean_units = self.settings.mean_units;
        let slow_latency = node.latency.slow();
        self.learned_cost
            .relative_latency(request, mean_units, slow_latency)
    }

    /// The tightest latency objective or typical wait of any class.
    pub fn tightest_objective(&self) -> Nanos {
        let classes = self.settings.classes.iter().enumerate();
        let objectives =
            classes.map(|(index, class)| class.latency_objective.min(self.typical_wait(index)));
        objectives.min().unwrap_or(0)
    }

    fn share_value(&self, request: &Request) -> f64 {
        self.volumes.share_value(self.now, request, self.settings)
    }

    fn full_value_per_work(&self, request: &Request) -> f64 {
        let value_factor = self.settings.plans[request.plan].value_factor;
        let unit_cost = self.learned_cost.unit_cost(request.class);
        self.class(request).priority_weight * value_factor / unit_cost.max(UNIT_COST_MIN)
    }

    fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[request.class]
    }
}
