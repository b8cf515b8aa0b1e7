//! One world: processes, network, platform, callers and operators on one
//! virtual clock and one thread.

mod callers;
mod exchanges;
mod faults;
mod meter;
mod network;
mod nodes;
mod operators;
mod platform;
mod servers;

use crate::record::{History, Record, Timed};
use crate::scenario::Scenario;
use beamtray_control::{Input, Output, PeerMessage};
use beamtray_keyvalue::KeyValueRequest;
use beamtray_ownership::GrantRequest;
use beamtray_routing::UpstreamOutcome;
use beamtray_standin::{KeyValueStore, MachineList};
use beamtray_types::Member;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stakker::Stakker;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::time::{Duration, Instant};

pub use meter::{Meter, NodeMeter};

use callers::Callers;
use network::Network;

use exchanges::Exchange;
use nodes::SimNode;
use operators::Operators;
use servers::SimServer;

/// Calls a second that the key-value service takes.
const KEY_VALUE_RATE: u32 = 40;
/// Lag of the machine list.
const MACHINE_LAG: Duration = Duration::from_millis(1_500);
/// After the last fault everything must be served again within this.
pub const SETTLE_MILLIS: u64 = 10_000;
/// The last requests are given this long.
const LAST_ANSWERS_MILLIS: u64 = 6_000;

/// Something due at a moment.
#[derive(Debug)]
pub(crate) enum Happening {
    Tick {
        node: usize,
        run: u64,
    },
    ToNode {
        node: usize,
        run: u64,
        input: Input,
    },
    Peer {
        from: Member,
        to: usize,
        message: PeerMessage,
    },
    CallArrives {
        exchange: u64,
    },
    CallCommits {
        exchange: u64,
        server_run: u64,
    },
    CallEnds {
        exchange: u64,
        outcome: UpstreamOutcome,
    },
    GrantArrives {
        node: usize,
        run: u64,
        server: usize,
        request: GrantRequest,
        sent: u64,
    },
    KeyValueArrives {
        node: usize,
        run: u64,
        call: beamtray_control::KeyValueCall,
        request: KeyValueRequest,
        sent: u64,
    },
    RandomRequest,
    Probe,
    Scripted(usize),
    CallerGivesUp {
        name: String,
    },
    Operate,
    FaultBegins(usize),
    RestartNode {
        node: usize,
    },
    ThawNode {
        node: usize,
        run: u64,
    },
    RestartServer {
        server: usize,
    },
    ThawServer {
        server: usize,
        run: u64,
    },
    StopServer {
        server: usize,
    },
    FillServer {
        server: usize,
    },
    MachineState {
        server: usize,
        state: beamtray_keyvalue::MachineState,
    },
    KeyValueMends,
    HotKeyEnds,
    Last,
}

struct Due {
    at: u64,
    order: u64,
    happening: Happening,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

type OutputSink = Rc<RefCell<Vec<(usize, u64, Output)>>>;

/// One world.
pub struct World {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: u64,
    due: BinaryHeap<Reverse<Due>>,
    next_order: u64,
    epoch: Instant,
    stakker: Stakker,
    sink: OutputSink,
    nodes: Vec<SimNode>,
    servers: Vec<SimServer>,
    network: Network,
    key_value: KeyValueStore,
    key_value_slow: bool,
    machines: MachineList,
    exchanges: BTreeMap<u64, Exchange>,
    next_exchange: u64,
    callers: Callers,
    operators: Operators,
    history: History,
    next_incarnation: u64,
    verbose: bool,
    meter: Meter,
}

impl World {
    /// Builds a world; nothing runs yet.
    pub fn new(scenario: Scenario) -> Self {
        let epoch = Instant::now();
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            now: 0,
            due: BinaryHeap::new(),
            next_order: 0,
            epoch,
            stakker: Stakker::new(epoch),
            sink: Rc::default(),
            nodes: Vec::new(),
            servers: Vec::new(),
            network: Network::new(&scenario),
            key_value: KeyValueStore::new(KEY_VALUE_RATE),
            key_value_slow: false,
            machines: MachineList::new(MACHINE_LAG),
            exchanges: BTreeMap::new(),
            next_exchange: 0,
            callers: Callers::new(&scenario),
            operators: Operators::new(scenario.declaration.clone()),
            history: History::default(),
            next_incarnation: 1,
            verbose: false,
            meter: Meter::default(),
            scenario,
        };
        world.start_servers();
        world.start_nodes();
        world.schedule_beginnings();
        world
    }

    /// Prints every event that nodes log, with the world's time.
    pub fn set_verbose(&mut self) {
        self.verbose = true;
    }

    /// Runs to the end.
    pub fn run(mut self) -> History {
        self.run_until(self.history.end);
        self.history
    }

    /// Runs until a moment, in microseconds.
    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse(due)) = self.due.pop() {
            if due.at > end {
                self.due.push(Reverse(due));
                break;
            }
            self.now = self.now.max(due.at);
            self.happen(due.happening);
        }
    }

    /// Whether callers ask every node which configuration is in force.
    pub fn set_probing(&mut self, on: bool) {
        self.callers.probing = on;
    }

    /// Starts or ends the count of what control costs.
    pub fn set_metering(&mut self, on: bool) {
        self.meter
            .nodes
            .resize(self.nodes.len(), NodeMeter::default());
        self.meter.on = on;
    }

    /// What control cost so far.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// What happened so far.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Looks at a running node, for measures.
    pub fn look<T: Copy + 'static>(
        &mut self,
        node: usize,
        look: impl FnOnce(&beamtray_control::NodeCore) -> T + 'static,
    ) -> Option<T> {
        self.inspect(node, look)
    }

    fn schedule_beginnings(&mut self) {
        let millis = |millis: u64| millis * 1_000;
        let mut calm = millis(self.scenario.load_until_millis);
        for (position, scheduled) in self.scenario.faults.clone().iter().enumerate() {
            self.at(
                millis(scheduled.at_millis),
                Happening::FaultBegins(position),
            );
            let until = faults::end_millis(scheduled);
            calm = calm.max(millis(until));
        }
        for (position, request) in self.scenario.script.clone().iter().enumerate() {
            self.at(millis(request.at_millis), Happening::Scripted(position));
            calm = calm.max(millis(request.at_millis));
        }
        self.history.calm_from = calm;
        self.at(calm + millis(SETTLE_MILLIS), Happening::Last);
        self.history.end = calm + millis(SETTLE_MILLIS + LAST_ANSWERS_MILLIS);
        self.at(
            millis(crate::scenario::LOAD_FROM_MILLIS),
            Happening::RandomRequest,
        );
        self.at(millis(crate::scenario::LOAD_FROM_MILLIS), Happening::Probe);
        self.at(millis(1_500), Happening::Operate);
    }

    pub(crate) fn at(&mut self, at: u64, happening: Happening) {
        let order = self.next_order;
        self.next_order += 1;
        self.due.push(Reverse(Due {
            at,
            order,
            happening,
        }));
    }

    pub(crate) fn after(&mut self, micros: u64, happening: Happening) {
        self.at(self.now + micros, happening);
    }

    pub(crate) fn record(&mut self, record: Record) {
        if self.verbose {
            println!("{:>10} {record:?}", self.now);
        }
        let at = self.now;
        self.history.records.push(Timed { at, record });
    }

    fn instant(&self) -> Instant {
        self.epoch + Duration::from_micros(self.now)
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick { node, run } => self.tick_node(node, run),
            Happening::ToNode { node, run, input } => {
                if self.nodes[node].run == run {
                    self.input(node, input);
                }
            }
            Happening::Peer { from, to, message } => self.input(to, Input::Peer { from, message }),
            Happening::CallArrives { exchange } => self.on_call_arrives(exchange),
            Happening::CallCommits {
                exchange,
                server_run,
            } => self.on_call_commits(exchange, server_run),
            Happening::CallEnds { exchange, outcome } => self.end_exchange(exchange, outcome),
            Happening::GrantArrives {
                node,
                run,
                server,
                request,
                sent,
            } => self.on_grant_arrives(node, run, server, request, sent),
            Happening::KeyValueArrives {
                node,
                run,
                call,
                request,
                sent,
            } => self.on_key_value_arrives(node, run, call, &request, sent),
            Happening::RandomRequest => self.send_random_request(),
            Happening::Probe => self.send_probes(),
            Happening::Scripted(position) => self.send_scripted(position),
            Happening::CallerGivesUp { name } => self.on_caller_gives_up(&name),
            Happening::Operate => self.operate(),
            Happening::FaultBegins(position) => self.begin_fault(position),
            Happening::RestartNode { node } => self.restart_node(node),
            Happening::ThawNode { node, run } => self.thaw_node(node, run),
            Happening::RestartServer { server } => self.restart_server(server),
            Happening::ThawServer { server, run } => self.thaw_server(server, run),
            Happening::StopServer { server } => self.stop_server(server),
            Happening::FillServer { server } => self.fill_server(server),
            Happening::MachineState { server, state } => self.set_machine(server, state),
            Happening::KeyValueMends => self.mend_key_value(),
            Happening::HotKeyEnds => self.callers.hot = None,
            Happening::Last => self.send_last_requests(),
        }
    }

    /// A new exchange with an upstream.
    pub(crate) fn new_exchange(&mut self, exchange: Exchange) -> u64 {
        let id = self.next_exchange;
        self.next_exchange += 1;
        self.exchanges.insert(id, exchange);
        id
    }
}
