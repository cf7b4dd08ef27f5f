//! Implementation of [`FleetState`] for [`Peers`]: the exchange calls it before each input of the
//! request tracker and at each attempt.

use tulipbridge_core::request_tracker::Input;
use tulipbridge_core::{FleetUpdate, NodeId, Semantics, Settings};

use super::Peers;
use crate::cluster::clock;
use crate::exchange::{AttemptKey, FleetState};

impl FleetState for Peers {
    fn attempt_sent(&self, key: AttemptKey, node: NodeId, class: usize) {
        let mut state = self.state.borrow_mut();
        let Some(ejections) = state.ejections_mut() else {
            return;
        };
        let semantics = self
            .exchange
            .with_settings(|settings| settings.classes.get(class).map(|class| class.semantics));
        let is_idempotent = semantics == Some(Semantics::Idempotent);
        ejections.attempt_sent(clock::now(), key, node, class, is_idempotent);
    }

    fn updates_before(&self, input: &Input, settings: &Settings) -> Vec<FleetUpdate> {
        let moment = self.moment();
        let mut state = self.state.borrow_mut();
        state.observe_input(moment.now, input, |node| {
            self.exchange.transport().server_name(node)
        });
        state.updates_before(moment, input, settings)
    }
}
