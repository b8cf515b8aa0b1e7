//! Named safety mechanisms that can be disabled one at a time.

use crate::scenario::WorldGuards;

/// A safety mechanism whose absence a checker should detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// Slices of an unresponsive owner are reassigned only after its grants expire.
    LapseWait,
    /// A new leader waits for the grants of former leaders to expire.
    FormerLeaderWait,
    /// A revoked slice is released only after its requests in flight finish.
    ReleaseWait,
    /// A new server run waits for the grants of the previous run to expire.
    ServerIncarnation,
    /// Voters withhold votes during a leader's lease.
    VoteWithholding,
    /// A leader grants slices and responds only while it holds its lease.
    LeaderLease,
    /// An attempt that may have executed is never reported as not executed.
    UnknownOutcome,
    /// A gate drops duplicate deliveries of an attempt.
    DuplicateDrop,
    /// A node that has lost contact with its group admits no requests.
    ConfigurationLease,
    /// A generation ends only when no majority of its voters can still exist.
    RefoundingProof,
    /// A configuration is reported as accepted only once it is committed.
    CommittedAcceptance,
    /// A write whose reply is lost is retried and read back.
    ReadBack,
    /// A voter change is recorded before it takes effect.
    VoterRecord,
    /// Draining servers receive no new requests.
    Drain,
    /// Servers check the expiry of grants.
    GrantExpiry,
    /// Servers check fences.
    ServerFence,
    /// Servers check the grant again just before applying the effect.
    EffectCheck,
    /// A timed-out exchange closes its connection.
    ConnectionClose,
}

impl Guard {
    /// All guards.
    pub const ALL: [Guard; 18] = [
        Guard::LapseWait,
        Guard::FormerLeaderWait,
        Guard::ReleaseWait,
        Guard::ServerIncarnation,
        Guard::VoteWithholding,
        Guard::LeaderLease,
        Guard::UnknownOutcome,
        Guard::DuplicateDrop,
        Guard::ConfigurationLease,
        Guard::RefoundingProof,
        Guard::CommittedAcceptance,
        Guard::ReadBack,
        Guard::VoterRecord,
        Guard::Drain,
        Guard::GrantExpiry,
        Guard::ServerFence,
        Guard::EffectCheck,
        Guard::ConnectionClose,
    ];

    /// The guard's name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Guard::LapseWait => "lapse-wait",
            Guard::FormerLeaderWait => "former-leader-wait",
            Guard::ReleaseWait => "release-wait",
            Guard::ServerIncarnation => "server-incarnation",
            Guard::VoteWithholding => "vote-withholding",
            Guard::LeaderLease => "leader-lease",
            Guard::UnknownOutcome => "unknown-outcome",
            Guard::DuplicateDrop => "duplicate-drop",
            Guard::ConfigurationLease => "configuration-lease",
            Guard::RefoundingProof => "refounding-proof",
            Guard::CommittedAcceptance => "committed-acceptance",
            Guard::ReadBack => "read-back",
            Guard::VoterRecord => "voter-record",
            Guard::Drain => "drain",
            Guard::GrantExpiry => "grant-expiry",
            Guard::ServerFence => "server-fence",
            Guard::EffectCheck => "effect-check",
            Guard::ConnectionClose => "connection-close",
        }
    }

    /// Looks up a guard by its command-line name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|guard| guard.as_str() == name)
    }

    /// Disables the guard.
    pub fn disable_in(self, guards: &mut WorldGuards) {
        let control = &mut guards.control;
        match self {
            Guard::LapseWait => control.granter.waits_for_expiry = false,
            Guard::FormerLeaderWait => control.granter.waits_for_previous_leaders = false,
            Guard::ReleaseWait => control.granter.waits_for_release = false,
            Guard::ServerIncarnation => control.granter.checks_incarnation = false,
            Guard::VoteWithholding => control.withhold_votes = false,
            Guard::LeaderLease => control.leader_lease = false,
            Guard::UnknownOutcome => control.keeps_unknown = false,
            Guard::DuplicateDrop => control.drops_duplicates = false,
            Guard::ConfigurationLease => control.configuration_lease = false,
            Guard::RefoundingProof => control.refounding_wait = false,
            Guard::CommittedAcceptance => control.accepts_committed = false,
            Guard::ReadBack => control.reads_back = false,
            Guard::VoterRecord => control.records_voters = false,
            Guard::Drain => control.drains = false,
            Guard::GrantExpiry => guards.server_checks_expiry = false,
            Guard::ServerFence => guards.server_checks_fence = false,
            Guard::EffectCheck => guards.server_checks_at_effect = false,
            Guard::ConnectionClose => guards.closes_timed_out = false,
        }
    }
}
