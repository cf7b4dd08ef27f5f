//! Detection of the servers that the evidence of all fronts together proves to be outliers, and of
//! the work for which they are.

use std::collections::{BTreeMap, BTreeSet};

use super::evidence_exchange::{EvidenceByServer, FrontEvidence};
use super::probes::RecoveryAges;
use crate::evidence::EvidenceSummary;
use crate::mutations::{mutated, Mutation};
use crate::{ClassId, DetectorConfig, EjectionTarget, PeerId, Scope, ServerId, ZoneId};

/// Maximum log-likelihood ratio of evidence that a server is healthy.
const HEALTHY_THRESHOLD: f64 = -1.0;
/// Multiple of the ejection threshold that the evidence for an outlier in one class of work must
/// reach, since classes differ by chance before all of a server's work is seen to fail.
const CLASS_THRESHOLD_FACTOR: f64 = 2.0;
/// Minimum number of zones with evidence of their own against a server before it is ejected for
/// all fronts. With fewer, a zone that cannot reach the server would decide for the others.
const MIN_ZONES: usize = 2;

/// The log-likelihood ratio of each proven outlier.
pub(super) type Outliers = BTreeMap<EjectionTarget, f64>;

/// Tests which servers are outliers.
pub(super) struct OutlierTest<'a> {
    pub(super) config: &'a DetectorConfig,
    /// The targets that a quorum of the fronts already votes to eject.
    pub(super) agreed: &'a BTreeSet<EjectionTarget>,
}

impl OutlierTest<'_> {
    /// Returns the outliers by the evidence of all fronts that are not suspect. Evidence from
    /// before a server recovered is ignored.
    pub(super) fn find_outliers(
        &self,
        collected: &EvidenceByServer,
        suspects: &BTreeSet<PeerId>,
        recovered: &RecoveryAges,
    ) -> Outliers {
        let mut outliers = Outliers::new();
        for (server, of_server) in collected {
            let recovered_age = recovered.get(server);
            let is_trusted = |evidence: &&FrontEvidence| {
                let is_recent = recovered_age.is_none_or(|age| evidence.age < *age);
                !suspects.contains(&evidence.front) && is_recent
            };
            let trusted: Vec<&FrontEvidence> = of_server.iter().filter(is_trusted).collect();
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

    /// Returns the scopes for which a server is an outlier: either [`Scope::All`] alone, or any
    /// others.
    fn outlier_scopes(&self, server: ServerId, trusted: &[&FrontEvidence]) -> BTreeSet<Scope> {
        // An ejected server gets no attempts but probes, from one front at a time. It stays ejected
        // while these fail, for which the lower threshold of a witness suffices.
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

    /// Returns the scopes for which evidence proves a server to be an outlier: classes of work if
    /// any class is healthy, or else [`Scope::All`] or zones.
    fn proven_scopes(&self, fronts: &[&FrontEvidence]) -> Vec<Scope> {
        let classes = classes_of(fronts);
        let is_healthy = |class: &ClassId| {
            self.total_log_likelihood_ratio(fronts, Scope::Class(*class)) <= HEALTHY_THRESHOLD
        };
        if !classes.iter().any(is_healthy) {
            return self.proven_zones(fronts);
        }
        let threshold = CLASS_THRESHOLD_FACTOR * self.config.ejection_threshold;
        let scopes = classes.into_iter().map(Scope::Class);
        scopes
            .filter(|scope| self.is_proven(fronts, *scope, threshold))
            .collect()
    }

    /// Returns [`Scope::All`], or the zones for which evidence proves a server to be an outlier.
    fn proven_zones(&self, fronts: &[&FrontEvidence]) -> Vec<Scope> {
        let threshold = self.config.ejection_threshold;
        let zones: BTreeSet<ZoneId> = fronts.iter().map(|front| front.evidence.zone).collect();
        let has_half = |zone: &&ZoneId| {
            self.total_log_likelihood_ratio(fronts, Scope::Zone(**zone)) >= threshold / 2.0
        };
        let is_fleet_wide =
            zones.iter().filter(has_half).count() >= MIN_ZONES || mutated(Mutation::ZoneIsAll);
        if is_fleet_wide && self.is_proven(fronts, Scope::All, threshold) {
            return vec![Scope::All];
        }
        let scopes = zones.into_iter().map(Scope::Zone);
        scopes
            .filter(|scope| self.is_proven(fronts, *scope, threshold))
            .collect()
    }

    /// Returns whether the evidence for a scope reaches a threshold and has enough witnesses.
    fn is_proven(&self, fronts: &[&FrontEvidence], scope: Scope, threshold: f64) -> bool {
        self.total_log_likelihood_ratio(fronts, scope) >= threshold
            && self.is_witnessed(fronts, scope)
    }

    /// Returns whether enough fronts are witnesses for a scope by their own evidence.
    fn is_witnessed(&self, fronts: &[&FrontEvidence], scope: Scope) -> bool {
        let needed = if mutated(Mutation::OneWitness) {
            1
        } else {
            self.config.witnesses
        };
        let is_witness = |front: &&&FrontEvidence| {
            self.summary(front, scope).log_likelihood_ratio >= self.config.witness_threshold
        };
        fronts.iter().filter(is_witness).count() >= needed
    }

    /// Summarizes a front's evidence for a scope; empty if the scope excludes the front's zone.
    fn summary(&self, front: &FrontEvidence, scope: Scope) -> EvidenceSummary {
        if !scope.includes_zone(front.evidence.zone) {
            return EvidenceSummary::default();
        }
        EvidenceSummary::of(&front.evidence, scope.class(), self.config)
    }

    /// Returns the log-likelihood ratio of the evidence of all fronts together. Each front
    /// contributes at most half of the ejection threshold, so that a front that cannot reach a
    /// server and a chance failure at another front do not suffice.
    fn total_log_likelihood_ratio(&self, fronts: &[&FrontEvidence], scope: Scope) -> f64 {
        let max_ratio = if mutated(Mutation::OneFrontSuffices) {
            f64::INFINITY
        } else {
            self.config.ejection_threshold / 2.0
        };
        let ratios = fronts
            .iter()
            .map(|front| self.summary(front, scope).log_likelihood_ratio);
        ratios.map(|ratio| ratio.min(max_ratio)).sum()
    }
}

/// Returns the classes of work that any front has evidence on.
fn classes_of(fronts: &[&FrontEvidence]) -> BTreeSet<ClassId> {
    fronts
        .iter()
        .flat_map(|front| front.evidence.classes.iter().map(|listed| listed.class))
        .collect()
}
