//! The search: breadth first over every reachable state, so that what it finds it finds by a shortest history.

use std::fmt::{Debug, Display};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::num::NonZeroUsize;
use std::time::{Duration, Instant};

use serde::Serialize;
use stateright::{Checker, HasDiscoveries, Model};

use crate::properties::{self, Broken};
use crate::trace::Trace;

/// What commands say of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct Card {
    /// Its name.
    pub name: &'static str,
    /// What it is about.
    pub about: &'static str,
    /// Whether it is part of the quick run.
    pub quick: bool,
}

/// Whether two states count as one: where all that is hashed of them is the same.
pub fn same<S: Hash>(a: &S, b: &S) -> bool {
    let hash = |s: &S| {
        let mut hasher = DefaultHasher::new();
        s.hash(&mut hasher);
        hasher.finish()
    };
    hash(a) == hash(b)
}

/// A world that can be explored: what it begins with, what may come next, and what that leads to.
pub trait Explored: Clone + Send + Sync + 'static {
    /// A state of it. Two of one hash are taken for one.
    type State: Clone + Debug + Hash + PartialEq + Send + Sync + 'static;
    /// A step from one state to the next; its text names it among all that may come.
    type Step: Clone + Debug + Display + PartialEq + Send + Sync + 'static;

    /// What commands say of it.
    fn card(&self) -> Card;
    /// What everything begins with.
    fn begin(&self) -> Self::State;
    /// Everything that may come next.
    fn next(&self, state: &Self::State, steps: &mut Vec<Self::Step>);
    /// The state after a step, which is one that `next` gave.
    fn after(&self, last: &Self::State, step: &Self::Step) -> Self::State;
    /// The properties broken on the way to a state.
    fn broken<'a>(&self, state: &'a Self::State) -> &'a Broken;

    /// Their names.
    fn broken_names(&self, state: &Self::State) -> Vec<&'static str> {
        let broken = self.broken(state);
        properties::ALL.iter().filter(|p| (p.is_broken)(broken)).map(|p| p.name).collect()
    }
}

/// A world as the search knows it.
struct Searched<W>(W);

impl<W: Explored> Model for Searched<W> {
    type State = W::State;
    type Action = W::Step;

    fn init_states(&self) -> Vec<W::State> {
        vec![self.0.begin()]
    }

    fn actions(&self, state: &W::State, actions: &mut Vec<W::Step>) {
        self.0.next(state, actions);
    }

    fn next_state(&self, last: &W::State, step: W::Step) -> Option<W::State> {
        Some(self.0.after(last, &step))
    }

    fn properties(&self) -> Vec<stateright::Property<Self>> {
        // One for all: which of ours is broken stands in the state, and the search ends at the first.
        let holds = |searched: &Self, state: &W::State| !searched.0.broken(state).any();
        vec![stateright::Property::always("rules", holds)]
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
pub fn explore<W: Explored>(world: W, bounds: Bounds, mut progress: impl FnMut(usize, usize)) -> Report {
    let (config, began) = (world.card().name, Instant::now());
    let copy = world.clone();
    let search = Searched(world)
        .checker()
        .threads(bounds.threads.get())
        .finish_when(HasDiscoveries::Any)
        .timeout(bounds.time);
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
pub fn walk<W: Explored>(world: &W, seed: u64, most: usize) -> Vec<W::Step> {
    let mut random = fastrand::Rng::with_seed(seed);
    let (mut state, mut taken, mut steps) = (world.begin(), Vec::new(), Vec::new());
    while taken.len() < most {
        steps.clear();
        world.next(&state, &mut steps);
        let Some(step) = random.choice(&steps).cloned() else { break };
        state = world.after(&state, &step);
        taken.push(step);
        if world.broken(&state).any() {
            break;
        }
    }
    taken
}

/// Resident memory of this process, in MB; 0 where the system does not tell.
pub fn memory_mb() -> u64 {
    let told = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    told.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * 4096 / 1_000_000
}
