//! The machine of one front: it tells what the front saw of servers that anybody finds bad, assents to hold servers
//! out, holds out those that more than half assent to, and says when it is its front's turn to try one.

use std::collections::{BTreeMap, BTreeSet};

use crate::evidence::{baseline, class_evidence, DecayingCount, EvidenceSummary};
use crate::mutations::{mutated, Mutation};
use crate::*;

/// Evidence says that a server does well where it is this much more likely for a good one, as a logarithm.
const HEALTHY_THRESHOLD: f64 = -1.0;

/// What happens to a front.
#[derive(Clone, Debug)]
pub enum Event {
    /// The servers there are: each with whether it is listed up.
    Servers(Vec<(Server, bool)>),
    /// An attempt has ended.
    Attempt {
        /// Where it was sent.
        server: Server,
        /// For what.
        class: Class,
        /// What it came to.
        quality: SampleQuality,
    },
    /// A trial of a server that is held out has ended: an attempt as well.
    Probed {
        /// The server.
        server: Server,
        /// For what.
        class: Class,
        /// What it came to.
        quality: SampleQuality,
    },
    /// Time has passed, or entries have come.
    Evaluate,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// An entry of this front's; without a value it is taken away.
    Put(Key, Option<Vec<u8>>),
    /// From now on a server is held out.
    Ejected(EjectionTarget),
    /// It is no more; told whether trials say that it does well.
    Readmitted {
        /// What the verdict was on.
        target: EjectionTarget,
        /// Whether it was tried and did well.
        healthy: bool,
    },
    /// It is this front's turn to try a server, once, within a turn.
    Probe(Server),
    /// Whether this front's view contradicts that of the others, so that it counts for nothing.
    Suspect(bool),
}

/// An assent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vote {
    /// Whose.
    pub front: PeerId,
    /// Its zone.
    pub zone: Zone,
    /// How long ago it was last said at the most.
    pub age: Nanos,
}

/// What a front saw of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The front.
    pub front: PeerId,
    /// Attempts, faded.
    pub attempts: f64,
    /// Of these, bad.
    pub failures: f64,
    /// How long ago it told so at the most.
    pub age: Nanos,
    /// Whether it counts: a front that contradicts the others does not.
    pub counts: bool,
}

/// Why a server is held out, or is not.
#[derive(Clone, Debug, PartialEq)]
pub struct EjectionReport {
    /// What the verdict is on.
    pub target: EjectionTarget,
    /// Whether this front holds it out, and since when.
    pub ejected_since: Option<Nanos>,
    /// Who assents.
    pub votes: Vec<Vote>,
    /// What each front saw.
    pub observations: Vec<Observation>,
    /// Whose turn it is to try.
    pub prober: Option<PeerId>,
}

#[derive(Clone, Copy, Debug)]
struct OwnVote {
    put_at: Nanos,
    active: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct ProbeState {
    turn: Option<Nanos>,
    successes: u8,
}

/// What a front has told of a server.
#[derive(Clone, Copy, Debug)]
struct SharedEvidence {
    shared_at: Nanos,
    is_outlier: bool,
}

/// A front's evidence on a server.
#[derive(Clone, Debug)]
struct View {
    front: PeerId,
    zone: Zone,
    evidence: Evidence,
    age: Nanos,
}

type Views = BTreeMap<Server, Vec<View>>;

/// One front's part in verdicts that hold for the whole fleet.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    config: DetectorConfig,
    servers: BTreeMap<Server, bool>,
    counts: BTreeMap<(Server, Class), DecayingCount>,
    shared: BTreeMap<Server, SharedEvidence>,
    convinced: BTreeMap<EjectionTarget, Nanos>,
    votes: BTreeMap<EjectionTarget, OwnVote>,
    /// What more than half of the roster assent to, also where it is not about this front.
    agreed: BTreeSet<EjectionTarget>,
    /// What this front holds out, and since when.
    ejected: BTreeMap<EjectionTarget, Nanos>,
    probes: BTreeMap<Server, ProbeState>,
    /// When trials of which servers went well, as far as what was seen before them is forgotten.
    cleared: BTreeMap<Server, Nanos>,
    suspect: bool,
}

impl OutlierDetector {
    /// A front that has just started.
    ///
    /// # Errors
    /// Where the terms cannot hold.
    pub fn new(terms: DetectorConfig) -> Result<OutlierDetector, DetectorConfigError> {
        terms.check()?;
        Ok(OutlierDetector {
            config: terms,
            servers: BTreeMap::new(),
            counts: BTreeMap::new(),
            shared: BTreeMap::new(),
            convinced: BTreeMap::new(),
            votes: BTreeMap::new(),
            agreed: BTreeSet::new(),
            ejected: BTreeMap::new(),
            probes: BTreeMap::new(),
            cleared: BTreeMap::new(),
            suspect: false,
        })
    }

    /// Takes one event and appends what is to be done. `entries` holds what was told.
    pub fn on(&mut self, now: Nanos, entries: &GossipStore, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Servers(servers) => {
                self.servers = servers.into_iter().collect();
                let known = &self.servers;
                self.counts.retain(|(server, _), _| known.contains_key(server));
                self.probes.retain(|server, _| known.contains_key(server));
            }
            Event::Attempt { server, class, quality: worth } => {
                if self.servers.contains_key(&server) {
                    let half_life = self.config.half_life;
                    self.counts.entry((server, class)).or_default().add(now, worth, half_life);
                }
            }
            Event::Probed { server, class, quality: worth } => {
                self.on(now, entries, Event::Attempt { server, class, quality: worth }, effects);
                let trial = self.probes.entry(server).or_default();
                trial.successes =
                    if worth == SampleQuality::Healthy { trial.successes.saturating_add(1) } else { 0 };
                let told = vec![trial.successes];
                effects.push(Effect::Put(Key { kind: PROBE, id: server }, Some(told)));
            }
            Event::Evaluate => self.evaluate(now, entries, effects),
        }
    }

    /// The terms in force.
    pub fn config(&self) -> &DetectorConfig {
        &self.config
    }

    /// What this front holds out.
    pub fn ejected(&self) -> impl Iterator<Item = EjectionTarget> + '_ {
        self.ejected.keys().copied()
    }

    /// Whether this front's view contradicts that of the others.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Whether it has been convinced lately of something to which it has not assented yet: it waits for what others saw.
    pub fn is_waiting(&self, now: Nanos) -> bool {
        let assents = |subject| self.votes.get(subject).is_some_and(|a| a.active);
        self.convinced
            .iter()
            .any(|(subject, since)| now - since < 2 * self.config.vote_delay && !assents(subject))
    }

    /// What there is to say of each subject that anybody assents to or that this front is convinced of.
    pub fn reports(&self, now: Nanos, entries: &GossipStore) -> Vec<EjectionReport> {
        let views = self.views(now, entries);
        let suspects = self.suspects(&views);
        let by_subject = self.all_votes(now, entries);
        let subjects: BTreeSet<EjectionTarget> =
            by_subject.keys().chain(self.convinced.keys()).chain(self.ejected.keys()).copied().collect();
        let reason = |subject: EjectionTarget| {
            let saw = self.observations_of(&views, &suspects, subject.server, class(subject.scope));
            let out_since = self.ejected.get(&subject).copied();
            let assents = by_subject.get(&subject).cloned().unwrap_or_default();
            let tries = out_since.and_then(|since| self.prober(now, &assents, &suspects, subject, since));
            EjectionReport {
                target: subject,
                ejected_since: out_since,
                observations: saw,
                votes: assents,
                prober: tries,
            }
        };
        subjects.into_iter().map(reason).collect()
    }

    /// What each front says that it saw of a server, this one too.
    pub fn observations(&self, now: Nanos, entries: &GossipStore, server: Server) -> Vec<Observation> {
        let views = self.views(now, entries);
        self.observations_of(&views, &self.suspects(&views), server, None)
    }

    fn observations_of(
        &self,
        views: &Views,
        suspects: &BTreeSet<PeerId>,
        server: Server,
        class: Option<Class>,
    ) -> Vec<Observation> {
        let saw = |view: &View| {
            let EvidenceSummary { attempts, failures: bad, .. } =
                EvidenceSummary::of(&view.evidence, class, &self.config);
            let (front, age, counts) = (view.front, view.age, !suspects.contains(&view.front));
            Observation { front, attempts, failures: bad, age, counts }
        };
        views.get(&server).into_iter().flatten().map(saw).collect()
    }

    fn evaluate(&mut self, now: Nanos, entries: &GossipStore, effects: &mut Vec<Effect>) {
        let half_life = self.config.half_life;
        self.counts.retain(|_, count| !count.decayed(now, half_life).is_negligible());
        let well = self.recovered(now, entries);
        self.clear_recovered(now, &well, effects);
        let views = self.views(now, entries);
        self.share_evidence(now, &views, effects);
        let suspects = self.suspects(&views);
        let suspect = suspects.contains(&self.config.me);
        if std::mem::replace(&mut self.suspect, suspect) != suspect {
            effects.push(Effect::Suspect(suspect));
        }
        let convinced = self.conclude(&views, &suspects, &well);
        self.cast_votes(now, &convinced, effects);
        self.update_ejections(now, entries, &well, effects);
        self.schedule_probes(now, entries, &suspects, effects);
    }

    /// All evidence that is fresh, this front's own with it.
    fn views(&self, now: Nanos, entries: &GossipStore) -> Views {
        let mut views = Views::new();
        for (front, _, server, value, age) in entries.all(now, EVIDENCE) {
            let fresh = age <= self.config.evidence_ttl || mutated(Mutation::OldEvidence);
            if front == self.config.me || !fresh || !self.servers.contains_key(&server) {
                continue;
            }
            if let Ok((evidence, [])) = postcard::take_from_bytes::<Evidence>(value) {
                views.entry(server).or_default().push(View { front, zone: evidence.zone, evidence, age });
            }
        }
        for (server, evidence) in self.own_evidence(now) {
            let (front, zone) = (self.config.me, self.config.zone);
            views.entry(server).or_default().push(View { front, zone, evidence, age: 0 });
        }
        views
    }

    /// What this front saw of each server.
    fn own_evidence(&self, now: Nanos) -> Vec<(Server, Evidence)> {
        let half_life = self.config.half_life;
        let seen = |server: &Server| (*server, class_evidence(&self.counts, *server, now, half_life));
        let seen: Vec<(Server, Vec<ClassEvidence>)> =
            self.servers.keys().map(seen).filter(|(_, seen)| !seen.is_empty()).collect();
        let sum = |seen: &[ClassEvidence], of: fn(&ClassEvidence) -> u16| {
            seen.iter().map(|s| f64::from(of(s))).sum::<f64>()
        };
        let part =
            |(_, seen): &(Server, Vec<ClassEvidence>)| sum(seen, |s| s.failures) / sum(seen, |s| s.attempts);
        let base = baseline(&mut seen.iter().map(part).collect::<Vec<f64>>());
        let zone = self.config.zone;
        seen.into_iter()
            .map(|(server, seen)| (server, Evidence { zone, baseline: base, classes: seen }))
            .collect()
    }

    /// Tells the others what this front saw of each server that anybody finds bad, and takes back what is old.
    fn share_evidence(&mut self, now: Nanos, views: &Views, effects: &mut Vec<Effect>) {
        let life = self.config.evidence_ttl;
        let is_bad = |v: &View, class| {
            EvidenceSummary::of(&v.evidence, class, &self.config).log_likelihood_ratio
                >= self.config.witness_threshold
        };
        let mut told = std::mem::take(&mut self.shared);
        for (server, of) in views {
            let (own, others): (Vec<&View>, Vec<&View>) = of.iter().partition(|v| v.front == self.config.me);
            let Some(own) = own.first() else { continue };
            let classes = own.evidence.classes.iter().map(|s| Some(s.class));
            let bad = is_bad(own, None) || classes.into_iter().any(|c| is_bad(own, c));
            let contested = bad || !others.is_empty();
            let due = told.get(server).is_none_or(|t| t.is_outlier != bad || now - t.shared_at >= life / 8);
            if contested && due {
                if let Ok(value) = postcard::to_stdvec(&own.evidence) {
                    told.insert(*server, SharedEvidence { shared_at: now, is_outlier: bad });
                    effects.push(Effect::Put(Key { kind: EVIDENCE, id: *server }, Some(value)));
                }
            }
        }
        told.retain(|server, t| {
            let stays = now - t.shared_at < life && self.servers.contains_key(server);
            if !stays {
                effects.push(Effect::Put(Key { kind: EVIDENCE, id: *server }, None));
            }
            stays
        });
        self.shared = told;
    }

    /// The fronts whose evidence contradicts that of most others on more than half of the servers.
    fn suspects(&self, views: &Views) -> BTreeSet<PeerId> {
        if mutated(Mutation::SuspectCounts) {
            return BTreeSet::new();
        }
        // By front: servers that it and at least two others have seen enough of, and those on which they differ.
        let mut held: BTreeMap<PeerId, (u32, u32)> = BTreeMap::new();
        for of in views.values() {
            let says: Vec<(PeerId, bool)> = of
                .iter()
                .map(|v| (v.front, EvidenceSummary::of(&v.evidence, None, &self.config)))
                .filter(|(_, sum)| sum.attempts >= self.config.min_attempts)
                .map(|(front, sum)| (front, sum.log_likelihood_ratio >= self.config.witness_threshold))
                .collect();
            let bad = says.iter().filter(|(_, bad)| *bad).count();
            for (front, says_bad) in &says {
                let (others, others_bad) = (says.len() - 1, bad - usize::from(*says_bad));
                if others >= 2 {
                    let (all, differs) = held.entry(*front).or_default();
                    *all += 1;
                    *differs += u32::from(*says_bad != (2 * others_bad > others));
                }
            }
        }
        held.into_iter()
            .filter(|(_, (all, differs))| *all >= 2 && 2 * differs > *all)
            .map(|(f, _)| f)
            .collect()
    }

    /// Servers of which a trier says that they did well often enough, with how long ago at the most.
    fn recovered(&self, now: Nanos, entries: &GossipStore) -> BTreeMap<Server, Nanos> {
        let mut well = BTreeMap::new();
        for (_, _, server, value, age) in entries.all(now, PROBE) {
            let enough = matches!(value, [good] if *good >= self.config.probes_to_readmit);
            if enough && age <= self.config.evidence_ttl {
                let youngest = well.entry(server).or_insert(age);
                *youngest = age.min(*youngest);
            }
        }
        well
    }

    /// What was seen before says nothing of a server that has done well since: it is forgotten, and taken back. An age
    /// may be too large, and less so later, so that the same trials must not be taken for later ones.
    fn clear_recovered(&mut self, now: Nanos, well: &BTreeMap<Server, Nanos>, effects: &mut Vec<Effect>) {
        self.cleared.retain(|server, _| well.contains_key(server));
        for (server, age) in well {
            let at = now - age;
            if self.cleared.get(server).is_some_and(|before| at <= before + self.config.probe_turn) {
                continue;
            }
            self.cleared.insert(*server, at);
            if mutated(Mutation::OldSins) {
                continue;
            }
            self.counts.retain(|(of, _), _| of != server);
            if self.shared.remove(server).is_some() {
                effects.push(Effect::Put(Key { kind: EVIDENCE, id: *server }, None));
            }
        }
    }

    /// What trusted evidence says is bad, with how sure that is. What was seen before a server did well in trials says
    /// nothing.
    fn conclude(
        &self,
        views: &Views,
        suspects: &BTreeSet<PeerId>,
        well: &BTreeMap<Server, Nanos>,
    ) -> BTreeMap<EjectionTarget, f64> {
        let mut all = BTreeMap::new();
        for (server, of) in views {
            let trusted: Vec<&View> = of
                .iter()
                .filter(|v| !suspects.contains(&v.front) && well.get(server).is_none_or(|w| v.age < *w))
                .collect();
            // What is held out is seen by trials alone, one front at a time: it stays so while those go badly.
            let held = self.agreed.iter().filter(|s| s.server == *server).map(|s| s.scope);
            let still = held
                .filter(|scope| self.total_log_likelihood(&trusted, *scope) >= self.config.witness_threshold);
            let mut proven: BTreeSet<Scope> = still.chain(self.proven(&trusted)).collect();
            if proven.contains(&Scope::All) {
                proven = BTreeSet::from([Scope::All]);
            }
            for scope in proven {
                all.insert(
                    EjectionTarget { server: *server, scope },
                    self.total_log_likelihood(&trusted, scope),
                );
            }
        }
        all
    }

    /// For what a server is proven to be bad.
    fn proven(&self, of: &[&View]) -> Vec<Scope> {
        let classes: Vec<(Class, f64)> =
            classes(of).into_iter().map(|c| (c, self.total_log_likelihood(of, Scope::Class(c)))).collect();
        if classes.iter().any(|(_, proof)| *proof <= HEALTHY_THRESHOLD) {
            // One class of work does well. Another may do badly, and by twice the proof: classes differ by chance
            // before all of a server's work is seen to be bad.
            let bad = |(class, proof): &(Class, f64)| {
                *proof >= 2.0 * self.config.ejection_threshold && self.is_witnessed(of, Scope::Class(*class))
            };
            return classes.iter().filter(|c| bad(c)).map(|(class, _)| Scope::Class(*class)).collect();
        }
        // Each of two zones must have seen half of the proof for itself, lest one that is cut off condemns for all.
        let zones: BTreeSet<Zone> = of.iter().map(|v| v.zone).collect();
        let by_zone: Vec<(Zone, f64)> =
            zones.into_iter().map(|z| (z, self.total_log_likelihood(of, Scope::Zone(z)))).collect();
        let seen = by_zone.iter().filter(|(_, proof)| *proof >= self.config.ejection_threshold / 2.0).count();
        let all = self.total_log_likelihood(of, Scope::All) >= self.config.ejection_threshold
            && self.is_witnessed(of, Scope::All);
        if all && (seen >= 2 || mutated(Mutation::ZoneIsAll)) {
            return vec![Scope::All];
        }
        let bad = |(zone, proof): &(Zone, f64)| {
            *proof >= self.config.ejection_threshold && self.is_witnessed(of, Scope::Zone(*zone))
        };
        by_zone.iter().filter(|z| bad(z)).map(|(zone, _)| Scope::Zone(*zone)).collect()
    }

    fn is_witnessed(&self, of: &[&View], scope: Scope) -> bool {
        let needed = if mutated(Mutation::OneWitness) { 1 } else { self.config.witnesses };
        let says = |v: &&&View| self.summary(v, scope).log_likelihood_ratio >= self.config.witness_threshold;
        of.iter().filter(says).count() >= needed
    }

    /// What a front's evidence says for a scope.
    fn summary(&self, view: &View, scope: Scope) -> EvidenceSummary {
        match scope {
            Scope::Zone(zone) if view.zone != zone => EvidenceSummary::default(),
            _ => EvidenceSummary::of(&view.evidence, class(scope), &self.config),
        }
    }

    /// What all say together. No front makes more than half of a verdict: one that cannot reach a server, and a chance
    /// failure at another, must not condemn it.
    fn total_log_likelihood(&self, of: &[&View], scope: Scope) -> f64 {
        let most =
            if mutated(Mutation::OneMakesAll) { f64::INFINITY } else { self.config.ejection_threshold / 2.0 };
        of.iter().map(|v| self.summary(v, scope).log_likelihood_ratio.min(most)).sum()
    }

    /// Assents to hold out what it has been convinced of for long enough, as far as that may be, worst first.
    fn cast_votes(
        &mut self,
        now: Nanos,
        convinced: &BTreeMap<EjectionTarget, f64>,
        effects: &mut Vec<Effect>,
    ) {
        self.convinced.retain(|subject, _| convinced.contains_key(subject));
        for subject in convinced.keys() {
            self.convinced.entry(*subject).or_insert(now);
        }
        let mut worst: Vec<(EjectionTarget, f64)> = convinced.iter().map(|(s, part)| (*s, *part)).collect();
        worst.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        let (span, again) = (self.config.vote_span(), self.config.vote_ttl / 4);
        let wait = if mutated(Mutation::NoWait) { 0 } else { self.config.vote_delay };
        for (subject, _) in worst {
            let standing = self.votes.get(&subject).filter(|a| a.active).copied();
            let due = match standing {
                Some(assent) => now - assent.put_at >= again,
                None => now - self.convinced[&subject] >= wait && self.may_vote(now, subject.server, span),
            };
            if due {
                self.votes.insert(subject, OwnVote { put_at: now, active: true });
                if let Ok(value) = postcard::to_stdvec(&(subject, self.config.zone)) {
                    effects.push(Effect::Put(Key { kind: VOTE, id: subject.id() }, Some(value)));
                }
            }
        }
        for (subject, assent) in &mut self.votes {
            let listed = self.servers.contains_key(&subject.server);
            let ends = !convinced.contains_key(subject) && !mutated(Mutation::NeverLapses);
            if assent.active && (ends || !listed) {
                assent.active = false;
                effects.push(Effect::Put(Key { kind: VOTE, id: subject.id() }, None));
            }
        }
        let forgotten = mutated(Mutation::AssentForgotten);
        self.votes.retain(|_, a| a.active || (now < a.put_at + span && !forgotten));
    }

    /// Servers that this front's assents may hold out somewhere.
    fn voted_servers(&self, now: Nanos, span: Nanos) -> BTreeSet<Server> {
        let counts = self.votes.iter().filter(|(_, a)| a.active || now < a.put_at + span);
        counts.map(|(subject, _)| subject.server).collect()
    }

    fn may_vote(&self, now: Nanos, server: Server, span: Nanos) -> bool {
        let mut held = self.voted_servers(now, span);
        held.insert(server);
        held.len() <= self.config.max_votes(self.servers.len())
    }

    /// By subject, who assents to it, of which zone, and how long ago they last said so at the most. Who assents to hold
    /// a server out for all assents to each part of that.
    fn all_votes(&self, now: Nanos, entries: &GossipStore) -> BTreeMap<EjectionTarget, Vec<Vote>> {
        let mut all: BTreeMap<EjectionTarget, Vec<Vote>> = BTreeMap::new();
        for (front, _, id, value, age) in entries.all(now, VOTE) {
            let fresh = age <= self.config.vote_ttl || mutated(Mutation::OldAssents);
            if front == self.config.me || !fresh {
                continue;
            }
            if let Ok(((subject, zone), [])) = postcard::take_from_bytes::<(EjectionTarget, Zone)>(value) {
                if subject.id() == id {
                    all.entry(subject).or_default().push(Vote { front, zone, age });
                }
            }
        }
        let own = self.votes.iter().filter(|(_, a)| a.active && now - a.put_at <= self.config.vote_ttl);
        for (subject, assent) in own {
            let DetectorConfig { me: front, zone, .. } = self.config;
            let said = Vote { front, zone, age: now - assent.put_at };
            all.entry(*subject).or_default().push(said);
        }
        let whole: Vec<(Server, Vec<Vote>)> = all
            .iter()
            .filter(|(s, _)| s.scope == Scope::All)
            .map(|(subject, by)| (subject.server, by.clone()))
            .collect();
        for (server, by) in whole {
            let parts = all.iter_mut().filter(|(s, _)| s.server == server && s.scope != Scope::All);
            for (_, part) in parts {
                let more = by.iter().filter(|said| !part.iter().any(|p| p.front == said.front)).copied();
                let more: Vec<Vote> = more.collect();
                part.extend(more);
            }
        }
        all
    }

    /// Holds out what more than half of the roster assent to, as far as it is about this front.
    fn update_ejections(
        &mut self,
        now: Nanos,
        entries: &GossipStore,
        well: &BTreeMap<Server, Nanos>,
        effects: &mut Vec<Effect>,
    ) {
        let mut quorum = self.config.quorum();
        if mutated(Mutation::HalfIsEnough) {
            quorum = usize::from(self.config.fronts).div_ceil(2);
        }
        let all = self.all_votes(now, entries);
        let is_about = |s: &EjectionTarget| match s.scope {
            Scope::Zone(zone) => zone == self.config.zone,
            Scope::All | Scope::Class(_) => true,
        };
        self.agreed = all.iter().filter(|(_, by)| by.len() >= quorum).map(|(subject, _)| *subject).collect();
        let held: BTreeSet<EjectionTarget> = self
            .agreed
            .iter()
            .copied()
            .filter(is_about)
            .filter(|subject| self.servers.get(&subject.server).is_some_and(|up| *up))
            .collect();
        let gone: Vec<EjectionTarget> = self.ejected.keys().copied().filter(|s| !held.contains(s)).collect();
        for subject in gone {
            self.ejected.remove(&subject);
            self.probes.remove(&subject.server);
            let well = well.contains_key(&subject.server);
            effects.push(Effect::Readmitted { target: subject, healthy: well });
        }
        for subject in held {
            if self.ejected.insert(subject, self.ejected.get(&subject).copied().unwrap_or(now)).is_none() {
                effects.push(Effect::Ejected(subject));
            }
        }
    }

    fn schedule_probes(
        &mut self,
        now: Nanos,
        entries: &GossipStore,
        suspects: &BTreeSet<PeerId>,
        effects: &mut Vec<Effect>,
    ) {
        let by_subject = self.all_votes(now, entries);
        // A server that is held out for several things has one trial at a time.
        let mut first: BTreeMap<Server, (Nanos, EjectionTarget)> = BTreeMap::new();
        for (subject, since) in &self.ejected {
            let one = first.entry(subject.server).or_insert((*since, *subject));
            *one = (*one).min((*since, *subject));
        }
        for (server, (since, subject)) in first {
            let turn = (now - since) / self.config.probe_turn;
            let by = by_subject.get(&subject).map_or(&[][..], Vec::as_slice);
            // By the second turn all have heard who assents.
            let mine = turn > 0 && self.prober(now, by, suspects, subject, since) == Some(self.config.me);
            let trial = self.probes.entry(server).or_default();
            if (mine || mutated(Mutation::AllTry)) && trial.turn != Some(turn) {
                trial.turn = Some(turn);
                effects.push(Effect::Probe(server));
            }
        }
    }

    /// Whose turn it is to try what is held out, of those who assent to that.
    fn prober(
        &self,
        now: Nanos,
        by: &[Vote],
        suspects: &BTreeSet<PeerId>,
        subject: EjectionTarget,
        since: Nanos,
    ) -> Option<PeerId> {
        let is_about = |zone: Zone| !matches!(subject.scope, Scope::Zone(z) if z != zone);
        let there = by.iter().filter(|said| is_about(said.zone) && !suspects.contains(&said.front));
        let mut fronts: Vec<PeerId> = there.map(|said| said.front).collect();
        fronts.sort_by_key(|p| mixed(subject.server ^ (u64::from(*p) + 1).wrapping_mul(0x9e37_79b9)));
        // Each for some turns, so that its good trials can come in a row.
        let turns = Nanos::from(self.config.probes_to_readmit) + 1;
        let turn = (now - since) / self.config.probe_turn / turns;
        fronts.get(turn as usize % fronts.len().max(1)).copied()
    }
}

fn class(scope: Scope) -> Option<Class> {
    match scope {
        Scope::Class(class) => Some(class),
        Scope::All | Scope::Zone(_) => None,
    }
}

fn classes(of: &[&View]) -> BTreeSet<Class> {
    of.iter().flat_map(|v| v.evidence.classes.iter().map(|s| s.class)).collect()
}
