//! Bugs that are seeded on purpose, to see whether the simulation and the checker find them. In every build without
//! the feature `seeded`, [`seeded`] is the constant `false` and none of them is compiled in.

/// One alteration of the machine's own code path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// One witness is enough.
    OneWitness,
    /// The evidence of a front that contradicts all others counts.
    SuspectCounts,
    /// Half of the roster is enough to hold a server out.
    HalfIsEnough,
    /// An assent that is taken back is forgotten at once.
    AssentForgotten,
    /// Evidence counts whatever its age.
    OldEvidence,
    /// Assents count whatever their age.
    OldAssents,
    /// What is bad is not held against what is bad at the other servers.
    NoBase,
    /// Who has tried a thousand times outweighs all others.
    SamplesUncapped,
    /// What others saw is not waited for.
    NoWait,
    /// A server that one zone cannot reach is held out for all.
    ZoneIsAll,
    /// A verdict never lapses.
    NeverLapses,
    /// All fronts try a server that is held out.
    AllTry,
    /// What was seen of a server before it did well in trials counts on.
    OldSins,
    /// One front's evidence may make a whole verdict.
    OneMakesAll,
}

/// All of them.
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
