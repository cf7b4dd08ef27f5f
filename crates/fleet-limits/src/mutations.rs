//! Mutations of the coordinator for mutation testing. Each one breaks a rule of the protocol, and
//! the simulation and the model checker must detect it. Without the feature `mutations`,
//! [`mutated`] is the constant `false`, so that no mutation is compiled in.

/// A deliberate fault in the coordinator. Tools print its [`Mutation::name`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// The duration of a lease counts from the receipt of its grant, not from when it was
    /// requested.
    LeaseFromReceipt,
    /// The duration of a vote counts from its receipt, not from when it was requested.
    VoteFromReceipt,
    /// A restarted front votes at once, although votes of its earlier incarnation may not have
    /// expired.
    VotesWhileStarting,
    /// A front votes for a second holder of a lease issuer before its first vote has expired.
    VotesTwice,
    /// A lease issuer is held with one vote less than the quorum.
    SmallQuorum,
    /// A leased share counts as free before the peer has confirmed a later grant.
    GrantFreedEarly,
    /// A lease of the same share that expires earlier than the previous one does not count as a
    /// reduction.
    ShorterLeaseMissed,
    /// A lease may outlast the votes for the issuer from which it is granted.
    LeaseOutlivesIssuer,
    /// A lease issuer returns to its owner at once, while leases from it have not expired.
    IssuerReturnedEarly,
    /// The votes for a front that shuts down are released before the leases from it have expired.
    VotesReleasedOnShutdown,
    /// A front continues to use leases from an earlier incarnation of the grantor.
    LeaseFromPredecessorKept,
    /// A front that resumes after a pause does not check what has expired in the meantime.
    NoExpiryAfterPause,
    /// Heartbeats from a front with another membership list are accepted.
    AnyRoster,
    /// A new incarnation uses its floor without waiting for the end of its startup period.
    FloorAtOnce,
    /// A front uses its own share without deducting what it has granted to peers.
    GrantsNotDeducted,
}

impl Mutation {
    /// Returns the name that tools print and accept. It does not change with the variant's name.
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

/// All mutations, in the order of their declaration.
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
