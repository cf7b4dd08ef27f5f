//! Mutations of the coordinator for mutation testing: each one breaks a rule of the protocol, and
//! the simulation and the model checker must notice it. Without the feature `mutations`,
//! [`mutated`] is the constant `false`, so that none of them is compiled in.

/// A deliberate fault in the coordinator. Tools print its [`Mutation::name`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// The duration of a lease counts from the receipt of its grant, not from when it was
    /// requested.
    LeaseFromReceipt,
    /// The duration of a vote counts from its receipt, not from when it was requested.
    VoteFromReceipt,
    /// A restarted front votes at once, though an earlier incarnation may have votes outstanding.
    VotesWhileStarting,
    /// A front votes for a second holder of a lease issuer before its first vote has expired.
    VotesTwice,
    /// A lease issuer is held with one vote less than the quorum.
    SmallQuorum,
    /// A share that was leased counts as free before the lessee has confirmed a later grant.
    GrantFreedEarly,
    /// A lease of the same share that expires earlier than the one before does not count as a
    /// reduction.
    ShorterLeaseMissed,
    /// A lease may last longer than the votes for the issuer that it is granted from.
    LeaseOutlivesIssuer,
    /// A lease issuer returns to its home at once, while leases from it run.
    IssuerReturnedEarly,
    /// The votes for a front that shuts down are released at once, while leases from it run.
    VotesReleasedOnShutdown,
    /// A front goes on using leases from an earlier incarnation of the grantor.
    LeaseFromPredecessorKept,
    /// A front that resumes after a pause does not check what has expired meanwhile.
    NoExpiryAfterPause,
    /// Heartbeats from a front with another roster are accepted.
    AnyRoster,
    /// A new incarnation uses its floor at once.
    FloorAtOnce,
    /// A front uses its own share without deducting what it has leased to peers.
    GrantsNotDeducted,
}

impl Mutation {
    /// The name that the tools print and accept. It does not change with the variant's name.
    pub fn name(self) -> &'static str {
        match self {
            Mutation::LeaseFromReceipt => "LoanFromReceipt",
            Mutation::VoteFromReceipt => "BankFromReceipt",
            Mutation::VotesWhileStarting => "NoQuietTime",
            Mutation::VotesTwice => "AgreesTwice",
            Mutation::SmallQuorum => "SmallQuorum",
            Mutation::GrantFreedEarly => "LoanFreedAtOnce",
            Mutation::ShorterLeaseMissed => "ShorterLoanMissed",
            Mutation::LeaseOutlivesIssuer => "LoanOutlivesBank",
            Mutation::IssuerReturnedEarly => "BankBackAtOnce",
            Mutation::VotesReleasedOnShutdown => "LeavesAtOnce",
            Mutation::LeaseFromPredecessorKept => "LoanForPredecessor",
            Mutation::NoExpiryAfterPause => "NoLookAfterStop",
            Mutation::AnyRoster => "AnyRoster",
            Mutation::FloorAtOnce => "FloorAtOnce",
            Mutation::GrantsNotDeducted => "OwnPartIsWhole",
        }
    }
}

impl std::fmt::Display for Mutation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name())
    }
}

/// All mutations.
pub const ALL: [Mutation; 15] = [
    Mutation::LeaseFromReceipt,
    Mutation::VoteFromReceipt,
    Mutation::VotesWhileStarting,
    Mutation::VotesTwice,
    Mutation::SmallQuorum,
    Mutation::GrantFreedEarly,
    Mutation::ShorterLeaseMissed,
    Mutation::LeaseOutlivesIssuer,
    Mutation::IssuerReturnedEarly,
    Mutation::VotesReleasedOnShutdown,
    Mutation::LeaseFromPredecessorKept,
    Mutation::NoExpiryAfterPause,
    Mutation::AnyRoster,
    Mutation::FloorAtOnce,
    Mutation::GrantsNotDeducted,
];

tulipbridge_core::mutation_switch!();
