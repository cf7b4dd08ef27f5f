//! The value of a request, and its expected latency at a server.

use super::client_patience::ClientPatience;
use super::learned_cost::LearnedCost;
use super::node::Node;
use super::volume_limits::VolumeTable;
use crate::interface::{Class, Nanos, Request, Settings};
use crate::state::LiveRequest;

/// Minimum cost that is assumed for a unit of a class, in nanoseconds.
const UNIT_COST_MIN: f64 = 1.0;

/// The state that the values and expected latencies of requests depend on, at one moment.
#[derive(Clone, Copy)]
pub(crate) struct Valuation<'a> {
    /// The time of the valuation.
    pub now: Nanos,
    /// The settings, with the classes and the plans.
    pub settings: &'a Settings,
    /// The learned cost of a unit of work of each class.
    pub learned_cost: &'a LearnedCost,
    /// How long the clients of each class wait, by class.
    pub client_patience: &'a [ClientPatience],
    /// The limits and fair shares of volumes.
    pub volumes: &'a VolumeTable,
}

impl Valuation<'_> {
    /// Returns the expected value per unit of work of a request at a server.
    pub fn score(&self, live: &LiveRequest, node: &Node) -> f64 {
        self.value_fraction(live, node) * self.full_value_per_work(live.request())
    }

    /// Returns the fraction of its full value that a request would earn at a server. It depends on
    /// its volume's reserve and fair share, and on whether the answer would be late.
    pub fn value_fraction(&self, live: &LiveRequest, node: &Node) -> f64 {
        let lateness_value = if self.would_be_late(live, node) {
            self.class(live.request()).late_value
        } else {
            1.0
        };
        self.share_value(live.request()) * lateness_value
    }

    /// Returns whether the limit of its volume allows a request now.
    pub fn volume_limit_allows(&self, request: &Request) -> bool {
        self.volumes.allows(self.now, request, self.settings)
    }

    /// Returns the value per unit of work of a request if it is answered in time.
    pub fn timely_value_per_work(&self, request: &Request) -> f64 {
        self.share_value(request) * self.full_value_per_work(request)
    }

    /// Returns whether an answer from a server would be expected after the latency objective or
    /// after the client's typical wait.
    pub fn would_be_late(&self, live: &LiveRequest, node: &Node) -> bool {
        self.expected_answer_at(live, node) > self.answer_due_at(live)
    }

    /// Returns when a server is expected to answer a request that is sent now.
    pub fn expected_answer_at(&self, live: &LiveRequest, node: &Node) -> Nanos {
        self.now + self.expected_latency(live.request(), node) as Nanos
    }

    /// Returns the time until which an answer meets the latency objective and comes within the
    /// typical wait of the clients.
    pub fn answer_due_at(&self, live: &LiveRequest) -> Nanos {
        let client_disconnects_at = live.received_at() + self.typical_wait(live.request().class);
        live.objective_at().min(client_disconnects_at)
    }

    /// Returns how long the clients of a class typically wait.
    pub fn typical_wait(&self, class: usize) -> Nanos {
        self.client_patience[class].typical_wait(self.now)
    }

    /// Returns the expected latency of a request at a server in nanoseconds: the server's fast
    /// average, scaled from the mean request to this one. Before the first answer of the server it
    /// is the learned work of the request alone.
    pub fn expected_latency(&self, request: &Request, node: &Node) -> f64 {
        let Some(fast) = node.latency.fast() else {
            return self.learned_cost.work(request);
        };
        fast * self.relative_latency(request, node)
    }

    /// Returns a request's latency at a server as a multiple of that of the mean request.
    pub fn relative_latency(&self, request: &Request, node: &Node) -> f64 {
        let mean_units = self.settings.mean_units;
        let slow_latency = node.latency.slow();
        self.learned_cost
            .relative_latency(request, mean_units, slow_latency)
    }

    /// Returns the smallest latency objective or typical wait of any class.
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
