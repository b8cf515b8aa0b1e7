//! Inputs and outputs of a node's core.

use crate::core::node::CoreConfig;
use crate::core::standby::{StandbyLease, StandbyReport, StandbyState};
use crate::core::views::{LatestRevisions, Snapshot, ViewName, ViewNotice, ViewRequest};
use beamtray_catalog::{AdvertisedRate, ClientLimits, UpstreamId};
use beamtray_dispatch::{
    AdmissionError, AnswerStats, AttemptOutcome, ConcludedRequest, Forward, KeyReport, LoadReport,
    LoadSum, PathNotice, PermitReply, PermitRequest, ProbeTarget, QuarantineEvent, QuotaReply,
    QuotaRequest, RateLimitEvent, RateLimitUpdate, RequestHead, SlotReply, SlotRequest, Suspicion,
    Ticket, TrialReply, TrialReport, TrialRequest, UpstreamHash,
};
use beamtray_metastore::{StoreCall, StoreEra, StoreOutcome};
use beamtray_sharding::{
    DoubtNotice, FenceNotice, GrantOrder, GrantReply, OwnedAgain, RenewalNotice, ShardKey,
};
use beamtray_types::{ServiceName, Time};
use borsh::{BorshDeserialize, BorshSerialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Intervals and timeouts of a node's periodic work.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Tick interval while other nodes or requests depend on this node: it is the granter, prolongs
    /// holds, sends load sums, or has requests queued.
    pub tick_interval: Duration,
    /// Tick interval at all other times.
    pub idle_tick_interval: Duration,
    /// Interval of load reports to nodes of the same zone.
    pub load_report_interval: Duration,
    /// Interval of load reports that also carry response statistics.
    pub answers_report_interval: Duration,
    /// Interval of a zone's load sums to the other zones in a small deployment.
    pub direct_zone_report_interval: Duration,
    /// Interval of load reports to relays, and of the relays' sums to the nodes of their zones.
    pub relayed_report_interval: Duration,
    /// Interval of load sums to the relays of other zones.
    pub zone_report_interval: Duration,
    /// Interval at which relays forward response statistics.
    pub answers_interval: Duration,
    /// Interval of load reports while no request is in flight, and of reports to relays that carry
    /// response statistics.
    pub idle_report_interval: Duration,
    /// Interval at which the latest known revisions are sent.
    pub revisions_interval: Duration,
    /// Interval of the same messages to non-relay nodes of other zones.
    pub far_revisions_interval: Duration,
    /// Delay before the announcement of a change is repeated.
    pub repeat_interval: Duration,
    /// Timeout of a request for assignments before another node is asked.
    pub assignment_fetch_timeout: Duration,
    /// Longest silence of a node while it sends other snapshots, which may be large.
    pub snapshot_fetch_timeout: Duration,
    /// Interval of per-key load reports.
    pub key_report_interval: Duration,
    /// Interval of snapshot requests to other nodes while the store is unreachable.
    pub peer_query_interval: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            tick_interval: Duration::from_millis(10),
            idle_tick_interval: Duration::from_millis(30),
            load_report_interval: Duration::from_millis(10),
            answers_report_interval: Duration::from_millis(40),
            direct_zone_report_interval: Duration::from_millis(25),
            relayed_report_interval: Duration::from_millis(30),
            zone_report_interval: Duration::from_millis(50),
            answers_interval: Duration::from_millis(500),
            idle_report_interval: Duration::from_millis(400),
            revisions_interval: Duration::from_millis(200),
            far_revisions_interval: Duration::from_millis(400),
            repeat_interval: Duration::from_millis(15),
            assignment_fetch_timeout: Duration::from_millis(300),
            snapshot_fetch_timeout: Duration::from_millis(1_200),
            key_report_interval: Duration::from_millis(120),
            peer_query_interval: Duration::from_millis(250),
        }
    }
}

/// Timeout of a grant order.
pub const GRANT_TIMEOUT: Duration = Duration::from_millis(500);

/// An order to send to an upstream.
#[derive(Clone, Debug)]
pub struct OrderTask {
    /// The service whose keys are concerned.
    pub service: ServiceName,
    /// Address of the upstream, if known.
    pub address: Option<SocketAddr>,
    /// The order to send.
    pub order: GrantOrder,
    /// A key that the upstream does not hold, `None` if it holds them all. The upstream is first
    /// asked to release this key, so that no grant is sent to a process that has stopped reading.
    pub probe_key: Option<ShardKey>,
    /// The order must not be sent after this time.
    pub until: Time,
}

/// The purpose of a store call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreTask {
    /// Keeps a view up to date; the number is the generation of the call.
    View(ViewName, u32),
    /// Campaigns in the granter election, or renews the granter's lease.
    Election,
    /// Maintains the registration of this node.
    Registration,
    /// Reads the assignments at the start of a term.
    TakeOver,
    /// Writes the measured upstream speeds.
    Speeds,
    /// Writes the suspected poison requests.
    Suspicions,
    /// Writes the assignment of a service.
    Record(ServiceName),
    /// Revokes the leases on a planned stop.
    Farewell,
}

/// A one-way message between nodes.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Datagram {
    /// The requests that a node has in flight.
    Load(LoadReport),
    /// The requests in flight in a zone, sent by one of its nodes to another zone.
    ZoneLoad(u32, LoadSum),
    /// The requests in flight in all zones, sent by a relay to the nodes of its zone.
    AllLoad(LoadSum),
    /// Response statistics of upstreams, forwarded by a relay.
    Answers(Vec<AnswerStats>),
    /// An upstream has terminated: a different one answered at its address.
    UpstreamTerminated(UpstreamId),
    /// To the granter: an upstream asked the sender to stop sending requests for a while.
    Backoff(BackoffNotice),
    /// Upstreams that announced in responses that they are shutting down.
    UpstreamsLeaving(Vec<UpstreamId>),
    /// Requests suspected to have crashed upstreams.
    Suspicions(Vec<Suspicion>),
    /// Request counts by key, for the granter.
    KeyReport(KeyReport),
    /// The latest revisions that the sender has seen.
    LatestRevisions(LatestRevisions),
    /// Asks a relay which upstream to send a request to.
    SlotRequest(SlotRequest),
    /// The relay's reply to a slot request.
    SlotReply(SlotReply),
    /// From the granter to a standby: allows it to prolong holds for a limited time.
    StandbyLease(StandbyLease),
    /// From a standby to the granter: the records that it knows.
    StandbyReport(StandbyReport),
    /// Asks for a permit to send a suspected request.
    TrialRequest(TrialRequest),
    /// The issuer's reply to a trial request.
    TrialReply(TrialReply),
    /// The outcome of a trial.
    TrialReport(TrialReport),
    /// Rate limits that upstreams announce, or no longer announce.
    RateLimits(Vec<RateLimitUpdate>),
    /// Asks for permits to send requests to a rate-limited upstream.
    PermitRequest(PermitRequest),
    /// The issuer's reply to a permit request.
    PermitReply(PermitReply),
    /// Asks for permits from the quota of a tenant.
    QuotaRequest(QuotaRequest),
    /// The issuer's reply to a quota request.
    QuotaReply(QuotaReply),
    /// From a granter: asks whether a live process is known to have observed that earlier term.
    TermQuery(u64),
    /// A live process observed the term: from its granter, and in reply to a query.
    TermObserved(u64),
}

/// An upstream's request to receive no requests for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct BackoffNotice {
    /// The upstream that asked.
    pub upstream: UpstreamHash,
    /// Duration asked for, in milliseconds.
    pub backoff_ms: u32,
}

/// The result of a connection attempt to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The connection was refused: no process listens at the address.
    Ended,
    /// The connection was accepted.
    Listens,
    /// No reply: the host may be partitioned from this node, or have lost power.
    Silent,
}

/// An event handled by the core.
pub enum Input {
    /// Time has passed.
    Tick,
    /// A client's request has been received in full.
    Request {
        /// Identifies the request.
        ticket: Ticket,
        /// The routing information of the request.
        head: RequestHead,
    },
    /// An attempt to send a request to an upstream has ended.
    AttemptEnded {
        /// The request that was attempted.
        ticket: Ticket,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// The rate limit stated in the response, if it carried one.
        rate: Option<AdvertisedRate>,
    },
    /// An upstream announced in a response that it is shutting down.
    UpstreamLeaving {
        /// The upstream that is shutting down.
        upstream: UpstreamId,
    },
    /// An upstream rejected a request and asked this node to send none for a while.
    BackoffRequested {
        /// The upstream that asked.
        upstream: UpstreamId,
        /// How long no requests are to be sent.
        backoff: Duration,
    },
    /// The client disconnected, and no attempt continues.
    Cancelled {
        /// The request that is cancelled.
        ticket: Ticket,
    },
    /// The client disconnected. An attempt that is in flight continues.
    ClientLeft {
        /// The request of that client.
        ticket: Ticket,
    },
    /// The store reports a new era, or its first one. Responses of that era follow after this
    /// input.
    StoreEra(StoreEra),
    /// A store call has completed or failed.
    Store {
        /// The purpose of the call.
        task: StoreTask,
        /// The result of the call.
        outcome: StoreOutcome,
    },
    /// An order to an upstream was answered or has failed.
    Order {
        /// The service whose keys are concerned.
        service: ServiceName,
        /// The order that was sent.
        order: GrantOrder,
        /// Term in which the order was given.
        epoch: u64,
        /// The upstream's reply, or how the order failed.
        reply: GrantReply,
    },
    /// A different incarnation answers at an upstream's address.
    Replaced {
        /// The upstream that has terminated.
        upstream: UpstreamId,
    },
    /// A new connection to an upstream was tried.
    ConnectionTried {
        /// The upstream.
        upstream: UpstreamId,
        /// Its address.
        address: SocketAddr,
        /// When the attempt began.
        began: Time,
        /// Whether the connection was opened.
        opened: bool,
    },
    /// A connection attempt that checks an upstream has completed.
    Probed {
        /// The upstream that was probed.
        upstream: UpstreamId,
        /// The result of the probe.
        liveness: Liveness,
    },
    /// The machine resumed from suspension. The time passed with this input includes the
    /// suspension.
    Resumed,
    /// A message from another node.
    Datagram(SocketAddr, Datagram),
    /// Snapshots from another node.
    Snapshots(SocketAddr, Vec<Snapshot>),
    /// Another node failed to send its snapshots.
    SnapshotsUnavailable(SocketAddr),
    /// The settings changed.
    Settings(Box<CoreConfig>),
    /// The process is to shut down.
    Stop {
        /// When it ends. Requests that may take longer are not sent any more.
        end: Time,
    },
}

/// A change in the ownership of a sharded service's keys, or in the state of their holders.
#[derive(Clone, Debug)]
pub enum OwnershipNotice {
    /// Keys have an owner again.
    OwnedAgain(OwnedAgain),
    /// An upstream lost keys without having confirmed it, or has since confirmed it.
    Fence(FenceNotice),
    /// Keys are withheld because their last holder may still process an earlier grant.
    Doubt(DoubtNotice),
    /// Recorded holders of a possibly outdated record keep their keys.
    Renewal(RenewalNotice),
}

/// An action for the shell to perform.
pub enum Output {
    /// Reject a request that can't be admitted.
    Deny(Ticket, AdmissionError),
    /// Send a request to an upstream.
    Forward(Ticket, Forward),
    /// Send the final response to the client.
    Conclude(Ticket, ConcludedRequest),
    /// Call the store.
    Store(StoreTask, StoreCall),
    /// Send an order to an upstream; the number is the term.
    Order(OrderTask, u64),
    /// Send a message to the nodes at these addresses.
    Send(Datagram, Vec<SocketAddr>),
    /// Request snapshots from another node, which may be silent for so long.
    FetchSnapshots(SocketAddr, ViewRequest, Duration),
    /// Try to connect to an upstream, to check whether a process still listens there. A refused
    /// connection has to be confirmed by the other nodes: a partition may refuse connections as well.
    Probe(ProbeTarget, Vec<SocketAddr>),
    /// Try to connect to an upstream, to check whether the path to it is whole again.
    ProbePath(ProbeTarget),
    /// What this node can connect to changed.
    Path(PathNotice),
    /// The knowledge about poison requests changed.
    Quarantine(QuarantineEvent),
    /// The known rate limit of an upstream changed; the id is present if the upstream is
    /// registered.
    RateLimit(Option<UpstreamId>, RateLimitEvent),
    /// The store has begun a new era.
    StoreEra {
        /// The previous era, if one was known.
        before: Option<StoreEra>,
        /// The new era.
        era: StoreEra,
    },
    /// The limits on clients changed.
    ClientLimits(ClientLimits),
    /// The node's view of the cluster changed.
    ViewChanged(ViewNotice),
    /// This node stepped down as the granter: it can't connect to most holders of keys.
    SteppedDown {
        /// Number of holders behind broken paths.
        broken: usize,
    },
    /// This node became the granter in the given term, or stopped being the granter.
    Granter(Option<u64>),
    /// As the granter: the ownership of a service's keys, or the state of their holders, changed.
    Ownership(ServiceName, OwnershipNotice),
    /// The standby state of this node changed.
    Standby(StandbyState),
}
