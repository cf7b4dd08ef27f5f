//! The transitions of the fleet limits model: what each step changes.

use tulipbridge_fleet_limits::{
    Effect, Event, Heartbeat, Incarnation, Limit, LimitCoordinator, LimitsConfig, Nanos, PeerId,
    Share, FULL_SHARE,
};

use super::{FleetLimitsState, Link, Message, Process, HEARTBEAT_INTERVAL};
use crate::fleet_limits_model::{Step, DELAY_ROUNDS};

/// How long a lease is valid.
const LEASE_DURATION: Nanos = 4 * HEARTBEAT_INTERVAL;
/// The limit that the fronts share.
const LIMIT: Limit = Limit::Volume(7);
/// Demand at the first front in each round.
const HIGH_DEMAND: f64 = 8.0;
/// Demand at the last front in each round.
const LOW_DEMAND: f64 = 1.0;

impl FleetLimitsState {
    /// Takes a step.
    pub(in crate::fleet_limits_model) fn take(&mut self, step: &Step) {
        self.faults_left -= u8::from(step.is_fault());
        match *step {
            Step::Round => self.run_round(),
            Step::Heal => self.cut_links.clear(),
            Step::Continue(front) => self.continue_process(front),
            Step::Start(front) => self.start(front),
            Step::CutLink(from, to) => self.cut(&[Link { from, to }]),
            Step::Isolate(front) => self.isolate(front),
            Step::DelayHeartbeat(from, to) => self.delay(Link { from, to }),
            Step::Stop(front) => self.set_stopped(front, true),
            Step::Kill(front) => self.kill(front),
        }
    }

    /// Starts a new process of a front.
    pub(super) fn start(&mut self, front: PeerId) {
        self.last_incarnation = Incarnation(self.last_incarnation.0 + 1);
        let config = LimitsConfig {
            lease_duration: LEASE_DURATION,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            max_clock_drift: 0,
            ..LimitsConfig::new(front, self.front_count(), 1)
        };
        let coordinator = LimitCoordinator::new(config, self.last_incarnation, self.now());
        let coordinator = coordinator.expect("the configuration is valid");
        self.processes[front.index()] = Some(Process {
            coordinator,
            stopped: false,
            share: Share::NONE,
        });
    }

    /// Kills the process of a front: what is on the way to it is lost.
    fn kill(&mut self, front: PeerId) {
        self.processes[front.index()] = None;
        self.messages.retain(|message| message.link.to != front);
    }

    /// Stops the process of a front, or lets it run again.
    fn set_stopped(&mut self, front: PeerId, stopped: bool) {
        if let Some(process) = &mut self.processes[front.index()] {
            process.stopped = stopped;
        }
    }

    /// A stopped process continues, and receives what has waited for it.
    fn continue_process(&mut self, front: PeerId) {
        self.set_stopped(front, false);
        self.feed(front, Event::Poll);
        self.check();
        self.deliver();
    }

    /// Cuts links and drops the messages on them. A delayed message has left its link
    /// already.
    fn cut(&mut self, links: &[Link]) {
        self.messages
            .retain(|message| !links.contains(&message.link) || message.rounds_left > 0);
        self.cut_links.extend(links);
        self.cut_links.sort_unstable();
        self.cut_links.dedup();
    }

    /// Delays the next heartbeat on a link.
    fn delay(&mut self, link: Link) {
        self.delayed_links.push(link);
        self.delayed_links.sort_unstable();
    }

    /// Cuts all links from and to a front.
    fn isolate(&mut self, front: PeerId) {
        let mut links = Vec::new();
        for other in self.fronts().filter(|other| *other != front) {
            links.push(Link {
                from: front,
                to: other,
            });
            links.push(Link {
                from: other,
                to: front,
            });
        }
        self.cut(&links);
    }

    /// Lets a heartbeat interval pass.
    pub(in crate::fleet_limits_model) fn run_round(&mut self) {
        self.round += 1;
        for message in &mut self.messages {
            message.rounds_left = message.rounds_left.saturating_sub(1);
        }
        self.check();
        self.deliver();
        for front in self.fronts() {
            if !self.is_running(front) {
                continue;
            }
            if let Some(units) = self.demand(front) {
                let limit = LIMIT;
                self.feed(front, Event::Demanded { limit, units });
            }
            self.feed(front, Event::HeartbeatDue);
            self.check();
            self.deliver();
        }
    }

    /// Units demanded at a front in each round: nearly everything at the first, a little at the
    /// last.
    fn demand(&self, front: PeerId) -> Option<f64> {
        if front.index() == 0 {
            Some(HIGH_DEMAND)
        } else if front.0 + 1 == self.front_count() {
            Some(LOW_DEMAND)
        } else {
            None
        }
    }

    /// Delivers the messages that are not delayed. Those to a stopped process wait until it
    /// continues.
    fn deliver(&mut self) {
        let mut index = 0;
        while index < self.messages.len() {
            let Message {
                link, rounds_left, ..
            } = self.messages[index];
            if rounds_left > 0 || self.process(link.to).is_some_and(|process| process.stopped) {
                index += 1;
                continue;
            }
            let Message {
                incarnation,
                heartbeat,
                ..
            } = self.messages.remove(index);
            let received = Event::HeartbeatReceived {
                from: link.from,
                incarnation,
                heartbeat: Box::new(heartbeat),
            };
            self.feed(link.to, received);
            self.check();
        }
    }

    /// Passes an event to the coordinator of a front and carries out the effects.
    fn feed(&mut self, front: PeerId, event: Event) {
        let now = self.now();
        let Some(process) = &mut self.processes[front.index()] else {
            return;
        };
        let mut effects = Vec::new();
        process.coordinator.on(now, event, &mut effects);
        let incarnation = process.coordinator.incarnation();
        for effect in effects {
            match effect {
                Effect::ShareChanged { share, .. } => self.set_share(front, share),
                Effect::Forget(_) => self.set_share(front, Share::NONE),
                Effect::Send { to, heartbeat } => {
                    self.send(Link { from: front, to }, incarnation, *heartbeat);
                }
                // No front runs two processes at a time, so nothing has to be replied to.
                Effect::Reply { .. } | Effect::Received(_) => {}
            }
        }
    }

    /// Records the share that a front may use from now on.
    fn set_share(&mut self, front: PeerId, share: Share) {
        if let Some(process) = &mut self.processes[front.index()] {
            process.share = share;
        }
    }

    /// Sends a heartbeat, unless its link is cut.
    fn send(&mut self, link: Link, incarnation: Incarnation, heartbeat: Heartbeat) {
        if self.cut_links.contains(&link) {
            return;
        }
        let delayed = self
            .delayed_links
            .iter()
            .position(|delayed| *delayed == link);
        if let Some(index) = delayed {
            self.delayed_links.remove(index);
        }
        let rounds_left = if delayed.is_some() { DELAY_ROUNDS } else { 0 };
        self.messages.push(Message {
            link,
            incarnation,
            heartbeat,
            rounds_left,
        });
    }

    /// Lets every running front drop what has expired, and checks the sum of the shares in use.
    pub(in crate::fleet_limits_model) fn check(&mut self) {
        let now = self.now();
        let mut sum = Share::NONE;
        for front in self.fronts() {
            let running = self.running_process(front);
            if running.is_some_and(|process| now >= process.coordinator.next_expiry()) {
                self.feed(front, Event::Poll);
            }
            sum += self
                .running_process(front)
                .map_or(Share::NONE, |process| process.share);
        }
        self.violations.shared_limit_exceeded |= sum > FULL_SHARE;
    }
}
