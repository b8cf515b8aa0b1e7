//! An upstream that may hold keys.

use beamtray_catalog::{UpstreamId, UpstreamRecord, UpstreamState};
use beamtray_sharding::{
    FencingToken, GrantOrder, GrantReply, Handover, KeyRange, OrderKind, ShardKey,
};
use beamtray_types::{ServiceName, Time, Zone};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// What an upstream does with a request that it can't queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FullPolicy {
    /// It says so.
    Shed,
    /// It never answers.
    Hang,
}

/// Fixed values of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamConfig {
    /// Its incarnation.
    pub id: UpstreamId,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Requests that wait for a slot.
    pub queue: usize,
    /// Whether it runs only requests whose key it holds.
    pub is_sharded: bool,
    /// What it does with more.
    pub full: FullPolicy,
    /// Its time for a request, in percent of the request's work.
    pub slowness_percent: u32,
}

/// Tells one run of a request from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(pub u64);

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct WorkRequest {
    /// Its id.
    pub id: String,
    /// Its key, if it has one.
    pub key: Option<ShardKey>,
    /// Incarnation that is meant.
    pub target: UpstreamId,
    /// Its work at an upstream of ordinary speed.
    pub work: Duration,
}

/// A request at work.
#[derive(Clone, Debug)]
pub struct Run {
    /// Tells it from others.
    pub id: RunId,
    /// The request.
    pub request: WorkRequest,
    /// When it ends.
    pub ends: Time,
}

/// What becomes of a request that arrives.
#[derive(Clone, Debug)]
pub enum Arrival {
    /// It begins to run.
    Runs(Run),
    /// It waits for a slot.
    Queued,
    /// The upstream is full and says so; it has not run.
    Full,
    /// Another incarnation is meant, or the key is not held; it has not run.
    Misdirected,
    /// It never gets an answer.
    Hangs,
}

/// A grant in force, for checkers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedGrant {
    /// The keys.
    pub range: KeyRange,
    /// The token.
    pub token: FencingToken,
    /// When it was first taken.
    pub since: Time,
    /// When it runs out.
    pub ends: Time,
    /// How its newest order came.
    pub delivery: Delivery,
}

/// How an order came to an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Delivery {
    /// Long after it was sent: held up on its way, or left lying by the upstream.
    pub is_late: bool,
    /// Right after its sender ran again or its link was whole again.
    pub is_after_recovery: bool,
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct UpstreamEmulator {
    /// Its fixed values.
    pub config: UpstreamConfig,
    /// What it says of itself.
    pub state: UpstreamState,
    grants: Vec<AcceptedGrant>,
    /// Grants that were given back while work on their keys went on.
    released_in_use: Vec<AcceptedGrant>,
    min_tokens: Vec<u64>,
    running: Vec<Run>,
    queue: VecDeque<WorkRequest>,
    next_run: u64,
    /// Releases that wait for work to end.
    releases: Vec<(KeyRange, u64)>,
}

impl UpstreamEmulator {
    /// An upstream that holds nothing.
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

    /// Its registration.
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

    /// The grant under which it may run a request for a key.
    pub fn grant(&self, now: Time, key: ShardKey) -> Option<&AcceptedGrant> {
        self.grants
            .iter()
            .find(|grant| grant.range.contains(key) && now < grant.ends)
    }

    /// The grants in force.
    pub fn grants(&self, now: Time) -> impl Iterator<Item = &AcceptedGrant> {
        self.grants.iter().filter(move |grant| now < grant.ends)
    }

    /// Takes an order. A release that must wait for work is answered by
    /// [`UpstreamEmulator::take_completed_releases`].
    pub fn order(&mut self, now: Time, order: &GrantOrder) -> Option<GrantReply> {
        self.deliver_order(now, order, Delivery::default())
    }

    /// Takes an order that came in that way.
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
        // What came right after trouble is first taken when it is taken again.
        let restarts_hold = |grant: &&AcceptedGrant| {
            grant.delivery.is_after_recovery && !delivery.is_after_recovery
        };
        let since = current
            .filter(|grant| !restarts_hold(grant))
            .map_or(now, |grant| grant.since);
        // A shorter grant does not end a longer one that stands.
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

    /// Removes a range from all grants.
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

    /// Whether it is at work on a key of a range, under a lease that has not run out or
    /// would not have if the key had not been given back.
    pub fn is_working_under_lease(&self, now: Time, range: KeyRange) -> bool {
        let leases = || {
            let all = self.grants.iter().chain(&self.released_in_use);
            all.filter(|one| !one.delivery.is_late)
        };
        let is_leased = |key| leases().any(|one| one.range.contains(key) && now < one.ends);
        let mut keys = self.running.iter().filter_map(|run| run.request.key);
        keys.any(|key| range.contains(key) && is_leased(key))
    }

    /// Calls whose release has been waiting and is complete now.
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

    /// Takes a request.
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

    /// Ends a run and begins those that waited; queued requests whose key is
    /// gone come back as misdirected.
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

    /// Drops a request whose caller left.
    pub fn drop_request(&mut self, id: &str) {
        self.queue.retain(|request| request.id != id);
    }

    /// Requests at work and waiting.
    pub fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }
}
