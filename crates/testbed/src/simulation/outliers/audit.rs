//! An independent record of the evidence and the votes that fronts published, against which a
//! simulation checks votes and ejections.

use std::collections::BTreeMap;

use tulipbridge_membership::{EntryKey, Nanos, PeerId};
use tulipbridge_outlier_detection::{
    DetectorConfig, EjectionTarget, Scope, ServerId, ZoneId, EVIDENCE, VOTE,
};

use crate::simulation::peer::ROUND_INTERVAL;

/// A vote for which too few fronts had recent evidence.
pub struct VoteWithoutEvidence(pub EjectionTarget);

/// When each front last published which evidence and which vote.
pub struct VoteAudit {
    /// The configuration of every detector, as far as the audit needs it.
    config: DetectorConfig,
    /// When each front last published a vote for an ejection.
    votes: BTreeMap<(usize, EjectionTarget), Nanos>,
    /// When each front last published evidence on a server.
    evidence: BTreeMap<(usize, ServerId), Nanos>,
}

impl VoteAudit {
    /// An empty record.
    pub fn new() -> VoteAudit {
        VoteAudit {
            config: DetectorConfig::new(PeerId(0), 1, ZoneId(0)),
            votes: BTreeMap::new(),
            evidence: BTreeMap::new(),
        }
    }

    /// Records an entry that a front wrote, or removed if there is no value.
    ///
    /// # Errors
    /// If it is a new vote without enough evidence; the vote is recorded nevertheless.
    pub fn record(
        &mut self,
        now: Nanos,
        front: usize,
        key: EntryKey,
        value: Option<&[u8]>,
    ) -> Result<(), VoteWithoutEvidence> {
        match (key.kind, value) {
            (EVIDENCE, Some(_)) => {
                self.evidence.insert((front, ServerId(key.id)), now);
            }
            (VOTE, Some(bytes)) => {
                if let Ok((target, _)) = postcard::from_bytes::<(EjectionTarget, ZoneId)>(bytes) {
                    return self.record_vote(now, front, target);
                }
            }
            (VOTE, None) => self.record_withdrawn_vote(now, front, key.id),
            _ => {}
        }
        Ok(())
    }

    /// Records a vote, and checks the evidence if it is new.
    fn record_vote(
        &mut self,
        now: Nanos,
        front: usize,
        target: EjectionTarget,
    ) -> Result<(), VoteWithoutEvidence> {
        let is_new = self.votes.insert((front, target), now).is_none();
        if is_new && self.witnesses(now, target.server) < self.config.witnesses {
            return Err(VoteWithoutEvidence(target));
        }
        Ok(())
    }

    /// A withdrawn vote counts nowhere once that is received; until then it counts by its age.
    fn record_withdrawn_vote(&mut self, now: Nanos, front: usize, id: u64) {
        let vote_ttl = self.config.vote_ttl;
        self.votes.retain(|(voter, target), at| {
            let is_withdrawn = *voter == front && target.id() == id;
            !is_withdrawn || now - *at <= vote_ttl
        });
    }

    /// How many fronts have recent evidence on a server.
    fn witnesses(&self, now: Nanos, server: ServerId) -> usize {
        let oldest = now - self.config.evidence_ttl - ROUND_INTERVAL;
        self.evidence
            .iter()
            .filter(|((_, of), at)| *of == server && **at >= oldest)
            .count()
    }

    /// Whether a front has voted for this ejection, or for one of the whole server, at `oldest` or
    /// since.
    pub fn has_vote(&self, front: usize, target: EjectionTarget, oldest: Nanos) -> bool {
        let all_of_server = EjectionTarget {
            scope: Scope::All,
            ..target
        };
        let votes = [target, all_of_server].map(|target| self.votes.get(&(front, target)));
        votes.into_iter().flatten().any(|at| *at >= oldest)
    }
}
