//! What goes into a node's core and what comes out of it.

use crate::core::node::CoreConfig;
use crate::core::standby::{StandbyReport, StandbyState, StandbyWord};
use crate::core::views::{Snapshot, ViewHeads, ViewName, ViewNotice, ViewRequest};
use beamtray_catalog::{AdvertisedRate, ClientLimits, UpstreamId};
use beamtray_dispatch::{
    Admission, Answers, AttemptOutcome, DoubtedUpstream, Ending, Forward, KeyReport, LimitNotice,
    LimitWord, LoadReport, LoadSum, PermitReply, PermitRequest, QuarantineNotice, RequestHead,
    SlotReply, SlotRequest, Suspicion, Ticket, TrialReply, TrialReport, TrialRequest, UpstreamHash,
};
use beamtray_metastore::{StoreCall, StoreEra, StoreOutcome};
use beamtray_sharding::{DoubtNotice, FenceNotice, GrantOrder, GrantReply, OwnedAgain, ShardKey};
use beamtray_types::{ServiceName, Time};
use borsh::{BorshDeserialize, BorshSerialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Pauses between periodic works.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between looks at what is due, where others wait for this node: it grants,
    /// prolongs holds, tells sums, or has requests waiting.
    pub tick: Duration,
    /// The same at all other times.
    pub idle_tick: Duration,
    /// Between reports of requests under way to nodes of the same zone.
    pub report: Duration,
    /// Between reports that tell of answers, too.
    pub answers_report: Duration,
    /// Between sums of a zone to the others where there are few nodes.
    pub few_zone_report: Duration,
    /// Between reports to relays, and their sums to the nodes of their zones.
    pub relayed_report: Duration,
    /// Between sums to relays of other zones.
    pub zone_report: Duration,
    /// Between the passing on of answers.
    pub answers: Duration,
    /// Between the same when nothing is under way.
    pub idle_report: Duration,
    /// Between words of the newest changes seen.
    pub heads: Duration,
    /// Between the same to nodes of other zones that are no relays.
    pub far_heads: Duration,
    /// Before word of a change is repeated.
    pub repeat: Duration,
    /// How long assignments are waited for before another node is asked.
    pub fetch: Duration,
    /// The same for other copies, which may be large.
    pub fetch_large: Duration,
    /// Between reports of requests by key.
    pub key_report: Duration,
    /// Between questions to other nodes while the store is in trouble.
    pub ask_peers: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(10),
            idle_tick: Duration::from_millis(30),
            report: Duration::from_millis(10),
            answers_report: Duration::from_millis(40),
            few_zone_report: Duration::from_millis(25),
            relayed_report: Duration::from_millis(30),
            zone_report: Duration::from_millis(50),
            answers: Duration::from_millis(500),
            idle_report: Duration::from_millis(400),
            heads: Duration::from_millis(200),
            far_heads: Duration::from_millis(400),
            repeat: Duration::from_millis(15),
            fetch: Duration::from_millis(300),
            fetch_large: Duration::from_millis(1_200),
            key_report: Duration::from_millis(120),
            ask_peers: Duration::from_millis(250),
        }
    }
}

/// Longest wait for the answer to a grant.
pub const GRANT_TIMEOUT: Duration = Duration::from_millis(500);

/// An order to be sent to an upstream.
#[derive(Clone, Debug)]
pub struct OrderTask {
    /// The service.
    pub service: ServiceName,
    /// Where the upstream listens; none when that is not known.
    pub address: Option<SocketAddr>,
    /// The order.
    pub order: GrantOrder,
    /// A key that the upstream does not hold: it is asked to release that before a grant, so
    /// that no grant is sent to a process that does not read. None if it holds them all.
    pub asks_about: Option<ShardKey>,
    /// Until when it may be sent.
    pub until: Time,
}

/// What a call to the store is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreTask {
    /// Keeps a view up; the number is the call's generation.
    View(ViewName, u32),
    /// The election.
    Election,
    /// The node's entry.
    Registration,
    /// Reads the assignments at the start of a term.
    TakeOver,
    /// Writes what was learned of speeds.
    Speeds,
    /// Writes which requests end upstreams.
    Suspicions,
    /// Writes the assignment of a service.
    Record(ServiceName),
    /// Gives up leases at a planned stop.
    Farewell,
}

/// What one node tells another without waiting for an answer.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Datagram {
    /// Requests under way.
    Load(LoadReport),
    /// Requests under way in a zone, from one of its relays to those of another.
    ZoneLoad(u32, LoadSum),
    /// Requests under way everywhere, from a relay to the nodes of its zone.
    AllLoad(LoadSum),
    /// Answers of upstreams, passed on by a relay.
    Answers(Vec<Answers>),
    /// An upstream is gone: another one answered at its address.
    Gone(UpstreamId),
    /// To the granter: an upstream asked the node for rest.
    Rest(RestNotice),
    /// Upstreams that said in answers that they leave.
    Leaving(Vec<UpstreamId>),
    /// Upstreams that ended under requests.
    Suspicions(Vec<Suspicion>),
    /// Requests by key, for the granter.
    Keys(KeyReport),
    /// Newest changes that it has seen.
    Heads(ViewHeads),
    /// Asks a relay where to send a request.
    SlotRequest(SlotRequest),
    /// The relay's answer.
    SlotReply(SlotReply),
    /// From the granter to a standby: it may prolong holds for a while.
    StandbyWord(StandbyWord),
    /// From a standby to the granter.
    StandbyReport(StandbyReport),
    /// Asks for a permit to send a request that is under suspicion.
    TrialRequest(TrialRequest),
    /// The lender's answer.
    TrialReply(TrialReply),
    /// How such a trial ended.
    TrialReport(TrialReport),
    /// Rates that upstreams name, or have ceased to.
    Limits(Vec<LimitWord>),
    /// Asks for permits to send requests to an upstream that names a rate.
    PermitRequest(PermitRequest),
    /// The lender's answer.
    PermitReply(PermitReply),
}

/// An upstream asked a node for rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RestNotice {
    /// The upstream.
    pub upstream: UpstreamHash,
    /// Milliseconds that it asked for.
    pub rest_ms: u32,
}

/// What the try to connect to an upstream showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Nobody listens at its address.
    Ended,
    /// Somebody does.
    Listens,
    /// Nothing came back: it may be cut off, or have lost its power.
    Silent,
}

/// What happened.
pub enum Input {
    /// Time passed.
    Tick,
    /// A client's request is whole.
    Request {
        /// Tells it from others.
        ticket: Ticket,
        /// What it says.
        head: RequestHead,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        ticket: Ticket,
        /// How.
        outcome: AttemptOutcome,
        /// What its answer said of the rate that the upstream takes; none if none came.
        rate: Option<AdvertisedRate>,
    },
    /// An upstream said in an answer that it leaves.
    Leaves {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream turned a request away and asked this node for rest.
    Rests {
        /// The upstream.
        upstream: UpstreamId,
        /// For so long.
        rest: Duration,
    },
    /// The client left.
    Cancelled {
        /// The request.
        ticket: Ticket,
    },
    /// The store's answers tell another era than before, or the first one. What they say
    /// comes after.
    StoreEra(StoreEra),
    /// The store answered, or did not.
    Store {
        /// What the call was for.
        task: StoreTask,
        /// How it ended.
        outcome: StoreOutcome,
    },
    /// An upstream answered an order, or did not.
    Order {
        /// The service.
        service: ServiceName,
        /// The order.
        order: GrantOrder,
        /// Term in which it was given.
        epoch: u64,
        /// The answer.
        reply: GrantReply,
    },
    /// Another incarnation answers at an upstream's address.
    Replaced {
        /// The upstream that is gone.
        upstream: UpstreamId,
    },
    /// It was tried whether an upstream still listens.
    Probed {
        /// The upstream.
        upstream: UpstreamId,
        /// What that showed.
        liveness: Liveness,
    },
    /// The machine was suspended; the time that comes with this counts that.
    Woke,
    /// Another node's word.
    Datagram(SocketAddr, Datagram),
    /// Another node's copies.
    Snapshots(SocketAddr, Vec<Snapshot>),
    /// Another node did not give its copies.
    NotAnswered(SocketAddr),
    /// The settings changed.
    Settings(Box<CoreConfig>),
    /// The process is to end.
    Stop,
}

/// What became of keys of a divided service, or of those who held them.
#[derive(Clone, Debug)]
pub enum OwnershipNotice {
    /// Keys have an owner again.
    OwnedAgain(OwnedAgain),
    /// An upstream lost keys without an answer, or has answered since.
    Fence(FenceNotice),
    /// Keys wait since their last holder may have left a grant lying.
    Doubt(DoubtNotice),
}

/// What is to be done.
pub enum Output {
    /// A request that can't be admitted.
    Deny(Ticket, Admission),
    /// Make an attempt.
    Forward(Ticket, Forward),
    /// Give the final answer.
    Conclude(Ticket, Ending),
    /// Call the store.
    Store(StoreTask, StoreCall),
    /// Order something of an upstream; `epoch` is the term.
    Order(OrderTask, u64),
    /// Tell other nodes.
    Send(Datagram, Vec<SocketAddr>),
    /// Ask another node for its copies, and wait so long.
    Ask(SocketAddr, ViewRequest, Duration),
    /// Try to connect to an upstream, to see whether it still listens.
    Probe(DoubtedUpstream),
    /// What is known of requests that end upstreams changed.
    Quarantine(QuarantineNotice),
    /// What is known of the rate that an upstream takes changed; its id, if it is registered.
    RateLimit(Option<UpstreamId>, LimitNotice),
    /// The store has begun another era.
    StoreEra {
        /// The era before; none if none was known.
        before: Option<StoreEra>,
        /// The era now.
        era: StoreEra,
    },
    /// Bounds on clients changed.
    Limits(ClientLimits),
    /// A belief changed.
    Notice(ViewNotice),
    /// This node became the granter, or ceased to be.
    Granter(Option<u64>),
    /// As the granter: what became of keys of a service, or of their holders.
    Ownership(ServiceName, OwnershipNotice),
    /// What this node does as a standby changed.
    Standby(StandbyState),
}
