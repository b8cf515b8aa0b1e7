//! The core of one node: it handles timestamped inputs and returns outputs.

mod backoff;
mod confirmation;
mod fetch;
mod gossip;
mod leaving;
mod load;
mod observed_terms;
mod paths;
mod quarantine;
mod quotas;
mod rate_limits;
mod slots;
mod standby;
mod store_health;
mod trials;
mod waits;
mod zone_load;

pub use waits::Waits;

use crate::core::control::{Control, ControlConfig};
use crate::core::membership::{Audience, Membership};
use crate::core::message::{Datagram, Input, Output, StoreTask, Timing};
use crate::core::relays::RelayedContact;
use crate::core::standby::{STANDBY_TERM, StandbyConfig, StandbyRole, StandbyState};
use crate::core::views::{Snapshot, ViewName, ViewRequest, Views};
use beamtray_catalog::{DirectoryPolicy, UpstreamId};
use beamtray_dialect::Dialect;
use beamtray_dispatch::{
    AttemptOutcome, Decision, DispatchConfig, Dispatcher, NodeHash, NotExecuted, SumSource,
};
use beamtray_metastore::{Epoch, StoreEra};
use beamtray_sharding::{GrantReply, StandbyId};
use beamtray_types::Time;
use fetch::Fetches;
use gossip::RevisionsSchedule;
use load::ReportSchedule;
use quarantine::SuspicionQueue;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Fixed parameters of a core.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Parameters of request dispatch.
    pub dispatch: DispatchConfig,
    /// Parameters of the control plane.
    pub control: ControlConfig,
    /// Policy of the upstream directory.
    pub directory: DirectoryPolicy,
    /// Maximum timeout of watches whose changes must take effect in time.
    pub watch_timeout: Duration,
    /// How long after startup the members are not read. If all nodes start together, each then sees
    /// all others, and only few become relays.
    pub start_delay: Duration,
    /// Addresses of nodes to contact before any others are known.
    pub seeds: Vec<SocketAddr>,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Whether shutdown announcements in upstream responses are trusted. Disabled only by a test
    /// that shows why this is needed.
    pub accept_leaving_notices: bool,
    /// Whether nodes share suspected poison requests. Disabled only by a test that shows why this
    /// is needed.
    pub share_suspicions: bool,
}

/// Store failures older than this are not reported to other nodes.
const STORE_FAILURE_REPORT_WINDOW: Duration = Duration::from_secs(2);

/// The core of one node.
pub struct NodeCore {
    config: CoreConfig,
    views: Views,
    control: Control,
    standby: StandbyRole,
    standby_state: StandbyState,
    dispatcher: Dispatcher,
    stopping: bool,
    started_at: Option<Time>,
    reports: ReportSchedule,
    revisions: RevisionsSchedule,
    /// The other nodes.
    membership: Membership,
    /// Whether this is the relay that its zone relies on.
    acts_as_relay: bool,
    /// The store's era, if known.
    era: Option<StoreEra>,
    /// When a store call last failed without an answer.
    store_failed_at: Option<Time>,
    key_report_at: Time,
    suspicion_queue: SuspicionQueue,
    /// When rate limits may next be sent to other nodes.
    limits_due_at: Time,
    fetches: Fetches,
    /// Relays of this zone that a newly started node has yet to ask for snapshots; `None` until it
    /// knows the relays.
    startup_relays: Option<Vec<SocketAddr>>,
    next_peer_query: Time,
    peer_query_count: usize,
    /// Whether a call has gone unanswered since the last answered one.
    path_failed: bool,
    /// Whether the store has refused a call since it last accepted one.
    was_refused: bool,
    configured: u64,
    was_granter: Option<u64>,
    outputs: Vec<Output>,
}

/// Number of nodes assumed to share the retry allowance while none is known.
const ASSUMED_NODE_COUNT: usize = 16;

/// Creates a dispatcher that assumes a shared retry allowance before any node is known.
fn new_dispatcher(config: &CoreConfig) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(config.dispatch.clone());
    dispatcher.set_node_count(ASSUMED_NODE_COUNT);
    dispatcher
}

impl NodeCore {
    /// Creates the core of a node that knows nothing yet.
    pub fn new(config: CoreConfig, dialect: Rc<dyn Dialect>) -> Self {
        Self {
            views: Views::new(dialect, config.directory, config.watch_timeout),
            control: Control::new(config.control.clone()),
            standby: StandbyRole::new(StandbyConfig {
                id: StandbyId {
                    address: config.control.record.peers,
                    run: config.control.record.run,
                },
                timing: config.control.grants,
            }),
            standby_state: StandbyState::default(),
            dispatcher: new_dispatcher(&config),
            stopping: false,
            started_at: None,
            reports: ReportSchedule::default(),
            revisions: RevisionsSchedule::default(),
            membership: Membership::new(&config.control.record),
            acts_as_relay: false,
            era: None,
            store_failed_at: None,
            key_report_at: Time::ZERO,
            suspicion_queue: SuspicionQueue::default(),
            limits_due_at: Time::ZERO,
            fetches: Fetches::default(),
            startup_relays: None,
            next_peer_query: Time::ZERO,
            peer_query_count: 0,
            path_failed: false,
            was_refused: false,
            configured: 0,
            was_granter: None,
            outputs: Vec::new(),
            config,
        }
    }

    /// Handles one input; returns the actions to perform.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Output> {
        let may_decide = may_unblock_requests(&input);
        match input {
            Input::Tick => self.tick(now),
            Input::Request { ticket, head } => {
                if let Err(admission) = self.dispatcher.admit(now, ticket, &head) {
                    self.outputs.push(Output::Deny(ticket, admission));
                }
            }
            Input::AttemptEnded {
                ticket,
                outcome,
                rate,
            } => {
                if let Some(rate) = rate {
                    self.dispatcher.observe_rate(now, ticket, rate);
                }
                if outcome == AttemptOutcome::NotExecuted(NotExecuted::Misdirected) {
                    self.fetch_from_granter(now);
                }
                if let Some(ending) = self.dispatcher.attempt_ended(now, ticket, outcome) {
                    self.outputs.push(Output::Conclude(ticket, ending));
                }
            }
            Input::UpstreamLeaving { upstream } => self.handle_leaving(now, upstream),
            Input::BackoffRequested { upstream, backoff } => {
                self.handle_backoff_request(now, &upstream, backoff)
            }
            Input::Cancelled { ticket } => {
                self.dispatcher.cancel(ticket);
            }
            Input::ClientLeft { ticket } => self.dispatcher.client_left(ticket),
            Input::StoreEra(era) => self.handle_store_era(now, era),
            Input::Store { task, outcome } => self.handle_store(now, &task, outcome),
            Input::Order {
                service,
                order,
                epoch,
                reply,
            } => {
                if reply == GrantReply::Replaced {
                    self.views.confirm_terminated(now, &order.holder);
                    self.apply_view_changes(now);
                }
                if epoch == STANDBY_TERM {
                    self.standby.handle_reply(now, order.call, &reply);
                } else {
                    self.control
                        .handle_order(now, &service, &order, epoch, reply);
                }
                self.poll_control(now);
            }
            Input::Replaced { upstream } => {
                self.control.confirm_terminated(&upstream);
                self.handle_replaced(now, upstream);
            }
            Input::ConnectionTried {
                upstream,
                address,
                began,
                opened,
            } => self.handle_connection_tried(now, &upstream, address, began, opened),
            Input::Probed { upstream, liveness } => self.handle_probe(now, &upstream, liveness),
            Input::Resumed => self.resumed(now),
            Input::Datagram(from, datagram) => self.datagram(now, from, &datagram),
            Input::Snapshots(from, snapshots) => {
                self.fetches.ended(from);
                self.update_store_health(now);
                self.views.adopt(now, snapshots);
                self.apply_view_changes(now);
            }
            Input::SnapshotsUnavailable(from) => self.snapshots_unavailable(now, from),
            Input::Settings(config) => self.take_settings(*config),
            Input::Stop { end } => self.stop(end),
        }
        self.poll_quarantine(now);
        self.poll_rate_limits(now);
        self.poll_paths(now);
        self.announce_changes(now);
        if may_decide {
            self.dispatch(now);
        }
        self.report_trials(now);
        std::mem::take(&mut self.outputs)
    }

    fn datagram(&mut self, now: Time, from: SocketAddr, datagram: &Datagram) {
        self.membership.record_heard(now, from);
        match datagram {
            Datagram::Load(report) => self.handle_load(now, report),
            Datagram::ZoneLoad(zone, sum) => {
                self.dispatcher
                    .apply_load_sum(now, SumSource::Zone(*zone), sum);
                self.forward_zone_load(now, from, datagram);
            }
            Datagram::AllLoad(sum) => self.handle_all_load(now, from, sum),
            Datagram::Answers(answers) => self.handle_answers(now, from, answers),
            // The granter reassigns keys only on evidence of its own.
            Datagram::UpstreamTerminated(upstream) => {
                self.views.confirm_terminated(now, upstream);
                self.apply_view_changes(now);
                self.handle_upstream_terminated(now, upstream);
            }
            Datagram::Backoff(notice) => self.handle_backoff_notice(now, notice),
            Datagram::UpstreamsLeaving(upstreams) => self.handle_leaving_notice(now, upstreams),
            Datagram::SlotRequest(request) => self.assign_slot(now, from, request),
            Datagram::SlotReply(reply) => self.dispatcher.handle_slot_reply(now, *reply),
            Datagram::TrialRequest(request) => self.issue_trial_permit(now, from, request),
            Datagram::TrialReply(reply) => self.handle_trial_reply(now, reply),
            Datagram::TrialReport(report) => self.handle_trial_report(now, report),
            Datagram::RateLimits(limits) => self.handle_limits(now, limits),
            Datagram::PermitRequest(request) => self.issue_permits(now, from, request),
            Datagram::PermitReply(reply) => self.dispatcher.handle_permit_reply(now, reply),
            Datagram::QuotaRequest(request) => self.issue_quota(now, from, request),
            Datagram::QuotaReply(reply) => self.dispatcher.handle_quota_reply(now, reply),
            Datagram::TermQuery(epoch) => self.answer_term_query(from, Epoch(*epoch)),
            Datagram::TermObserved(epoch) => self.control.observe_term(Epoch(*epoch)),
            Datagram::Suspicions(suspicions) => self.handle_suspicions(now, suspicions),
            Datagram::KeyReport(report) => self.control.add_key_report(report),
            Datagram::StandbyLease(lease) => self.standby.handle_lease(now, lease),
            Datagram::StandbyReport(report) => {
                self.control.handle_standby_report(now, from, report)
            }
            Datagram::LatestRevisions(revisions) => {
                let lacking = self.views.handle_revisions(now, from, revisions);
                if self.fetches_from(now, from) {
                    self.fetch(now, from, &lacking);
                }
            }
        }
    }

    /// Handles proof that an upstream has terminated, and informs the other nodes so that they need
    /// not each send it a request to find out.
    fn handle_replaced(&mut self, now: Time, upstream: UpstreamId) {
        let was_known = self.views.directory.get(&upstream).is_some();
        self.views.confirm_terminated(now, &upstream);
        self.apply_view_changes(now);
        self.handle_upstream_terminated(now, &upstream);
        if was_known {
            self.send(Datagram::UpstreamTerminated(upstream), Audience::All);
        }
    }

    /// Passes changes of the views on to the components that use them.
    fn apply_view_changes(&mut self, now: Time) {
        if let Some(speeds) = self.views.speeds.take() {
            self.dispatcher.restore_speeds(&speeds);
        }
        if let Some(record) = self.views.suspicions.take() {
            self.dispatcher.quarantine_mut().merge_record(now, &record);
        }
        if self.views.take_nodes_changed() {
            self.update_members(now);
            self.query_startup_relays(now);
        }
        for service in self.views.take_changed_assignments() {
            if let Some(assignment) = self.views.assignments.get(&service) {
                self.dispatcher
                    .apply_assignment(now, service, assignment.clone());
            }
        }
        let notices = self.views.take_notices();
        if notices.is_empty() {
            return;
        }
        self.note_restarts(now, &notices);
        if let Some(configuration) = &self.views.configuration
            && configuration.version.0 != self.configured
        {
            self.configured = configuration.version.0;
            self.dispatcher.configure(now, configuration);
            self.outputs
                .push(Output::ClientLimits(configuration.limits));
        }
        self.report_as_standby(now, true);
        self.dispatcher.apply_directory(now, &self.views.directory);
        self.outputs
            .extend(notices.into_iter().map(Output::ViewChanged));
    }

    /// Updates the membership and everything derived from it.
    fn update_members(&mut self, now: Time) {
        let own = &self.config.control.record;
        let started = self.membership.set_nodes(own, &self.views.nodes);
        self.update_started_nodes(now, started);
        self.dispatcher.set_node_count(self.node_count());
        let members = self.views.nodes.keys().map(|name| NodeHash::of(name));
        self.dispatcher.set_members(now, members.collect());
        self.update_gateways();
        self.update_quota_issuers(now);
    }

    /// Whether this is the relay that its zone relies on, because no preceding relay can be relied
    /// on.
    fn is_first_relay(&self, now: Time) -> bool {
        let relays = self.membership.relays();
        let before = relays.preceding(&self.config.control.record.peers);
        before.is_some_and(|before| !self.views.relays.any_fresh_of(now, before))
    }

    /// The store contact of the relay in another zone that follows the store for the site. In a
    /// small deployment each zone's relay follows the store.
    fn relayed_contact(&self, now: Time) -> Option<RelayedContact> {
        if self.is_small_deployment() {
            return None;
        }
        let relays = self.membership.relays();
        let before = relays.in_zones_before(&self.config.control.record.zone);
        self.views.relays.freshest_of(now, before)
    }

    fn is_relay(&self) -> bool {
        self.membership.is_relay()
    }

    /// Number of nodes that share the global limits. Before any node is known, there may be many.
    fn node_count(&self) -> usize {
        match self.views.nodes.len() {
            0 => ASSUMED_NODE_COUNT,
            known => known,
        }
    }

    fn poll_control(&mut self, now: Time) {
        self.views.relays.set_tiered(!self.is_small_deployment());
        self.acts_as_relay = self.is_first_relay(now);
        let follows_first = self.acts_as_relay && self.relayed_contact(now).is_none();
        self.views.follow(now, follows_first);
        let misses_granter = self.standby.misses_granter(now);
        let relative_capacity = self.membership.relative_capacity();
        let record = &self.config.control.record;
        let role = self.membership.relays().role(&record.zone, &record.peers);
        let follows = self.views.follows_store();
        self.control
            .set_relay(role, follows, misses_granter, relative_capacity);
        for view in ViewName::ALL {
            if let Some(call) = self.views.poll(now, view) {
                let generation = self.views.replica(view).generation();
                let task = StoreTask::View(view, generation);
                self.outputs.push(Output::Store(task, call));
            }
        }
        for (task, call) in self.control.poll_store(now, &self.views, &self.dispatcher) {
            self.outputs.push(Output::Store(task, call));
        }
        let orders = self.control.poll_orders(now, &self.views, &self.dispatcher);
        if !orders.is_empty() {
            let epoch = self.control.epoch().unwrap_or_default();
            let orders = orders.into_iter().map(|order| Output::Order(order, epoch));
            self.outputs.extend(orders);
        }
        self.poll_standby_leases(now);
        self.exchange_observed_terms(now);
        let notices = self.control.take_ownership_notices().into_iter();
        let notices = notices.map(|(service, notice)| Output::Ownership(service, notice));
        self.outputs.extend(notices);
        let granter = self
            .control
            .epoch()
            .filter(|_| self.control.is_granter(now));
        if granter.is_some() {
            self.views.note_own_granter(now);
        }
        if granter != self.was_granter {
            self.was_granter = granter;
            self.outputs.push(Output::Granter(granter));
        }
    }

    fn tick(&mut self, now: Time) {
        if self.started_at.is_none() {
            self.started_at = Some(now);
            self.views.wait_for_members(now + self.config.start_delay);
        }
        self.views.expire(now);
        self.apply_view_changes(now);
        self.confirm_configuration(now);
        self.dispatcher.expire(now);
        self.membership.expire_silent(now);
        self.update_standby(now);
        self.check_reach(now);
        self.poll_control(now);
        self.report(now);
        self.send_revisions(now);
        self.report_keys(now);
        self.send_suspicions(now);
        self.report_as_standby(now, false);
        self.prolong_holds(now);
        self.query_peers(now);
    }

    fn dispatch(&mut self, now: Time) {
        let relay = self.slot_relay(now);
        self.dispatcher.set_slot_relay(relay.is_some());
        let is_told_directly = self.is_small_deployment() || self.is_lead_relay(now);
        self.dispatcher.set_load_is_recent(is_told_directly);
        for decision in self.dispatcher.poll(now, &self.views.directory) {
            match decision {
                Decision::Forward(ticket, forward) => {
                    self.outputs.push(Output::Forward(ticket, forward));
                }
                Decision::Conclude(ticket, ending) => {
                    self.outputs.push(Output::Conclude(ticket, ending));
                }
                Decision::AskSlot(request) => {
                    let datagram = Datagram::SlotRequest(request);
                    let relay = relay.into_iter().collect();
                    self.outputs.push(Output::Send(datagram, relay));
                }
                Decision::AskTrial(request) => self.request_trial(now, request),
                Decision::AskPermit(request) => self.request_permits(request),
                Decision::AskQuota(request) => self.request_quota(request),
            }
        }
    }

    /// Applies changed settings of dispatch and directory. Control keeps its own: see
    /// [`crate::settings::NodeSettings`].
    fn take_settings(&mut self, config: CoreConfig) {
        self.dispatcher.set_bounds(&config.dispatch);
        self.views.directory.set_policy(config.directory);
        self.config.dispatch = config.dispatch;
        self.config.directory = config.directory;
    }

    fn stop(&mut self, end: Time) {
        self.dispatcher.stop(end);
        if std::mem::replace(&mut self.stopping, true) {
            return;
        }
        for call in self.control.resign() {
            self.outputs.push(Output::Store(StoreTask::Farewell, call));
        }
    }

    /// Answers another node's request for snapshots.
    pub fn answer(&self, request: &ViewRequest) -> Vec<Snapshot> {
        self.views.answer(request)
    }

    /// Whether this node is ready for clients.
    pub fn is_ready(&self) -> bool {
        self.views.is_ready()
    }

    /// Whether clients are served better by other nodes, as far as these reach upstreams.
    pub fn is_isolated(&self) -> bool {
        self.dispatcher.is_isolated()
    }

    /// Interval until the next tick.
    ///
    /// Most nodes of a large deployment have little to do, and each wake-up costs processor time,
    /// of which they have a tenth of a core.
    pub fn tick_interval(&self, now: Time) -> Duration {
        let timing = self.config.timing;
        let (waiting, _) = self.dispatcher.request_counts();
        let is_awaited = self.is_small_deployment()
            || waiting > 0
            || self.control.epoch().is_some()
            || self.standby.state(now) == StandbyState::Prolongs
            || self.is_lead_relay(now);
        if is_awaited {
            timing.tick_interval
        } else {
            timing.idle_tick_interval
        }
    }

    /// When the next decision on a request is due.
    pub fn next_due(&self) -> Option<Time> {
        self.dispatcher.next_due()
    }

    /// The components, for metrics.
    pub fn inspect(&self) -> (&Views, &Control, &Dispatcher) {
        (&self.views, &self.control, &self.dispatcher)
    }
}

/// Whether an input may unblock a queued request, or brings a new one. A relay receives many
/// reports from single nodes, and each would otherwise make every queued request examine every
/// upstream.
fn may_unblock_requests(input: &Input) -> bool {
    !matches!(
        input,
        Input::ConnectionTried { .. }
            | Input::Datagram(
                _,
                Datagram::Load(_)
                    | Datagram::LatestRevisions(_)
                    | Datagram::SlotRequest(_)
                    | Datagram::TrialRequest(_)
                    | Datagram::PermitRequest(_)
                    | Datagram::QuotaRequest(_)
                    | Datagram::KeyReport(_)
                    | Datagram::Backoff(_)
                    | Datagram::Answers(_)
                    | Datagram::StandbyReport(_)
                    | Datagram::StandbyLease(_)
            )
    )
}
