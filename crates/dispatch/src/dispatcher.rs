//! The requests of one node and the decisions about them.

mod backoff;
mod choice;
mod cold_starts;
mod decide;
mod failures;
mod limits;
mod outcome;
mod paths;
mod pools;
mod quotas;
mod reports;
mod round;
mod slots;
mod unheld_keys;
mod work;

use crate::budget::{RetryBudget, RetryBudgetConfig};
use crate::fingerprint::{Fingerprint, Fingerprints};
use crate::gateways::Gateways;
use crate::occupancy::Occupancy;
use crate::quarantine::{AttemptHash, Quarantine};
use crate::quota::{QuotaBound, Quotas, TenantHash};
use crate::rate_limit::RateLimits;
use crate::reachability::Reachability;
use crate::report::{NodeHash, UpstreamHash};
use crate::request::{AdmissionError, AssignmentNumber, RequestHead, Ticket, UnknownCause};
use crate::requested_backoffs::RequestedBackoffs;
use crate::speed::SpeedTable;
use crate::suspicion::{ServiceIndex, Suspicion};
use beamtray_catalog::{ColdStart, UpstreamState, WeightedBackend};
use beamtray_catalog::{
    Configuration, Directory, Route, RouteTable, Sender, TenantTable, UpstreamId,
};
use beamtray_sharding::{Assignment, ShardKey};
use beamtray_types::{ServiceName, Time, Zone};
pub use cold_starts::ColdStartBound;
use cold_starts::ColdStarts;
use failures::FailurePenalties;
use pools::Pools;
use quotas::QuotaState;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use round::Round;
pub use slots::{SlotCounts, SlotReply, SlotRequest};
use slots::{SlotState, SlotTracker};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use unheld_keys::UnheldKeys;
pub use work::DecisionWork;
use work::WorkCounter;

/// Configuration of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// Name of this node, hashed into reports.
    pub node: String,
    /// Identifies this process among all processes that ran under the node's name.
    pub run: u64,
    /// Zone of this node.
    pub zone: Zone,
    /// Limits on retries.
    pub budget: RetryBudgetConfig,
    /// Maximum number of requests that wait in this node.
    pub queue_limit: usize,
    /// Maximum number of requests sent to an upstream beyond its slots: an upstream may not
    /// respond at all to requests that it can't queue.
    pub max_queued: u32,
    /// Added to the estimated response time of upstreams in other zones.
    pub zone_cost: Duration,
    /// How long the holder of a key still gets requests after it starts to drain.
    pub drain_grace: Duration,
    /// How long the holder of a key in an evacuated zone still gets requests while its keys
    /// move to other upstreams.
    pub evacuation_grace: Duration,
    /// Limit on requests to cold upstreams.
    pub cold_start: ColdStartBound,
    /// How exactly the quotas of tenants are kept.
    pub quota: QuotaBound,
    /// How long ago a node's configuration was known to be the newest at most, if it accepts
    /// requests with API keys; `None` if it may be any time ago.
    pub max_key_age: Option<Duration>,
    /// All zones, also those without a node at the moment; empty if not known.
    pub zones: Vec<Zone>,
    /// Whether requests to upstreams that advertise a rate limit need permits. Disabled only by
    /// tests that demonstrate the need for it.
    pub honors_rate_limits: bool,
    /// Whether requests of tenants with a quota need permits. Disabled only by tests that
    /// demonstrate the need for it.
    pub enforces_quotas: bool,
    /// Whether an upstream that requested a backoff is sent nothing until it ends.
    /// Disabled only by tests that demonstrate the need for it.
    pub honors_backoff: bool,
    /// Whether requests to upstreams that this node can't connect to are sent through other nodes.
    /// Disabled only by tests that demonstrate the need for it.
    pub uses_gateways: bool,
    /// Whether a request that is not repeatable is retried only on proof that it was not
    /// executed. Disabled only by tests that demonstrate the need for it.
    pub requires_proof_before_retry: bool,
}

/// A request waits at most its route's target latency divided by this.
const WAIT_DIVISOR: u32 = 5;
/// A client whose timeout is below this fraction of the longest one seen on its route is taken
/// to be retrying after a refusal.
const CLIENT_RETRY_RATIO: f64 = 0.93;
/// Time reserved before the deadline for delivering the response to the client.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);

#[derive(Clone, Debug)]
struct Attempt {
    upstream: UpstreamId,
    address: SocketAddr,
    hash: UpstreamHash,
    /// The node through which it was sent, if any.
    gateway: Option<SocketAddr>,
    sent: Time,
    /// Number of service rounds, over all slots of the upstream, until this attempt completes,
    /// as far as known: 1 if a slot was free.
    rounds: f64,
    /// Whether the upstream was warm when the attempt was sent.
    is_warm: bool,
    id: AttemptHash,
    /// The fingerprint whose trial permit was used, if one was needed.
    permit: Option<Fingerprint>,
}

#[derive(Clone, Debug)]
struct Request {
    route: Rc<Route>,
    sender: Sender,
    quota: QuotaState,
    service: ServiceName,
    key: Option<ShardKey>,
    fingerprints: Fingerprints,
    arrived: Time,
    deadline: Time,
    /// The request is refused if it is still waiting for an upstream at this time.
    wait_until: Time,
    /// Time of the next attempt at the earliest.
    not_before: Time,
    arrivals: u32,
    tried: Vec<UpstreamHash>,
    slot: SlotState,
    attempt: Option<Attempt>,
    /// Whether the client left while an attempt was in flight.
    client_left: bool,
    /// Whether this node failed to connect to an upstream for it.
    own_path_failed: bool,
    unknown: Option<UnknownCause>,
    /// Whether the client seems to be retrying after a refusal.
    is_client_retry: bool,
    /// The holder that rejected the key, and the assignment that named this holder.
    denied: Option<Denial>,
    /// The rate-limited upstream that the request last waited for.
    limited_by: Option<PermitWait>,
    /// Earliest end of a requested backoff among the upstreams that could take the request.
    backoff_until: Option<Time>,
}

/// A request that waits for a permit to be sent to a rate-limited upstream.
#[derive(Clone, Copy, Debug)]
struct PermitWait {
    upstream: UpstreamHash,
    /// When a permit may become available; `None` while an issuer's reply is pending.
    until: Option<Time>,
}

/// A holder responded that it does not hold a key.
#[derive(Clone, Debug)]
struct Denial {
    holder: UpstreamId,
    assignment: Option<AssignmentNumber>,
    /// From this time on the holder is tried again: it may have received the key.
    until: Time,
}

#[derive(Clone, Copy, Debug, Default)]
struct Health {
    failures: u32,
    paused_until: Time,
}

#[derive(Clone, Debug, Default)]
struct BackendCredits {
    version: u64,
    credit: Vec<i64>,
}

/// An upstream that may have terminated: a connection to it was closed or a response timed out.
/// The caller is to check whether it still listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// The upstream to probe.
    pub upstream: UpstreamId,
    /// Address that the upstream listens on.
    pub address: SocketAddr,
}

/// Makes the dispatch decisions for all requests of one node.
pub struct Dispatcher {
    config: DispatchConfig,
    configured: bool,
    routes: RouteTable,
    /// `None` if the configuration declares no tenants.
    tenants: Option<TenantTable>,
    /// When the configuration was last known to be the newest one.
    confirmed_at: Time,
    quotas: Quotas,
    divided: HashMap<ServiceName, bool>,
    /// Rates that cold upstreams handle, for services with a cold-start limit.
    cold_rates: HashMap<ServiceName, ColdStart>,
    cold_starts: ColdStarts,
    assignments: BTreeMap<ServiceName, Rc<Assignment>>,
    unheld_keys: UnheldKeys,
    requests: HashMap<Ticket, Request>,
    waiting: Vec<Ticket>,
    /// Time of the last round of decisions.
    decided_at: Time,
    round: Round,
    backend_credits: HashMap<String, BackendCredits>,
    /// Longest client timeout seen on each route.
    max_client_timeouts: HashMap<String, Duration>,
    version: u64,
    budgets: HashMap<ServiceName, RetryBudget>,
    health: HashMap<UpstreamHash, Health>,
    reachability: Reachability,
    suspicion: Suspicion,
    gateways: Gateways,
    pools: Pools,
    /// Change counter of the directory that was applied last.
    directory_changes: Option<u64>,
    draining_since: HashMap<UpstreamId, Time>,
    occupancy: Occupancy,
    slots: SlotTracker,
    /// Whether this node's view of the load of other nodes is recent.
    load_is_recent: bool,
    failures: FailurePenalties,
    speeds: SpeedTable,
    quarantine: Quarantine,
    /// Upstreams to probe, since the last [`Dispatcher::take_probe_targets`].
    probe_targets: Vec<ProbeTarget>,
    /// When a probe of each upstream was last requested.
    probed_at: HashMap<UpstreamHash, Time>,
    /// When each upstream last responded to a request of any node.
    last_answers: HashMap<UpstreamHash, Time>,
    limits: RateLimits,
    requested_backoffs: RequestedBackoffs,
    /// Upstreams that requested a backoff from some node: other upstreams are better holders for
    /// their keys.
    backoffs_at_any_node: RequestedBackoffs,
    key_loads: HashMap<ServiceName, HashMap<ShardKey, u16>>,
    node_count: usize,
    sequence: u32,
    /// Number of attempts started.
    attempts: u32,
    random: ChaCha8Rng,
    work: WorkCounter,
    /// When this node ends, if it stops.
    serves_until: Option<Time>,
}

impl Dispatcher {
    /// Creates a dispatcher without a configuration.
    pub fn new(config: DispatchConfig) -> Self {
        let random = ChaCha8Rng::seed_from_u64(config.run);
        let own = NodeHash::of(&config.node);
        let cold_starts = ColdStarts::new(own, config.cold_start);
        let quotas = Quotas::new(
            own,
            config.zone.clone(),
            &config.zones,
            config.quota,
            random.clone().random(),
        );
        let gateways = Gateways::new(config.zone.clone());
        Self {
            config,
            tenants: None,
            confirmed_at: Time::ZERO,
            quotas,
            configured: false,
            routes: RouteTable::default(),
            divided: HashMap::new(),
            cold_rates: HashMap::new(),
            cold_starts,
            assignments: BTreeMap::new(),
            unheld_keys: UnheldKeys::default(),
            requests: HashMap::new(),
            waiting: Vec::new(),
            decided_at: Time::ZERO,
            round: Round::default(),
            backend_credits: HashMap::new(),
            max_client_timeouts: HashMap::new(),
            version: 0,
            budgets: HashMap::new(),
            health: HashMap::new(),
            reachability: Reachability::default(),
            suspicion: Suspicion::default(),
            gateways,
            pools: Pools::default(),
            directory_changes: None,
            draining_since: HashMap::new(),
            occupancy: Occupancy::default(),
            slots: SlotTracker::default(),
            load_is_recent: true,
            failures: FailurePenalties::default(),
            speeds: SpeedTable::default(),
            quarantine: Quarantine::with_first_number(random.clone().random()),
            probe_targets: Vec::new(),
            probed_at: HashMap::new(),
            last_answers: HashMap::new(),
            limits: RateLimits::new(own, random.clone().random()),
            requested_backoffs: RequestedBackoffs::default(),
            backoffs_at_any_node: RequestedBackoffs::default(),
            key_loads: HashMap::new(),
            node_count: 1,
            sequence: 0,
            attempts: 0,
            random,
            work: WorkCounter::default(),
            serves_until: None,
        }
    }

    /// Ends at `end`. From now on a request is sent only if its deadline is not later.
    ///
    /// Invariant: a request that is sent ends before this node does. One that was still at an upstream
    /// at the end would be cut without an answer, also if it must not be repeated.
    pub fn stop(&mut self, end: Time) {
        self.serves_until = Some(end);
    }

    /// Applies a configuration.
    pub fn configure(&mut self, now: Time, configuration: &Configuration) {
        self.configured = true;
        let tenants = configuration.tenants.as_deref();
        self.tenants = tenants.map(TenantTable::new);
        self.quotas.configure(now, tenants.unwrap_or_default());
        self.version = configuration.version.0;
        self.routes = RouteTable::new(configuration);
        self.divided = configuration
            .services
            .iter()
            .map(|service| (service.name.clone(), service.sharded))
            .collect();
        let services = configuration.services.iter();
        let bounded =
            services.filter_map(|service| Some((service.name.clone(), service.cold_start?)));
        self.cold_rates = bounded.collect();
    }

    /// Changes the limits on retries, draining, evacuation and cold starts.
    pub fn set_bounds(&mut self, config: &DispatchConfig) {
        self.config.budget = config.budget;
        self.config.drain_grace = config.drain_grace;
        self.config.evacuation_grace = config.evacuation_grace;
        self.cold_starts.set_bound(config.cold_start);
        self.quotas.set_bound(config.quota);
        self.config.max_key_age = config.max_key_age;
    }

    /// Applies the newest assignment of a sharded service.
    pub fn apply_assignment(
        &mut self,
        now: Time,
        service: ServiceName,
        assignment: Rc<Assignment>,
    ) {
        self.unheld_keys.update(now, &service, &assignment);
        self.assignments.insert(service, assignment);
    }

    /// Sets the registered nodes, including this one once it is registered.
    pub fn set_members(&mut self, now: Time, members: Vec<NodeHash>) {
        self.limits.set_nodes(now, &members);
        self.cold_starts.set_nodes(now, members);
    }

    /// Sets the number of nodes that share the retry allowance.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.node_count = nodes.max(1);
    }

    /// Sets whether this node's view of the load of other nodes is recent: it is if they report to
    /// it directly, and old if it hears sums of a relay.
    pub fn set_load_is_recent(&mut self, is_recent: bool) {
        self.load_is_recent = is_recent;
    }

    /// Applies the directory: drops the state of upstreams that are deregistered and records when
    /// upstreams start to drain.
    pub fn apply_directory(&mut self, now: Time, directory: &Directory) {
        if self.directory_changes == Some(directory.change_count()) {
            return;
        }
        self.directory_changes = Some(directory.change_count());
        self.draining_since
            .retain(|id, _| directory.get(id).is_some());
        let services = services_of(directory);
        let known: std::collections::HashSet<UpstreamHash> = services.keys().copied().collect();
        self.suspicion.set_services(services);
        self.health.retain(|hash, _| known.contains(hash));
        self.reachability
            .retain(known.len(), |hash| known.contains(&hash));
        self.speeds.retain(|hash| known.contains(&hash));
        self.last_answers.retain(|hash, _| known.contains(hash));
        self.probed_at.retain(|hash, _| known.contains(hash));
        self.limits.retain(|hash| known.contains(&hash));
        for registration in directory.iter() {
            let record = &registration.record;
            if record.state == UpstreamState::Draining {
                self.draining_since.entry(record.id.clone()).or_insert(now);
            }
        }
    }

    /// Adds a request to the queue. [`Dispatcher::poll`] decides about it.
    ///
    /// # Errors
    /// [`AdmissionError`] if the request can't be served at all.
    pub fn admit(
        &mut self,
        now: Time,
        ticket: Ticket,
        head: &RequestHead,
    ) -> Result<(), AdmissionError> {
        if !self.configured {
            return Err(AdmissionError::NoConfiguration);
        }
        let route = self.routes.find(&head.host, &head.path);
        let route = route.ok_or(AdmissionError::NoRoute)?.clone();
        let sender = self.identify(now, head, &route)?;
        let service = self.choose_backend(&route);
        let divided = self.divided.get(&service).copied().unwrap_or_default();
        if divided && head.key.is_none() {
            return Err(AdmissionError::NoKey);
        }
        if self.waiting.len() >= self.config.queue_limit {
            return Err(AdmissionError::Overloaded);
        }
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.record_request(&self.config.budget, now);
        let key = head.key.filter(|_| divided);
        if let Some(key) = key {
            let loads = self.key_loads.entry(service.clone()).or_default();
            let count = loads.entry(key).or_default();
            *count = count.saturating_add(1);
        }
        let client_timeout = head.client_timeout.unwrap_or(route.timeout);
        let is_client_retry = self.detect_client_retry(&route, client_timeout);
        let time = client_timeout.min(route.timeout);
        let deadline = now + time.saturating_sub(RESPONSE_MARGIN);
        let wait = (route.target_latency / WAIT_DIVISOR).min(time / 3);
        let quota = self.quota_state(now, &sender);
        self.requests.insert(
            ticket,
            Request {
                service,
                key,
                fingerprints: head.fingerprints,
                arrived: now,
                deadline,
                wait_until: now + wait,
                not_before: now,
                arrivals: 0,
                tried: Vec::new(),
                slot: SlotState::default(),
                attempt: None,
                client_left: false,
                own_path_failed: false,
                unknown: None,
                is_client_retry,
                denied: None,
                limited_by: None,
                backoff_until: None,
                sender,
                quota,
                route,
            },
        );
        self.waiting.push(ticket);
        Ok(())
    }

    /// Identifies the sender of a request by its credential.
    fn identify(
        &self,
        now: Time,
        head: &RequestHead,
        route: &Route,
    ) -> Result<Sender, AdmissionError> {
        let Some(tenants) = &self.tenants else {
            return Ok(Sender::Untracked);
        };
        let sender = tenants.identify(&head.credential, route.allow_anonymous);
        let sender = sender.map_err(|_| AdmissionError::UnknownKey)?;
        let is_unconfirmed = self
            .config
            .max_key_age
            .is_some_and(|max_age| now.since(self.confirmed_at) > max_age);
        if sender.tenant().is_some() && is_unconfirmed {
            return Err(AdmissionError::KeyUnconfirmed);
        }
        Ok(sender)
    }

    /// Records that the configuration was the newest one at this time.
    pub fn confirm_configuration(&mut self, at: Time) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Whether a new request needs a permit from the quota of its tenant.
    fn quota_state(&mut self, now: Time, sender: &Sender) -> QuotaState {
        let Some(tenant) = sender.tenant() else {
            return QuotaState::Settled;
        };
        let tenant = TenantHash::of(&tenant.name);
        if self.config.enforces_quotas && self.quotas.record_arrival(now, tenant) {
            QuotaState::Needed(tenant)
        } else {
            QuotaState::Settled
        }
    }

    /// Whether a client seems to be retrying: it has less time left than clients of that route
    /// have at first.
    fn detect_client_retry(&mut self, route: &Route, client_timeout: Duration) -> bool {
        let longest = self
            .max_client_timeouts
            .entry(route.name.clone())
            .or_default();
        *longest = (*longest).max(client_timeout);
        client_timeout.as_secs_f64() < longest.as_secs_f64() * CLIENT_RETRY_RATIO
    }

    /// Selects the backend of a route for the next request by smooth weighted round-robin.
    fn choose_backend(&mut self, route: &Route) -> ServiceName {
        if let [backend] = route.backends.as_slice() {
            return backend.service.clone();
        }
        let version = self.version;
        let credits = self.backend_credits.entry(route.name.clone()).or_default();
        if credits.version != version || credits.credit.len() != route.backends.len() {
            *credits = BackendCredits {
                version,
                credit: vec![0; route.backends.len()],
            };
        }
        let total: i64 = route.backends.iter().map(|b| i64::from(b.weight)).sum();
        let mut best = 0;
        for (index, WeightedBackend { weight, .. }) in route.backends.iter().enumerate() {
            credits.credit[index] += i64::from(*weight);
            if credits.credit[index] > credits.credit[best] {
                best = index;
            }
        }
        credits.credit[best] -= total;
        route.backends[best].service.clone()
    }
}

/// The service of each registered upstream.
fn services_of(directory: &Directory) -> HashMap<UpstreamHash, ServiceIndex> {
    let mut indices: HashMap<&ServiceName, ServiceIndex> = HashMap::new();
    let registrations = directory.iter();
    let services = registrations.map(|registration| {
        let next = ServiceIndex(indices.len() as u16);
        let record = &registration.record;
        let index = *indices.entry(&record.service).or_insert(next);
        (UpstreamHash::of(&record.id), index)
    });
    services.collect()
}
