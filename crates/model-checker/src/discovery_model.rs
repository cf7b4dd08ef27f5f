//! A model of the watch on discovery: discovery is down, refuses calls, or responds late or never;
//! watches fall silent or break; a new configuration names another discovery; the scheduler asks
//! for the endpoint list at any time or never.
//!
//! The state machine in it is the one that ships: [`DiscoveryWatch`]. The clock advances by a fixed
//! step, and only after everything that is due has been done.

use std::fmt;
use std::hash::{Hash, Hasher};

use tulipbridge_core::discovery_watch::{DiscoveryWatch, WatchEvent, WatchStep, STALE_AFTER};
use tulipbridge_core::Nanos;

use crate::model::{Model, ModelSummary};
use crate::properties::Violations;
use crate::time::{MS, START};

/// Time that passes in [`Step::ClockAdvances`].
const CLOCK_STEP: Nanos = 250 * MS;
/// Discovery answers a call within this.
const MAX_CALL_TIME: Nanos = 2_000 * MS;
/// A watch that works sends a heartbeat at least this often.
const HEARTBEAT_INTERVAL: Nanos = 2_000 * MS;

/// A configuration of the model.
#[derive(Clone, Debug)]
pub struct DiscoveryModel {
    /// How the commands list it.
    pub summary: ModelSummary,
    /// Position of the front's calls within their jitter, from 0 to 1.
    pub jitter: f64,
    /// Largest number of clock steps in one history.
    pub max_clock_steps: u8,
    /// Largest number of faults in one history.
    pub max_faults: u8,
}

/// A watch, or a call that opens one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Channel {
    opened_at: Nanos,
    last_message_at: Nanos,
    /// Nothing arrives on it any more.
    silent: bool,
}

/// A state of the model.
#[derive(Clone, Debug)]
pub struct State {
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

/// A transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Time passes.
    ClockAdvances,
    /// The timer of the machine is due.
    TimerDue,
    /// Discovery answers the call.
    CallSucceeds,
    /// The call fails.
    CallRefused,
    /// The watch sends a heartbeat.
    Heartbeat,
    /// The watch and the call fall silent.
    ChannelsFallSilent,
    /// The watch breaks.
    WatchBreaks,
    /// Discovery goes down.
    DiscoveryDown,
    /// Discovery comes back up.
    DiscoveryUp,
    /// A new configuration names another discovery.
    DiscoveryMoved,
    /// The scheduler asks for the endpoint list.
    ListWanted,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Step::ClockAdvances => "the clock moves on",
            Step::TimerDue => "what is due is done",
            Step::CallSucceeds => "discovery answers the call",
            Step::CallRefused => "discovery refuses the call",
            Step::Heartbeat => "the watch says that nothing has changed",
            Step::ChannelsFallSilent => "all that is open falls silent",
            Step::WatchBreaks => "the watch breaks",
            Step::DiscoveryDown => "discovery goes down",
            Step::DiscoveryUp => "discovery comes back",
            Step::DiscoveryMoved => "a new configuration names a discovery",
            Step::ListWanted => "who decides wants the list",
        })
    }
}

impl Model for DiscoveryModel {
    type State = State;
    type Step = Step;

    fn summary(&self) -> ModelSummary {
        self.summary
    }

    fn initial_state(&self) -> State {
        State {
            now: START,
            clock_steps: 0,
            faults: 0,
            machine: DiscoveryWatch::new(START, 0, self.jitter),
            watch: None,
            call: None,
            up: true,
            missing_since: Some(START),
            violations: Violations::default(),
        }
    }

    fn generate_steps(&self, state: &State, steps: &mut Vec<Step>) {
        let timer_due = state.machine.due().is_some_and(|due| state.now >= due);
        if timer_due {
            steps.push(Step::TimerDue);
        }
        let call = state.live_call();
        if call.is_some() {
            steps.push(if state.up {
                Step::CallSucceeds
            } else {
                Step::CallRefused
            });
        }
        let heartbeat_due = state
            .live_watch()
            .is_some_and(|watch| state.now - watch.last_message_at >= HEARTBEAT_INTERVAL);
        if heartbeat_due {
            steps.push(Step::Heartbeat);
        }
        steps.push(Step::ListWanted);
        if !state.up {
            steps.push(Step::DiscoveryUp);
        }
        if state.faults < self.max_faults {
            state.generate_faults(steps);
        }
        // While discovery is up it answers a call in time; while it is down it refuses it at once.
        let call_due =
            call.is_some_and(|call| !state.up || state.now - call.opened_at >= MAX_CALL_TIME);
        if !timer_due && !heartbeat_due && !call_due && state.clock_steps < self.max_clock_steps {
            steps.push(Step::ClockAdvances);
        }
    }

    fn apply(&self, state: &State, step: &Step) -> State {
        let mut next = state.clone();
        next.take(*step);
        next
    }

    fn violations(state: &State) -> &Violations {
        &state.violations
    }
}

impl State {
    /// The watch, unless it has fallen silent.
    fn live_watch(&self) -> Option<Channel> {
        self.watch.filter(|watch| !watch.silent)
    }

    /// The call, unless it has fallen silent.
    fn live_call(&self) -> Option<Channel> {
        self.call.filter(|call| !call.silent)
    }

    fn generate_faults(&self, steps: &mut Vec<Step>) {
        if self.watch.is_some() || self.call.is_some() {
            steps.push(Step::ChannelsFallSilent);
        }
        if self.live_watch().is_some() {
            steps.push(Step::WatchBreaks);
        }
        if self.up {
            steps.push(Step::DiscoveryDown);
        }
        steps.push(Step::DiscoveryMoved);
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::ClockAdvances => self.advance_clock(),
            Step::TimerDue => self.feed(WatchEvent::TimerDue),
            Step::ListWanted => self.feed(WatchEvent::ListRequested),
            Step::CallSucceeds => self.feed(WatchEvent::Opened),
            Step::CallRefused => {
                self.call = None;
                self.feed(WatchEvent::Failed);
            }
            Step::Heartbeat => self.receive_heartbeat(),
            Step::ChannelsFallSilent => self.silence_channels(),
            Step::WatchBreaks => self.break_watch(),
            Step::DiscoveryDown => self.stop_discovery(),
            Step::DiscoveryUp => {
                self.up = true;
                self.missing_since = Some(self.now);
            }
            Step::DiscoveryMoved => {
                self.faults += 1;
                self.missing_since = self.up.then_some(self.now);
                self.feed(WatchEvent::AddressChanged);
            }
        }
        // Nothing is missed while a watch works, unless it is a watch on the previous discovery.
        if self.live_watch().is_some() && step != Step::DiscoveryMoved {
            self.missing_since = None;
        }
    }

    fn advance_clock(&mut self) {
        self.now += CLOCK_STEP;
        self.clock_steps += 1;
        let is_stale = self
            .missing_since
            .is_some_and(|since| self.now - since > STALE_AFTER);
        self.violations.watch_overdue |= is_stale;
    }

    fn receive_heartbeat(&mut self) {
        if let Some(watch) = self.watch.as_mut() {
            watch.last_message_at = self.now;
        }
        self.feed(WatchEvent::MessageReceived);
    }

    fn silence_channels(&mut self) {
        self.faults += 1;
        for channel in [&mut self.watch, &mut self.call].into_iter().flatten() {
            channel.silent = true;
        }
        // A fault on top of another restarts the time.
        self.missing_since = self.up.then_some(self.now);
    }

    fn break_watch(&mut self) {
        self.faults += 1;
        self.watch = None;
        self.missing_since = self.missing_since.or(self.up.then_some(self.now));
        self.feed(WatchEvent::Ended);
    }

    fn stop_discovery(&mut self) {
        self.faults += 1;
        self.up = false;
        self.missing_since = None;
        if self.live_watch().is_some() {
            self.watch = None;
            self.feed(WatchEvent::Ended);
        }
    }

    /// Passes an event to the machine and does what it asks for.
    fn feed(&mut self, event: WatchEvent) {
        let now = self.now;
        for step in self.machine.on(now, event) {
            match step {
                WatchStep::Call => {
                    self.call = Some(Channel {
                        opened_at: now,
                        last_message_at: now,
                        silent: false,
                    });
                }
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

impl Hash for State {
    /// Hashes points in time relative to now: what can happen next depends on nothing else.
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        let age = |moment: Nanos| self.now - moment;
        let channel_key = |channel: &Option<Channel>| {
            channel.map(|channel| {
                (
                    age(channel.opened_at),
                    age(channel.last_message_at),
                    channel.silent,
                )
            })
        };
        (self.clock_steps, self.faults, self.violations, self.up).hash(hasher);
        self.missing_since.map(age).hash(hasher);
        (channel_key(&self.watch), channel_key(&self.call)).hash(hasher);
        self.machine.fingerprint(self.now, hasher);
    }
}
