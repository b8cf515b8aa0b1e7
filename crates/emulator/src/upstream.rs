//! An emulator of an upstream that may own keys.

use beamtray_catalog::{UpstreamId, UpstreamRecord, UpstreamState};
use beamtray_sharding::{
    FencingToken, GrantOrder, GrantReply, Handover, KeyRange, OrderKind, ShardKey,
};
use beamtray_types::{ServiceName, Time, Zone};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// What an upstream does with a request that exceeds its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FullPolicy {
    /// Rejects the request.
    Shed,
    /// Never answers the request.
    Hang,
}

/// Configuration of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamConfig {
    /// Id of the incarnation.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Zone that it runs in.
    pub zone: Zone,
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot.
    pub queue: usize,
    /// Whether it runs only requests whose key it owns.
    pub is_sharded: bool,
    /// What it does with requests beyond the queue.
    pub full: FullPolicy,
    /// Service time in percent of the request's nominal work.
    pub slowness_percent: u32,
}

/// Identifies one execution of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(pub u64);

/// An incoming request.
#[derive(Clone, Debug)]
pub struct WorkRequest {
    /// Request id.
    pub id: String,
    /// Shard key, if the request has one.
    pub key: Option<ShardKey>,
    /// Incarnation that the request is addressed to.
    pub target: UpstreamId,
    /// Service time at an upstream whose slowness is 100 percent.
    pub work: Duration,
}

/// A request that is being executed.
#[derive(Clone, Debug)]
pub struct Run {
    /// Identifies the execution.
    pub id: RunId,
    /// The request being executed.
    pub request: WorkRequest,
    /// When the execution completes.
    pub ends: Time,
}

/// Outcome of submitting a request.
#[derive(Clone, Debug)]
pub enum Arrival {
    /// Execution has started.
    Runs(Run),
    /// The request waits for a slot.
    Queued,
    /// The upstream is full and rejected the request without running it.
    Full,
    /// The request is addressed to another incarnation, or its key is not owned here; it was
    /// not run.
    Misdirected,
    /// The request never gets an answer.
    Hangs,
}

/// A grant that the upstream has accepted, as invariant checkers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedGrant {
    /// Keys that the grant covers.
    pub range: KeyRange,
    /// Fencing token of the grant.
    pub token: FencingToken,
    /// When the grant was first accepted.
    pub since: Time,
    /// When the grant expires.
    pub ends: Time,
    /// How the latest order for it was delivered.
    pub delivery: Delivery,
}

/// How an order was delivered to an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Delivery {
    /// Long after it was sent: delayed in the network, or left unprocessed by the upstream.
    pub is_late: bool,
    /// Shortly after its sender resumed or the network path recovered.
    pub is_after_recovery: bool,
}

/// An emulated upstream.
#[derive(Clone, Debug)]
pub struct UpstreamEmulator {
    /// Configuration, fixed for the life of the upstream.
    pub config: UpstreamConfig,
    /// State that it reports in its registration.
    pub state: UpstreamState,
    grants: Vec<AcceptedGrant>,
    /// Grants that were released while requests for their keys were still running.
    released_in_use: Vec<AcceptedGrant>,
    min_tokens: Vec<u64>,
    running: Vec<Run>,
    queue: VecDeque<WorkRequest>,
    next_run: u64,
    /// Releases that wait for running requests to complete.
    releases: Vec<(KeyRange, u64)>,
}

impl UpstreamEmulator {
    /// Creates an upstream without grants.
    pub fn new(config: UpstreamConfig) -> Self {
        Self {
            config,
            state: UpstreamState::Ready,
            grants: Vec::new(),
            released_in_use: Vec::new(),
            min_tokens: vec![0; KeyRange::ALL.len() as usize],
            running: Vec::new(),
            queue: VecDeque::new(),
            next_run: 0,
            releases: Vec::new(),
        }
    }

    /// Returns the registration record.
    pub fn record(&self) -> UpstreamRecord {
        UpstreamRecord {
            id: self.config.id.clone(),
            service: self.config.service.clone(),
            address: self.config.address,
            zone: self.config.zone.clone(),
            slots: self.config.slots as u32,
            state: self.state,
            warm_up_left: Duration::ZERO,
        }
    }

    /// Returns the unexpired grant that covers `key`.
    pub fn grant(&self, now: Time, key: ShardKey) -> Option<&AcceptedGrant> {
        self.grants
            .iter()
            .find(|grant| grant.range.contains(key) && now < grant.ends)
    }

    /// Returns the unexpired grants.
    pub fn grants(&self, now: Time) -> impl Iterator<Item = &AcceptedGrant> {
        self.grants.iter().filter(move |grant| now < grant.ends)
    }

    /// Handles an order that arrives promptly. Returns `None` for a release that has to wait
    /// for running requests; its completion is reported by
    /// [`UpstreamEmulator::take_completed_releases`].
    pub fn order(&mut self, now: Time, order: &GrantOrder) -> Option<GrantReply> {
        self.deliver_order(now, order, Delivery::default())
    }

    /// Handles an order that was delivered as `delivery` says.
    pub fn deliver_order(
        &mut self,
        now: Time,
        order: &GrantOrder,
        delivery: Delivery,
    ) -> Option<GrantReply> {
        if order.holder.name != self.config.id.name {
            return Some(GrantReply::Replaced);
        }
        match &order.kind {
            OrderKind::Grant { hold, .. } => Some(self.accept_grant(now, order, *hold, delivery)),
            OrderKind::Release => self.release(order),
        }
    }

    fn min_tokens_of(&mut self, range: KeyRange) -> &mut [u64] {
        &mut self.min_tokens[usize::from(range.first.0)..=usize::from(range.last.0)]
    }

    fn accept_grant(
        &mut self,
        now: Time,
        order: &GrantOrder,
        hold: Duration,
        delivery: Delivery,
    ) -> GrantReply {
        let token = order.token.0;
        if self
            .min_tokens_of(order.range)
            .iter()
            .any(|min_token| *min_token > token)
        {
            return GrantReply::Outdated;
        }
        self.min_tokens_of(order.range).fill(token);
        let current = self.grant(now, order.range.first);
        // A grant that arrived just after a recovery counts as held only from its renewal.
        let restarts_hold = |grant: &&AcceptedGrant| {
            grant.delivery.is_after_recovery && !delivery.is_after_recovery
        };
        let since = current
            .filter(|grant| !restarts_hold(grant))
            .map_or(now, |grant| grant.since);
        // A grant never shortens the current hold.
        let ends = current.map_or(now, |grant| grant.ends).max(now + hold);
        self.remove_range(order.range);
        self.grants.push(AcceptedGrant {
            range: order.range,
            token: order.token,
            since,
            ends,
            delivery,
        });
        GrantReply::Granted
    }

    /// Removes `range` from all grants, splitting those that it overlaps in part.
    fn remove_range(&mut self, range: KeyRange) {
        let mut rest = Vec::new();
        for grant in self.grants.drain(..) {
            if !grant.range.overlaps(range) {
                rest.push(grant);
                continue;
            }
            if grant.range.first < range.first {
                let last = ShardKey(range.first.0 - 1);
                let range = KeyRange {
                    last,
                    ..grant.range
                };
                rest.push(AcceptedGrant { range, ..grant });
            }
            if grant.range.last > range.last {
                let first = ShardKey(range.last.0 + 1);
                let range = KeyRange {
                    first,
                    ..grant.range
                };
                rest.push(AcceptedGrant { range, ..grant });
            }
        }
        self.grants = rest;
    }

    fn release(&mut self, order: &GrantOrder) -> Option<GrantReply> {
        let token = order.token.0;
        for min_token in self.min_tokens_of(order.range) {
            *min_token = (*min_token).max(token);
        }
        let has_running_work = self.has_running_work(order.range);
        if has_running_work {
            let of_range = |grant: &&AcceptedGrant| grant.range.overlaps(order.range);
            self.released_in_use
                .extend(self.grants.iter().filter(of_range));
        }
        self.remove_range(order.range);
        if has_running_work {
            self.releases.push((order.range, order.call.0));
            return None;
        }
        Some(GrantReply::Released(Some(Handover(
            order.range.to_string(),
        ))))
    }

    fn has_running_work(&self, range: KeyRange) -> bool {
        let mut keys = self.running.iter().filter_map(|run| run.request.key);
        keys.any(|key| range.contains(key))
    }

    /// Whether a request for a key in `range` is running under a lease that has not expired, or
    /// that would not have expired had the key not been released.
    pub fn is_working_under_lease(&self, now: Time, range: KeyRange) -> bool {
        let leases = || {
            let all = self.grants.iter().chain(&self.released_in_use);
            all.filter(|one| !one.delivery.is_late)
        };
        let is_leased = |key| leases().any(|one| one.range.contains(key) && now < one.ends);
        let mut keys = self.running.iter().filter_map(|run| run.request.key);
        keys.any(|key| range.contains(key) && is_leased(key))
    }

    /// Removes and returns the call ids of releases that were waiting and are now complete.
    pub fn take_completed_releases(&mut self) -> Vec<u64> {
        let releases = std::mem::take(&mut self.releases);
        let (waiting, done): (Vec<_>, Vec<_>) = releases
            .into_iter()
            .partition(|(range, _)| self.has_running_work(*range));
        self.releases = waiting;
        if self.releases.is_empty() {
            self.released_in_use.clear();
        }
        done.into_iter().map(|(_, call)| call).collect()
    }

    /// Submits a request.
    pub fn arrive(&mut self, now: Time, request: WorkRequest) -> Arrival {
        if request.target.name != self.config.id.name || !self.can_run(now, &request) {
            return Arrival::Misdirected;
        }
        if self.running.len() < self.config.slots {
            return Arrival::Runs(self.start_run(now, request));
        }
        if self.queue.len() < self.config.queue {
            self.queue.push_back(request);
            return Arrival::Queued;
        }
        match self.config.full {
            FullPolicy::Shed => Arrival::Full,
            FullPolicy::Hang => Arrival::Hangs,
        }
    }

    fn can_run(&self, now: Time, request: &WorkRequest) -> bool {
        if !self.config.is_sharded {
            return true;
        }
        request
            .key
            .is_some_and(|key| self.grant(now, key).is_some())
    }

    fn start_run(&mut self, now: Time, request: WorkRequest) -> Run {
        let id = RunId(self.next_run);
        self.next_run += 1;
        let work = request.work * self.config.slowness_percent / 100;
        let run = Run {
            id,
            request,
            ends: now + work,
        };
        self.running.push(run.clone());
        run
    }

    /// Ends an execution and starts queued requests. Returns the ended request, the executions
    /// started, and the queued requests that are rejected as misdirected because their key is no
    /// longer owned here.
    pub fn end(
        &mut self,
        now: Time,
        run: RunId,
    ) -> (Option<WorkRequest>, Vec<Run>, Vec<WorkRequest>) {
        let index = self.running.iter().position(|other| other.id == run);
        let ended = index.map(|index| self.running.swap_remove(index).request);
        let mut started = Vec::new();
        let mut refused = Vec::new();
        while self.running.len() < self.config.slots {
            let Some(request) = self.queue.pop_front() else {
                break;
            };
            if self.can_run(now, &request) {
                started.push(self.start_run(now, request));
            } else {
                refused.push(request);
            }
        }
        (ended, started, refused)
    }

    /// Removes a queued request whose caller disconnected.
    pub fn drop_request(&mut self, id: &str) {
        self.queue.retain(|request| request.id != id);
    }

    /// Returns the number of running and queued requests.
    pub fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }
}
