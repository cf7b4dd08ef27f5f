//! Mutations of the detector for mutation testing: each one breaks a rule of the protocol, and the
//! simulation must detect it. Without the feature `mutations`, [`mutated`] is the constant `false`,
//! so that none of them is compiled in.

/// A deliberate fault in the detector. Tools print its [`Mutation::name`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// One witness suffices for an ejection.
    OneWitness,
    /// The evidence of a suspect front counts like that of any other.
    SuspectCounts,
    /// Half of the fronts are a quorum.
    HalfIsEnough,
    /// A withdrawn vote no longer counts towards the front's limit of votes, though it may still
    /// count at peers.
    WithdrawnVoteForgotten,
    /// Evidence counts whatever its age.
    ExpiredEvidenceCounts,
    /// Votes count whatever their age.
    ExpiredVotesCount,
    /// The failure rate of a front's median server is ignored.
    NoBaseline,
    /// The weight of a front's evidence grows with its attempts without limit.
    SamplesUncapped,
    /// A front votes without waiting for its peers' evidence.
    NoVoteDelay,
    /// A server that one zone alone cannot reach is ejected for all fronts.
    ZoneIsAll,
    /// A vote is never withdrawn.
    VotesNeverWithdrawn,
    /// All fronts probe an ejected server at the same time.
    AllProbe,
    /// Evidence from before a server recovered still counts.
    EvidenceBeforeRecoveryCounts,
    /// One front's evidence may reach the ejection threshold by itself.
    OneFrontSuffices,
}

impl Mutation {
    /// Returns the name that the tools print and accept. It does not change with the variant's
    /// name.
    pub fn name(self) -> &'static str {
        match self {
            Mutation::OneWitness => "OneWitness",
            Mutation::SuspectCounts => "SuspectCounts",
            Mutation::HalfIsEnough => "HalfIsEnough",
            Mutation::WithdrawnVoteForgotten => "AssentForgotten",
            Mutation::ExpiredEvidenceCounts => "OldEvidence",
            Mutation::ExpiredVotesCount => "OldAssents",
            Mutation::NoBaseline => "NoBase",
            Mutation::SamplesUncapped => "SamplesUncapped",
            Mutation::NoVoteDelay => "NoWait",
            Mutation::ZoneIsAll => "ZoneIsAll",
            Mutation::VotesNeverWithdrawn => "NeverLapses",
            Mutation::AllProbe => "AllTry",
            Mutation::EvidenceBeforeRecoveryCounts => "OldSins",
            Mutation::OneFrontSuffices => "OneMakesAll",
        }
    }
}

impl std::fmt::Display for Mutation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name())
    }
}

/// All mutations, in the order of their declaration.
pub const ALL: [Mutation; 14] = [
    Mutation::OneWitness,
    Mutation::SuspectCounts,
    Mutation::HalfIsEnough,
    Mutation::WithdrawnVoteForgotten,
    Mutation::ExpiredEvidenceCounts,
    Mutation::ExpiredVotesCount,
    Mutation::NoBaseline,
    Mutation::SamplesUncapped,
    Mutation::NoVoteDelay,
    Mutation::ZoneIsAll,
    Mutation::VotesNeverWithdrawn,
    Mutation::AllProbe,
    Mutation::EvidenceBeforeRecoveryCounts,
    Mutation::OneFrontSuffices,
];

tulipbridge_core::mutation_switch!();
