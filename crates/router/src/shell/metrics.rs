//! Metrics in the Prometheus text format.

mod labels;

use crate::core::{NodeCore, ViewName, Views};
use crate::shell::log::dropped_lines;
use beamtray_catalog::UpstreamName;
use beamtray_dispatch::{Dispatcher, PermitCounts};
use beamtray_metastore::StoreEra;
use beamtray_resources::{Account, ConnectionKind, Purpose};
use beamtray_types::Time;
pub(crate) use labels::{
    AttemptLabels, EntryLabel, LimitLabel, OrderLabels, OrderName, PathLabel, PermitLabel,
    RefusalLabels, RequestLabels, RouteLabel, ServiceLabel, SlotLabel, StoreLabels, SuspectLabel,
    TrialLabel, TunnelLabel, UnansweredLabel, UnownedLabel, UpstreamLabel, UseLabel, ViewLabel,
    WakeupLabel, WorkLabel,
};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0];

/// Upper bounds of the histogram of the time for which keys have no owner, in seconds.
const UNOWNED_BOUNDS: [f64; 9] = [0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0];

/// Names of what memory is held for, in the order of [`Purpose::ALL`].
const PURPOSE_NAMES: [&str; 4] = ["system", "answers", "small", "bodies"];
/// Names of the kinds of connections, in the order of [`ConnectionKind::ALL`].
const CONNECTION_NAMES: [&str; 3] = ["clients", "outgoing", "peers"];

type Latencies<Label> = Family<Label, Histogram, fn() -> Histogram>;

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BOUNDS)
}

fn unowned_histogram() -> Histogram {
    Histogram::new(UNOWNED_BOUNDS)
}

/// All metrics of the process.
pub(crate) struct Metrics {
    registry: Registry,
    pub requests: Family<RequestLabels, Counter>,
    pub attempts: Family<AttemptLabels, Counter>,
    pub store_calls: Family<StoreLabels, Counter>,
    pub orders: Family<OrderLabels, Counter>,
    /// Seconds from the decision on an order to its end.
    pub order_latency: Latencies<OrderLabels>,
    unanswered_grants: Family<UnansweredLabel, Gauge>,
    unfenced_holders: Gauge,
    doubted_slices: Gauge,
    pub doubted_keys: Counter,
    keys_with_holder: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    pub route_latency: Latencies<RouteLabel>,
    /// Seconds from a whole request to its refusal.
    pub refusal_latency: Latencies<RefusalLabels>,
    upstream_latency: Latencies<UpstreamLabel>,
    /// Seconds for which keys had no owner.
    pub unowned: Latencies<UnownedLabel>,
    /// Upstreams for which `upstream_latency` has a histogram.
    upstreams_with_latency: RefCell<BTreeSet<String>>,
    lines_dropped: Gauge,
    lines_suppressed: Counter,
    /// Seconds for which the machine was suspended.
    pub suspended_seconds: Counter<f64, AtomicU64>,
    pub wakeups: Family<WakeupLabel, Counter>,
    decision_work: Family<WorkLabel, Gauge>,
    order_checks: Family<WorkLabel, Gauge>,
    waiting: Gauge,
    under_way: Gauge,
    slots_in_use: Family<UpstreamLabel, Gauge>,
    slots: Family<SlotLabel, Gauge>,
    suspects: Family<SuspectLabel, Gauge>,
    failed_paths: Family<PathLabel, Gauge>,
    pub tunnels: Family<TunnelLabel, Counter>,
    pub limits_reached: Family<LimitLabel, Counter>,
    held_bytes: Family<UseLabel, Gauge>,
    open_connections: Family<UseLabel, Gauge>,
    cut_off_seconds: Gauge<f64, AtomicU64>,
    limited_upstreams: Gauge,
    resting_upstreams: Gauge,
    store_era: Gauge,
    permits: Family<PermitLabel, Gauge>,
    tenants: Gauge,
    tenants_with_quota: Gauge,
    quota_permits: Family<PermitLabel, Gauge>,
    pub trials: Family<TrialLabel, Counter>,
    slices: Gauge,
    slices_held: Gauge,
    is_granter: Gauge,
    configuration: Gauge,
    upstreams: Gauge,
    nodes: Gauge,
    follows_store: Gauge,
    view_age: Family<ViewLabel, Gauge>,
    unusable_entries: Family<EntryLabel, Gauge>,
}

impl Metrics {
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("beamtray"),
            requests: Family::default(),
            attempts: Family::default(),
            store_calls: Family::default(),
            orders: Family::default(),
            order_latency: Family::new_with_constructor(latency_histogram),
            unanswered_grants: Family::default(),
            unfenced_holders: Gauge::default(),
            doubted_slices: Gauge::default(),
            doubted_keys: Counter::default(),
            keys_with_holder: Family::default(),
            route_latency: Family::new_with_constructor(latency_histogram),
            refusal_latency: Family::new_with_constructor(latency_histogram),
            upstream_latency: Family::new_with_constructor(latency_histogram),
            unowned: Family::new_with_constructor(unowned_histogram),
            upstreams_with_latency: RefCell::new(BTreeSet::new()),
            lines_dropped: Gauge::default(),
            lines_suppressed: Counter::default(),
            suspended_seconds: Counter::default(),
            wakeups: Family::default(),
            decision_work: Family::default(),
            order_checks: Family::default(),
            waiting: Gauge::default(),
            under_way: Gauge::default(),
            slots_in_use: Family::default(),
            slots: Family::default(),
            suspects: Family::default(),
            failed_paths: Family::default(),
            tunnels: Family::default(),
            limits_reached: Family::default(),
            held_bytes: Family::default(),
            open_connections: Family::default(),
            cut_off_seconds: Gauge::default(),
            limited_upstreams: Gauge::default(),
            resting_upstreams: Gauge::default(),
            store_era: Gauge::default(),
            permits: Family::default(),
            tenants: Gauge::default(),
            tenants_with_quota: Gauge::default(),
            quota_permits: Family::default(),
            trials: Family::default(),
            slices: Gauge::default(),
            slices_held: Gauge::default(),
            is_granter: Gauge::default(),
            configuration: Gauge::default(),
            upstreams: Gauge::default(),
            nodes: Gauge::default(),
            follows_store: Gauge::default(),
            view_age: Family::default(),
            unusable_entries: Family::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests by route and outcome",
            self.requests.clone(),
        );
        registry.register(
            "attempts",
            "Attempts by service and outcome",
            self.attempts.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        registry.register(
            "limits_reached",
            "Times that a limit on what the process takes was reached",
            self.limits_reached.clone(),
        );
        registry.register(
            "held_bytes",
            "Memory held for bodies, answers and connections",
            self.held_bytes.clone(),
        );
        registry.register(
            "open_connections",
            "Open connections by kind",
            self.open_connections.clone(),
        );
        registry.register("orders", "Orders to upstreams", self.orders.clone());
        registry.register(
            "order_seconds",
            "Time from the decision on an order to its end, by kind and reply",
            self.order_latency.clone(),
        );
        registry.register(
            "unanswered_grants",
            "Grants of this term without an answer: of holders that serve other nodes \
             meanwhile, or of silent ones",
            self.unanswered_grants.clone(),
        );
        registry.register(
            "unfenced_holders",
            "Upstreams that lost keys without an answer and have not answered since",
            self.unfenced_holders.clone(),
        );
        registry.register(
            "doubted_slices",
            "Slices without an owner since a grant may lie with their last holder",
            self.doubted_slices.clone(),
        );
        registry.register(
            "doubted_keys",
            "Times that a slice waited since a grant may lie with its last holder",
            self.doubted_keys.clone(),
        );
        registry.register(
            "keys_with_holder",
            "Share of the keys of a divided service whose holder this node knows",
            self.keys_with_holder.clone(),
        );
        registry.register(
            "request_seconds",
            "Time from a whole request to its answer",
            self.route_latency.clone(),
        );
        registry.register(
            "refusal_seconds",
            "Time from a whole request to its refusal, by reason and whether it arrived",
            self.refusal_latency.clone(),
        );
        registry.register(
            "upstream_seconds",
            "Time of answers of upstreams",
            self.upstream_latency.clone(),
        );
        registry.register(
            "unowned_seconds",
            "Time for which keys had no owner, by cause",
            self.unowned.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Lines that standard output did not take",
            self.lines_dropped.clone(),
        );
        registry.register(
            "log_lines_left_out",
            "Lines beyond the rate of their kind",
            self.lines_suppressed.clone(),
        );
        registry.register(
            "asleep_seconds",
            "Time for which the machine was suspended",
            self.suspended_seconds.clone(),
        );
        registry.register(
            "wakeups",
            "Times that the core was woken, by cause; due is a decision on a request",
            self.wakeups.clone(),
        );
        registry.register(
            "decision_work",
            "Rounds of decisions, decisions on requests, and upstreams examined for them",
            self.decision_work.clone(),
        );
        registry.register(
            "order_checks",
            "Checks of a granter for due orders, and slices examined by them",
            self.order_checks.clone(),
        );
        registry.register("waiting", "Requests that wait here", self.waiting.clone());
        registry.register(
            "under_way",
            "Requests not answered yet",
            self.under_way.clone(),
        );
        registry.register(
            "upstream_requests",
            "Requests of all nodes under way at an upstream, as known here",
            self.slots_in_use.clone(),
        );
        registry.register(
            "slot_requests",
            "Questions to a relay where to send requests, by outcome; asked_here at the relay",
            self.slots.clone(),
        );
        registry.register(
            "suspects",
            "Fingerprints of requests under which upstreams ended, and of those kept off",
            self.suspects.clone(),
        );
        registry.register(
            "failed_paths",
            "Upstreams to which this node could not connect, by whether they respond since",
            self.failed_paths.clone(),
        );
        registry.register(
            "tunnels",
            "Connections to upstreams that other nodes asked for, by outcome",
            self.tunnels.clone(),
        );
        registry.register(
            "cut_off_seconds",
            "Time for which this node can connect to no upstream while other nodes can",
            self.cut_off_seconds.clone(),
        );
        registry.register(
            "limited_upstreams",
            "Upstreams that name the requests a second that they take",
            self.limited_upstreams.clone(),
        );
        registry.register(
            "resting_upstreams",
            "Upstreams that asked this node for rest that is not over",
            self.resting_upstreams.clone(),
        );
        registry.register(
            "store_era",
            "The metadata store's era: it rises when the store comes back from an older copy",
            self.store_era.clone(),
        );
        registry.register(
            "permits",
            "Permits for upstreams that name a rate: questions and what was used here; lent and \
             denied as a lender",
            self.permits.clone(),
        );
        registry.register("tenants", "Tenants in force", self.tenants.clone());
        registry.register(
            "tenants_with_quota",
            "Tenants in force that have a quota",
            self.tenants_with_quota.clone(),
        );
        registry.register(
            "quota_permits",
            "Permits from quotas of tenants: questions and what was used here; lent and denied \
             as a lender",
            self.quota_permits.clone(),
        );
        registry.register(
            "trials",
            "Trials of requests under which upstreams ended, by outcome",
            self.trials.clone(),
        );
        registry.register("slices", "Slices, at the granter", self.slices.clone());
        registry.register(
            "slices_held",
            "Slices under a grant, at the granter",
            self.slices_held.clone(),
        );
        registry.register("is_granter", "1 at the granter", self.is_granter.clone());
        registry.register(
            "configuration_version",
            "Version in force",
            self.configuration.clone(),
        );
        registry.register("upstreams", "Upstreams known", self.upstreams.clone());
        registry.register("nodes", "Nodes known", self.nodes.clone());
        registry.register(
            "follows_store",
            "1 where the store is followed, 0 where a relay is relied on",
            self.follows_store.clone(),
        );
        registry.register(
            "view_age_milliseconds",
            "Time since the store last answered for a view",
            self.view_age.clone(),
        );
        registry.register(
            "unusable_entries",
            "Entries of the store that can't be used, by prefix and cause",
            self.unusable_entries.clone(),
        );
    }

    fn observe_tenants(&self, dispatcher: &Dispatcher) {
        let (tenants, with_quota) = dispatcher.tenant_counts();
        self.tenants.set(tenants as i64);
        self.tenants_with_quota.set(with_quota as i64);
        observe_permits(&self.quota_permits, dispatcher.quota_counts());
    }

    /// Counts a log line suppressed by its rate limit.
    pub fn count_suppressed_line(&self) {
        self.lines_suppressed.inc();
    }

    /// Sets the store's era.
    pub fn store_era(&self, era: StoreEra) {
        self.store_era.set(era.0.into());
    }

    /// Observes the response time of an upstream.
    pub fn observe_attempt(&self, upstream: &str, took: Duration) {
        let label = UpstreamLabel {
            upstream: upstream.to_owned(),
        };
        let histogram = self.upstream_latency.get_or_create(&label);
        histogram.observe(took.as_secs_f64());
        self.upstreams_with_latency
            .borrow_mut()
            .insert(label.upstream);
    }

    /// Updates the gauges from the state of the core.
    fn observe_paths(&self, now: Time, dispatcher: &Dispatcher) {
        let reachability = dispatcher.reachability();
        let counts = reachability.counts();
        for (upstream, count) in [("silent", counts.failed), ("responds", counts.broken)] {
            let label = PathLabel { upstream };
            self.failed_paths.get_or_create(&label).set(count as i64);
        }
        let cut_off = reachability.cut_off_since();
        let cut_off_for = cut_off.map(|since| now.since(since).as_secs_f64());
        self.cut_off_seconds.set(cut_off_for.unwrap_or_default());
    }

    pub fn update_gauges(&self, now: Time, core: &NodeCore) {
        let (views, control, dispatcher) = core.inspect();
        let (waiting, under_way) = dispatcher.request_counts();
        self.waiting.set(waiting as i64);
        self.under_way.set(under_way as i64);
        let work = dispatcher.decision_work();
        for (what, count) in [
            ("rounds", work.rounds),
            ("decisions", work.decisions),
            ("examined", work.examined),
        ] {
            let label = WorkLabel { what };
            self.decision_work.get_or_create(&label).set(count as i64);
        }
        let work = control.order_check_work();
        for (what, count) in [("checks", work.checks), ("slices", work.slices)] {
            let label = WorkLabel { what };
            self.order_checks.get_or_create(&label).set(count as i64);
        }
        self.slots_in_use.clear();
        self.remove_deregistered_upstreams(core);
        for registration in views.directory.iter() {
            let id = &registration.record.id;
            let label = UpstreamLabel {
                upstream: id.name.0.clone(),
            };
            let hash = beamtray_dispatch::UpstreamHash::of(id);
            let total = dispatcher.occupancy().total(hash);
            self.slots_in_use.get_or_create(&label).set(total.into());
        }
        let slots = dispatcher.slot_counts();
        for (outcome, count) in [
            ("given", slots.given),
            ("none_free", slots.refused),
            ("unanswered", slots.unanswered),
            ("asked_here", slots.asked_here),
        ] {
            let label = SlotLabel { outcome };
            self.slots.get_or_create(&label).set(count as i64);
        }
        let (suspected, kept_off) = dispatcher.quarantine().counts(now);
        for (state, count) in [("suspected", suspected), ("kept_off", kept_off)] {
            let label = SuspectLabel { state };
            self.suspects.get_or_create(&label).set(count as i64);
        }
        self.observe_paths(now, dispatcher);
        self.limited_upstreams
            .set(dispatcher.rate_limited_count() as i64);
        self.resting_upstreams
            .set(dispatcher.backed_off_count(now) as i64);
        observe_permits(&self.permits, dispatcher.permit_counts());
        self.observe_tenants(dispatcher);
        let (slices, held) = control.slice_counts(now);
        self.slices.set(slices as i64);
        self.slices_held.set(held as i64);
        self.unfenced_holders.set(control.unfenced_count() as i64);
        self.doubted_slices.set(control.doubted_count() as i64);
        let unanswered = control.unanswered_grants();
        for (holder, count) in [
            ("serves", unanswered.serving),
            ("silent", unanswered.silent),
        ] {
            let label = UnansweredLabel { holder };
            self.unanswered_grants
                .get_or_create(&label)
                .set(count as i64);
        }
        for (service, assignment) in &views.assignments {
            let label = ServiceLabel {
                service: service.to_string(),
            };
            let share = assignment.held_share();
            self.keys_with_holder.get_or_create(&label).set(share);
        }
        self.is_granter.set(control.is_granter(now).into());
        let version = views
            .configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version.0);
        self.configuration.set(version as i64);
        self.upstreams.set(views.directory.iter().count() as i64);
        self.nodes.set(views.nodes.len() as i64);
        self.follows_store.set(views.follows_store().into());
        for view in ViewName::ALL {
            let age = views.replica(view).age(now).as_millis() as i64;
            let label = ViewLabel {
                view: format!("{view:?}"),
            };
            self.view_age.get_or_create(&label).set(age);
            self.update_unusable(views, view);
        }
        self.lines_dropped.set(dropped_lines() as i64);
    }

    fn update_unusable(&self, views: &Views, view: ViewName) {
        let unusable = views.unusable(view);
        for (cause, count) in [
            ("unreadable", unusable.unreadable),
            ("unknown_service", unusable.unknown_service),
        ] {
            let prefix = views.replica(view).prefix().to_owned();
            let label = EntryLabel { prefix, cause };
            self.unusable_entries
                .get_or_create(&label)
                .set(count as i64);
        }
    }

    /// Removes the histograms of deregistered upstreams.
    fn remove_deregistered_upstreams(&self, core: &NodeCore) {
        let directory = &core.inspect().0.directory;
        let known = |name: &String| directory.registered(&UpstreamName(name.clone())).is_some();
        self.upstreams_with_latency.borrow_mut().retain(|id| {
            let keep = known(id);
            if !keep {
                let upstream = id.clone();
                self.upstream_latency.remove(&UpstreamLabel { upstream });
            }
            keep
        });
    }

    /// Updates the gauges of memory and descriptors.
    pub fn observe_account(&self, account: &Account) {
        for (purpose, name) in Purpose::ALL.into_iter().zip(PURPOSE_NAMES) {
            let label = UseLabel { purpose: name };
            let held = account.held(purpose) as i64;
            self.held_bytes.get_or_create(&label).set(held);
        }
        for (kind, name) in ConnectionKind::ALL.into_iter().zip(CONNECTION_NAMES) {
            let label = UseLabel { purpose: name };
            let open = account.open(kind) as i64;
            self.open_connections.get_or_create(&label).set(open);
        }
    }

    /// All metrics in the Prometheus text format.
    pub fn encode_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

fn observe_permits(gauges: &Family<PermitLabel, Gauge>, permits: PermitCounts) {
    for (outcome, count) in [
        ("asked", permits.asked),
        ("used", permits.used),
        ("lent", permits.issued),
        ("denied", permits.denied),
    ] {
        let label = PermitLabel { outcome };
        gauges.get_or_create(&label).set(count as i64);
    }
}
