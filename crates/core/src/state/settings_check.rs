//! Validation of the settings.

use crate::interface::{Class, Plan, Request, Settings, SettingsError};

impl Settings {
    /// Returns the number of fronts, at least 1.
    pub(crate) fn fronts(&self) -> f64 {
        f64::from(self.front_count.max(1))
    }

    /// Returns whether the class and the plan of a request exist.
    pub(crate) fn has_class_and_plan(&self, request: &Request) -> bool {
        request.class < self.classes.len() && request.plan < self.plans.len()
    }

    /// Checks that the settings are valid.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] for the first rule that the settings violate.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() || self.plans.is_empty() {
            return Err(SettingsError::MissingClassOrPlan);
        }
        if !self.classes.iter().all(is_valid_class) {
            return Err(SettingsError::InvalidClass);
        }
        if !self.plans.iter().all(is_valid_plan) {
            return Err(SettingsError::InvalidPlan);
        }
        if self.front_count == 0 || self.max_attempts == 0 || self.quantum < 0 {
            return Err(SettingsError::InvalidCount);
        }
        let has_mean = self.mean_units.is_finite() && self.mean_units > 0.0;
        let others = [self.warmup_units, self.fair_share_value, self.idle_value];
        if !has_mean || !others.into_iter().all(is_non_negative) {
            return Err(SettingsError::InvalidUnits);
        }
        Ok(())
    }
}

fn is_valid_class(class: &Class) -> bool {
    class.latency_objective > 0
        && class.deadline > 0
        && is_non_negative(class.priority_weight)
        && is_non_negative(class.objective_stretch)
}

fn is_valid_plan(plan: &Plan) -> bool {
    let values = [
        plan.limit_rate,
        plan.limit_burst,
        plan.reserve_rate,
        plan.weight,
        plan.value_factor,
    ];
    values.into_iter().all(is_non_negative)
}

fn is_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
