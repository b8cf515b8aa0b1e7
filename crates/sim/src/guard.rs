//! The protections by name, to be switched off one at a time.

use crate::scenario::WorldGuards;

/// A protection whose absence a checker should notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// A silent owner's slices wait until its grants lapsed.
    LapseWait,
    /// A new leader waits for the grants of leaders before it.
    FormerLeaderWait,
    /// A revoked slice waits for requests in flight.
    ReleaseWait,
    /// A new run of a server waits for the grants of the run before.
    ServerIncarnation,
    /// Voters withhold votes during a leader's lease.
    VoteWithholding,
    /// A leader grants and answers only under its lease.
    LeaderLease,
    /// A try that may have run is never called `not run`.
    UnknownOutcome,
    /// A gate drops a try that comes twice.
    DuplicateDrop,
    /// A node without word from its group admits nothing.
    ConfigurationLease,
    /// A generation ends only when no majority can be left.
    RefoundingProof,
    /// A configuration is accepted only when it is committed.
    CommittedAcceptance,
    /// A write whose reply is lost is written again and read back.
    ReadBack,
    /// A change of voters is recorded before it takes effect.
    VoterRecord,
    /// Servers that leave receive nothing new.
    Drain,
    /// Servers check the expiry of grants.
    GrantExpiry,
    /// Servers check fences.
    ServerFence,
    /// Servers check the grant again at the effect.
    EffectCheck,
    /// A timed-out exchange closes its connection.
    ConnectionClose,
}

impl Guard {
    /// All of them.
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

    /// The guard called `name`.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|guard| guard.as_str() == name)
    }

    /// Switches the guard off.
    pub fn disable_in(self, guards: &mut WorldGuards) {
        let control = &mut guards.control;
        match self {
            Guard::LapseWait => control.granter.waits_for_lapse = false,
            Guard::FormerLeaderWait => control.granter.waits_for_former = false,
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
