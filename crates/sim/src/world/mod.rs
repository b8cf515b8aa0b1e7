//! A simulated world: processes, network, platform, callers and operators, driven
//! by one virtual clock on one thread.

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

/// Rate limit of the key-value service, in calls per second.
const KEY_VALUE_RATE: u32 = 40;
/// Delay until a machine's state appears in the machine list.
const MACHINE_LAG: Duration = Duration::from_millis(1_500);
/// Time after the last fault within which everything must be served again.
pub const SETTLE_MILLIS: u64 = 10_000;
/// Time allowed for the responses to the final requests.
const LAST_ANSWERS_MILLIS: u64 = 6_000;

/// An event of the simulation.
#[derive(Debug)]
pub(crate) enum SimEvent {
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
    CallerTimesOut {
        name: String,
    },
    Operate,
    FaultBegins(usize),
    RestartNode {
        node: usize,
    },
    ResumeNode {
        node: usize,
        run: u64,
    },
    RestartServer {
        server: usize,
    },
    ResumeServer {
        server: usize,
        run: u64,
    },
    StopServer {
        server: usize,
    },
    UndrainServer {
        server: usize,
    },
    MachineState {
        server: usize,
        state: beamtray_keyvalue::MachineState,
    },
    KeyValueRecovers,
    HotKeyEnds,
    Last,
}

struct QueuedEvent {
    at: u64,
    order: u64,
    event: SimEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

type OutputSink = Rc<RefCell<Vec<(usize, u64, Output)>>>;

/// A simulated world.
pub struct World {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: u64,
    due: BinaryHeap<Reverse<QueuedEvent>>,
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
    /// Builds a world without running it.
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

    /// Enables printing of every event that nodes log, with the world time.
    pub fn set_verbose(&mut self) {
        self.verbose = true;
    }

    /// Runs the world to its end and returns the history.
    pub fn run(mut self) -> History {
        self.run_until(self.history.end);
        self.history
    }

    /// Runs until a world time in microseconds.
    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse(due)) = self.due.pop() {
            if due.at > end {
                self.due.push(Reverse(due));
                break;
            }
            self.now = self.now.max(due.at);
            self.handle_event(due.event);
        }
    }

    /// Sets whether callers probe every node for the configuration in force.
    pub fn set_probing(&mut self, on: bool) {
        self.callers.probing = on;
    }

    /// Starts or stops metering of control-plane cost.
    pub fn set_metering(&mut self, on: bool) {
        self.meter
            .nodes
            .resize(self.nodes.len(), NodeMeter::default());
        self.meter.on = on;
    }

    /// The control-plane cost metered so far.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// The history recorded so far.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Reads the core of a running node, for measurements.
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
            self.at(millis(scheduled.at_millis), SimEvent::FaultBegins(position));
            let until = faults::end_millis(scheduled);
            calm = calm.max(millis(until));
        }
        for (position, request) in self.scenario.script.clone().iter().enumerate() {
            self.at(millis(request.at_millis), SimEvent::Scripted(position));
            calm = calm.max(millis(request.at_millis));
        }
        self.history.calm_from = calm;
        self.at(calm + millis(SETTLE_MILLIS), SimEvent::Last);
        self.history.end = calm + millis(SETTLE_MILLIS + LAST_ANSWERS_MILLIS);
        self.at(
            millis(crate::scenario::LOAD_FROM_MILLIS),
            SimEvent::RandomRequest,
        );
        self.at(millis(crate::scenario::LOAD_FROM_MILLIS), SimEvent::Probe);
        self.at(millis(1_500), SimEvent::Operate);
    }

    pub(crate) fn at(&mut self, at: u64, event: SimEvent) {
        let order = self.next_order;
        self.next_order += 1;
        self.due.push(Reverse(QueuedEvent { at, order, event }));
    }

    pub(crate) fn after(&mut self, micros: u64, event: SimEvent) {
        self.at(self.now + micros, event);
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

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick { node, run } => self.tick_node(node, run),
            SimEvent::ToNode { node, run, input } => {
                if self.nodes[node].run == run {
                    self.input(node, input);
                }
            }
            SimEvent::Peer { from, to, message } => self.input(to, Input::Peer { from, message }),
            SimEvent::CallArrives { exchange } => self.on_call_arrives(exchange),
            SimEvent::CallCommits {
                exchange,
                server_run,
            } => self.on_call_commits(exchange, server_run),
            SimEvent::CallEnds { exchange, outcome } => self.end_exchange(exchange, outcome),
            SimEvent::GrantArrives {
                node,
                run,
                server,
                request,
                sent,
            } => self.on_grant_arrives(node, run, server, request, sent),
            SimEvent::KeyValueArrives {
                node,
                run,
                call,
                request,
                sent,
            } => self.on_key_value_arrives(node, run, call, &request, sent),
            SimEvent::RandomRequest => self.send_random_request(),
            SimEvent::Probe => self.send_probes(),
            SimEvent::Scripted(position) => self.send_scripted(position),
            SimEvent::CallerTimesOut { name } => self.on_caller_timeout(&name),
            SimEvent::Operate => self.operate(),
            SimEvent::FaultBegins(position) => self.begin_fault(position),
            SimEvent::RestartNode { node } => self.restart_node(node),
            SimEvent::ResumeNode { node, run } => self.resume_node(node, run),
            SimEvent::RestartServer { server } => self.restart_server(server),
            SimEvent::ResumeServer { server, run } => self.resume_server(server, run),
            SimEvent::StopServer { server } => self.stop_server(server),
            SimEvent::UndrainServer { server } => self.undrain_server(server),
            SimEvent::MachineState { server, state } => self.set_machine(server, state),
            SimEvent::KeyValueRecovers => self.restore_key_value(),
            SimEvent::HotKeyEnds => self.callers.hot = None,
            SimEvent::Last => self.send_final_requests(),
        }
    }

    /// Registers a new exchange with an upstream and returns its ID.
    pub(crate) fn new_exchange(&mut self, exchange: Exchange) -> u64 {
        let id = self.next_exchange;
        self.next_exchange += 1;
        self.exchanges.insert(id, exchange);
        id
    }
}
