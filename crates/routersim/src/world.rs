//! The simulated deployment: nodes, store, upstreams, clients and network on one virtual clock.

mod clients;
mod faults;
mod links;
mod network;
mod nodes;
mod orders;
mod owners;
mod ownership_costs;
mod partitions;
mod poison;
mod popular;
mod processors;
mod registrations;
mod restarts;
mod stores;
mod tenants;
mod upstreams;

use crate::check::{COLD_RATE, COLD_START};
use crate::check::{Checkers, PartitionSecond, Violation};
use crate::dialect::SimDialect;
use crate::event_log::{EventLog, LogEntry};
use crate::fault::{Fault, FaultPlan};
use crate::guard::Guard;
use beamtray_catalog::{
    ClientLimits, ColdStart, Configuration, ConfigurationVersion, Route, ServiceConfig,
    WeightedBackend,
};
use beamtray_dispatch::{DecisionWork, Ticket};
use beamtray_emulator::{StoreEmulator, UpstreamEmulator};
use beamtray_router::settings::NodeSettings;
use beamtray_sharding::ShardKey;
use beamtray_types::{ServiceName, Time};
pub use links::CloseMode;
use links::Links;
use network::{Event, Scheduled};
use nodes::NodeSlot;
pub use ownership_costs::{OwnershipCosts, StoreCalls};
use partitions::OpenedConnection;
pub use processors::ProcessorCosts;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::str::FromStr;
use std::time::Duration;
use stores::StoreState;
use tenants::{RequestSender, tenants};

/// Delay before the first tick of a node.
pub(crate) const TICK: Duration = Duration::from_millis(10);
/// Interval between checks of pending watches and registrations.
pub(crate) const HOUSEKEEPING: Duration = Duration::from_millis(20);
/// Time without faults after which a node counts as connected.
pub(crate) const CONNECTED_AFTER: Duration = Duration::from_millis(3_000);
/// Interval at which an upstream writes its registration.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(1_300);

/// The sharded service.
pub(crate) const KEYED: &str = "keyed";
/// The unsharded service.
pub(crate) const POOL: &str = "pool";
/// Path prefix of keyed reads.
pub(crate) const READ: &str = "/read/";
/// Path prefix of orders, which are not repeatable.
pub(crate) const ORDER: &str = "/order/";
/// Host of all routes.
pub(crate) const HOST: &str = "host";

/// Size of a world.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorldSize {
    /// Drawn from the seed; one world in twelve has many nodes.
    #[default]
    Drawn,
    /// Enough nodes that they share suspicions through relays.
    Many,
    /// Hundreds of nodes and upstreams.
    Large,
    /// Dozens of nodes, each with a tenth of a processor core, and hundreds of upstreams.
    Limited,
    /// The same with more nodes and requests; a granter's checks for due orders take time, too.
    Loaded,
}

impl FromStr for WorldSize {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "drawn" => Ok(Self::Drawn),
            "many" => Ok(Self::Many),
            "large" => Ok(Self::Large),
            "limited" => Ok(Self::Limited),
            "loaded" => Ok(Self::Loaded),
            _ => Err(format!(
                "no size {text}; there are drawn, many, large, limited, loaded"
            )),
        }
    }
}

/// Size and length of a history.
#[derive(Clone, Debug)]
pub struct WorldConfig {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of upstreams of the sharded service.
    pub keyed: usize,
    /// Number of upstreams of the unsharded service.
    pub pool: usize,
    /// Warm-up period before the first request.
    pub warm_up_time: Duration,
    /// Period in which faults begin.
    pub fault_window: Duration,
    /// Period after the fault window.
    pub recovery_window: Duration,
    /// Requests per second.
    pub rate: u64,
    /// Shortest and longest work of a request at an upstream of mean speed, in milliseconds.
    pub work_ms: (u64, u64),
    /// Guard that is disabled, if any.
    pub disabled_guard: Option<Guard>,
    /// How a node closes the connection of an order that timed out.
    pub close_mode: CloseMode,
    /// Whether the outcome contains the events that decide about ownership.
    pub logs_events: bool,
    /// Whether the configuration declares tenants, with quotas and keys that change.
    pub has_tenants: bool,
    /// Time that the work of a node takes; `None` if it takes none.
    pub processor: Option<ProcessorCosts>,
    /// Share of a processor core that the settings of nodes name.
    pub processor_share: f64,
}

impl WorldConfig {
    /// The world drawn from a seed.
    pub fn drawn(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        Self {
            seed,
            nodes: draw_nodes(&mut random, seed),
            keyed: random.random_range(3..7),
            pool: random.random_range(2..5),
            warm_up_time: Duration::from_secs(6),
            fault_window: Duration::from_secs(12),
            recovery_window: Duration::from_secs(18),
            rate: random.random_range(20..50),
            work_ms: (20, 120),
            disabled_guard: None,
            close_mode: CloseMode::default(),
            logs_events: false,
            has_tenants: false,
            processor: None,
            processor_share: PROCESSOR_SHARE,
        }
    }

    /// The world of the given size drawn from a seed.
    pub fn sized(size: WorldSize, seed: u64) -> Self {
        let drawn = Self::drawn(seed);
        match size {
            WorldSize::Drawn => drawn,
            WorldSize::Many if drawn.nodes > MOST_FEW_NODES => drawn,
            WorldSize::Many => Self {
                nodes: drawn.nodes + MORE_NODES,
                ..drawn
            },
            WorldSize::Large => Self::large(seed),
            WorldSize::Limited => Self::limited(seed),
            WorldSize::Loaded => Self::loaded(seed),
        }
    }

    /// A world of hundreds of nodes. Its history is shorter because it takes long to simulate.
    fn large(seed: u64) -> Self {
        Self {
            nodes: 300,
            keyed: 480,
            pool: 320,
            warm_up_time: Duration::from_secs(8),
            fault_window: Duration::from_secs(6),
            recovery_window: Duration::from_secs(14),
            rate: 400,
            ..Self::drawn(seed)
        }
    }

    /// A world of nodes that have little processor time.
    fn limited(seed: u64) -> Self {
        Self {
            nodes: 70,
            keyed: 178,
            pool: 130,
            rate: 1_960,
            work_ms: (40, 200),
            fault_window: Duration::from_secs(8),
            recovery_window: Duration::from_secs(10),
            processor: Some(ProcessorCosts::TENTH_OF_A_CORE),
            ..Self::drawn(seed)
        }
    }

    /// A world whose nodes have little processor time and whose upstreams have little to spare.
    fn loaded(seed: u64) -> Self {
        Self {
            nodes: 79,
            keyed: 123,
            pool: 106,
            rate: 2_200,
            fault_window: Duration::from_secs(6),
            recovery_window: Duration::from_secs(16),
            processor: Some(ProcessorCosts::TENTH_WITH_CHECKS),
            processor_share: 0.1,
            ..Self::limited(seed)
        }
    }

    /// Number of upstreams of both services.
    pub fn upstreams(&self) -> usize {
        self.keyed + self.pool
    }

    fn end(&self) -> Time {
        Time::ZERO + self.warm_up_time + self.fault_window + self.recovery_window
    }

    /// Start of the period whose requests count for the recovery invariant.
    fn late(&self) -> Time {
        self.end() - Duration::from_secs(4)
    }
}

/// One history in this many has enough nodes that they share suspicions through relays.
const MANY_NODES_ONE_IN: u64 = 12;
/// Number of additional nodes in such a history.
const MORE_NODES: usize = 15;
/// Maximum number of nodes in other histories.
const MOST_FEW_NODES: usize = 8;

fn draw_nodes(random: &mut ChaCha8Rng, seed: u64) -> usize {
    let few = random.random_range(2..9);
    if seed.is_multiple_of(MANY_NODES_ONE_IN) {
        return few + MORE_NODES;
    }
    few
}

/// Share of a processor core that the settings of a node name, where a world names none.
pub(crate) const PROCESSOR_SHARE: f64 = 0.2;

/// Settings of one simulated node.
pub fn default_settings(node: usize) -> NodeSettings {
    nodes::settings(node)
}

/// Cost of handling requests suspected of crashing upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuspicionCosts {
    /// Log lines that all nodes together would have written.
    pub log_lines: usize,
    /// Suspicions in datagrams, counted once per receiver.
    pub suspicions_received: usize,
    /// Maximum number of fingerprints remembered by one node at a time.
    pub peak_fingerprints: usize,
}

/// Work of nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeWork {
    /// Decisions of all nodes.
    pub decisions: DecisionWork,
    /// Processor time of all nodes, if it is counted.
    pub processor_time: Duration,
    /// Processor time of the node that needed most.
    pub most_processor_time: Duration,
}

/// Result of a history.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// Number of requests sent by clients.
    pub requests: usize,
    /// Number of requests answered by an upstream.
    pub served: usize,
    /// Number of requests refused because upstreams crashed on requests with the same content.
    pub quarantined: usize,
    /// Cost of handling suspected requests.
    pub suspicion: SuspicionCosts,
    /// Number of slices released by upstreams.
    pub releases: usize,
    /// Cost of key ownership.
    pub ownership_costs: OwnershipCosts,
    /// Calls that reached the store.
    pub store_calls: StoreCalls,
    /// Faults of the history.
    pub plan: FaultPlan,
    /// Events that decide about ownership, if they were logged.
    pub events: Vec<LogEntry>,
    /// First attempts of clients while nodes were partitioned, by second.
    pub partition_seconds: Vec<PartitionSecond>,
    /// Work of all nodes that ran at the end, and the time that it took.
    pub work: NodeWork,
}

/// A client request in progress.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub id: String,
    pub node: usize,
    pub key: Option<ShardKey>,
    pub repeatable: bool,
    pub is_late: bool,
    /// Whether its node was connected when it was sent.
    pub was_connected: bool,
    /// Time at which the client sent the request.
    pub at: Time,
    pub work: Duration,
    /// Content of the request, if it crashes the upstreams that run it.
    pub poison: Option<String>,
    pub sender: RequestSender,
}

/// The simulated deployment: nodes, store, upstreams, clients and network on one virtual clock.
pub struct World {
    pub(crate) config: WorldConfig,
    pub(crate) random: ChaCha8Rng,
    /// Source of the requests' senders.
    senders: ChaCha8Rng,
    pub(crate) now: Time,
    events: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    pub(crate) dialect: SimDialect,
    pub(crate) store: StoreEmulator,
    pub(crate) store_state: StoreState,
    pub(crate) nodes: Vec<NodeSlot>,
    pub(crate) upstreams: Vec<Option<UpstreamEmulator>>,
    pub(crate) upstream_state: Vec<upstreams::UpstreamState>,
    pub(crate) links: Links,
    pub(crate) faults: Vec<Fault>,
    pub(crate) orders_late_percent: u32,
    pub(crate) answers_lost_percent: u32,
    pub(crate) hot_key: Option<ShardKey>,
    /// Number of the last attempt, over all nodes.
    pub(crate) last_attempt: u32,
    /// Last completed attempt, by request.
    pub(crate) ended_attempts: BTreeMap<(usize, u64, Ticket), u32>,
    pub(crate) asked: BTreeMap<(usize, u64, Ticket), ClientRequest>,
    pub(crate) configurations: Vec<(Time, u64)>,
    pub(crate) checkers: Checkers,
    pub(crate) event_log: EventLog,
    pub(crate) request_count: usize,
    pub(crate) served_count: usize,
    pub(crate) quarantined_count: usize,
    pub(crate) suspicion: SuspicionCosts,
    pub(crate) release_count: usize,
    pub(crate) ownership_costs: OwnershipCosts,
    store_calls: StoreCalls,
    next_request: u64,
    /// Connections that nodes opened themselves for attempts that have not ended.
    pub(crate) opened: BTreeMap<(usize, u64, Ticket, u32), OpenedConnection>,
}

impl World {
    /// Creates a world in which nothing has started yet.
    pub fn new(config: WorldConfig, plan: FaultPlan) -> Self {
        let random = ChaCha8Rng::seed_from_u64(config.seed ^ 0x0057_0F1D);
        let mut world = Self {
            random,
            senders: ChaCha8Rng::seed_from_u64(config.seed ^ 0x7E_4A47),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            scheduled: 0,
            dialect: SimDialect::default(),
            store: StoreEmulator::new(Duration::from_secs(20)),
            store_state: StoreState::default(),
            nodes: Vec::new(),
            upstreams: Vec::new(),
            upstream_state: Vec::new(),
            links: Links::default(),
            faults: plan.faults,
            orders_late_percent: 0,
            answers_lost_percent: 0,
            hot_key: None,
            last_attempt: 0,
            ended_attempts: BTreeMap::new(),
            asked: BTreeMap::new(),
            configurations: Vec::new(),
            checkers: Checkers::default(),
            event_log: EventLog::new(config.logs_events),
            request_count: 0,
            served_count: 0,
            quarantined_count: 0,
            suspicion: SuspicionCosts::default(),
            release_count: 0,
            ownership_costs: OwnershipCosts::default(),
            store_calls: StoreCalls::default(),
            next_request: 0,
            opened: BTreeMap::new(),
            config,
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        self.configure();
        for index in 0..self.config.upstreams() {
            self.upstreams.push(None);
            self.upstream_state
                .push(upstreams::UpstreamState::default());
            let delay = Duration::from_millis(self.random.random_range(0..2_000));
            self.schedule(delay, Event::UpstreamStart { index });
        }
        for node in 0..self.config.nodes {
            self.nodes.push(NodeSlot::default());
            let delay = Duration::from_millis(self.random.random_range(0..300));
            self.schedule(delay, Event::NodeStart { node });
        }
        for (index, fault) in self.faults.clone().iter().enumerate() {
            self.schedule(fault.at.since(Time::ZERO), Event::Fault { index });
        }
        self.schedule(HOUSEKEEPING, Event::Housekeeping);
        self.schedule(self.config.warm_up_time, Event::Client);
    }

    /// Writes the next configuration version to the store.
    pub(crate) fn configure(&mut self) {
        let version = self.configurations.last().map_or(1, |(_, last)| last + 3);
        let value = self.encode_configuration(version);
        self.store.put(self.now, "operator/configuration", value);
        self.configurations.push((self.now, version));
    }

    /// Writes the newest configuration to the store again.
    pub(crate) fn write_configuration_again(&mut self) {
        let Some((_, version)) = self.configurations.last().copied() else {
            return;
        };
        let value = self.encode_configuration(version);
        self.store.put(self.now, "operator/configuration", value);
    }

    fn encode_configuration(&self, version: u64) -> Vec<u8> {
        let mut configuration = configuration(version);
        if self.config.has_tenants {
            configuration.tenants = Some(tenants(version));
        }
        self.dialect.encode_configuration(configuration)
    }

    /// Writes the evacuation of a zone to the store.
    pub(crate) fn evacuate(&mut self, zone: &str) {
        self.store.put(self.now, &evacuation_key(zone), Vec::new());
        self.checkers.evacuated(self.now, zone);
    }

    /// Deletes the evacuation of a zone.
    pub(crate) fn end_evacuation(&mut self, zone: &str) {
        self.store.delete(self.now, &evacuation_key(zone));
        self.checkers.readmitted(zone);
    }

    pub(crate) fn schedule(&mut self, delay: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(Scheduled {
            at: self.now + delay,
            number: self.scheduled,
            event,
        }));
    }

    pub(crate) fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    pub(crate) fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(self.random.random_range(from * 1_000..to * 1_000))
    }

    pub(crate) fn request_number(&mut self) -> u64 {
        self.next_request += 1;
        self.next_request
    }

    /// Whether requests sent now count for the recovery invariant.
    pub(crate) fn is_late(&self) -> bool {
        self.now >= self.config.late() && self.now < self.config.end() - Duration::from_secs(2)
    }

    /// The initial configuration of a history.
    pub fn default_configuration() -> Configuration {
        configuration(1)
    }

    /// The work of all nodes that are running.
    fn node_work(&self) -> NodeWork {
        let mut work = NodeWork::default();
        for slot in &self.nodes {
            let spent = slot.processor.spent;
            work.processor_time += spent;
            work.most_processor_time = work.most_processor_time.max(spent);
            if let Some(core) = &slot.core {
                let (_, _, dispatcher) = core.inspect();
                work.decisions = work.decisions.plus(dispatcher.decision_work());
            }
        }
        work
    }

    /// Runs the history to its end.
    pub fn run(mut self) -> Outcome {
        let end = self.config.end();
        while let Some(Reverse(next)) = self.events.pop() {
            if next.at > end {
                break;
            }
            self.now = next.at;
            self.take(next.event);
        }
        let work = self.node_work();
        Outcome {
            work,
            partition_seconds: self.checkers.partition_seconds(),
            violations: self.checkers.finish(self.now),
            requests: self.request_count,
            served: self.served_count,
            quarantined: self.quarantined_count,
            suspicion: self.suspicion,
            releases: self.release_count,
            ownership_costs: self.ownership_costs,
            store_calls: self.store_calls,
            plan: FaultPlan {
                faults: self.faults,
            },
            events: self.event_log.into_entries(),
        }
    }
}

fn evacuation_key(zone: &str) -> String {
    format!("operator/evacuation/{zone}")
}

/// A configuration whose content is the same for every version.
fn configuration(version: u64) -> Configuration {
    let route = |name: &str, prefix: &str, service: &str, repeatable, priority| Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        path_prefix: prefix.to_owned(),
        repeatable,
        timeout: Duration::from_millis(1_000),
        target_latency: Duration::from_millis(400),
        priority,
        max_attempts: 2,
        backends: vec![WeightedBackend {
            service: service.into(),
            weight: 1,
        }],
        allow_anonymous: true,
    };
    let service = |name: &str, sharded| ServiceConfig {
        name: ServiceName::from(name),
        health_path: "/health".to_owned(),
        max_connections: 100,
        sharded,
        warm_up: Duration::from_secs(2),
        cold_start: Some(ColdStart {
            duration: COLD_START,
            rate: COLD_RATE,
        }),
    };
    Configuration {
        version: ConfigurationVersion(version),
        routes: vec![
            route("read", READ, KEYED, true, 1),
            route("order", ORDER, POOL, false, 0),
        ],
        services: vec![service(KEYED, true), service(POOL, false)],
        limits: ClientLimits::default(),
        tenants: None,
    }
}
