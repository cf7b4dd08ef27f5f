//! The state of the discovery model, what each step changes in it, and the part of it that
//! distinguishes states.

use std::hash::{Hash, Hasher};

use tulipbridge_core::discovery_watch::{DiscoveryWatch, WatchEvent, WatchStep, STALE_AFTER};
use tulipbridge_core::Nanos;

use super::{Step, CLOCK_STEP, HEARTBEAT_INTERVAL, MAX_CALL_TIME};
use crate::properties::Violations;
use crate::time::START;

/// Time over which the first calls of different fronts are spread: all call at once.
const FIRST_CALL_SPREAD: Nanos = 0;

/// A watch, or a call that opens one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Channel {
    opened_at: Nanos,
    last_message_at: Nanos,
    /// Nothing arrives on it any more.
    silent: bool,
}

impl Channel {
    /// A call that the front makes at `now`.
    fn opened(now: Nanos) -> Channel {
        Channel {
            opened_at: now,
            last_message_at: now,
            silent: false,
        }
    }

    /// Hashes the channel, with points in time relative to `now`.
    fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        (now - self.opened_at).hash(hasher);
        (now - self.last_message_at).hash(hasher);
        self.silent.hash(hasher);
    }
}

/// A state of the discovery model.
#[derive(Clone, Debug)]
pub struct DiscoveryState {
    now: Nanos,
    clock_steps: u8,
    faults: u8,
    machine: DiscoveryWatch,
    watch: Option<Channel>,
    call: Option<Channel>,
    /// Discovery is up.
    up: bool,
    /// Since when the front may have missed an update that it could have received: it has no watch
    /// that works, and discovery is up.
    missing_since: Option<Nanos>,
    violations: Violations,
}

impl DiscoveryState {
    /// The initial state: the front has just started, and discovery is up. The jitter of the
    /// front's calls is at a position from 0 to 1.
    pub(super) fn new(jitter: f64) -> DiscoveryState {
        DiscoveryState {
            now: START,
            clock_steps: 0,
            faults: 0,
            machine: DiscoveryWatch::new(START, FIRST_CALL_SPREAD, jitter),
            watch: None,
            call: None,
            up: true,
            missing_since: Some(START),
            violations: Violations::default(),
        }
    }

    /// Number of clock steps taken so far.
    pub(super) fn clock_steps(&self) -> u8 {
        self.clock_steps
    }

    /// Number of faults so far.
    pub(super) fn faults(&self) -> u8 {
        self.faults
    }

    /// The properties that were violated on the way to this state.
    pub(super) fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Whether discovery is up.
    pub(super) fn is_discovery_up(&self) -> bool {
        self.up
    }

    /// Whether there is a watch or a call, silent or not.
    pub(super) fn has_channel(&self) -> bool {
        self.watch.is_some() || self.call.is_some()
    }

    /// The watch, unless it has fallen silent.
    pub(super) fn live_watch(&self) -> Option<Channel> {
        self.watch.filter(|watch| !watch.silent)
    }

    /// The call, unless it has fallen silent.
    pub(super) fn live_call(&self) -> Option<Channel> {
        self.call.filter(|call| !call.silent)
    }

    /// Whether the timer of the machine is due.
    pub(super) fn is_timer_due(&self) -> bool {
        self.machine.due().is_some_and(|due| self.now >= due)
    }

    /// Whether the watch must send a heartbeat before the clock advances.
    pub(super) fn is_heartbeat_due(&self) -> bool {
        self.live_watch()
            .is_some_and(|watch| self.now - watch.last_message_at >= HEARTBEAT_INTERVAL)
    }

    /// Whether the call must be answered before the clock advances: while discovery is up it
    /// answers a call in time; while it is down it refuses it at once.
    pub(super) fn is_call_answer_due(&self) -> bool {
        self.live_call()
            .is_some_and(|call| !self.up || self.now - call.opened_at >= MAX_CALL_TIME)
    }
}

/// Transitions.
impl DiscoveryState {
    /// Takes a step.
    pub(super) fn take(&mut self, step: Step) {
        match step {
            Step::ClockAdvances => self.advance_clock(),
            Step::TimerDue => self.feed(WatchEvent::TimerDue),
            Step::ListRequested => self.feed(WatchEvent::ListRequested),
            Step::CallSucceeds => self.feed(WatchEvent::Opened),
            Step::CallRefused => self.refuse_call(),
            Step::Heartbeat => self.receive_heartbeat(),
            Step::ChannelsFallSilent => self.silence_channels(),
            Step::WatchBreaks => self.break_watch(),
            Step::DiscoveryDown => self.stop_discovery(),
            Step::DiscoveryUp => self.start_discovery(),
            Step::DiscoveryMoved => self.move_discovery(),
        }
        // Nothing is missed while a watch works, unless it is a watch on the previous discovery.
        if self.live_watch().is_some() && step != Step::DiscoveryMoved {
            self.missing_since = None;
        }
    }

    /// Time passes. Checks that the front has not been without a watch for too long.
    fn advance_clock(&mut self) {
        self.now += CLOCK_STEP;
        self.clock_steps += 1;
        let is_stale = self
            .missing_since
            .is_some_and(|since| self.now - since > STALE_AFTER);
        self.violations.watch_overdue |= is_stale;
    }

    /// Discovery refuses the call.
    fn refuse_call(&mut self) {
        self.call = None;
        self.feed(WatchEvent::Failed);
    }

    /// The watch sends a heartbeat.
    fn receive_heartbeat(&mut self) {
        if let Some(watch) = self.watch.as_mut() {
            watch.last_message_at = self.now;
        }
        self.feed(WatchEvent::MessageReceived);
    }

    /// The watch and the call fall silent.
    fn silence_channels(&mut self) {
        self.faults += 1;
        for channel in [&mut self.watch, &mut self.call].into_iter().flatten() {
            channel.silent = true;
        }
        // A fault on top of another restarts the time.
        self.missing_since = self.up.then_some(self.now);
    }

    /// The watch breaks.
    fn break_watch(&mut self) {
        self.faults += 1;
        self.watch = None;
        self.missing_since = self.missing_since.or(self.up.then_some(self.now));
        self.feed(WatchEvent::Ended);
    }

    /// Discovery comes back up.
    fn start_discovery(&mut self) {
        self.up = true;
        self.missing_since = Some(self.now);
    }

    /// A new configuration names another discovery.
    fn move_discovery(&mut self) {
        self.faults += 1;
        self.missing_since = self.up.then_some(self.now);
        self.feed(WatchEvent::AddressChanged);
    }

    /// Discovery goes down, and a watch that works ends.
    fn stop_discovery(&mut self) {
        self.faults += 1;
        self.up = false;
        self.missing_since = None;
        if self.live_watch().is_some() {
            self.watch = None;
            self.feed(WatchEvent::Ended);
        }
    }

    /// Passes an event to the machine and carries out what it requests.
    fn feed(&mut self, event: WatchEvent) {
        let now = self.now;
        for step in self.machine.on(now, event) {
            match step {
                WatchStep::Call => self.call = Some(Channel::opened(now)),
                WatchStep::CancelCall => self.call = None,
                WatchStep::Adopt => {
                    let adopted = self.call.take();
                    self.watch = adopted.map(|call| Channel {
                        last_message_at: now,
                        ..call
                    });
                }
                WatchStep::CloseWatch => self.watch = None,
                WatchStep::ReportLost => {}
            }
        }
    }
}

impl Hash for DiscoveryState {
    /// Hashes points in time relative to now: what can happen next depends on nothing else.
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.clock_steps, self.faults, self.violations, self.up).hash(hasher);
        let missing_for = self.missing_since.map(|since| self.now - since);
        missing_for.hash(hasher);
        for channel in [&self.watch, &self.call] {
            channel.is_some().hash(hasher);
            if let Some(channel) = channel {
                channel.fingerprint(self.now, hasher);
            }
        }
        self.machine.fingerprint(self.now, hasher);
    }
}
