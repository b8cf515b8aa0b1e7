//! Safety mechanisms that a test can disable one at a time to show which invariant each one
//! upholds.

use crate::check::Invariant;

/// A safety mechanism of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// A grant is sent only after the assignment record in the store names its holder.
    RecordFirst,
    /// Slices of an unresponsive holder are reassigned only after its grants have expired.
    LapseWait,
    /// A new granter treats the grants of its predecessor as in force.
    PredecessorWait,
    /// An unanswered grant counts as accepted.
    UnansweredCounts,
    /// Keys of an unresponsive holder are withheld until no standby can renew its hold.
    StandbyWait,
    /// Orders about lost keys are resent to their former holder until it answers.
    LostHolderFence,
    /// A holder whose connection was lost is renewed under new fencing tokens.
    TokenRenewal,
    /// A non-repeatable request is retried only with proof that it has not run.
    ProofBeforeRepeat,
    /// The grace period for a missing registration is short.
    ShortDoubt,
    /// Nodes share suspicions about requests that crash upstreams.
    SuspicionsTold,
    /// The granter persists those suspicions in the store.
    SuspicionsKept,
    /// Clocks include the time for which the machine was suspended.
    BootClock,
    /// Requests to upstreams that advertise a rate limit need permits.
    NamedRates,
    /// Requests of tenants with a quota need permits.
    Quotas,
    /// Upstreams that announce in responses that they are leaving are treated as leaving.
    LeavingWords,
    /// No requests are sent to upstreams during their retry-after period.
    Rests,
    /// Records that may predate a rollback of the store are not trusted.
    RecordDoubt,
    /// Keys are withheld until no grant that their holder may have delayed can be in force.
    DoubtWait,
    /// A term that may not know all earlier grants fences all upstreams before it assigns
    /// keys.
    TermFence,
    /// A term that may not know all earlier grants renews recorded holders only when no
    /// other upstream can have a grant in force.
    RenewalWait,
    /// Requests to upstreams that a node can't connect to are sent through other nodes.
    Gateways,
    /// After the loss of all processes, keys of an unresponsive holder are withheld until no
    /// grant that was in flight can be in force.
    InFlightWait,
}

impl Guard {
    /// All guards.
    pub const ALL: [Guard; 22] = [
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
        Guard::Quotas,
        Guard::LeavingWords,
        Guard::Rests,
        Guard::RecordDoubt,
        Guard::DoubtWait,
        Guard::TermFence,
        Guard::RenewalWait,
        Guard::InFlightWait,
        Guard::Gateways,
    ];

    /// The invariant that is violated without the guard.
    pub fn invariant(self) -> Invariant {
        match self {
            Guard::RecordFirst
            | Guard::LapseWait
            | Guard::PredecessorWait
            | Guard::UnansweredCounts
            | Guard::StandbyWait
            | Guard::RecordDoubt
            | Guard::BootClock => Invariant::SoleOwner,
            Guard::LostHolderFence
            | Guard::TokenRenewal
            | Guard::DoubtWait
            | Guard::TermFence
            | Guard::RenewalWait
            | Guard::InFlightWait => Invariant::RisingTokens,
            Guard::ProofBeforeRepeat => Invariant::AtMostOnce,
            Guard::ShortDoubt => Invariant::Drain,
            Guard::SuspicionsTold | Guard::SuspicionsKept => Invariant::PoisonKeptOff,
            Guard::NamedRates => Invariant::RateLimit,
            Guard::Quotas => Invariant::Quota,
            Guard::LeavingWords => Invariant::LeavingWord,
            Guard::Rests => Invariant::Rest,
            Guard::Gateways => Invariant::PartitionedNodes,
        }
    }
}
