//! The fleet's state as the exchange consults it: before each input of the request tracker and at
//! each attempt.

use tulipbridge_core::request_tracker::Input;
use tulipbridge_core::{FleetUpdate, Nanos, NodeId, Request, Semantics, Settings};
use tulipbridge_fleet_limits::{Effect, Event, Limit};

use super::Peers;
use crate::cluster::clock;
use crate::cluster::limits::LimitDemand;
use crate::exchange::{AttemptKey, FleetState};

impl FleetState for Peers {
    fn attempt_sent(&self, key: AttemptKey, node: NodeId, class: usize) {
        if let Some(ejections) = self.ejections.borrow_mut().as_mut() {
            let semantics = self
                .exchange
                .with_settings(|settings| settings.classes.get(class).map(|c| c.semantics));
            let idempotent = semantics == Some(Semantics::Idempotent);
            ejections.attempt_sent(clock::now(), key, node, class, idempotent);
        }
    }

    fn updates_before(&self, input: &Input, settings: &Settings) -> Vec<FleetUpdate> {
        let now = clock::now();
        self.observe_input(now, input);
        let mut demands = self.limits.borrow().configured().demands(input);
        let mut updates = Vec::new();
        if let Some(request) = volume_limited_request(input, settings) {
            updates.extend(self.volume_update(now, request, settings));
            demands.push(LimitDemand {
                limit: Limit::Volume(request.volume.0),
                units: request.units,
            });
        }
        self.note_address_in_use();
        let effects = self.count_demands(now, demands);
        updates.extend(self.apply_effects(effects, None, settings));
        updates
    }
}

impl Peers {
    /// Passes an input to outlier ejection, where it is shared.
    fn observe_input(&self, now: Nanos, input: &Input) {
        let mut ejections = self.ejections.borrow_mut();
        let Some(ejections) = ejections.as_mut() else {
            return;
        };
        if ejections.observe_input(now, input) {
            self.evaluation_due.notify_one();
        }
        if let Input::Endpoints { scope, nodes } = input {
            ejections.update_endpoints(*scope, nodes, |node| {
                self.exchange.transport().server_name(node)
            });
        }
    }

    /// An update of the volume's limit, where the request comes with another plan than the one
    /// before.
    fn volume_update(
        &self,
        now: Nanos,
        request: &Request,
        settings: &Settings,
    ) -> Option<FleetUpdate> {
        let update =
            self.limits
                .borrow_mut()
                .volume_requested(request.volume, request.plan, settings);
        update.map(|update| self.fleet_update(update, now))
    }

    /// Passes demands to the coordinator; without any, has it expire leases that are due.
    fn count_demands(&self, now: Nanos, demands: Vec<LimitDemand>) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut coordinator = self.coordinator.borrow_mut();
        if demands.is_empty() && now >= coordinator.next_expiry() {
            coordinator.on(now, Event::Poll, &mut effects);
        }
        for LimitDemand { limit, units } in demands {
            coordinator.on(now, Event::Demanded { limit, units }, &mut effects);
        }
        effects
    }
}

/// The request of an input, where its plan limits the rate of its volume.
fn volume_limited_request<'a>(input: &'a Input, settings: &Settings) -> Option<&'a Request> {
    let Input::RequestReceived(request) = input else {
        return None;
    };
    settings
        .plans
        .get(request.plan)
        .filter(|plan| plan.limit_rate > 0.0)
        .map(|_| request)
}
