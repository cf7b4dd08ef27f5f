//! Histories of a model as text files: written step by step, replayed, and minimized.
//!
//! A history file starts with a format line and the name of the configuration, lists the violated
//! properties, and then one step a line. Replaying matches each line against the texts of the
//! enabled steps, so these texts are part of the format.

use std::fmt;
use std::path::{Path, PathBuf};

use serde::Serialize;

use crate::configs::{self, Config};
use crate::model::Model;

/// First line of a history file; the number is the version of the format.
const FORMAT_LINE: &str = "tulipbridge-check trace 1";
/// What the line with the name of the configuration starts with.
const CONFIG_PREFIX: &str = "config ";
/// What the line of a violated property starts with.
const VIOLATION_PREFIX: &str = "breaks ";
/// Longest part of an unexpected line that an error quotes, in characters.
const MAX_QUOTED_CHARS: usize = 60;

/// The steps of one configuration, from its initial state. The names of its serialized fields are
/// part of the report format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct History {
    /// Name of the configuration.
    pub config: String,
    /// Names of the properties that the last state violates.
    #[serde(rename = "breaks")]
    pub violated: Vec<String>,
    /// Texts of the steps.
    pub steps: Vec<String>,
}

/// A history that was read from a file.
#[derive(Clone, Debug)]
pub struct StoredHistory {
    /// The configuration that it belongs to.
    pub config: Config,
    /// The history.
    pub history: History,
}

/// Why a history cannot be read or replayed.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The first line is not the format line.
    #[error("{}: line 1 must be '{FORMAT_LINE}', not '{found}'", path.display())]
    UnknownFormat {
        /// Path of the file.
        path: PathBuf,
        /// Beginning of the line.
        found: String,
    },
    /// The second line names no known configuration.
    #[error(
        "{}: line 2 must be 'config NAME' with a name that 'list' shows, not '{found}'",
        path.display()
    )]
    UnknownConfig {
        /// Path of the file.
        path: PathBuf,
        /// Beginning of the line.
        found: String,
    },
    /// A step is not enabled in the state before it.
    #[error("step {number} cannot come there: '{found}' is none of the {enabled} that may")]
    StepNotEnabled {
        /// Number of the step, counted from 1.
        number: usize,
        /// Text of the step.
        found: String,
        /// Number of enabled steps.
        enabled: usize,
    },
}

impl History {
    /// The history of steps that can be taken one after another.
    pub fn of<M: Model>(model: &M, steps: &[M::Step]) -> History {
        let mut state = model.initial_state();
        for step in steps {
            state = model.apply(&state, step);
        }
        History {
            config: model.summary().name.to_owned(),
            violated: M::violated_properties(&state)
                .into_iter()
                .map(str::to_owned)
                .collect(),
            steps: steps.iter().map(M::Step::to_string).collect(),
        }
    }

    /// Reads a history file, together with its configuration.
    ///
    /// # Errors
    /// If the file cannot be read, has another format, or names no known configuration.
    pub fn read(path: &Path) -> Result<StoredHistory, HistoryError> {
        let text = std::fs::read_to_string(path).map_err(|source| HistoryError::Read {
            path: path.to_owned(),
            source,
        })?;
        let mut lines = text.lines();
        check_format_line(path, lines.next().unwrap_or_default())?;
        let config = read_config_line(path, lines.next().unwrap_or_default())?;
        let mut history = History {
            config: config.summary().name.to_owned(),
            violated: Vec::new(),
            steps: Vec::new(),
        };
        for line in lines.map(str::trim).filter(|line| !line.is_empty()) {
            match line.strip_prefix(VIOLATION_PREFIX) {
                Some(property) => history.violated.push(property.to_owned()),
                None => history.steps.push(line.to_owned()),
            }
        }
        Ok(StoredHistory { config, history })
    }

    /// Replays the steps and returns the last state. `on_step` is called after each step with its
    /// text and the names of the properties violated so far.
    ///
    /// # Errors
    /// If a step is not enabled in the state before it.
    pub fn replay<M: Model>(
        &self,
        model: &M,
        mut on_step: impl FnMut(&str, &[&str]),
    ) -> Result<M::State, HistoryError> {
        let mut state = model.initial_state();
        let mut enabled = Vec::new();
        for (index, text) in self.steps.iter().enumerate() {
            enabled.clear();
            model.enabled_steps(&state, &mut enabled);
            let step = enabled
                .iter()
                .find(|step| step.to_string() == *text)
                .ok_or_else(|| HistoryError::StepNotEnabled {
                    number: index + 1,
                    found: text.clone(),
                    enabled: enabled.len(),
                })?;
            state = model.apply(&state, step);
            on_step(text, &M::violated_properties(&state));
        }
        Ok(state)
    }
}

/// Checks the first line of a history file.
fn check_format_line(path: &Path, line: &str) -> Result<(), HistoryError> {
    if line == FORMAT_LINE {
        return Ok(());
    }
    Err(HistoryError::UnknownFormat {
        path: path.to_owned(),
        found: quoted(line),
    })
}

/// The configuration that the second line of a history file names.
fn read_config_line(path: &Path, line: &str) -> Result<Config, HistoryError> {
    line.strip_prefix(CONFIG_PREFIX)
        .and_then(configs::named)
        .ok_or_else(|| HistoryError::UnknownConfig {
            path: path.to_owned(),
            found: quoted(line),
        })
}

/// The beginning of an unexpected line, for an error.
fn quoted(line: &str) -> String {
    line.chars().take(MAX_QUOTED_CHARS).collect()
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{FORMAT_LINE}")?;
        writeln!(f, "{CONFIG_PREFIX}{}", self.config)?;
        for property in &self.violated {
            writeln!(f, "{VIOLATION_PREFIX}{property}")?;
        }
        self.steps.iter().try_for_each(|step| writeln!(f, "{step}"))
    }
}

/// Removes steps that are not needed to reach a state that satisfies `is_goal`.
///
/// Removes parts of the history, halving their length down to single steps, as long as what remains
/// still reaches such a state.
pub fn minimize<M: Model>(
    model: &M,
    steps: &[M::Step],
    is_goal: impl Fn(&M::State) -> bool,
) -> Vec<M::Step> {
    let mut remaining = steps_to_goal(model, steps, &is_goal).unwrap_or_else(|| steps.to_vec());
    let mut part_len = remaining.len().max(1) / 2;
    while part_len > 0 {
        let mut start = 0;
        while start < remaining.len() {
            let rest = &remaining[(start + part_len).min(remaining.len())..];
            let without_part: Vec<M::Step> =
                remaining[..start].iter().chain(rest).cloned().collect();
            match steps_to_goal(model, &without_part, &is_goal) {
                Some(shorter) => remaining = shorter,
                None => start += part_len,
            }
        }
        part_len /= 2;
    }
    remaining
}

/// Takes those of the steps that are enabled when their turn comes, and returns them once they
/// reach a goal state.
fn steps_to_goal<M: Model>(
    model: &M,
    steps: &[M::Step],
    is_goal: &impl Fn(&M::State) -> bool,
) -> Option<Vec<M::Step>> {
    let mut state = model.initial_state();
    let mut taken = Vec::new();
    let mut enabled = Vec::new();
    for step in steps {
        enabled.clear();
        model.enabled_steps(&state, &mut enabled);
        if enabled.contains(step) {
            state = model.apply(&state, step);
            taken.push(step.clone());
        }
        if is_goal(&state) {
            return Some(taken);
        }
    }
    None
}
