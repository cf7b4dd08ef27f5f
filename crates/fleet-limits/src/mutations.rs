//! Bugs that are seeded on purpose, to see whether the simulation and the checker find them. In every build without
//! the feature `seeded`, [`seeded`] is the constant `false` and none of them is compiled in.

/// One alteration of the machine's own code path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// A loan ends when its grant came, plus its term, not when it was asked for.
    LoanFromReceipt,
    /// A bank is held from the receipt of an agreement, not from the moment it was asked for.
    BankFromReceipt,
    /// A restarted front agrees at once, having forgotten what it agreed to.
    NoQuietTime,
    /// A front that agreed to one holder agrees to another before the first has ended.
    AgreesTwice,
    /// Less than half keeps a bank.
    SmallQuorum,
    /// What a borrower no longer uses is taken as free before the borrower has said so.
    LoanFreedAtOnce,
    /// A loan of the same parts that ends sooner than the one before is not noticed.
    ShorterLoanMissed,
    /// A loan believed after its lender's agreement has ended: its term ignores the lender's own.
    LoanOutlivesBank,
    /// A bank is given back to its home at once, while loans from it run.
    BankBackAtOnce,
    /// The banks of a front that ends are free at once, while loans from them run.
    LeavesAtOnce,
    /// What a predecessor had borrowed counts for its successor.
    LoanForPredecessor,
    /// A front that goes on after a stop looks at nothing that has ended.
    NoLookAfterStop,
    /// Agreements with a front of another roster count.
    AnyRoster,
    /// Floors are used at once by a new boot.
    FloorAtOnce,
    /// A front gives itself what it has lent.
    OwnPartIsWhole,
}

/// All of them.
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
