//! One node's core: inputs and the time go in, outputs come out.

use crate::core::control::{Control, ControlConfig, OrderTask};
use crate::core::views::{Snapshot, ViewName, ViewNotice, ViewRequest, Views};
use beamtray_catalog::{ClientLimits, DirectoryPolicy, UpstreamId};
use beamtray_dialect::Dialect;
use beamtray_dispatch::{
    Admission, AttemptOutcome, Conclusion, Decision, DispatchConfig, Dispatcher, Forward,
    LoadReport, RequestHead, Ticket,
};
use beamtray_metastore::{StoreCall, StoreOutcome};
use beamtray_sharding::{GrantOrder, GrantReply};
use beamtray_types::{ServiceName, Time};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Fixed values of a core.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Requests.
    pub dispatch: DispatchConfig,
    /// Control.
    pub control: ControlConfig,
    /// Directory.
    pub directory: DirectoryPolicy,
    /// Longest wait of a watch.
    pub watch_wait: Duration,
    /// Where other nodes may be heard before any is known.
    pub seeds: Vec<SocketAddr>,
    /// Pauses.
    pub timing: Timing,
}

/// Pauses between periodic works.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between looks at what is due.
    pub tick: Duration,
    /// Between reports of requests under way, when they changed.
    pub report: Duration,
    /// Between the same, when they did not.
    pub idle_report: Duration,
    /// Between reports of requests by key.
    pub key_report: Duration,
    /// Between questions to other nodes while the store is in trouble.
    pub ask_peers: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(10),
            report: Duration::from_millis(10),
            idle_report: Duration::from_millis(400),
            key_report: Duration::from_millis(250),
            ask_peers: Duration::from_millis(250),
        }
    }
}

/// What a call to the store is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreTask {
    /// Keeps a view up.
    View(ViewName),
    /// The election.
    Election,
    /// The node's entry.
    Registration,
    /// Reads the assignments at the start of a term.
    TakeOver,
    /// Writes the assignment of a service.
    Record(ServiceName),
    /// Gives up leases at a planned stop.
    Farewell,
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
    },
    /// The client left.
    Cancelled {
        /// The request.
        ticket: Ticket,
    },
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
    /// Another node's report.
    Report(LoadReport),
    /// Another node's copies.
    Snapshots(Vec<Snapshot>),
    /// The process is to end.
    Stop,
}

/// What is to be done.
pub enum Output {
    /// A request that can't be admitted.
    Deny(Ticket, Admission),
    /// Make an attempt.
    Forward(Ticket, Forward),
    /// Give the final answer.
    Conclude(Ticket, Conclusion),
    /// Call the store.
    Store(StoreTask, StoreCall),
    /// Order something of an upstream; `epoch` is the term.
    Order(OrderTask, u64),
    /// Tell other nodes.
    Report(LoadReport, Vec<SocketAddr>),
    /// Ask another node for its copies.
    Ask(SocketAddr, ViewRequest),
    /// Bounds on clients changed.
    Limits(ClientLimits),
    /// A belief changed.
    Notice(ViewNotice),
    /// This node became the granter, or ceased to be.
    Granter(Option<u64>),
}

/// One node's core.
pub struct NodeCore {
    config: CoreConfig,
    views: Views,
    control: Control,
    dispatcher: Dispatcher,
    stopping: bool,
    report_at: Time,
    idle_report_at: Time,
    key_report_at: Time,
    ask_at: Time,
    asked: usize,
    reported_empty: bool,
    configured: u64,
    was_granter: Option<u64>,
    outputs: Vec<Output>,
}

impl NodeCore {
    /// A node that knows nothing yet.
    pub fn new(config: CoreConfig, dialect: Rc<dyn Dialect>) -> Self {
        Self {
            views: Views::new(dialect, config.directory, config.watch_wait),
            control: Control::new(config.control.clone()),
            dispatcher: Dispatcher::new(config.dispatch.clone()),
            stopping: false,
            report_at: Time::ZERO,
            idle_report_at: Time::ZERO,
            key_report_at: Time::ZERO,
            ask_at: Time::ZERO,
            asked: 0,
            reported_empty: true,
            configured: 0,
            was_granter: None,
            outputs: Vec::new(),
            config,
        }
    }

    /// Takes one input; what is to be done about it.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Request { ticket, head } => {
                if let Err(admission) = self.dispatcher.admit(now, ticket, &head) {
                    self.outputs.push(Output::Deny(ticket, admission));
                }
            }
            Input::Ended { ticket, outcome } => {
                if let Some(conclusion) = self.dispatcher.ended(now, ticket, outcome) {
                    self.outputs.push(Output::Conclude(ticket, conclusion));
                }
            }
            Input::Cancelled { ticket } => {
                self.dispatcher.cancel(ticket);
            }
            Input::Store { task, outcome } => self.store(now, &task, outcome),
            Input::Order {
                service,
                order,
                epoch,
                reply,
            } => {
                self.control
                    .handle_order(now, &service, &order, epoch, reply);
                self.poll_control(now);
            }
            Input::Replaced { upstream } => {
                self.views.proved_gone(&upstream);
                self.control.proved_gone(&upstream);
                self.viewed(now);
            }
            Input::Report(report) => {
                self.dispatcher.report(now, &report);
                self.control.report(&report);
            }
            Input::Snapshots(snapshots) => {
                self.views.adopt(now, snapshots);
                self.viewed(now);
            }
            Input::Stop => self.stop(),
        }
        self.dispatch(now);
        std::mem::take(&mut self.outputs)
    }

    fn store(&mut self, now: Time, task: &StoreTask, outcome: StoreOutcome) {
        match task {
            StoreTask::View(view) => {
                self.views.handle(now, *view, outcome);
                self.viewed(now);
            }
            task => self.control.handle_store(now, task, outcome),
        }
        self.poll_control(now);
    }

    /// Passes changed views on to where they are used.
    fn viewed(&mut self, now: Time) {
        let notices = self.views.take_notices();
        if notices.is_empty() {
            return;
        }
        if let Some(configuration) = &self.views.configuration
            && configuration.version.0 != self.configured
        {
            self.configured = configuration.version.0;
            self.dispatcher.configure(configuration);
            self.outputs.push(Output::Limits(configuration.limits));
        }
        for (service, record) in &self.views.assignments {
            self.dispatcher.assign(service.clone(), record.clone());
        }
        self.dispatcher.follow(now, &self.views.directory);
        self.dispatcher.set_nodes(self.node_count());
        self.outputs.extend(notices.into_iter().map(Output::Notice));
    }

    /// Nodes that share what is bounded over all of them. Before any is known
    /// there may be many.
    fn node_count(&self) -> usize {
        const UNKNOWN: usize = 16;
        match self.views.nodes.len() {
            0 => UNKNOWN,
            known => known,
        }
    }

    fn poll_control(&mut self, now: Time) {
        for view in ViewName::ALL {
            if let Some(call) = self.views.poll(now, view) {
                self.outputs
                    .push(Output::Store(StoreTask::View(view), call));
            }
        }
        for (task, call) in self.control.poll_store(now, &self.views) {
            self.outputs.push(Output::Store(task, call));
        }
        let speeds = self.dispatcher.speeds();
        let orders = self.control.poll_orders(now, &self.views, speeds);
        if !orders.is_empty() {
            let epoch = self.control.epoch().unwrap_or_default();
            let orders = orders.into_iter().map(|order| Output::Order(order, epoch));
            self.outputs.extend(orders);
        }
        let granter = self
            .control
            .epoch()
            .filter(|_| self.control.is_granter(now));
        if granter != self.was_granter {
            self.was_granter = granter;
            self.outputs.push(Output::Granter(granter));
        }
    }

    fn tick(&mut self, now: Time) {
        self.views.expire(now);
        self.viewed(now);
        self.dispatcher.expire(now);
        self.poll_control(now);
        self.report(now);
        self.report_keys(now);
        self.ask_peers(now);
    }

    fn report(&mut self, now: Time) {
        let idle = self.dispatcher.occupancy().own_all().next().is_none();
        let quiet = idle && self.reported_empty;
        let due = if quiet {
            self.idle_report_at
        } else {
            self.report_at
        };
        if now < due {
            return;
        }
        self.report_at = now + self.config.timing.report;
        self.idle_report_at = now + self.config.timing.idle_report;
        self.reported_empty = idle;
        let peers = self.peers();
        if !peers.is_empty() {
            let report = self.dispatcher.upstream_report();
            self.outputs.push(Output::Report(report, peers));
        }
    }

    fn report_keys(&mut self, now: Time) {
        if now < self.key_report_at {
            return;
        }
        self.key_report_at = now + self.config.timing.key_report;
        let report = self.dispatcher.key_report();
        if report.keys.is_empty() {
            return;
        }
        if self.control.is_granter(now) {
            self.control.report(&report);
        } else if let Some(granter) = &self.views.granter {
            let peers = vec![granter.peers];
            self.outputs.push(Output::Report(report, peers));
        }
    }

    /// Addresses of the other nodes.
    fn peers(&self) -> Vec<SocketAddr> {
        let own = self.config.control.record.peers;
        self.views
            .nodes
            .values()
            .map(|node| node.peers)
            .filter(|address| *address != own)
            .collect()
    }

    /// While the store does not answer, other nodes may know more.
    fn ask_peers(&mut self, now: Time) {
        if now < self.ask_at || !self.views.is_troubled() {
            return;
        }
        self.ask_at = now + self.config.timing.ask_peers;
        let mut peers = self.peers();
        if peers.is_empty() {
            let own = self.config.control.record.peers;
            peers.extend(self.config.seeds.iter().filter(|seed| **seed != own));
        }
        if peers.is_empty() {
            return;
        }
        let peer = peers[self.asked % peers.len()];
        self.asked += 1;
        self.outputs.push(Output::Ask(peer, self.views.request()));
    }

    fn dispatch(&mut self, now: Time) {
        for decision in self.dispatcher.poll(now, &self.views.directory) {
            self.outputs.push(match decision {
                Decision::Forward(ticket, forward) => Output::Forward(ticket, forward),
                Decision::Conclude(ticket, conclusion) => Output::Conclude(ticket, conclusion),
            });
        }
    }

    fn stop(&mut self) {
        if std::mem::replace(&mut self.stopping, true) {
            return;
        }
        for call in self.control.resign() {
            self.outputs.push(Output::Store(StoreTask::Farewell, call));
        }
    }

    /// What other nodes may ask for.
    pub fn answer(&self, request: &ViewRequest) -> Vec<Snapshot> {
        self.views.answer(request)
    }

    /// Whether this node is ready for clients.
    pub fn is_ready(&self) -> bool {
        self.views.is_ready()
    }

    /// When a request's next decision is due.
    pub fn next_due(&self) -> Option<Time> {
        self.dispatcher.next_due()
    }

    /// The parts, for metrics.
    pub fn inspect(&self) -> (&Views, &Control, &Dispatcher) {
        (&self.views, &self.control, &self.dispatcher)
    }
}
