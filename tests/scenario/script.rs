//! The text of a scenario, taken apart into what the front starts with and the steps.

use super::named_texts;

/// The rules of the fault shim without any fault.
const NO_FAULTS: &str = "none";
/// Starts a line that edits the configuration before the front starts.
const SETTINGS: &str = "settings ";
/// Starts a line with rules of the fault shim.
const FAULTS: &str = "faults ";

/// A replacement in the configuration of the front: of the first `from` by `to`.
pub struct Edit {
    pub from: String,
    pub to: String,
}

impl Edit {
    /// Parses `FROM => TO`.
    pub fn parse(text: &str) -> Option<Edit> {
        let (from, to) = text.split_once(" => ")?;
        Some(Edit {
            from: from.to_owned(),
            to: to.to_owned(),
        })
    }

    /// Applies the edit.
    pub fn apply(&self, config: &str) -> String {
        assert!(config.contains(&self.from), "no {} in the file", self.from);
        config.replacen(&self.from, &self.to, 1)
    }
}

/// A scenario before it runs.
pub struct Script {
    /// Edits of the configuration with which the front starts.
    pub edits: Vec<Edit>,
    /// The rules of the fault shim at the start; `None` where the front runs without the shim.
    pub faults: Option<String>,
    /// The steps, in their order.
    pub steps: Vec<String>,
}

impl Script {
    /// Parses a script: a line each, `settings` and the first `faults` ahead of all steps.
    pub fn parse(text: &str) -> Script {
        let text = named_texts::expand(text);
        let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
        let lines: Vec<&str> = lines.collect();
        let is_preparation = |line: &&str| line.starts_with(SETTINGS) || line.starts_with(FAULTS);
        let preparation_count = lines.iter().take_while(|line| is_preparation(line)).count();
        let (preparation, steps) = lines.split_at(preparation_count);
        let edits = preparation
            .iter()
            .filter_map(|line| Edit::parse(line.strip_prefix(SETTINGS)?));
        let initial_faults = preparation
            .iter()
            .find_map(|line| line.strip_prefix(FAULTS));
        let uses_faults = lines.iter().any(|line| line.starts_with(FAULTS));
        Script {
            edits: edits.collect(),
            faults: uses_faults.then(|| initial_faults.unwrap_or(NO_FAULTS).to_owned()),
            steps: steps.iter().map(|step| (*step).to_owned()).collect(),
        }
    }
}
