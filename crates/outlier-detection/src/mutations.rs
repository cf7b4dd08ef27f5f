//! Mutations of the detector for mutation testing: each one breaks a rule of the protocol, and the simulation must
//! notice it. Without the feature `mutations`, [`mutated`] is the constant `false`, so that none of them is compiled in.

/// A deliberate fault in the detector. The variants' names are printed by the tools that run them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// One witness suffices.
    OneWitness,
    /// The evidence of a suspect front counts.
    SuspectCounts,
    /// Half of the fronts suffice to eject a server.
    HalfIsEnough,
    /// A withdrawn vote no longer counts for the bound on votes, though it may still count at peers.
    AssentForgotten,
    /// Evidence counts whatever its age.
    OldEvidence,
    /// Votes count whatever their age.
    OldAssents,
    /// The failure rate of the median server is ignored.
    NoBase,
    /// The weight of a front grows with its attempts without bound.
    SamplesUncapped,
    /// A front votes without waiting for its peers' evidence.
    NoWait,
    /// A server that one zone alone cannot reach is ejected for all fronts.
    ZoneIsAll,
    /// A vote is never withdrawn.
    NeverLapses,
    /// All fronts probe an ejected server at the same time.
    AllTry,
    /// Evidence from before a server recovered still counts.
    OldSins,
    /// One front's evidence may reach the ejection threshold by itself.
    OneMakesAll,
}

/// All mutations.
pub const ALL: [Mutation; 14] = [
    Mutation::OneWitness,
    Mutation::SuspectCounts,
    Mutation::HalfIsEnough,
    Mutation::AssentForgotten,
    Mutation::OldEvidence,
    Mutation::OldAssents,
    Mutation::NoBase,
    Mutation::SamplesUncapped,
    Mutation::NoWait,
    Mutation::ZoneIsAll,
    Mutation::NeverLapses,
    Mutation::AllTry,
    Mutation::OldSins,
    Mutation::OneMakesAll,
];

tulipbridge_core::mutation_switch!();
