//! The search: breadth first over every reachable state, so that what it finds it finds by a shortest history.

use std::num::NonZeroUsize;
use std::time::{Duration, Instant};

use serde::Serialize;
use stateright::{Checker, HasDiscoveries, Model};

use crate::properties;
use crate::trace::Trace;
use crate::world::{State, Step, World};

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![self.begin()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        self.next(state, actions);
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        Some(self.after(last, &step))
    }

    fn properties(&self) -> Vec<stateright::Property<World>> {
        // One for all: which of ours is broken stands in the state, and the search ends at the first.
        vec![stateright::Property::always("rules", |_, state: &State| !state.broken.any())]
    }
}

/// How far a search may go.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Threads.
    pub threads: NonZeroUsize,
    /// Resident memory of this process at the most, in MB.
    pub memory_mb: u64,
    /// Time at the most.
    pub time: Duration,
}

/// What a search found.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The configuration.
    pub config: &'static str,
    /// Different states.
    pub states: usize,
    /// Steps taken, those into states seen before included.
    pub steps: usize,
    /// The longest of the shortest histories.
    pub depth: usize,
    /// Seconds.
    pub seconds: f64,
    /// Resident memory of this process at the end, in MB.
    pub memory_mb: u64,
    /// Whether nothing was left to look at.
    pub exhausted: bool,
    /// A property that is broken, by a shortest history.
    pub broken: Option<Trace>,
}

/// Searches a configuration; `progress` is told of unique states now and then.
pub fn explore(world: World, bounds: Bounds, mut progress: impl FnMut(usize, usize)) -> Report {
    let (config, began) = (world.name, Instant::now());
    let copy = world.clone();
    let search =
        world.checker().threads(bounds.threads.get()).finish_when(HasDiscoveries::Any).timeout(bounds.time);
    let search = search.spawn_bfs();
    let mut out_of_memory = false;
    while !search.is_done() {
        std::thread::sleep(Duration::from_millis(5));
        progress(search.unique_state_count(), search.max_depth());
        if memory_mb() > bounds.memory_mb {
            out_of_memory = true;
            break;
        }
    }
    let broken = search.discoveries().into_values().next().map(|path| {
        let steps = path.into_actions();
        Trace::of(&copy, &steps)
    });
    let timed_out = began.elapsed() >= bounds.time;
    Report {
        config,
        states: search.unique_state_count(),
        steps: search.state_count(),
        depth: search.max_depth(),
        seconds: began.elapsed().as_secs_f64(),
        memory_mb: memory_mb(),
        exhausted: broken.is_none() && !timed_out && !out_of_memory,
        broken,
    }
}

/// A random history of at most so many steps, the same every time for a seed; ends where a property breaks.
pub fn walk(world: &World, seed: u64, most: usize) -> Vec<Step> {
    let mut random = fastrand::Rng::with_seed(seed);
    let (mut state, mut taken, mut steps) = (world.begin(), Vec::new(), Vec::new());
    while taken.len() < most {
        steps.clear();
        world.next(&state, &mut steps);
        let Some(step) = random.choice(&steps).cloned() else { break };
        state = world.after(&state, &step);
        taken.push(step);
        if state.broken.any() {
            break;
        }
    }
    taken
}

/// The names of the properties that a state has broken.
pub fn broken(state: &State) -> Vec<&'static str> {
    properties::ALL.iter().filter(|p| (p.is_broken)(&state.broken)).map(|p| p.name).collect()
}

/// Resident memory of this process, in MB; 0 where the system does not tell.
pub fn memory_mb() -> u64 {
    let told = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    told.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * 4096 / 1_000_000
}
