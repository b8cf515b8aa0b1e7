//! What the processes of a run tell the driver, and what it tells them.

use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};

/// How a caller's request ended.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum CallerEnd {
    /// An answer came.
    Answered {
        /// Its status.
        status: u16,
        /// Whether it is signed as an upstream signs.
        signed: bool,
        /// Whether it is whole and belongs to the request.
        sound: bool,
    },
    /// The connection ended without an answer.
    Disconnected,
    /// No connection came up, or it ended before the request was written.
    NotSent,
    /// The caller left.
    Cancelled,
    /// The deadline passed.
    TimedOut,
}

/// What a process saw.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Observation {
    /// It is there.
    Started,
    /// A caller sent a request.
    RequestSent {
        /// Its id.
        id: String,
        /// The router's number.
        node: usize,
        /// Path, the version of a probe included.
        path: String,
        /// Whether it may be repeated.
        repeatable: bool,
    },
    /// A caller's request ended.
    RequestEnded {
        /// Its id.
        id: String,
        /// How.
        end: CallerEnd,
    },
    /// A request reached an upstream.
    RequestArrived {
        /// The request.
        id: String,
    },
    /// An upstream begins to work on a request.
    WorkStarted {
        /// The request.
        id: String,
        /// Its path.
        path: String,
        /// Its key, where keys are held.
        key: Option<u16>,
        /// Since when the upstream has held the key.
        held_since: Time,
    },
    /// An upstream's work on a request ended, or was broken off.
    WorkFinished {
        /// The request.
        id: String,
    },
    /// An upstream holds keys.
    KeysHeld {
        /// First key.
        first: u16,
        /// Last key.
        last: u16,
        /// Since when.
        since: Time,
        /// Until when, by the upstream's clock.
        ends: Time,
    },
    /// An upstream took a grant.
    GrantAccepted {
        /// First key.
        first: u16,
        /// Last key.
        last: u16,
        /// The grant's token.
        token: u64,
    },
    /// An upstream gave keys back.
    KeysReleased {
        /// First key.
        first: u16,
        /// Last key.
        last: u16,
    },
    /// An upstream's answers name from now on how many requests in a thousand seconds it
    /// takes; none if they name nothing.
    RateAnnounced {
        /// The rate.
        rate_milli: Option<u32>,
    },
    /// An upstream's answer to a request says that it leaves.
    LeaveAnnounced {
        /// The request.
        id: String,
    },
    /// An upstream turned a request away and asked its router for rest.
    PauseRequested {
        /// The request.
        id: String,
        /// Milliseconds.
        rest_ms: u32,
    },
    /// The store accepted that an upstream leaves, or its entry is gone.
    UpstreamLeft {
        /// The upstream's incarnation.
        upstream: String,
    },
    /// The store accepted a configuration.
    ConfigurationAccepted {
        /// Its version.
        version: u64,
    },
}

/// One observation.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Report {
    /// When.
    pub at: Time,
    /// Who: the incarnation of an upstream, or a process's name.
    pub from: String,
    /// What.
    pub observation: Observation,
}

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StoreFaults {
    /// It answers nothing.
    pub silent: bool,
    /// Whether leases run out meanwhile; else they wait.
    pub lapse: bool,
    /// It refuses every call.
    pub busy: bool,
    /// Milliseconds before each answer.
    pub delay_ms: u32,
    /// Percent of the writes that are done and not answered.
    pub lost_percent: u32,
    /// Whether those are done up to 6 s later.
    pub late: bool,
    /// Watches hear nothing.
    pub watches_silent: bool,
}

/// What the driver tells a process.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Command {
    /// How the store behaves from now on.
    Store(StoreFaults),
    /// The store forgets its history.
    Compact,
    /// The store takes this configuration.
    Configure(u64),
    /// Percent of the answers that an upstream loses from now on.
    DropResponses(u32),
    /// Requests in a thousand seconds that an upstream's answers name from now on as what it
    /// takes; none if they name nothing.
    AnnounceRate(Option<u32>),
    /// An upstream turns all requests away from now on and asks for so many milliseconds of
    /// rest; none if it does not.
    RequestPause(Option<u32>),
    /// The store comes back from a copy of itself that is so many milliseconds old.
    RestoreSnapshot(u32),
    /// Newest version that callers probe for.
    Probe(u64),
    /// Callers begin.
    StartTraffic,
    /// Callers send nothing more.
    StopTraffic,
}
