//! Which servers the evidence of all fronts together proves to be outliers, and for which work.

use std::collections::{BTreeMap, BTreeSet};

use super::{OutlierDetector, RecoveryAges, View, Views};
use crate::evidence::EvidenceSummary;
use crate::mutations::{mutated, Mutation};
use crate::{ClassId, EjectionTarget, PeerId, Scope, ServerId, ZoneId};

/// At or below this log-likelihood ratio, evidence says that a server is healthy.
const HEALTHY_THRESHOLD: f64 = -1.0;
/// An outlier for one class of work alone must exceed the ejection threshold this many times, since
/// classes differ by chance before all of a server's work is seen to fail.
const CLASS_THRESHOLD_FACTOR: f64 = 2.0;
/// Zones that must have evidence of their own against a server before it is ejected for all:
/// otherwise a zone that cannot reach the server would decide for the others.
const MIN_ZONES: usize = 2;

/// The log-likelihood ratio of each proven outlier.
pub(super) type Outliers = BTreeMap<EjectionTarget, f64>;

impl OutlierDetector {
    /// The outliers by the evidence of all fronts that are not suspect. Evidence from before a
    /// server recovered is ignored.
    pub(super) fn find_outliers(
        &self,
        views: &Views,
        suspects: &BTreeSet<PeerId>,
        recovered: &RecoveryAges,
    ) -> Outliers {
        let mut outliers = Outliers::new();
        for (server, of_server) in views {
            let recovered_age = recovered.get(server);
            let is_trusted = |view: &&View| {
                !suspects.contains(&view.front) && recovered_age.is_none_or(|age| view.age < *age)
            };
            let trusted: Vec<&View> = of_server.iter().filter(is_trusted).collect();
            for scope in self.outlier_scopes(*server, &trusted) {
                let target = EjectionTarget {
                    server: *server,
                    scope,
                };
                outliers.insert(target, self.total_log_likelihood_ratio(&trusted, scope));
            }
        }
        outliers
    }

    /// The scopes for which a server is an outlier: [`Scope::All`] alone, or several others.
    fn outlier_scopes(&self, server: ServerId, trusted: &[&View]) -> BTreeSet<Scope> {
        // An ejected server is seen by probes alone, by one front at a time: it stays ejected while
        // those fail.
        let agreed = self
            .agreed
            .iter()
            .filter(|target| target.server == server)
            .map(|target| target.scope);
        let confirmed = agreed.filter(|scope| {
            self.total_log_likelihood_ratio(trusted, *scope) >= self.config.witness_threshold
        });
        let scopes: BTreeSet<Scope> = confirmed.chain(self.proven_scopes(trusted)).collect();
        if scopes.contains(&Scope::All) {
            return BTreeSet::from([Scope::All]);
        }
        scopes
    }

    /// The scopes for which evidence proves a server to be an outlier.
    fn proven_scopes(&self, views: &[&View]) -> Vec<Scope> {
        let classes = classes_of(views);
        let is_healthy = |class: &ClassId| {
            self.total_log_likelihood_ratio(views, Scope::Class(*class)) <= HEALTHY_THRESHOLD
        };
        if classes.iter().any(is_healthy) {
            let threshold = CLASS_THRESHOLD_FACTOR * self.config.ejection_threshold;
            let scopes = classes.into_iter().map(Scope::Class);
            return scopes
                .filter(|scope| self.is_proven(views, *scope, threshold))
                .collect();
        }
        let threshold = self.config.ejection_threshold;
        let zones: BTreeSet<ZoneId> = views.iter().map(|view| view.evidence.zone).collect();
        let has_half = |zone: &&ZoneId| {
            self.total_log_likelihood_ratio(views, Scope::Zone(**zone)) >= threshold / 2.0
        };
        let is_fleet_wide =
            zones.iter().filter(has_half).count() >= MIN_ZONES || mutated(Mutation::ZoneIsAll);
        if is_fleet_wide && self.is_proven(views, Scope::All, threshold) {
            return vec![Scope::All];
        }
        let scopes = zones.into_iter().map(Scope::Zone);
        scopes
            .filter(|scope| self.is_proven(views, *scope, threshold))
            .collect()
    }

    /// Whether the evidence for a scope reaches a threshold and has enough witnesses.
    fn is_proven(&self, views: &[&View], scope: Scope, threshold: f64) -> bool {
        self.total_log_likelihood_ratio(views, scope) >= threshold
            && self.is_witnessed(views, scope)
    }

    /// Whether enough fronts have evidence of their own.
    fn is_witnessed(&self, views: &[&View], scope: Scope) -> bool {
        let needed = if mutated(Mutation::OneWitness) {
            1
        } else {
            self.config.witnesses
        };
        let is_witness = |view: &&&View| {
            self.summary(view, scope).log_likelihood_ratio >= self.config.witness_threshold
        };
        views.iter().filter(is_witness).count() >= needed
    }

    /// A front's evidence for a scope.
    fn summary(&self, view: &View, scope: Scope) -> EvidenceSummary {
        if !scope.includes_zone(view.evidence.zone) {
            return EvidenceSummary::default();
        }
        EvidenceSummary::of(&view.evidence, scope.class(), &self.config)
    }

    /// The evidence of all fronts together. Each contributes half of the ejection threshold at
    /// most, so that a front that cannot reach a server and a chance failure at another do not
    /// suffice.
    fn total_log_likelihood_ratio(&self, views: &[&View], scope: Scope) -> f64 {
        let max_ratio = if mutated(Mutation::OneFrontSuffices) {
            f64::INFINITY
        } else {
            self.config.ejection_threshold / 2.0
        };
        views
            .iter()
            .map(|view| {
                self.summary(view, scope)
                    .log_likelihood_ratio
                    .min(max_ratio)
            })
            .sum()
    }
}

fn classes_of(views: &[&View]) -> BTreeSet<ClassId> {
    views
        .iter()
        .flat_map(|view| view.evidence.classes.iter().map(|listed| listed.class))
        .collect()
}
