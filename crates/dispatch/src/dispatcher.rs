//! The decisions.

use crate::budget::{BudgetConfig, RetryBudget};
use crate::occupancy::Occupancy;
use crate::report::{Answers, InFlight, KeyLoad, KeyReport, LoadReport, NodeHash, UpstreamHash};
use crate::request::{
    Admission, AssignmentNumber, AttemptOutcome, Conclusion, Decision, Ending, Forward,
    RefusalReason, RequestHead, Ticket, UnknownCause, Untouched,
};
use crate::speed::{SpeedRecord, SpeedTable};
use beamtray_catalog::{Configuration, Directory, Registration, Route, RouteTable, UpstreamId};
use beamtray_catalog::{UpstreamState, WeightedBackend};
use beamtray_sharding::{AssignmentRecord, ShardKey, SliceState};
use beamtray_types::{ServiceName, Time, Zone};
use std::collections::{BTreeMap, HashMap};
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
    /// Whether what may not be repeated is sent again only on proof that it
    /// has not run. Only a test that shows why turns it off.
    pub proves_before_repeat: bool,
}

/// Part of a route's target latency that a request may wait here.
const WAIT_SHARE: u32 = 5;
/// Part of the time left that likely work may take.
const TARGET_SHARE: f64 = 0.85;
/// Part of a route's target latency that its work takes while nothing is
/// learned.
const UNKNOWN_WORK_SHARE: f64 = 0.33;
/// How much slower an upstream is that has just started.
const WARMING_SLOWNESS: f64 = 2.0;
/// A client that waits less than this part of the longest wait seen on its
/// route has been here before.
const RETURNED_SHARE: f64 = 0.93;
/// Time kept back from a deadline for the answer's way.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// Pause before a holder that denied a key is asked again under the same
/// assignment.
const DENIED_PAUSE: Duration = Duration::from_millis(120);
/// Pause before an upstream that said it is full is asked again.
const FULL_PAUSE: Duration = Duration::from_millis(30);
/// First pause after a failure; doubles with each further one.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after failures.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// Least time to come back in.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(120);
/// Spread of the time to come back in.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(200);

#[derive(Clone, Debug)]
struct Attempt {
    upstream: UpstreamId,
    hash: UpstreamHash,
    sent: Time,
    /// Whether the upstream had a free slot then, as far as known.
    unqueued: bool,
}

#[derive(Clone, Debug)]
struct Request {
    route: Rc<Route>,
    service: ServiceName,
    key: Option<ShardKey>,
    arrived: Time,
    deadline: Time,
    /// Latest sending, once it has been told to wait.
    wait_until: Time,
    /// Earliest next attempt.
    not_before: Time,
    arrivals: u32,
    tried: Vec<UpstreamId>,
    attempt: Option<Attempt>,
    unknown: Option<UnknownCause>,
    /// Whether its client seems to have been refused before.
    returned: bool,
    /// The holder that denied the key, and the assignment that named it.
    denied: Option<Denial>,
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

/// Decides for all requests of one node.
pub struct Dispatcher {
    config: DispatchConfig,
    configured: bool,
    routes: RouteTable,
    divided: HashMap<ServiceName, bool>,
    assignments: BTreeMap<ServiceName, Rc<AssignmentRecord>>,
    requests: HashMap<Ticket, Request>,
    waiting: Vec<Ticket>,
    shares: HashMap<String, Shares>,
    /// Longest time that clients of each route begin with.
    patience: HashMap<String, Duration>,
    version: u64,
    budgets: HashMap<ServiceName, RetryBudget>,
    health: HashMap<UpstreamId, Health>,
    draining_since: HashMap<UpstreamId, Time>,
    occupancy: Occupancy,
    speeds: SpeedTable,
    key_loads: HashMap<ServiceName, HashMap<ShardKey, u16>>,
    nodes: usize,
    sequence: u32,
    random: u64,
}

impl Dispatcher {
    /// A dispatcher that knows no configuration yet.
    pub fn new(config: DispatchConfig) -> Self {
        let random = config.run | 1;
        Self {
            config,
            configured: false,
            routes: RouteTable::default(),
            divided: HashMap::new(),
            assignments: BTreeMap::new(),
            requests: HashMap::new(),
            waiting: Vec::new(),
            shares: HashMap::new(),
            patience: HashMap::new(),
            version: 0,
            budgets: HashMap::new(),
            health: HashMap::new(),
            draining_since: HashMap::new(),
            occupancy: Occupancy::default(),
            speeds: SpeedTable::default(),
            key_loads: HashMap::new(),
            nodes: 1,
            sequence: 0,
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
            .map(|service| (service.name.clone(), service.divided))
            .collect();
    }

    /// Takes the newest assignment of a divided service.
    pub fn assign(&mut self, service: ServiceName, record: Rc<AssignmentRecord>) {
        self.assignments.insert(service, record);
    }

    /// States how many nodes share the retry allowance.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Follows the directory: forgets who is gone, notes who begins to leave.
    pub fn follow(&mut self, now: Time, directory: &Directory) {
        self.health.retain(|id, _| directory.get(id).is_some());
        self.draining_since
            .retain(|id, _| directory.get(id).is_some());
        let known: std::collections::HashSet<UpstreamHash> = directory
            .iter()
            .map(|registration| UpstreamHash::of(&registration.record.id))
            .collect();
        self.speeds.retain(|hash| known.contains(&hash));
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
                arrived: now,
                deadline,
                wait_until: now + wait,
                not_before: now,
                arrivals: 0,
                tried: Vec::new(),
                attempt: None,
                unknown: None,
                returned,
                denied: None,
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

    /// Decisions that are due.
    pub fn poll(&mut self, now: Time, directory: &Directory) -> Vec<Decision> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let mut order = std::mem::take(&mut self.waiting);
        order.sort_by_key(|ticket| {
            let request = self.requests.get(ticket);
            request.map(|request| (request.route.priority, request.arrived))
        });
        let mut decisions = Vec::new();
        for ticket in order {
            let Some(mut request) = self.requests.remove(&ticket) else {
                continue;
            };
            match self.decide(now, directory, &mut request) {
                Some(Ok(forward)) => {
                    self.requests.insert(ticket, request);
                    decisions.push(Decision::Forward(ticket, forward));
                }
                Some(Err(ending)) => decisions.push(Decision::Conclude(ticket, ending)),
                None => {
                    self.requests.insert(ticket, request);
                    self.waiting.push(ticket);
                }
            }
        }
        decisions
    }

    fn decide(
        &mut self,
        now: Time,
        directory: &Directory,
        request: &mut Request,
    ) -> Option<Result<Forward, Ending>> {
        if now >= request.deadline {
            return Some(Err(self.conclude(now, request, RefusalReason::TimeUp)));
        }
        let wanted = if now < request.not_before {
            Err(RefusalReason::Busy)
        } else {
            self.choose(now, directory, request)
        };
        match wanted {
            Ok(registration) => Some(Ok(self.forward(now, request, registration))),
            Err(reason) if now >= request.wait_until => {
                Some(Err(self.conclude(now, request, reason)))
            }
            Err(_) => None,
        }
    }

    fn conclude(&mut self, now: Time, request: &Request, reason: RefusalReason) -> Ending {
        let conclusion = match request.unknown {
            Some(cause) => Conclusion::Unknown(cause),
            None => Conclusion::Refused {
                reason,
                retry_after: self.retry_after(),
            },
        };
        Ending {
            conclusion,
            route: request.route.name.clone(),
            service: request.service.clone(),
            key: request.key,
            assignment: self.assignment(request),
            arrivals: request.arrivals,
            age: now.since(request.arrived),
            left: request.deadline.since(now),
        }
    }

    fn retry_after(&mut self) -> Duration {
        let spread = RETRY_AFTER_SPREAD.as_micros() as u64;
        LEAST_RETRY_AFTER + Duration::from_micros(self.draw() % spread)
    }

    /// A pseudo-random number (xorshift).
    fn draw(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    fn choose<'a>(
        &mut self,
        now: Time,
        directory: &'a Directory,
        request: &Request,
    ) -> Result<&'a Registration, RefusalReason> {
        match request.key {
            Some(key) => self.choose_holder(now, directory, request, key),
            None => self.choose_any(now, directory, request),
        }
    }

    fn choose_holder<'a>(
        &self,
        now: Time,
        directory: &'a Directory,
        request: &Request,
        key: ShardKey,
    ) -> Result<&'a Registration, RefusalReason> {
        let slice = self
            .assignments
            .get(&request.service)
            .and_then(|record| record.slice(key));
        let Some(SliceState::Held { holder, .. }) = slice.map(|slice| &slice.state) else {
            return Err(RefusalReason::KeyUnheld);
        };
        let registration = directory.get(holder).ok_or(RefusalReason::KeyUnheld)?;
        let left = self
            .draining_since
            .get(holder)
            .is_some_and(|since| now.since(*since) >= self.config.leaver_grace);
        if left {
            return Err(RefusalReason::KeyUnheld);
        }
        if self.is_denied(now, request, holder) {
            return Err(RefusalReason::KeyUnheld);
        }
        if self.is_paused(now, holder) {
            return Err(RefusalReason::Busy);
        }
        let hash = UpstreamHash::of(holder);
        let time = self.expected(now, request, registration, hash);
        let occupied = self.occupancy.total(hash);
        if occupied >= self.room(now, request, registration, time) {
            return Err(RefusalReason::Busy);
        }
        Ok(registration)
    }

    /// Whether the holder denied the key under the assignment in force.
    fn is_denied(&self, now: Time, request: &Request, holder: &UpstreamId) -> bool {
        request.denied.as_ref().is_some_and(|denial| {
            denial.holder == *holder
                && denial.assignment == self.assignment(request)
                && now < denial.until
        })
    }

    fn choose_any<'a>(
        &mut self,
        now: Time,
        directory: &'a Directory,
        request: &Request,
    ) -> Result<&'a Registration, RefusalReason> {
        let mut best: Option<(f64, &Registration)> = None;
        let mut any = false;
        let start = self.draw();
        for (index, registration) in directory.ready(&request.service).enumerate() {
            any = true;
            let record = &registration.record;
            if self.is_paused(now, &record.id) || request.tried.contains(&record.id) {
                continue;
            }
            let hash = UpstreamHash::of(&record.id);
            let occupied = self.occupancy.total(hash);
            let time = self.expected(now, request, registration, hash);
            if occupied >= self.room(now, request, registration, time) {
                continue;
            }
            let rounds = f64::from(occupied + 1) / f64::from(record.slots.max(1));
            let mut cost = time * rounds.max(1.0);
            if record.zone != self.config.zone {
                cost += self.config.zone_cost.as_secs_f64();
            }
            // Equal ones are told apart by chance, so that nodes differ.
            cost *= 1.0 + 0.02 * (((start >> (index % 32)) & 7) as f64 / 7.0);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, registration));
            }
        }
        match best {
            Some((_, registration)) => Ok(registration),
            None if any => Err(RefusalReason::Busy),
            None => Err(RefusalReason::NoUpstream),
        }
    }

    /// Seconds of work that a request is likely to be at an upstream.
    fn expected(
        &self,
        now: Time,
        request: &Request,
        registration: &Registration,
        hash: UpstreamHash,
    ) -> f64 {
        let mean = self
            .speeds
            .route_mean(&request.route.name)
            .unwrap_or(request.route.target_latency.as_secs_f64() * UNKNOWN_WORK_SHARE);
        let warming = if now < registration.warm_at {
            WARMING_SLOWNESS
        } else {
            1.0
        };
        mean * self.speeds.slowness(hash) * warming
    }

    /// Requests that an upstream may have before this one is sent there: as
    /// many as let it still be answered in time. One that has come back is to
    /// be answered at all.
    fn room(
        &self,
        now: Time,
        request: &Request,
        registration: &Registration,
        expected: f64,
    ) -> u32 {
        let slots = registration.record.slots.max(1);
        let target = request.arrived + request.route.target_latency;
        let end = if request.returned {
            target.max(request.deadline)
        } else {
            target
        };
        let left = end.min(request.deadline).since(now).as_secs_f64() * TARGET_SHARE;
        let rounds = ((left - expected) / expected.max(1e-3)).max(0.0);
        let queued = (rounds * f64::from(slots)) as u32;
        slots + queued.min(self.config.most_queued)
    }

    fn is_paused(&self, now: Time, id: &UpstreamId) -> bool {
        self.health
            .get(id)
            .is_some_and(|health| now < health.paused_until)
    }

    /// The assignment that a keyed request is sent by.
    fn assignment(&self, request: &Request) -> Option<AssignmentNumber> {
        request.key?;
        let record = self.assignments.get(&request.service)?;
        Some(AssignmentNumber {
            epoch: record.epoch.0,
            sequence: record.sequence,
        })
    }

    fn forward(
        &mut self,
        now: Time,
        request: &mut Request,
        registration: &Registration,
    ) -> Forward {
        let record = &registration.record;
        let hash = UpstreamHash::of(&record.id);
        let occupied = self.occupancy.total(hash);
        self.occupancy.begin(hash);
        if request.arrivals > 0 {
            let budget = self.budgets.entry(request.service.clone()).or_default();
            budget.repeat(&self.config.budget, now);
        }
        request.arrivals += 1;
        request.attempt = Some(Attempt {
            upstream: record.id.clone(),
            hash,
            sent: now,
            unqueued: occupied < record.slots && now >= registration.warm_at,
        });
        Forward {
            upstream: record.id.clone(),
            address: record.address,
            service: request.service.clone(),
            key: request.key,
            assignment: self.assignment(request),
            attempt: request.arrivals,
            deadline: request.deadline,
            route: request.route.clone(),
            occupied,
            waited: now.since(request.arrived),
        }
    }

    /// Takes the end of an attempt. A request that is to be tried again waits
    /// for the next poll; the conclusion of one that is not comes back.
    pub fn ended(&mut self, now: Time, ticket: Ticket, outcome: AttemptOutcome) -> Option<Ending> {
        let mut request = self.requests.remove(&ticket)?;
        let attempt = request.attempt.take()?;
        self.occupancy.end(attempt.hash);
        self.judge(now, &request, &attempt, outcome);
        match outcome {
            AttemptOutcome::Answered { .. } => return None,
            AttemptOutcome::Untouched(proof) => self.untouched(now, &mut request, &attempt, proof),
            AttemptOutcome::Unknown(cause) => {
                request.unknown = Some(cause);
                request.tried.push(attempt.upstream.clone());
            }
        }
        if !self.may_repeat(now, &request, outcome) {
            return Some(self.conclude(now, &request, RefusalReason::Refused));
        }
        self.requests.insert(ticket, request);
        self.waiting.push(ticket);
        None
    }

    /// Learns from an attempt how its upstream does.
    fn judge(&mut self, now: Time, request: &Request, attempt: &Attempt, outcome: AttemptOutcome) {
        let health = self.health.entry(attempt.upstream.clone()).or_default();
        match outcome {
            AttemptOutcome::Answered { success } => {
                health.failures = 0;
                if success && attempt.unqueued {
                    let seconds = now.since(attempt.sent).as_secs_f64();
                    self.speeds
                        .learn(attempt.hash, &request.route.name, seconds);
                    self.speeds.learn_service(&request.service, seconds);
                }
            }
            AttemptOutcome::Untouched(Untouched::Full) => {
                health.paused_until = now + FULL_PAUSE;
            }
            AttemptOutcome::Untouched(Untouched::Misdirected | Untouched::Unsent) => {}
            AttemptOutcome::Unknown(UnknownCause::WrongAnswer | UnknownCause::BrokenOff) => {}
            AttemptOutcome::Untouched(Untouched::Unconnected | Untouched::ConnectionRefused)
            | AttemptOutcome::Unknown(UnknownCause::TimedOut) => {
                let pause = FAILURE_PAUSE * 2u32.saturating_pow(health.failures.min(6));
                health.failures += 1;
                health.paused_until = now + pause.min(LONGEST_PAUSE);
            }
        }
    }

    fn untouched(&self, now: Time, request: &mut Request, attempt: &Attempt, proof: Untouched) {
        match proof {
            Untouched::Unconnected | Untouched::ConnectionRefused | Untouched::Unsent => {
                // It never arrived, so it costs no budget.
                request.arrivals -= 1;
            }
            Untouched::Full => request.not_before = now + FULL_PAUSE,
            Untouched::Misdirected if request.key.is_some() => {
                request.denied = Some(Denial {
                    holder: attempt.upstream.clone(),
                    assignment: self.assignment(request),
                    until: now + DENIED_PAUSE,
                });
            }
            Untouched::Misdirected => {}
        }
        if request.key.is_none() {
            request.tried.push(attempt.upstream.clone());
        }
        let half = request.route.target_latency / 2;
        request.wait_until = request.wait_until.max(now + half).min(request.deadline);
    }

    fn may_repeat(&mut self, now: Time, request: &Request, outcome: AttemptOutcome) -> bool {
        let proved = matches!(outcome, AttemptOutcome::Untouched(_)) && request.unknown.is_none();
        let must_prove = self.config.proves_before_repeat && !request.route.repeatable;
        if !proved && must_prove {
            return false;
        }
        if request.arrivals >= request.route.max_attempts || now >= request.deadline {
            return false;
        }
        if request.arrivals == 0 {
            return true;
        }
        let nodes = self.nodes.max(self.occupancy.peer_count() + 1);
        let budget = self.budgets.entry(request.service.clone()).or_default();
        budget.allows(&self.config.budget, now, nodes)
    }

    /// Forgets a request whose client left; whether an attempt is under way.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(request) = self.requests.remove(&ticket) else {
            return false;
        };
        self.waiting.retain(|waiting| *waiting != ticket);
        match request.attempt {
            Some(attempt) => {
                self.occupancy.end(attempt.hash);
                true
            }
            None => false,
        }
    }

    /// When the next decision is due if nothing else happens.
    pub fn next_due(&self) -> Option<Time> {
        self.waiting
            .iter()
            .filter_map(|ticket| self.requests.get(ticket))
            .map(|request| {
                let due = request.wait_until.min(request.deadline);
                let again = request.denied.as_ref().map(|denial| denial.until);
                let resumes = again.unwrap_or_default().max(request.not_before);
                if resumes > request.arrived {
                    due.min(resumes)
                } else {
                    due
                }
            })
            .min()
    }

    /// Takes another node's report.
    pub fn report(&mut self, now: Time, report: &LoadReport) {
        self.occupancy.report(now, report);
        for answers in &report.answers {
            let count = f64::from(answers.samples);
            self.speeds
                .add(answers.upstream, count, f64::from(answers.sum));
        }
    }

    /// Forgets peers that fell silent.
    pub fn expire(&mut self, now: Time) {
        self.occupancy.expire(now);
    }

    /// This node's requests under way, for other nodes. `answers` tells them
    /// also of the answers since the last such report.
    pub fn load_report(&mut self, answers: Vec<Answers>) -> LoadReport {
        self.sequence += 1;
        let own = self.occupancy.own_all();
        LoadReport {
            node: NodeHash::of(&self.config.node),
            run: self.config.run as u32,
            sequence: self.sequence,
            in_flight: own
                .map(|(upstream, requests)| InFlight {
                    upstream,
                    requests: requests.min(u16::from(u8::MAX)) as u8,
                })
                .collect(),
            answers,
        }
    }

    /// Answers that other nodes were not told of.
    pub fn take_answers(&mut self) -> Vec<Answers> {
        let untold = self.speeds.take_untold().into_iter();
        untold
            .map(|(upstream, untold)| Answers {
                upstream,
                samples: untold.count.min(u32::from(u8::MAX)) as u8,
                sum: untold.sum as f32,
            })
            .collect()
    }

    /// This node's requests by key since the last such report.
    pub fn key_report(&mut self) -> KeyReport {
        let mut report = KeyReport::default();
        for (service, loads) in self.key_loads.drain() {
            let index = report.services.len() as u8;
            report.services.push(service);
            report
                .keys
                .extend(loads.into_iter().map(|(key, requests)| KeyLoad {
                    service: index,
                    key,
                    requests,
                }));
        }
        report
    }

    /// Takes speeds that an earlier process learned.
    pub fn adopt_speeds(&mut self, record: &SpeedRecord) {
        self.speeds.adopt(record);
    }

    /// Learned speeds.
    pub fn speeds(&self) -> &SpeedTable {
        &self.speeds
    }

    /// Requests under way over all nodes.
    pub fn occupancy(&self) -> &Occupancy {
        &self.occupancy
    }

    /// Requests that wait here, and all that are not answered yet.
    pub fn counts(&self) -> (usize, usize) {
        (self.waiting.len(), self.requests.len())
    }
}
