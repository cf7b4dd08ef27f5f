//! Votes of this front and of its peers for ejections.

use std::collections::{BTreeMap, BTreeSet};

use super::context::EvaluationContext;
use super::outliers::Outliers;
use crate::gossip::{decode, encode, vote_key, VoteEntry};
use crate::mutations::{mutated, Mutation};
use crate::{
    DetectorConfig, Effect, EjectionTarget, GossipStore, Nanos, Scope, ServerId, Vote, VOTE,
};

/// Number of times that an active vote is published again within its time to live.
const REFRESHES_PER_TTL: Nanos = 4;

/// The votes of all fronts, by target.
pub(super) type VotesByTarget = BTreeMap<EjectionTarget, Vec<Vote>>;

/// A vote of this front.
#[derive(Clone, Copy, Debug)]
struct OwnVote {
    published_at: Nanos,
    /// Whether the vote has not been withdrawn.
    is_active: bool,
}

/// This front's votes, and the outliers that it may vote to eject.
#[derive(Clone, Debug, Default)]
pub(super) struct Ballot {
    /// The targets that the evidence proves to be outliers, and the times since which it does.
    proven_since: BTreeMap<EjectionTarget, Nanos>,
    /// This front's votes, including withdrawn ones that may still count at peers.
    votes: BTreeMap<EjectionTarget, OwnVote>,
}

impl Ballot {
    /// Returns the targets that the evidence proves to be outliers.
    pub(super) fn proven_targets(&self) -> impl Iterator<Item = &EjectionTarget> + '_ {
        self.proven_since.keys()
    }

    /// Returns whether a recently proven outlier has no vote of this front yet. Evidence of peers
    /// may still arrive before it votes.
    pub(super) fn is_waiting(&self, now: Nanos, vote_delay: Nanos) -> bool {
        let has_vote = |target| self.votes.get(target).is_some_and(|vote| vote.is_active);
        let is_recent = |since: &Nanos| now - since < 2 * vote_delay;
        self.proven_since
            .iter()
            .any(|(target, since)| is_recent(since) && !has_vote(target))
    }

    /// Votes to eject outliers that have been proven for long enough, up to the maximum number of
    /// votes and those with the strongest evidence first. Withdraws votes for targets that are no
    /// longer outliers.
    pub(super) fn cast(
        &mut self,
        context: &EvaluationContext,
        outliers: &Outliers,
        effects: &mut Vec<Effect>,
    ) {
        self.update_proven(context.now, outliers);
        for target in by_descending_ratio(outliers) {
            if self.is_vote_due(context, target) {
                self.vote_for(context, target, effects);
            }
        }
        self.withdraw_votes(context, outliers, effects);
        self.drop_expired_votes(context);
    }

    fn update_proven(&mut self, now: Nanos, outliers: &Outliers) {
        self.proven_since
            .retain(|target, _| outliers.contains_key(target));
        for target in outliers.keys() {
            self.proven_since.entry(*target).or_insert(now);
        }
    }

    /// Returns whether a vote for an outlier is to be cast or to be published again.
    fn is_vote_due(&self, context: &EvaluationContext, target: EjectionTarget) -> bool {
        let active_vote = self.votes.get(&target).filter(|vote| vote.is_active);
        if let Some(vote) = active_vote {
            let refresh_interval = context.config.vote_ttl / REFRESHES_PER_TTL;
            return context.now - vote.published_at >= refresh_interval;
        }
        let delay = if mutated(Mutation::NoVoteDelay) {
            0
        } else {
            context.config.vote_delay
        };
        let is_delay_over = context.now - self.proven_since[&target] >= delay;
        is_delay_over && self.is_within_vote_limit(context, target.server)
    }

    /// Returns whether a vote to eject `server` keeps this front within its maximum number of
    /// votes. Withdrawn votes that may still count at peers are included.
    fn is_within_vote_limit(&self, context: &EvaluationContext, server: ServerId) -> bool {
        let span = context.config.vote_span();
        let counting = self
            .votes
            .iter()
            .filter(|(_, vote)| vote.is_active || context.now < vote.published_at + span);
        let mut servers: BTreeSet<ServerId> = counting.map(|(target, _)| target.server).collect();
        servers.insert(server);
        servers.len() <= context.config.max_votes(context.servers.len())
    }

    fn vote_for(
        &mut self,
        context: &EvaluationContext,
        target: EjectionTarget,
        effects: &mut Vec<Effect>,
    ) {
        let vote = OwnVote {
            published_at: context.now,
            is_active: true,
        };
        self.votes.insert(target, vote);
        let entry = VoteEntry {
            target,
            zone: context.config.zone,
        };
        if let Some(value) = encode(&entry) {
            effects.push(Effect::Put(vote_key(target), Some(value)));
        }
    }

    fn withdraw_votes(
        &mut self,
        context: &EvaluationContext,
        outliers: &Outliers,
        effects: &mut Vec<Effect>,
    ) {
        for (target, vote) in &mut self.votes {
            let is_known = context.servers.contains(target.server);
            let is_cleared =
                !outliers.contains_key(target) && !mutated(Mutation::VotesNeverWithdrawn);
            if vote.is_active && (is_cleared || !is_known) {
                vote.is_active = false;
                effects.push(Effect::Put(vote_key(*target), None));
            }
        }
    }

    /// Drops withdrawn votes that no peer can count any more.
    fn drop_expired_votes(&mut self, context: &EvaluationContext) {
        let span = context.config.vote_span();
        let is_forgotten = mutated(Mutation::WithdrawnVoteForgotten);
        self.votes.retain(|_, vote| {
            let may_count = context.now < vote.published_at + span && !is_forgotten;
            vote.is_active || may_count
        });
    }

    /// Returns the votes of all fronts that have not expired. A vote for [`Scope::All`] counts for
    /// every narrower target of the same server, too.
    pub(super) fn count(
        &self,
        now: Nanos,
        config: &DetectorConfig,
        entries: &GossipStore,
    ) -> VotesByTarget {
        let mut votes = peer_votes(now, config, entries);
        let counting = self
            .votes
            .iter()
            .filter(|(_, vote)| vote.is_active && now - vote.published_at <= config.vote_ttl);
        for (target, vote) in counting {
            let vote = Vote {
                front: config.me,
                zone: config.zone,
                age: now - vote.published_at,
            };
            votes.entry(*target).or_default().push(vote);
        }
        extend_narrower_targets(&mut votes);
        votes
    }
}

fn peer_votes(now: Nanos, config: &DetectorConfig, entries: &GossipStore) -> VotesByTarget {
    let mut votes = VotesByTarget::new();
    for entry in entries.all(now, VOTE) {
        let is_fresh = entry.age <= config.vote_ttl || mutated(Mutation::ExpiredVotesCount);
        if entry.origin == config.me || !is_fresh {
            continue;
        }
        let Some(VoteEntry { target, zone }) = decode(entry.value) else {
            continue;
        };
        if target.id() == entry.id {
            let vote = Vote {
                front: entry.origin,
                zone,
                age: entry.age,
            };
            votes.entry(target).or_default().push(vote);
        }
    }
    votes
}

/// Returns the outliers, those with the highest log-likelihood ratio first.
fn by_descending_ratio(outliers: &Outliers) -> Vec<EjectionTarget> {
    let mut targets: Vec<EjectionTarget> = outliers.keys().copied().collect();
    // The sort is stable, so that targets with equal ratios stay in the order of the map.
    targets.sort_by(|left, right| outliers[right].total_cmp(&outliers[left]));
    targets
}

/// Adds each front's vote for [`Scope::All`] to the narrower targets of the same server that the
/// front has not voted for.
fn extend_narrower_targets(votes: &mut VotesByTarget) {
    let for_all: Vec<(ServerId, Vec<Vote>)> = votes
        .iter()
        .filter(|(target, _)| target.scope == Scope::All)
        .map(|(target, votes)| (target.server, votes.clone()))
        .collect();
    for (server, votes_for_all) in for_all {
        let is_narrower =
            |target: &EjectionTarget| target.server == server && target.scope != Scope::All;
        for (_, narrower) in votes.iter_mut().filter(|(target, _)| is_narrower(target)) {
            add_missing_votes(narrower, &votes_for_all);
        }
    }
}

/// Adds the votes of the fronts that have no vote in the list yet.
fn add_missing_votes(votes: &mut Vec<Vote>, added: &[Vote]) {
    for vote in added {
        if !votes.iter().any(|known| known.front == vote.front) {
            votes.push(*vote);
        }
    }
}
