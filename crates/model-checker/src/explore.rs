//! Exhaustive and random exploration of a model.
//!
//! The search is breadth first over every reachable state, so the history it reports for a
//! violation is a shortest one when it runs on one thread.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::num::NonZeroUsize;
use std::time::{Duration, Instant};

use serde::Serialize;
use stateright::{Checker, HasDiscoveries};

use crate::history::History;
use crate::model::Model;

/// How often a running search reports progress and checks its memory.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(5);
/// Size of a page in `/proc/self/statm`, in bytes.
const PAGE_BYTES: u64 = 4096;
/// Bytes in a megabyte, as limits and reports count them.
const BYTES_PER_MB: u64 = 1_000_000;

/// A state as the search stores it. States are equal when their hashes are: whatever a model leaves
/// out of the hash does not distinguish states.
#[derive(Clone, Debug)]
struct SearchState<S>(S);

impl<S: Hash> SearchState<S> {
    /// The hash by which states are compared.
    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

impl<S: Hash> Hash for SearchState<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.0.hash(hasher);
    }
}

impl<S: Hash> PartialEq for SearchState<S> {
    fn eq(&self, other: &Self) -> bool {
        self.fingerprint() == other.fingerprint()
    }
}

/// Adapts a [`Model`] to the search engine.
struct SearchModel<M>(M);

impl<M: Model> stateright::Model for SearchModel<M> {
    type State = SearchState<M::State>;
    type Action = M::Step;

    fn init_states(&self) -> Vec<Self::State> {
        vec![SearchState(self.0.initial_state())]
    }

    fn actions(&self, state: &Self::State, steps: &mut Vec<M::Step>) {
        self.0.enabled_steps(&state.0, steps);
    }

    fn next_state(&self, last: &Self::State, step: M::Step) -> Option<Self::State> {
        Some(SearchState(self.0.apply(&last.0, &step)))
    }

    fn properties(&self) -> Vec<stateright::Property<Self>> {
        // The engine needs a single property: the state itself records which of ours are violated,
        // and the search ends at the first violation.
        let holds = |_: &Self, state: &Self::State| !M::violations(&state.0).any();
        vec![stateright::Property::always("no-violation", holds)]
    }
}

/// Resources that a search may use.
#[derive(Clone, Copy, Debug)]
pub struct SearchLimits {
    /// Number of search threads.
    pub threads: NonZeroUsize,
    /// Largest resident memory of this process, in MB.
    pub memory_mb: u64,
    /// Longest duration.
    pub time: Duration,
}

/// How far a running search has got.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Number of distinct states so far.
    pub states: usize,
    /// Length of the longest of the shortest histories so far.
    pub depth: usize,
}

/// The result of a search. The names of its serialized fields are part of the report format.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the configuration.
    pub config: &'static str,
    /// Number of distinct states.
    pub states: usize,
    /// Number of transitions, including those into known states.
    pub steps: usize,
    /// Length of the longest of the shortest histories.
    pub depth: usize,
    /// Duration in seconds.
    pub seconds: f64,
    /// Resident memory of this process at the end, in MB.
    pub memory_mb: u64,
    /// Whether every reachable state was visited without a violation.
    pub exhausted: bool,
    /// A history that violates a property, if one was found.
    #[serde(rename = "broken")]
    pub violation: Option<History>,
}

/// Searches every reachable state of a model, until a property is violated or a limit is reached.
///
/// `on_progress` is called every few milliseconds.
pub fn explore<M: Model>(
    model: M,
    limits: SearchLimits,
    on_progress: impl FnMut(Progress),
) -> Report {
    let config = model.summary().name;
    let started_at = Instant::now();
    let replay_model = model.clone();
    let search = stateright::Model::checker(SearchModel(model))
        .threads(limits.threads.get())
        .finish_when(HasDiscoveries::Any)
        .timeout(limits.time)
        .spawn_bfs();
    let out_of_memory = !watch_until_done(&search, limits.memory_mb, on_progress);
    let discovery = search.discoveries().into_values().next();
    let violation = discovery.map(|path| History::of(&replay_model, &path.into_actions()));
    let timed_out = started_at.elapsed() >= limits.time;
    Report {
        config,
        states: search.unique_state_count(),
        steps: search.state_count(),
        depth: search.max_depth(),
        seconds: started_at.elapsed().as_secs_f64(),
        memory_mb: resident_memory_mb(),
        exhausted: violation.is_none() && !timed_out && !out_of_memory,
        violation,
    }
}

/// Waits for a search to end. Returns false as soon as this process exceeds its memory limit; the
/// search engine has no such limit of its own.
fn watch_until_done<M: Model>(
    search: &impl Checker<SearchModel<M>>,
    max_memory_mb: u64,
    mut on_progress: impl FnMut(Progress),
) -> bool {
    while !search.is_done() {
        std::thread::sleep(PROGRESS_INTERVAL);
        on_progress(Progress {
            states: search.unique_state_count(),
            depth: search.max_depth(),
        });
        if resident_memory_mb() > max_memory_mb {
            return false;
        }
    }
    true
}

/// Takes up to `max_steps` random steps and returns them. The same seed gives the same steps; the
/// walk ends early at a violation.
pub fn random_walk<M: Model>(model: &M, seed: u64, max_steps: usize) -> Vec<M::Step> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut state = model.initial_state();
    let mut taken = Vec::new();
    let mut enabled = Vec::new();
    while taken.len() < max_steps {
        enabled.clear();
        model.enabled_steps(&state, &mut enabled);
        let Some(step) = random.choice(&enabled).cloned() else {
            break;
        };
        state = model.apply(&state, &step);
        taken.push(step);
        if M::violations(&state).any() {
            break;
        }
    }
    taken
}

/// Resident memory of this process in MB, or 0 where the system does not report it.
pub fn resident_memory_mb() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident_pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    resident_pages.unwrap_or(0) * PAGE_BYTES / BYTES_PER_MB
}
