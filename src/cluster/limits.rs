//! What parts of shared limits come to: figures that the decision module is told, from the plans of volumes and from
//! what the operators' file states for the whole fleet.

use std::collections::HashMap;

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tulipbridge_core::request_tracker::Input;
use tulipbridge_core::{Outcome, Settings, SharedLimit, VolumeId};
use tulipbridge_fleet_limits::{Limit, Share, FULL_SHARE};

use crate::config::settings::{num, Res};

/// A request that comes asks for this much of the further attempts, where one that has failed asks for 1: a front with
/// traffic has a part before its first failure.
const RETRY_RESERVE_PER_REQUEST: f64 = 0.02;

/// A limit's figures, or a part of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitRate {
    /// A second; of requests out at a server, how many.
    pub rate: f64,
    /// Most in store.
    pub burst: f64,
}

/// A part of a limit's figures. A store holds one request at the least, so that a small part is a slow rate and not a
/// limit on size.
fn scaled(whole: LimitRate, part: Share, one: f64) -> LimitRate {
    let share = f64::from(part) / f64::from(FULL_SHARE);
    let burst = if part == 0 { 0.0 } else { (whole.burst * share).max(one) };
    LimitRate { rate: whole.rate * share, burst }
}

/// Limits that are no volume's, as the operators' file states them for the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConfiguredLimits {
    retries: Option<LimitRate>,
    warming_up: Option<LimitRate>,
    in_flight: Option<f64>,
}

impl ConfiguredLimits {
    /// Reads `peers.limits`.
    ///
    /// # Errors
    /// A plain sentence that names the path of what is wrong.
    pub fn read(value: Option<&Value>) -> Res<ConfiguredLimits> {
        let Some(value) = value else { return Ok(ConfiguredLimits::default()) };
        let object = value.as_object().ok_or("'peers.limits' must be an object")?;
        let known = ["further_attempts", "starting_server", "out_at_server"];
        if let Some(other) = object.keys().find(|k| !known.contains(&k.as_str())) {
            return Err(format!("'peers.limits.{other}' is not known"));
        }
        let figure = |of: &Value, key: &str, path: &str| match num(of, key) {
            Ok(told) if told > 0.0 => Ok(told),
            _ => Err(format!("'peers.limits.{path}' must be a number above 0")),
        };
        let figures = |key: &str| {
            let Some(of) = value.get(key) else { return Ok(None) };
            let object = of.as_object().ok_or_else(|| format!("'peers.limits.{key}' must be an object"))?;
            if let Some(other) = object.keys().find(|k| !["rate", "burst"].contains(&k.as_str())) {
                return Err(format!("'peers.limits.{key}.{other}' is not known"));
            }
            let rate = figure(of, "rate", &format!("{key}.rate"))?;
            let burst = figure(of, "burst", &format!("{key}.burst"))?;
            Ok::<_, String>(Some(LimitRate { rate, burst }))
        };
        let out = value.get("out_at_server").map(|_| figure(value, "out_at_server", "out_at_server"));
        Ok(ConfiguredLimits {
            retries: figures("further_attempts")?,
            warming_up: figures("starting_server")?,
            in_flight: out.transpose()?,
        })
    }

    /// Whether every limit that is stated here is stated there as well.
    pub fn is_within(&self, there: &ConfiguredLimits) -> bool {
        let kept = |here: bool, there: bool| !here || there;
        kept(self.retries.is_some(), there.retries.is_some())
            && kept(self.warming_up.is_some(), there.warming_up.is_some())
            && kept(self.in_flight.is_some(), there.in_flight.is_some())
    }

    /// The limits that hang on parts, by the name that operators read.
    pub fn limits(&self) -> impl Iterator<Item = (Limit, &'static str)> {
        let further = self.retries.is_some().then_some((Limit::Retries, "further_attempts"));
        let servers = self.warming_up.is_some() || self.in_flight.is_some();
        further.into_iter().chain(servers.then_some((Limit::ServerLoad, "servers")))
    }

    /// What an input asks for of them.
    pub fn demand_of(&self, input: &Input) -> Vec<(Limit, f64)> {
        let (further, servers) =
            (self.retries.is_some(), self.warming_up.is_some() || self.in_flight.is_some());
        let failed = match input {
            Input::RequestReceived(r) => {
                let servers = servers.then_some((Limit::ServerLoad, r.units));
                return servers
                    .into_iter()
                    .chain(further.then_some((Limit::Retries, RETRY_RESERVE_PER_REQUEST)))
                    .collect();
            }
            Input::AttemptEnded { outcome, .. } => *outcome != Outcome::Served,
            Input::AttemptTimedOut { .. } => true,
            _ => false,
        };
        (failed && further).then_some((Limit::Retries, 1.0)).into_iter().collect()
    }

    /// What a part of a limit comes to.
    fn limits_for_share(&self, limit: Limit, part: Share, set: &Settings) -> Vec<(SharedLimit, LimitRate)> {
        let further = self.retries.map(|f| (SharedLimit::Retries, scaled(f, part, 1.0)));
        let starting = self.warming_up.map(|s| (SharedLimit::WarmingUpNode, scaled(s, part, set.max_units)));
        let out = self.in_flight.map(|most| {
            let whole = LimitRate { rate: most, burst: 0.0 };
            (SharedLimit::InFlightPerNode, LimitRate { burst: 0.0, ..scaled(whole, part, 0.0) })
        });
        match limit {
            Limit::Retries => further.into_iter().collect(),
            Limit::ServerLoad => starting.into_iter().chain(out).collect(),
            Limit::Volume(_) => Vec::new(),
        }
    }
}

/// What this front may use of each limit, with the plan that each volume last came with.
#[derive(Default)]
pub struct FleetLimits {
    volumes: HashMap<VolumeId, (usize, Share)>,
    configured: ConfiguredLimits,
    shares: HashMap<Limit, Share>,
}

impl FleetLimits {
    /// Takes what the operators' file states; gives what the module is told of it now: nothing of a limit, until there
    /// is a part.
    pub fn configure(&mut self, stated: ConfiguredLimits, set: &Settings) -> Vec<(SharedLimit, LimitRate)> {
        self.configured = stated;
        let part = |limit| self.shares.get(&limit).copied().unwrap_or(0);
        stated.limits().flat_map(|(limit, _)| stated.limits_for_share(limit, part(limit), set)).collect()
    }

    /// What is stated.
    pub fn configured(&self) -> &ConfiguredLimits {
        &self.configured
    }

    /// This front's part of a limit that is no volume's.
    pub fn share(&self, limit: Limit) -> Share {
        self.shares.get(&limit).copied().unwrap_or(0)
    }

    /// A volume is asked for under a plan. Gives its limit anew where the plan is another than before: a file taken
    /// at SIGHUP may have changed its figures.
    pub fn volume_requested(
        &mut self,
        volume: VolumeId,
        plan: usize,
        set: &Settings,
    ) -> Option<(SharedLimit, LimitRate)> {
        let (held, part) = self.volumes.entry(volume).or_insert((plan, 0));
        let other = std::mem::replace(held, plan) != plan;
        let part = *part;
        other.then(|| FleetLimits::volume_limit(volume, plan, part, set)).flatten()
    }

    /// So much of a limit is this front's.
    pub fn set_share(&mut self, limit: Limit, part: Share, set: &Settings) -> Vec<(SharedLimit, LimitRate)> {
        let Limit::Volume(volume) = limit else {
            self.shares.insert(limit, part);
            return self.configured.limits_for_share(limit, part, set);
        };
        let Some((plan, held)) = self.volumes.get_mut(&volume) else { return Vec::new() };
        *held = part;
        FleetLimits::volume_limit(volume, *plan, part, set).into_iter().collect()
    }

    /// Nobody asks for a limit any more: nothing of it is this front's.
    pub fn forget(&mut self, limit: Limit, set: &Settings) -> Vec<(SharedLimit, LimitRate)> {
        match limit {
            Limit::Volume(volume) => {
                self.volumes.remove(&volume);
                vec![(SharedLimit::Volume(volume), LimitRate::default())]
            }
            _ => self.set_share(limit, 0, set),
        }
    }

    fn volume_limit(
        volume: VolumeId,
        plan: usize,
        part: Share,
        set: &Settings,
    ) -> Option<(SharedLimit, LimitRate)> {
        let plan = set.plans.get(plan)?;
        let whole = LimitRate { rate: plan.limit_rate, burst: plan.limit_burst };
        Some((SharedLimit::Volume(volume), scaled(whole, part, set.max_units)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn set() -> Settings {
        let json = include_bytes!("../../crates/testbed/src/settings.json").to_vec();
        let boot = simd_json::to_owned_value(&mut json.clone()).expect("JSON");
        crate::config::settings::settings(&boot).expect("it holds")
    }

    fn stated(text: &str) -> Res<ConfiguredLimits> {
        let value = simd_json::to_owned_value(&mut text.as_bytes().to_vec()).expect("JSON");
        ConfiguredLimits::read(Some(&value))
    }

    #[test]
    fn a_volume_that_comes_with_another_plan_has_its_part_of_that_one() {
        let mut set = set();
        let mut faster = set.plans[0].clone();
        faster.limit_rate *= 3.0;
        set.plans.push(faster);
        let mut shares = FleetLimits::default();
        let of = |rate, burst| (SharedLimit::Volume(7), LimitRate { rate, burst });
        assert_eq!(shares.set_share(Limit::Volume(7), FULL_SHARE, &set), [], "nobody asks for it");
        assert_eq!(shares.volume_requested(7, 0, &set), None);
        assert_eq!(shares.set_share(Limit::Volume(7), FULL_SHARE / 4, &set), [of(10.0, 6.0)]);
        assert_eq!(shares.volume_requested(7, 0, &set), None);
        assert_eq!(shares.volume_requested(7, 1, &set), Some(of(30.0, 6.0)));
        assert_eq!(shares.set_share(Limit::Volume(7), 0, &set), [of(0.0, 0.0)]);
    }

    const ALL: &str = r#"{"further_attempts": {"rate": 20, "burst": 8}, "out_at_server": 64,
        "starting_server": {"rate": 30, "burst": 40}}"#;

    #[test]
    fn what_is_stated_is_told_by_parts_and_nothing_of_it_without_one() {
        let (set, mut shares) = (set(), FleetLimits::default());
        let told = shares.configure(stated(ALL).expect("it holds"), &set);
        assert_eq!(told.len(), 3);
        assert!(told.iter().all(|(_, f)| *f == LimitRate::default()), "{told:?}");
        let told = shares.set_share(Limit::ServerLoad, FULL_SHARE / 4, &set);
        let of = |of, rate, burst| (of, LimitRate { rate, burst });
        assert_eq!(
            told,
            [of(SharedLimit::WarmingUpNode, 7.5, 10.0), of(SharedLimit::InFlightPerNode, 16.0, 0.0)]
        );
        assert_eq!(
            shares.set_share(Limit::Retries, FULL_SHARE / 100, &set),
            [of(SharedLimit::Retries, 0.2, 1.0)]
        );
        // New figures hold for the part that is held.
        let told = shares.configure(stated(&ALL.replace("64", "32")).expect("it holds"), &set);
        assert!(told.contains(&of(SharedLimit::InFlightPerNode, 8.0, 0.0)), "{told:?}");
        assert_eq!(shares.forget(Limit::Retries, &set), [of(SharedLimit::Retries, 0.0, 0.0)]);
    }

    #[test]
    fn what_is_wrong_in_what_is_stated_is_named_by_its_path() {
        for (from, to, said) in [
            ("64", "0", "'peers.limits.out_at_server' must be a number above 0"),
            ("64", "\"x\"", "'peers.limits.out_at_server' must be a number above 0"),
            ("20", "-1", "'peers.limits.further_attempts.rate' must be a number above 0"),
            (", \"burst\": 40", "", "'peers.limits.starting_server.burst' must be a number above 0"),
            ("\"burst\": 8", "\"bust\": 8", "'peers.limits.further_attempts.bust' is not known"),
            ("out_at_server", "out_at", "'peers.limits.out_at' is not known"),
        ] {
            assert_eq!(stated(&ALL.replacen(from, to, 1)).err().as_deref(), Some(said), "{to}");
        }
        assert_eq!(ConfiguredLimits::read(None), Ok(ConfiguredLimits::default()));
        let (all, less) =
            (stated(ALL).expect("it holds"), stated("{\"out_at_server\": 9}").expect("it holds"));
        assert!(less.is_within(&all) && !all.is_within(&less));
    }
}
