//! Mutations of the coordinator for mutation testing: each one breaks a rule of the protocol, and the simulation and
//! the model checker must notice it. Without the feature `mutations`, [`mutated`] is the constant `false`, so that none
//! of them is compiled in.

/// A deliberate fault in the coordinator. The variants' names are printed by the tools that run them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// The duration of a lease counts from the receipt of its grant, not from when it was requested.
    LoanFromReceipt,
    /// The duration of a vote counts from its receipt, not from when it was requested.
    BankFromReceipt,
    /// A restarted front votes at once, though an earlier incarnation may have votes outstanding.
    NoQuietTime,
    /// A front votes for a second holder of a lease issuer before its first vote has expired.
    AgreesTwice,
    /// A lease issuer is held with one vote less than the quorum.
    SmallQuorum,
    /// A share that was leased counts as free before the lessee has confirmed a later grant.
    LoanFreedAtOnce,
    /// A lease of the same share that expires earlier than the one before does not count as a reduction.
    ShorterLoanMissed,
    /// A lease may last longer than the votes for the issuer that it is granted from.
    LoanOutlivesBank,
    /// A lease issuer returns to its home at once, while leases from it run.
    BankBackAtOnce,
    /// The votes for a front that shuts down are released at once, while leases from it run.
    LeavesAtOnce,
    /// A front goes on using leases from an earlier incarnation of the grantor.
    LoanForPredecessor,
    /// A front that resumes after a pause does not check what has expired meanwhile.
    NoLookAfterStop,
    /// Heartbeats from a front with another roster are accepted.
    AnyRoster,
    /// A new incarnation uses its floor at once.
    FloorAtOnce,
    /// A front uses its own share without deducting what it has leased to peers.
    OwnPartIsWhole,
}

/// All mutations.
pub const ALL: [Mutation; 15] = [
    Mutation::LoanFromReceipt,
    Mutation::BankFromReceipt,
    Mutation::NoQuietTime,
    Mutation::AgreesTwice,
    Mutation::SmallQuorum,
    Mutation::LoanFreedAtOnce,
    Mutation::ShorterLoanMissed,
    Mutation::LoanOutlivesBank,
    Mutation::BankBackAtOnce,
    Mutation::LeavesAtOnce,
    Mutation::LoanForPredecessor,
    Mutation::NoLookAfterStop,
    Mutation::AnyRoster,
    Mutation::FloorAtOnce,
    Mutation::OwnPartIsWhole,
];

tulipbridge_core::mutation_switch!();
