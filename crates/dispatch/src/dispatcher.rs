//! The requests of one node and what is decided about them.

mod absences;
mod choice;
mod cold_starts;
mod decide;
mod faults;
mod limits;
mod outcome;
mod pools;
mod reports;
mod resting;
mod slots;

use crate::budget::{BudgetConfig, RetryBudget};
use crate::fingerprint::{Fingerprint, Fingerprints};
use crate::occupancy::Occupancy;
use crate::quarantine::{Quarantine, RunHash};
use crate::rate_limit::RateLimits;
use crate::report::{NodeHash, UpstreamHash};
use crate::request::{Admission, AssignmentNumber, RequestHead, Ticket, UnknownCause};
use crate::rests::Rests;
use crate::speed::SpeedTable;
use absences::Absences;
use beamtray_catalog::{ColdStart, UpstreamState, WeightedBackend};
use beamtray_catalog::{Configuration, Directory, Route, RouteTable, UpstreamId};
use beamtray_sharding::{Assignment, ShardKey};
use beamtray_types::{ServiceName, Time, Zone};
pub use cold_starts::ColdStartBound;
use cold_starts::ColdStarts;
use faults::Faults;
use pools::Pools;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
pub use slots::{SlotCounts, SlotReply, SlotRequest};
use slots::{SlotState, SlotTracker};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Fixed values of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// This node's name, in reports.
    pub node: String,
    /// This node's run.
    pub run: u64,
    /// This node's zone.
    pub zone: Zone,
    /// Bound on repeats.
    pub budget: BudgetConfig,
    /// Most requests that wait here.
    pub queue_limit: usize,
    /// Most requests beyond its slots that an upstream is sent: it may answer
    /// nothing to what it can't queue.
    pub most_queued: u32,
    /// What another zone costs, as time.
    pub zone_cost: Duration,
    /// How long a leaving holder of keys still gets requests.
    pub leaver_grace: Duration,
    /// How long a holder of keys in a zone that is evacuated still gets requests: its keys
    /// go to others meanwhile.
    pub evacuation_grace: Duration,
    /// What a cold upstream may be sent.
    pub cold_start: ColdStartBound,
    /// Whether requests to upstreams that name a rate need permits. Only a test that shows
    /// why turns it off.
    pub keeps_named_rates: bool,
    /// Whether nothing is sent to upstreams that asked for rest. Only a test that shows why
    /// turns it off.
    pub keeps_rests: bool,
    /// Whether what may not be repeated is sent again only on proof that it
    /// has not run. Only a test that shows why turns it off.
    pub proves_before_repeat: bool,
}

/// Part of a route's target latency that a request may wait here.
const WAIT_SHARE: u32 = 5;
/// A client that waits less than this part of the longest wait seen on its
/// route has been here before.
const RETURNED_SHARE: f64 = 0.93;
/// Time kept back from a deadline for the answer's way.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
#[derive(Clone, Debug)]
struct Attempt {
    upstream: UpstreamId,
    address: SocketAddr,
    hash: UpstreamHash,
    sent: Time,
    /// Rounds of its slots up to its end, as far as known: one if there was a free slot.
    rounds: f64,
    /// Whether the upstream was warm then.
    is_warm: bool,
    run: RunHash,
    /// The fingerprint of whose permit it was sent, if it needed one.
    permit: Option<Fingerprint>,
}

#[derive(Clone, Debug)]
struct Request {
    route: Rc<Route>,
    service: ServiceName,
    key: Option<ShardKey>,
    fingerprints: Fingerprints,
    arrived: Time,
    deadline: Time,
    /// Latest sending, once it has been told to wait.
    wait_until: Time,
    /// Earliest next attempt.
    not_before: Time,
    arrivals: u32,
    tried: Vec<UpstreamHash>,
    slot: SlotState,
    attempt: Option<Attempt>,
    unknown: Option<UnknownCause>,
    /// Whether its client seems to have been refused before.
    returned: bool,
    /// The holder that denied the key, and the assignment that named it.
    denied: Option<Denial>,
    /// Whose rate it last waited for.
    limited_by: Option<LimitWait>,
    /// When the upstreams that could take it have rested, the first of them.
    rests_until: Option<Time>,
}

/// A request waits for a permit to be sent to an upstream that names a rate.
#[derive(Clone, Copy, Debug)]
struct LimitWait {
    upstream: UpstreamHash,
    /// When there may be one; none while a lender's answer is waited for.
    until: Option<Time>,
}

/// A holder said that it does not hold a key.
#[derive(Clone, Debug)]
struct Denial {
    holder: UpstreamId,
    assignment: Option<AssignmentNumber>,
    /// After this it is asked again all the same: it may have got the key.
    until: Time,
}

#[derive(Clone, Copy, Debug, Default)]
struct Health {
    failures: u32,
    paused_until: Time,
}

#[derive(Clone, Debug, Default)]
struct Shares {
    version: u64,
    credit: Vec<i64>,
}

/// An upstream to which a connection broke off or fell silent: it may have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DoubtedUpstream {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Decides for all requests of one node.
pub struct Dispatcher {
    config: DispatchConfig,
    configured: bool,
    routes: RouteTable,
    divided: HashMap<ServiceName, bool>,
    /// What cold upstreams of each service take, where that is bounded.
    cold_rates: HashMap<ServiceName, ColdStart>,
    cold_starts: ColdStarts,
    assignments: BTreeMap<ServiceName, Rc<Assignment>>,
    absences: Absences,
    requests: HashMap<Ticket, Request>,
    waiting: Vec<Ticket>,
    shares: HashMap<String, Shares>,
    /// Longest time that clients of each route begin with.
    patience: HashMap<String, Duration>,
    version: u64,
    budgets: HashMap<ServiceName, RetryBudget>,
    health: HashMap<UpstreamHash, Health>,
    pools: Pools,
    /// State of the directory that was followed last.
    followed: Option<u64>,
    draining_since: HashMap<UpstreamId, Time>,
    occupancy: Occupancy,
    slots: SlotTracker,
    faults: Faults,
    speeds: SpeedTable,
    quarantine: Quarantine,
    /// Upstreams to which connections broke off, and where they listen.
    doubted: Vec<DoubtedUpstream>,
    /// When each upstream was last doubted.
    doubted_at: HashMap<UpstreamHash, Time>,
    /// When each upstream last answered a request of any node.
    heard: HashMap<UpstreamHash, Time>,
    limits: RateLimits,
    rests: Rests,
    /// Upstreams that asked some node for rest: their keys are better held by others.
    rests_of_any: Rests,
    key_loads: HashMap<ServiceName, HashMap<ShardKey, u16>>,
    nodes: usize,
    sequence: u32,
    /// Attempts that were begun.
    attempts: u32,
    random: ChaCha8Rng,
}

impl Dispatcher {
    /// A dispatcher that knows no configuration yet.
    pub fn new(config: DispatchConfig) -> Self {
        let random = ChaCha8Rng::seed_from_u64(config.run);
        let own = NodeHash::of(&config.node);
        let cold_starts = ColdStarts::new(own, config.cold_start);
        Self {
            config,
            configured: false,
            routes: RouteTable::default(),
            divided: HashMap::new(),
            cold_rates: HashMap::new(),
            cold_starts,
            assignments: BTreeMap::new(),
            absences: Absences::default(),
            requests: HashMap::new(),
            waiting: Vec::new(),
            shares: HashMap::new(),
            patience: HashMap::new(),
            version: 0,
            budgets: HashMap::new(),
            health: HashMap::new(),
            pools: Pools::default(),
            followed: None,
            draining_since: HashMap::new(),
            occupancy: Occupancy::default(),
            slots: SlotTracker::default(),
            faults: Faults::default(),
            speeds: SpeedTable::default(),
            quarantine: Quarantine::numbered_from(random.clone().random()),
            doubted: Vec::new(),
            doubted_at: HashMap::new(),
            heard: HashMap::new(),
            limits: RateLimits::new(own, random.clone().random()),
            rests: Rests::default(),
            rests_of_any: Rests::default(),
            key_loads: HashMap::new(),
            nodes: 1,
            sequence: 0,
            attempts: 0,
            random,
        }
    }

    /// Puts a configuration in force.
    pub fn configure(&mut self, configuration: &Configuration) {
        self.configured = true;
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

    /// Puts other bounds in force: of repeats, and of leavers.
    pub fn set_bounds(&mut self, config: &DispatchConfig) {
        self.config.budget = config.budget;
        self.config.leaver_grace = config.leaver_grace;
        self.config.evacuation_grace = config.evacuation_grace;
        self.cold_starts.set_bound(config.cold_start);
    }

    /// Takes the newest assignment of a divided service.
    pub fn assign(&mut self, now: Time, service: ServiceName, assignment: Rc<Assignment>) {
        self.absences.follow(now, &service, &assignment);
        self.assignments.insert(service, assignment);
    }

    /// States which nodes there are, this one included if it is registered.
    pub fn set_members(&mut self, now: Time, members: Vec<NodeHash>) {
        self.limits.set_nodes(now, &members);
        self.cold_starts.set_nodes(now, members);
    }

    /// States how many nodes share the retry allowance.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Follows the directory: forgets who is gone, notes who begins to leave.
    pub fn follow(&mut self, now: Time, directory: &Directory) {
        if self.followed == Some(directory.change_count()) {
            return;
        }
        self.followed = Some(directory.change_count());
        self.draining_since
            .retain(|id, _| directory.get(id).is_some());
        let known: std::collections::HashSet<UpstreamHash> = directory
            .iter()
            .map(|registration| UpstreamHash::of(&registration.record.id))
            .collect();
        self.health.retain(|hash, _| known.contains(hash));
        self.speeds.retain(|hash| known.contains(&hash));
        self.heard.retain(|hash, _| known.contains(hash));
        self.doubted_at.retain(|hash, _| known.contains(hash));
        self.limits.retain(|hash| known.contains(&hash));
        for registration in directory.iter() {
            let record = &registration.record;
            if record.state == UpstreamState::Draining {
                self.draining_since.entry(record.id.clone()).or_insert(now);
            }
        }
    }

    /// Takes in a request. It is then decided on by [`Dispatcher::poll`].
    ///
    /// # Errors
    /// [`Admission`] when it can't be served at all.
    pub fn admit(
        &mut self,
        now: Time,
        ticket: Ticket,
        head: &RequestHead,
    ) -> Result<(), Admission> {
        if !self.configured {
            return Err(Admission::NoConfiguration);
        }
        let route = self.routes.find(&head.host, &head.path);
        let route = route.ok_or(Admission::NoRoute)?.clone();
        let service = self.choose_backend(&route);
        let divided = self.divided.get(&service).copied().unwrap_or_default();
        if divided && head.key.is_none() {
            return Err(Admission::NoKey);
        }
        if self.waiting.len() >= self.config.queue_limit {
            return Err(Admission::Overloaded);
        }
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.request(&self.config.budget, now);
        let key = head.key.filter(|_| divided);
        if let Some(key) = key {
            let loads = self.key_loads.entry(service.clone()).or_default();
            let count = loads.entry(key).or_default();
            *count = count.saturating_add(1);
        }
        let patience = head.patience.unwrap_or(route.timeout);
        let returned = self.has_returned(&route, patience);
        let time = patience.min(route.timeout);
        let deadline = now + time.saturating_sub(ANSWER_MARGIN);
        let wait = (route.target_latency / WAIT_SHARE).min(time / 3);
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
                unknown: None,
                returned,
                denied: None,
                limited_by: None,
                rests_until: None,
                route,
            },
        );
        self.waiting.push(ticket);
        Ok(())
    }

    /// Whether a client seems to have been here before: it has less time left
    /// than clients of that route begin with.
    fn has_returned(&mut self, route: &Route, patience: Duration) -> bool {
        let longest = self.patience.entry(route.name.clone()).or_default();
        *longest = (*longest).max(patience);
        patience.as_secs_f64() < longest.as_secs_f64() * RETURNED_SHARE
    }

    /// The service that gets the next request of a route: each in proportion
    /// to its weight, spread evenly.
    fn choose_backend(&mut self, route: &Route) -> ServiceName {
        if let [backend] = route.backends.as_slice() {
            return backend.service.clone();
        }
        let version = self.version;
        let shares = self.shares.entry(route.name.clone()).or_default();
        if shares.version != version || shares.credit.len() != route.backends.len() {
            *shares = Shares {
                version,
                credit: vec![0; route.backends.len()],
            };
        }
        let total: i64 = route.backends.iter().map(|b| i64::from(b.weight)).sum();
        let mut best = 0;
        for (index, WeightedBackend { weight, .. }) in route.backends.iter().enumerate() {
            shares.credit[index] += i64::from(*weight);
            if shares.credit[index] > shares.credit[best] {
                best = index;
            }
        }
        shares.credit[best] -= total;
        route.backends[best].service.clone()
    }
}
