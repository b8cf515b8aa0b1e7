//! One node's core: inputs and the time go in, outputs come out.

use crate::core::control::{Control, ControlConfig};
use crate::core::message::{Datagram, Input, Output, StoreTask, Timing};
use crate::core::views::{Snapshot, ViewName, ViewRequest, Views};
use beamtray_catalog::DirectoryPolicy;
use beamtray_dialect::Dialect;
use beamtray_dispatch::{AttemptOutcome, Decision, DispatchConfig, Dispatcher, Untouched};
use beamtray_metastore::StoreOutcome;
use beamtray_sharding::GrantReply;
use beamtray_types::Time;
use std::collections::BTreeMap;
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

/// Most datagrams a second of one sort: with many nodes each hears less often.
const DATAGRAMS_A_SECOND: u32 = 300;
/// How long a node without an entry counts as there since it was heard.
const HEARD_FOR: Duration = Duration::from_secs(3);
/// How often word of new assignments is repeated at once: datagrams get lost.
const HEADS_REPEATED: u32 = 2;

/// One node's core.
pub struct NodeCore {
    config: CoreConfig,
    views: Views,
    control: Control,
    dispatcher: Dispatcher,
    stopping: bool,
    report_at: Time,
    far_report_at: Time,
    reported_empty: bool,
    heads_at: Time,
    heads_left: u32,
    key_report_at: Time,
    fetch_at: Time,
    ask_at: Time,
    asked: usize,
    path_failed: bool,
    configured: u64,
    /// When each node was last heard.
    heard: BTreeMap<SocketAddr, Time>,
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
            far_report_at: Time::ZERO,
            reported_empty: true,
            heads_at: Time::ZERO,
            heads_left: 0,
            key_report_at: Time::ZERO,
            fetch_at: Time::ZERO,
            ask_at: Time::ZERO,
            asked: 0,
            path_failed: false,
            configured: 0,
            heard: BTreeMap::new(),
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
                if outcome == AttemptOutcome::Untouched(Untouched::Misdirected) {
                    self.fetch_from_granter(now);
                }
                if let Some(ending) = self.dispatcher.ended(now, ticket, outcome) {
                    self.outputs.push(Output::Conclude(ticket, ending));
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
                if reply == GrantReply::Replaced {
                    self.views.proved_gone(now, &order.holder);
                    self.viewed(now);
                }
                self.control
                    .handle_order(now, &service, &order, epoch, reply);
                self.poll_control(now);
            }
            Input::Replaced { upstream } => {
                self.views.proved_gone(now, &upstream);
                self.control.proved_gone(&upstream);
                self.viewed(now);
            }
            Input::Datagram(from, datagram) => self.datagram(now, from, &datagram),
            Input::Snapshots(snapshots) => {
                self.views.adopt(now, snapshots);
                self.viewed(now);
            }
            Input::Stop => self.stop(),
        }
        self.dispatch(now);
        std::mem::take(&mut self.outputs)
    }

    fn datagram(&mut self, now: Time, from: SocketAddr, datagram: &Datagram) {
        self.heard.insert(from, now);
        match datagram {
            Datagram::Load(report) => self.dispatcher.report(now, report),
            Datagram::Keys(report) => self.control.report(report),
            Datagram::Heads(heads) => {
                let newer = self.views.heads(now, from, heads);
                if newer && now >= self.fetch_at {
                    self.fetch_at = now + self.config.timing.fetch;
                    let request = self.views.request(&[ViewName::State]);
                    self.outputs.push(Output::Ask(from, request));
                }
            }
        }
    }

    /// A holder that denies a key tells that the assignment here is old.
    fn fetch_from_granter(&mut self, now: Time) {
        let own = self.config.control.record.peers;
        let granter = self.views.granter.as_ref().map(|granter| granter.peers);
        let Some(granter) = granter.filter(|granter| *granter != own) else {
            return;
        };
        if now >= self.fetch_at {
            self.fetch_at = now + self.config.timing.fetch;
            let request = self.views.request(&[ViewName::State]);
            self.outputs.push(Output::Ask(granter, request));
        }
    }

    fn store(&mut self, now: Time, task: &StoreTask, outcome: StoreOutcome) {
        self.follow_path(now, task, &outcome);
        match task {
            StoreTask::View(view, generation) => {
                self.views.handle(now, *view, *generation, outcome);
                self.viewed(now);
            }
            task => self.control.handle_store(now, task, outcome),
        }
        let written = self.control.take_written();
        if !written.is_empty() {
            for item in written {
                self.views.wrote(now, item);
            }
            self.viewed(now);
            self.heads_at = now;
            self.heads_left = HEADS_REPEATED;
            self.tell_heads(now);
        }
        self.poll_control(now);
    }

    /// After calls that got no answer, one that does shows that the path is
    /// back. Watches that were waiting on the dead path would never hear.
    ///
    /// A watch that fails does not say when: its path may have been dead long
    /// ago. Only other calls tell that the store is in trouble now.
    fn follow_path(&mut self, now: Time, task: &StoreTask, outcome: &StoreOutcome) {
        if matches!(outcome, StoreOutcome::Unknown) {
            self.path_failed = true;
            if !matches!(task, StoreTask::View(..)) {
                self.views.directory.store_troubled(now);
            }
        } else if std::mem::take(&mut self.path_failed) {
            self.views.restart_all(now);
        }
    }

    /// Passes changed views on to where they are used.
    fn viewed(&mut self, now: Time) {
        if let Some(speeds) = self.views.speeds.take() {
            self.dispatcher.adopt_speeds(&speeds);
        }
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
                let generation = self.views.replica(view).generation();
                let task = StoreTask::View(view, generation);
                self.outputs.push(Output::Store(task, call));
            }
        }
        let speeds = self.dispatcher.speeds();
        for (task, call) in self.control.poll_store(now, &self.views, speeds) {
            self.outputs.push(Output::Store(task, call));
        }
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
        if granter.is_some() {
            self.views.granter_is_here(now);
        }
        if granter != self.was_granter {
            self.was_granter = granter;
            self.outputs.push(Output::Granter(granter));
        }
    }

    fn tick(&mut self, now: Time) {
        self.views.expire(now);
        self.viewed(now);
        self.dispatcher.expire(now);
        self.forget_silent(now);
        self.poll_control(now);
        self.report(now);
        self.tell_heads(now);
        self.report_keys(now);
        self.ask_peers(now);
    }

    /// Tells other nodes what is under way: those of the same zone often,
    /// others less so, for bytes between zones are dear.
    fn report(&mut self, now: Time) {
        let timing = self.config.timing;
        let idle = self.dispatcher.occupancy().own_all().next().is_none();
        let quiet = idle && self.reported_empty;
        if now >= self.far_report_at {
            self.reported_empty = idle;
            let pause = if quiet {
                timing.idle_report
            } else {
                timing.far_report
            };
            self.far_report_at = now + pause.max(bounded(self.peers(|_| true).len()));
            let answers = self.dispatcher.take_answers();
            let report = self.dispatcher.load_report(answers);
            self.send(Datagram::Load(report), |_| true);
            self.report_at = now + timing.report;
        } else if now >= self.report_at && !quiet {
            let near = self.peers(|is_near| is_near).len();
            self.report_at = now + timing.report.max(bounded(near));
            let report = self.dispatcher.load_report(Vec::new());
            self.send(Datagram::Load(report), |is_near| is_near);
        }
    }

    fn send(&mut self, datagram: Datagram, choose: impl Fn(bool) -> bool) {
        let peers = self.peers(choose);
        if !peers.is_empty() {
            self.outputs.push(Output::Send(datagram, peers));
        }
    }

    fn tell_heads(&mut self, now: Time) {
        if now < self.heads_at {
            return;
        }
        let timing = self.config.timing;
        let pause = if self.heads_left > 0 {
            timing.fetch
        } else {
            timing.heads
        };
        self.heads_left = self.heads_left.saturating_sub(1);
        self.heads_at = now + pause.max(bounded(self.peers(|_| true).len()));
        let heads = self.views.own_heads();
        self.send(Datagram::Heads(heads), |_| true);
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
            self.outputs
                .push(Output::Send(Datagram::Keys(report), peers));
        }
    }

    /// Addresses of the other nodes that are chosen by whether they are in
    /// this node's zone. A node that lost the store loses its entry with it,
    /// but is there as long as it is heard.
    fn peers(&self, choose: impl Fn(bool) -> bool) -> Vec<SocketAddr> {
        let own = &self.config.control.record;
        let registered = self.views.nodes.values();
        let mut peers: Vec<SocketAddr> = registered
            .filter(|node| node.peers != own.peers && choose(node.zone == own.zone))
            .map(|node| node.peers)
            .collect();
        let is_registered = |address: &SocketAddr| {
            let mut nodes = self.views.nodes.values();
            nodes.any(|node| node.peers == *address)
        };
        if choose(false) {
            let heard = self.heard.keys().filter(|one| !is_registered(one));
            peers.extend(heard.filter(|address| **address != own.peers));
        }
        peers
    }

    /// Forgets nodes that fell silent.
    fn forget_silent(&mut self, now: Time) {
        self.heard.retain(|_, heard| now.since(*heard) < HEARD_FOR);
    }

    /// While the store does not answer, other nodes may know more.
    fn ask_peers(&mut self, now: Time) {
        if now < self.ask_at || !self.views.is_troubled() {
            return;
        }
        self.ask_at = now + self.config.timing.ask_peers;
        let mut peers = self.peers(|_| true);
        if peers.is_empty() {
            let own = self.config.control.record.peers;
            peers.extend(self.config.seeds.iter().filter(|seed| **seed != own));
        }
        if peers.is_empty() {
            return;
        }
        let peer = peers[self.asked % peers.len()];
        self.asked += 1;
        self.outputs
            .push(Output::Ask(peer, self.views.request(&ViewName::ALL)));
    }

    fn dispatch(&mut self, now: Time) {
        for decision in self.dispatcher.poll(now, &self.views.directory) {
            self.outputs.push(match decision {
                Decision::Forward(ticket, forward) => Output::Forward(ticket, forward),
                Decision::Conclude(ticket, ending) => Output::Conclude(ticket, ending),
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

/// Least pause between datagrams to so many nodes.
fn bounded(nodes: usize) -> Duration {
    Duration::from_secs(1) * nodes as u32 / DATAGRAMS_A_SECOND
}
