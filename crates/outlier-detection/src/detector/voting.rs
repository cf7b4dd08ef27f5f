//! Votes of this front and of its peers for ejections.

use std::collections::{BTreeMap, BTreeSet};

use super::outliers::Outliers;
use super::OutlierDetector;
use crate::gossip::{decode, encode, vote_key, VoteEntry};
use crate::mutations::{mutated, Mutation};
use crate::{Effect, EjectionTarget, GossipStore, Nanos, Scope, ServerId, Vote, VOTE};

/// A vote is published again this many times within its time to live.
const REFRESHES_PER_TTL: Nanos = 4;

/// A vote of this front.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnVote {
    put_at: Nanos,
    /// Whether it has not been withdrawn.
    pub active: bool,
}

/// The votes of all fronts, by target.
pub(super) type Votes = BTreeMap<EjectionTarget, Vec<Vote>>;

impl OutlierDetector {
    /// Votes to eject outliers that have been proven for long enough, the surest first and as many
    /// as one front may, and withdraws votes for what is no longer an outlier.
    pub(super) fn cast_votes(
        &mut self,
        now: Nanos,
        outliers: &Outliers,
        effects: &mut Vec<Effect>,
    ) {
        self.outliers
            .retain(|target, _| outliers.contains_key(target));
        for target in outliers.keys() {
            self.outliers.entry(*target).or_insert(now);
        }
        for target in by_descending_ratio(outliers) {
            if self.is_vote_due(now, target) {
                self.votes.insert(
                    target,
                    OwnVote {
                        put_at: now,
                        active: true,
                    },
                );
                if let Some(value) = encode(&VoteEntry {
                    target,
                    zone: self.config.zone,
                }) {
                    effects.push(Effect::Put(vote_key(target), Some(value)));
                }
            }
        }
        self.withdraw_votes(outliers, effects);
        self.drop_expired_votes(now);
    }

    /// Whether a vote is to be cast for an outlier, or to be renewed.
    fn is_vote_due(&self, now: Nanos, target: EjectionTarget) -> bool {
        if let Some(vote) = self.votes.get(&target).filter(|vote| vote.active) {
            return now - vote.put_at >= self.config.vote_ttl / REFRESHES_PER_TTL;
        }
        let delay = if mutated(Mutation::NoVoteDelay) {
            0
        } else {
            self.config.vote_delay
        };
        now - self.outliers[&target] >= delay && self.may_vote(now, target.server)
    }

    /// Whether another vote keeps the number of servers that this front may have ejected within its
    /// bound.
    fn may_vote(&self, now: Nanos, server: ServerId) -> bool {
        let span = self.config.vote_span();
        let counting = self
            .votes
            .iter()
            .filter(|(_, vote)| vote.active || now < vote.put_at + span);
        let mut servers: BTreeSet<ServerId> = counting.map(|(target, _)| target.server).collect();
        servers.insert(server);
        servers.len() <= self.config.max_votes(self.servers.len())
    }

    fn withdraw_votes(&mut self, outliers: &Outliers, effects: &mut Vec<Effect>) {
        for (target, vote) in &mut self.votes {
            let is_known = self.servers.contains_key(&target.server);
            let is_cleared =
                !outliers.contains_key(target) && !mutated(Mutation::VotesNeverWithdrawn);
            if vote.active && (is_cleared || !is_known) {
                vote.active = false;
                effects.push(Effect::Put(vote_key(*target), None));
            }
        }
    }

    /// Drops withdrawn votes that count nowhere any more.
    fn drop_expired_votes(&mut self, now: Nanos) {
        let span = self.config.vote_span();
        let is_forgotten = mutated(Mutation::WithdrawnVoteForgotten);
        self.votes
            .retain(|_, vote| vote.active || (now < vote.put_at + span && !is_forgotten));
    }

    /// The votes of all fronts that have not expired. A vote for [`Scope::All`] counts for every
    /// narrower target of the same server, too.
    pub(super) fn all_votes(&self, now: Nanos, entries: &GossipStore) -> Votes {
        let mut votes = self.peer_votes(now, entries);
        let counting = self
            .votes
            .iter()
            .filter(|(_, vote)| vote.active && now - vote.put_at <= self.config.vote_ttl);
        for (target, vote) in counting {
            let (front, zone) = (self.config.me, self.config.zone);
            let vote = Vote {
                front,
                zone,
                age: now - vote.put_at,
            };
            votes.entry(*target).or_default().push(vote);
        }
        extend_narrower_targets(&mut votes);
        votes
    }

    fn peer_votes(&self, now: Nanos, entries: &GossipStore) -> Votes {
        let mut votes = Votes::new();
        for entry in entries.all(now, VOTE) {
            let is_fresh =
                entry.age <= self.config.vote_ttl || mutated(Mutation::ExpiredVotesCount);
            if entry.origin == self.config.me || !is_fresh {
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
}

/// The outliers with the highest log-likelihood ratio first.
fn by_descending_ratio(outliers: &Outliers) -> Vec<EjectionTarget> {
    let mut sorted: Vec<(EjectionTarget, f64)> = outliers
        .iter()
        .map(|(target, ratio)| (*target, *ratio))
        .collect();
    sorted.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    sorted.into_iter().map(|(target, _)| target).collect()
}

/// Adds each front's vote for [`Scope::All`] to the narrower targets of the same server that have
/// none of it.
fn extend_narrower_targets(votes: &mut Votes) {
    let for_all: Vec<(ServerId, Vec<Vote>)> = votes
        .iter()
        .filter(|(target, _)| target.scope == Scope::All)
        .map(|(target, votes)| (target.server, votes.clone()))
        .collect();
    for (server, votes_for_all) in for_all {
        let is_narrower =
            |target: &EjectionTarget| target.server == server && target.scope != Scope::All;
        for (_, narrower) in votes.iter_mut().filter(|(target, _)| is_narrower(target)) {
            for vote in &votes_for_all {
                if !narrower.iter().any(|known| known.front == vote.front) {
                    narrower.push(*vote);
                }
            }
        }
    }
}
