//! CPU time of one node's core in isolation, without I/O.
//!
//! Prints, for deployments of several sizes, the cost of a second without requests for a plain
//! node, for the relay of its zone and for the granter. The cost of a plain node must not grow
//! with the deployment.
//!
//!     cargo bench -p beamtray-routersim --bench core_cost

use beamtray_catalog::{UpstreamId, UpstreamRecord, UpstreamState};
use beamtray_dialect::Dialect;
use beamtray_dispatch::{InFlight, LoadReport, NodeHash, UpstreamHash};
use beamtray_emulator::{StoreEmulator, StoreReply, WatchWait};
use beamtray_metastore::StoreOutcome;
use beamtray_router::core::{
    Datagram, Input, LatestRevisions, NodeCore, NodeRecord, Output, RouterKeys, StoreContact,
    StoreTask, ViewName,
};
use beamtray_routersim::{SimDialect, World, default_settings};
use beamtray_sharding::{GrantReply, OrderKind};
use beamtray_types::Time;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Deployment sizes in nodes.
const SIZES: [usize; 4] = [75, 150, 300, 600];
/// Upstreams per node, of both services together.
const UPSTREAMS_PER_NODE: f64 = 8.0 / 3.0;
const ZONES: usize = 5;
/// Simulated time before the measurement, for elections and first grants.
const WARM_UP: Duration = Duration::from_secs(12);
const MEASURED: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(10);
/// Time that an upstream takes to answer an order.
const ORDER_ANSWER: Duration = Duration::from_millis(3);
/// Interval between the datagrams with the latest revisions that the measured node receives.
const HEADS_PAUSE: Duration = Duration::from_millis(200);
/// Interval between load reports from one node to its relay.
const REPORT_PAUSE: Duration = Duration::from_millis(30);
/// Number of addresses per value of the third octet in generated addresses.
const HOSTS: usize = 250;

/// Role of the measured node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Plain,
    Relay,
    Granter,
}

fn address(network: u8, index: usize) -> SocketAddr {
    let octets = [
        10,
        network,
        (index / HOSTS) as u8,
        (index % HOSTS) as u8 + 1,
    ];
    (octets, 7_000).into()
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

fn node_record(index: usize, capacity: u32) -> NodeRecord {
    NodeRecord {
        name: format!("front-{}-{index}", zone(index)),
        run: index as u64 + 1,
        zone: zone(index),
        peers: address(1, index),
        capacity,
        declines_standby: false,
    }
}

/// A core with its store and with upstreams that accept every order.
struct Rig {
    now: Time,
    core: NodeCore,
    own: NodeRecord,
    role: Role,
    nodes: Vec<NodeRecord>,
    store: StoreEmulator,
    watches: Vec<(StoreTask, WatchWait)>,
    answers: BinaryHeap<std::cmp::Reverse<(Time, u64)>>,
    inputs: std::collections::HashMap<u64, Input>,
    next_input: u64,
    sent: u64,
    spent: Duration,
}

impl Rig {
    fn new(size: usize, role: Role) -> Self {
        let dialect = Rc::new(SimDialect::default());
        let mut store = StoreEmulator::new(Duration::from_secs(20));
        let configuration = dialect.encode_configuration(World::default_configuration());
        store.put(Time::ZERO, dialect.keys().configuration, configuration);
        let upstreams = (size as f64 * UPSTREAMS_PER_NODE) as usize;
        for index in 0..upstreams {
            let id = format!("upstream-{index:05}");
            let record = UpstreamRecord {
                id: UpstreamId::from(id.clone()),
                service: if index % 5 < 3 { "keyed" } else { "pool" }.into(),
                address: address(2, index),
                zone: zone(index).as_str().into(),
                slots: 2,
                state: UpstreamState::Ready,
                warm_up_left: Duration::ZERO,
            };
            let key = format!("{}{id}", dialect.keys().upstream_prefix);
            store.put(Time::ZERO, &key, dialect.encode_upstream(record));
        }
        let capacity = if role == Role::Plain { 100 } else { 500 };
        let own = node_record(0, capacity);
        let nodes: Vec<NodeRecord> = (1..size).map(|index| node_record(index, 200)).collect();
        for node in &nodes {
            let value = borsh::to_vec(node).expect("a record in memory");
            store.put(Time::ZERO, &RouterKeys::node(&node.name), value);
        }
        let mut config = default_settings(0).core_config(own.run);
        config.control.record = own.clone();
        config.dispatch.zone = own.zone.as_str().into();
        if role != Role::Granter {
            config.control.election_delay = Duration::from_secs(3_600);
        }
        Self {
            now: Time::ZERO,
            core: NodeCore::new(config, dialect),
            own,
            role,
            nodes,
            store,
            watches: Vec::new(),
            answers: BinaryHeap::new(),
            inputs: std::collections::HashMap::new(),
            next_input: 0,
            sent: 0,
            spent: Duration::ZERO,
        }
    }

    fn later(&mut self, delay: Duration, input: Input) {
        self.next_input += 1;
        let number = self.next_input;
        self.answers
            .push(std::cmp::Reverse((self.now + delay, number)));
        self.inputs.insert(number, input);
    }

    fn input(&mut self, input: Input) {
        let begin = Instant::now();
        let outputs = self.core.handle(self.now, input);
        self.spent += begin.elapsed();
        for output in outputs {
            self.output(output);
        }
    }

    fn output(&mut self, output: Output) {
        match output {
            Output::Store(task, call) => match self.store.call(self.now, &call) {
                StoreReply::Done(outcome) => self.store_answers(task, outcome),
                StoreReply::Waits(wait) => self.watches.push((task, wait)),
            },
            Output::Order(task, epoch) => {
                let reply = match task.order.kind {
                    OrderKind::Grant { .. } => GrantReply::Granted,
                    OrderKind::Release => GrantReply::Released(None),
                };
                let input = Input::Order {
                    service: task.service,
                    order: task.order,
                    epoch,
                    reply,
                };
                self.later(ORDER_ANSWER, input);
            }
            Output::Send(_, addresses) => self.sent += addresses.len() as u64,
            _ => {}
        }
    }

    fn store_answers(&mut self, task: StoreTask, outcome: StoreOutcome) {
        self.later(Duration::from_millis(4), Input::Store { task, outcome });
    }

    /// Delivers the datagrams that the measured node receives from other nodes.
    fn hear(&mut self) {
        if self.now.0.is_multiple_of(HEADS_PAUSE.as_micros() as u64) && self.role == Role::Plain {
            let (views, ..) = self.core.inspect();
            let mut latest = ViewName::ALL.map(|view| views.replica(view).latest());
            latest
                .iter_mut()
                .for_each(|head| head.number = head.number.max(1));
            let contact = Some(StoreContact::new(Duration::from_millis(100), None));
            let heads = Datagram::LatestRevisions(LatestRevisions { latest, contact });
            let relay = self.nodes[ZONES - 1].peers;
            self.input(Input::Datagram(relay, heads));
        }
        let reports = self.role != Role::Plain;
        if !reports || !self.now.0.is_multiple_of(REPORT_PAUSE.as_micros() as u64) {
            return;
        }
        let near = self.nodes.iter().filter(|node| node.zone == self.own.zone);
        let near: Vec<NodeRecord> = near.cloned().collect();
        for node in near {
            let report = LoadReport {
                node: NodeHash::of(&node.name),
                run: node.run as u32,
                sequence: (self.now.0 / 1_000) as u32,
                in_flight: (0..3)
                    .map(|index| InFlight {
                        upstream: UpstreamHash(index + node.run as u32),
                        requests: 1,
                    })
                    .collect(),
                answers: Vec::new(),
            };
            self.input(Input::Datagram(node.peers, Datagram::Load(report)));
        }
    }

    fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + STEP;
            self.store.advance(self.now);
            while let Some(std::cmp::Reverse((at, number))) = self.answers.peek().copied() {
                if at > self.now {
                    break;
                }
                self.answers.pop();
                if let Some(input) = self.inputs.remove(&number) {
                    self.input(input);
                }
            }
            let watches = std::mem::take(&mut self.watches);
            for (task, wait) in watches {
                match self.store.watch(self.now, &wait) {
                    Some(outcome) => self.store_answers(task, outcome),
                    None => self.watches.push((task, wait)),
                }
            }
            self.hear();
            self.input(Input::Tick);
        }
    }
}

fn main() {
    println!("percent of a core (datagrams a second) in seconds without requests");
    println!(
        "{:>8} {:>22} {:>22} {:>22}",
        "nodes", "plain", "relay", "granter"
    );
    for size in SIZES {
        let cells = [Role::Plain, Role::Relay, Role::Granter].map(|role| {
            let mut rig = Rig::new(size, role);
            rig.run(WARM_UP);
            rig.spent = Duration::ZERO;
            rig.sent = 0;
            rig.run(MEASURED);
            let percent = rig.spent.as_secs_f64() / MEASURED.as_secs_f64() * 100.0;
            let datagrams = rig.sent as f64 / MEASURED.as_secs_f64();
            let granter = rig.core.inspect().1.is_granter(rig.now);
            assert_eq!(granter, role == Role::Granter);
            format!("{percent:.2} ({datagrams:.0})")
        });
        println!(
            "{size:>8} {:>22} {:>22} {:>22}",
            cells[0], cells[1], cells[2]
        );
    }
}
