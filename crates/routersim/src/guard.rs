//! Protections that can be switched off, to see what each is for.

use crate::check::Invariant;

/// One protection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// A grant waits until a record names its holder.
    RecordFirst,
    /// A silent holder keeps its slices until its grants ran out.
    LapseWait,
    /// A new granter counts the grants of the one before as in force.
    PredecessorWait,
    /// A grant without an answer counts as taken.
    UnansweredCounts,
    /// Keys of a silent holder wait until no standby can prolong its hold.
    StandbyWait,
    /// A holder that lost keys without an answer is told until it answers.
    LostHolderFence,
    /// A holder whose connection was lost is renewed under fresh tokens.
    TokenRenewal,
    /// What may not be repeated is sent again only on proof.
    ProofBeforeRepeat,
    /// Doubt about a missing registration is short.
    ShortDoubt,
    /// Nodes tell each other of requests that end upstreams.
    SuspicionsTold,
    /// The granter keeps in the store which requests those are.
    SuspicionsKept,
    /// Time asleep counts.
    BootClock,
    /// Requests to upstreams that name a rate need permits.
    NamedRates,
    /// Upstreams that say in answers that they leave are leavers.
    LeavingWords,
    /// Nothing is sent to upstreams that asked for rest.
    Rests,
    /// Records that the store may have gone back from are doubted.
    RecordDoubt,
    /// Keys wait until no grant that their holder may have left lying can be in force.
    DoubtWait,
}

impl Guard {
    /// All protections.
    pub const ALL: [Guard; 17] = [
        Guard::RecordFirst,
        Guard::LapseWait,
        Guard::PredecessorWait,
        Guard::UnansweredCounts,
        Guard::StandbyWait,
        Guard::LostHolderFence,
        Guard::TokenRenewal,
        Guard::ProofBeforeRepeat,
        Guard::ShortDoubt,
        Guard::SuspicionsTold,
        Guard::SuspicionsKept,
        Guard::BootClock,
        Guard::NamedRates,
        Guard::LeavingWords,
        Guard::Rests,
        Guard::RecordDoubt,
        Guard::DoubtWait,
    ];

    /// The promise that is broken without it.
    pub fn invariant(self) -> Invariant {
        match self {
            Guard::RecordFirst
            | Guard::LapseWait
            | Guard::PredecessorWait
            | Guard::UnansweredCounts
            | Guard::StandbyWait
            | Guard::RecordDoubt
            | Guard::BootClock => Invariant::SoleOwner,
            Guard::LostHolderFence | Guard::TokenRenewal | Guard::DoubtWait => {
                Invariant::RisingTokens
            }
            Guard::ProofBeforeRepeat => Invariant::AtMostOnce,
            Guard::ShortDoubt => Invariant::Drain,
            Guard::SuspicionsTold | Guard::SuspicionsKept => Invariant::PoisonKeptOff,
            Guard::NamedRates => Invariant::RateLimit,
            Guard::LeavingWords => Invariant::LeavingWord,
            Guard::Rests => Invariant::Rest,
        }
    }
}
