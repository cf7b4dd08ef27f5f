//! Histories as files: readable event by event, replayed, and shrunk.

use std::fmt;
use std::path::{Path, PathBuf};

use serde::Serialize;

use crate::configs::{self, Config};
use crate::explore::Explored;

const FIRST_LINE: &str = "tulipbridge-check trace 1";

/// A history of one configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Trace {
    /// The configuration.
    pub config: String,
    /// The properties that it breaks, if any.
    pub breaks: Vec<String>,
    /// Its steps, in words.
    pub steps: Vec<String>,
}

/// Why a file is no history that can be replayed.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// Its first line is another's.
    #[error("{}: line 1 must be '{FIRST_LINE}', not '{found}'", path.display())]
    Kind {
        /// The file.
        path: PathBuf,
        /// What is there.
        found: String,
    },
    /// Its configuration is not known.
    #[error("{}: line 2 must be 'config NAME' with a name that 'list' shows, not '{found}'", path.display())]
    Config {
        /// The file.
        path: PathBuf,
        /// What is there.
        found: String,
    },
    /// A step cannot come here.
    #[error("step {number} cannot come there: '{found}' is none of the {enabled} that may")]
    Step {
        /// Which, counted from 1.
        number: usize,
        /// What is there.
        found: String,
        /// How many may come.
        enabled: usize,
    },
}

impl Trace {
    /// Of steps that can be taken one after another.
    pub fn of<W: Explored>(world: &W, steps: &[W::Step]) -> Trace {
        let mut state = world.begin();
        for step in steps {
            state = world.after(&state, step);
        }
        let breaks = world.broken_names(&state).into_iter().map(str::to_owned).collect();
        let steps = steps.iter().map(W::Step::to_string).collect();
        Trace { config: world.card().name.to_owned(), breaks, steps }
    }

    /// Reads a file.
    ///
    /// # Errors
    /// Where it cannot be read, or is no history of a known configuration.
    pub fn read(path: &Path) -> Result<(Config, Trace), TraceError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| TraceError::Read { path: path.to_owned(), source })?;
        let mut lines = text.lines();
        let first = lines.next().unwrap_or_default();
        if first != FIRST_LINE {
            let found = first.chars().take(60).collect();
            return Err(TraceError::Kind { path: path.to_owned(), found });
        }
        let second = lines.next().unwrap_or_default();
        let world = second.strip_prefix("config ").and_then(configs::named);
        let world = world.ok_or_else(|| {
            let found = second.chars().take(60).collect();
            TraceError::Config { path: path.to_owned(), found }
        })?;
        let mut trace = Trace { config: world.card().name.to_owned(), breaks: Vec::new(), steps: Vec::new() };
        for line in lines.map(str::trim).filter(|l| !l.is_empty()) {
            match line.strip_prefix("breaks ") {
                Some(name) => trace.breaks.push(name.to_owned()),
                None => trace.steps.push(line.to_owned()),
            }
        }
        Ok((world, trace))
    }

    /// Plays it, telling each step with the properties broken so far.
    ///
    /// # Errors
    /// Where a step cannot come when it is told to.
    pub fn replay<W: Explored>(
        &self,
        world: &W,
        mut each: impl FnMut(&str, &[&str]),
    ) -> Result<W::State, TraceError> {
        let (mut state, mut steps) = (world.begin(), Vec::new());
        for (i, line) in self.steps.iter().enumerate() {
            steps.clear();
            world.next(&state, &mut steps);
            let step = steps.iter().find(|s| s.to_string() == *line).ok_or_else(|| TraceError::Step {
                number: i + 1,
                found: line.clone(),
                enabled: steps.len(),
            })?;
            state = world.after(&state, step);
            each(line, &world.broken_names(&state));
        }
        Ok(state)
    }
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{FIRST_LINE}\nconfig {}", self.config)?;
        for name in &self.breaks {
            writeln!(f, "breaks {name}")?;
        }
        self.steps.iter().try_for_each(|step| writeln!(f, "{step}"))
    }
}

/// Leaves out of a history whatever is not needed for it to come to a state that is wanted.
pub fn shrink<W: Explored>(world: &W, steps: &[W::Step], wanted: impl Fn(&W::State) -> bool) -> Vec<W::Step> {
    let mut kept = played(world, steps, &wanted).unwrap_or_else(|| steps.to_vec());
    let mut part = kept.len().max(1) / 2;
    while part > 0 {
        let mut from = 0;
        while from < kept.len() {
            let rest = &kept[(from + part).min(kept.len())..];
            let without: Vec<W::Step> = kept[..from].iter().chain(rest).cloned().collect();
            match played(world, &without, &wanted) {
                Some(shorter) => kept = shorter,
                None => from += part,
            }
        }
        part /= 2;
    }
    kept
}

/// Plays what of a history can come, up to a state that is wanted, if it comes to one.
fn played<W: Explored>(
    world: &W,
    steps: &[W::Step],
    wanted: &impl Fn(&W::State) -> bool,
) -> Option<Vec<W::Step>> {
    let (mut state, mut taken, mut may) = (world.begin(), Vec::new(), Vec::new());
    for step in steps {
        may.clear();
        world.next(&state, &mut may);
        if may.contains(step) {
            state = world.after(&state, step);
            taken.push(step.clone());
        }
        if wanted(&state) {
            return Some(taken);
        }
    }
    None
}
