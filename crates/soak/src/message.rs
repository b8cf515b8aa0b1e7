//! Messages between the driver and the other processes of a run.

use crate::tenants::Identity;
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};

/// How a caller's request ended.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum CallerEnd {
    /// A response arrived.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whether it carries a valid upstream signature.
        signed: bool,
        /// Whether the body is complete and belongs to the request.
        sound: bool,
    },
    /// The connection ended without a response.
    Disconnected,
    /// No connection was established, or it ended before the request was written.
    NotSent,
    /// The caller cancelled the request.
    Cancelled,
    /// The deadline passed.
    TimedOut,
}

/// An event that a process reports.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Observation {
    /// The process has started.
    Started,
    /// All observations up to this command have been reported.
    Flushed,
    /// A caller sent a request.
    RequestSent {
        /// Request id.
        id: String,
        /// Index of the router.
        node: usize,
        /// Path, including the version of a probe.
        path: String,
        /// Whether the request may be retried.
        repeatable: bool,
    },
    /// A caller sent a request as this sender.
    SentAs {
        /// Request id.
        id: String,
        /// The sender.
        identity: Identity,
    },
    /// A caller's request ended.
    RequestEnded {
        /// Request id.
        id: String,
        /// How it ended.
        end: CallerEnd,
    },
    /// A request reached an upstream.
    RequestArrived {
        /// Request id.
        id: String,
    },
    /// What an upstream was told of the sender of a request.
    SenderTold {
        /// Request id.
        id: String,
        /// The tenant.
        tenant: Option<String>,
        /// Whether the request had a key.
        has_key: bool,
    },
    /// An upstream began to execute a request.
    WorkStarted {
        /// Request id.
        id: String,
        /// Request path.
        path: String,
        /// The key, if the service is sharded.
        key: Option<u16>,
        /// Since when the upstream has held the key.
        held_since: Time,
    },
    /// An upstream finished or aborted a request.
    WorkFinished {
        /// Request id.
        id: String,
    },
    /// An upstream holds a key range.
    KeysHeld {
        /// First key.
        first: u16,
        /// Last key.
        last: u16,
        /// Start of the hold.
        since: Time,
        /// End of the hold by the upstream's clock.
        ends: Time,
    },
    /// An upstream accepted a grant.
    GrantAccepted {
        /// First key.
        first: u16,
        /// Last key.
        last: u16,
        /// Fencing token of the grant.
        token: u64,
    },
    /// An upstream released keys.
    KeysReleased {
        /// First key.
        first: u16,
        /// Last key.
        last: u16,
    },
    /// An upstream changed the rate limit that its responses announce.
    RateAnnounced {
        /// Requests per 1000 seconds, or `None` if responses announce no limit.
        rate_milli: Option<u32>,
    },
    /// An upstream's response to a request announced that the upstream is draining.
    LeaveAnnounced {
        /// Request id.
        id: String,
    },
    /// An upstream rejected a request and asked its router to pause.
    PauseRequested {
        /// Request id.
        id: String,
        /// Length of the pause in milliseconds.
        rest_ms: u32,
    },
    /// The store accepted an upstream's draining state, or removed its entry.
    UpstreamLeft {
        /// The upstream's incarnation.
        upstream: String,
    },
    /// The store accepted a configuration.
    ConfigurationAccepted {
        /// Version of the configuration.
        version: u64,
    },
}

/// An observation with its time and origin.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Report {
    /// Time of the observation.
    pub at: Time,
    /// Incarnation of the upstream, or name of the process.
    pub from: String,
    /// The observation.
    pub observation: Observation,
}

/// Faults that the store simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StoreFaults {
    /// Whether calls get no response.
    pub silent: bool,
    /// Whether leases expire meanwhile; otherwise they are suspended.
    pub lapse: bool,
    /// Whether every call is refused.
    pub busy: bool,
    /// Delay of each response in milliseconds.
    pub delay_ms: u32,
    /// Percentage of writes that are applied but get no response.
    pub lost_percent: u32,
    /// Whether these writes are applied up to 6 s late.
    pub late: bool,
    /// Whether watches receive no events.
    pub watches_silent: bool,
}

/// A command from the driver to a process.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Command {
    /// Sets the faults of the store.
    Store(StoreFaults),
    /// Compacts the history of the store.
    Compact,
    /// Publishes the configuration with this version.
    Configure(u64),
    /// Sets the percentage of responses that an upstream drops.
    DropResponses(u32),
    /// Sets the percentage of answers that an upstream spoils.
    SpoilAnswers(u32),
    /// Sets the rate limit that an upstream's responses announce, in requests per 1000
    /// seconds; `None` announces no limit.
    AnnounceRate(Option<u32>),
    /// Has an upstream reject all requests and ask for a pause of this many milliseconds;
    /// `None` ends that.
    RequestPause(Option<u32>),
    /// Restores the store from a snapshot of this age in milliseconds.
    RestoreSnapshot(u32),
    /// Sets the newest configuration version that callers probe.
    Probe(u64),
    /// Callers start to send requests.
    StartTraffic,
    /// Callers stop sending requests.
    StopTraffic,
    /// The process answers with [`Observation::Flushed`].
    Flush,
}
