//! Feeds events to the state machines of limits and gossip, and carries out their effects.

use std::net::SocketAddr;

use tulipbridge_core::{FleetUpdate, Nanos, Settings};
use tulipbridge_fleet_limits::{Effect, Event};
use tulipbridge_membership::{EntryKey, GossipAction, GossipInput, PeerId};

use super::Peers;
use crate::cluster::clock;
use crate::cluster::limits::LimitUpdate;
use crate::cluster::messages::OutgoingMessage;
use crate::telemetry::log::log;

impl Peers {
    /// Feeds an event to the limits' coordinator. `source` is where the message of the event came
    /// from.
    pub(super) fn update_limits(&self, event: Event, source: Option<SocketAddr>) {
        let mut effects = Vec::new();
        self.note_address_in_use();
        self.coordinator
            .borrow_mut()
            .on(clock::now(), event, &mut effects);
        let updates = self
            .exchange
            .with_settings(|settings| self.apply_effects(effects, source, settings));
        for update in updates {
            self.exchange.apply_fleet_update(update);
        }
    }

    /// While another process has the address, this front counts as one that is just starting.
    pub(super) fn note_address_in_use(&self) {
        if !self.socket.is_bound() {
            // The event has no effects: nothing changes but the time from which the start is
            // counted.
            self.coordinator
                .borrow_mut()
                .on(clock::now(), Event::AddressInUse, &mut Vec::new());
        }
    }

    /// Carries out the effects of the coordinator. Returns the updates for the decision module.
    pub(super) fn apply_effects(
        &self,
        effects: Vec<Effect>,
        source: Option<SocketAddr>,
        settings: &Settings,
    ) -> Vec<FleetUpdate> {
        effects
            .into_iter()
            .flat_map(|effect| self.apply_effect(effect, source, settings))
            .collect()
    }

    fn apply_effect(
        &self,
        effect: Effect,
        source: Option<SocketAddr>,
        settings: &Settings,
    ) -> Vec<FleetUpdate> {
        match effect {
            Effect::Send { to, heartbeat } => {
                self.send(self.address_of(to), &OutgoingMessage::Heartbeat(&heartbeat));
                Vec::new()
            }
            Effect::Reply { heartbeat } => {
                self.send(source, &OutgoingMessage::Heartbeat(&heartbeat));
                Vec::new()
            }
            Effect::Received(status) => {
                self.metrics.count_heartbeat(status);
                Vec::new()
            }
            Effect::ShareChanged { limit, share, at } => {
                let updates = self.limits.borrow_mut().set_share(limit, share, settings);
                self.fleet_updates(updates, at)
            }
            Effect::Forget(limit) => {
                let updates = self.limits.borrow_mut().forget(limit, settings);
                self.fleet_updates(updates, clock::now())
            }
        }
    }

    fn fleet_updates(&self, updates: Vec<LimitUpdate>, at: Nanos) -> Vec<FleetUpdate> {
        updates
            .into_iter()
            .map(|update| self.fleet_update(update, at))
            .collect()
    }

    /// A limit's update for the decision module. `at`, when it takes effect, is by the clock of the
    /// state machines here and is converted to the decision module's clock.
    pub(super) fn fleet_update(&self, update: LimitUpdate, at: Nanos) -> FleetUpdate {
        let LimitUpdate { limit, rate } = update;
        let at = self.exchange.now() - (clock::now() - at);
        FleetUpdate::SharedLimit {
            limit,
            rate: rate.rate,
            burst: rate.burst,
            at,
        }
    }

    /// Puts a gossip entry of this front, or removes it where there is no value.
    pub(super) fn publish(&self, key: EntryKey, value: Option<Vec<u8>>) {
        self.update_gossip(GossipInput::Put(key, value));
    }

    /// Feeds an input to gossip and carries out the actions.
    pub(super) fn update_gossip(&self, input: GossipInput) {
        let mut actions = Vec::new();
        let result = {
            let coordinator = self.coordinator.borrow();
            self.gossip
                .borrow_mut()
                .on(clock::now(), coordinator.members(), input, &mut actions)
        };
        if let Err(error) = result {
            log!("peers: an entry is not told: {error}");
        }
        for action in actions {
            self.apply_gossip_action(action);
        }
    }

    fn apply_gossip_action(&self, action: GossipAction) {
        match action {
            GossipAction::Send { to, message } => {
                self.send(self.address_of(to), &OutgoingMessage::Gossip(&message));
            }
            GossipAction::Rejected(error) => self.metrics.count_rejected_gossip(error),
            // The console reads entries on request; only ejections depend on them at once.
            GossipAction::Changed(..) | GossipAction::Dropped(_) => {
                self.evaluation_due.notify_one()
            }
        }
    }

    fn address_of(&self, peer: PeerId) -> Option<SocketAddr> {
        self.config.borrow().roster.address(peer)
    }

    /// Sends a message; nothing where there is no address.
    fn send(&self, to: Option<SocketAddr>, message: &OutgoingMessage) {
        let Some(to) = to else { return };
        let (me, incarnation) = {
            let coordinator = self.coordinator.borrow();
            (coordinator.config().me, coordinator.incarnation())
        };
        if self.socket.send(me, incarnation, to, message).is_err() {
            self.metrics.count_too_long();
        }
    }
}
