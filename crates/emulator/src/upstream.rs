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
    pub divided: bool,
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
pub struct GrantTaken {
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
    pub is_after_trouble: bool,
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct UpstreamEmulator {
    /// Its fixed values.
    pub config: UpstreamConfig,
    /// What it says of itself.
    pub state: UpstreamState,
    grants: Vec<GrantTaken>,
    /// Grants that were given back while work on their keys went on.
    given_back: Vec<GrantTaken>,
    floors: Vec<u64>,
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
            given_back: Vec::new(),
            floors: vec![0; KeyRange::ALL.len() as usize],
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
    pub fn grant(&self, now: Time, key: ShardKey) -> Option<&GrantTaken> {
        self.grants
            .iter()
            .find(|grant| grant.range.contains(key) && now < grant.ends)
    }

    /// The grants in force.
    pub fn grants(&self, now: Time) -> impl Iterator<Item = &GrantTaken> {
        self.grants.iter().filter(move |grant| now < grant.ends)
    }

    /// Takes an order. A release that must wait for work is answered by
    /// [`UpstreamEmulator::released`].
    pub fn order(&mut self, now: Time, order: &GrantOrder) -> Option<GrantReply> {
        self.delivered(now, order, Delivery::default())
    }

    /// Takes an order that came in that way.
    pub fn delivered(
        &mut self,
        now: Time,
        order: &GrantOrder,
        delivery: Delivery,
    ) -> Option<GrantReply> {
        if order.holder.name != self.config.id.name {
            return Some(GrantReply::Replaced);
        }
        match &order.kind {
            OrderKind::Grant { hold, .. } => Some(self.take(now, order, *hold, delivery)),
            OrderKind::Release => self.release(order),
        }
    }

    fn floor(&mut self, range: KeyRange) -> &mut [u64] {
        &mut self.floors[usize::from(range.first.0)..=usize::from(range.last.0)]
    }

    fn take(
        &mut self,
        now: Time,
        order: &GrantOrder,
        hold: Duration,
        delivery: Delivery,
    ) -> GrantReply {
        let token = order.token.0;
        if self.floor(order.range).iter().any(|floor| *floor > token) {
            return GrantReply::Outdated;
        }
        self.floor(order.range).fill(token);
        let standing = self.grant(now, order.range.first);
        // What came right after trouble is first taken when it is taken again.
        let is_first =
            |grant: &&GrantTaken| grant.delivery.is_after_trouble && !delivery.is_after_trouble;
        let since = standing
            .filter(|grant| !is_first(grant))
            .map_or(now, |grant| grant.since);
        // A shorter grant does not end a longer one that stands.
        let ends = standing.map_or(now, |grant| grant.ends).max(now + hold);
        self.cut(order.range);
        self.grants.push(GrantTaken {
            range: order.range,
            token: order.token,
            since,
            ends,
            delivery,
        });
        GrantReply::Granted
    }

    /// Removes a range from all grants.
    fn cut(&mut self, range: KeyRange) {
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
                rest.push(GrantTaken { range, ..grant });
            }
            if grant.range.last > range.last {
                let first = ShardKey(range.last.0 + 1);
                let range = KeyRange {
                    first,
                    ..grant.range
                };
                rest.push(GrantTaken { range, ..grant });
            }
        }
        self.grants = rest;
    }

    fn release(&mut self, order: &GrantOrder) -> Option<GrantReply> {
        let token = order.token.0;
        for floor in self.floor(order.range) {
            *floor = (*floor).max(token);
        }
        let at_work = self.is_at_work(order.range);
        if at_work {
            let of_range = |grant: &&GrantTaken| grant.range.overlaps(order.range);
            self.given_back.extend(self.grants.iter().filter(of_range));
        }
        self.cut(order.range);
        if at_work {
            self.releases.push((order.range, order.call.0));
            return None;
        }
        Some(GrantReply::Released(Some(Handover(
            order.range.to_string(),
        ))))
    }

    fn is_at_work(&self, range: KeyRange) -> bool {
        let mut keys = self.running.iter().filter_map(|run| run.request.key);
        keys.any(|key| range.contains(key))
    }

    /// Whether it is at work on a key of a range, under a lease that has not run out or
    /// would not have if the key had not been given back.
    pub fn works_under_lease(&self, now: Time, range: KeyRange) -> bool {
        let leases = || {
            let all = self.grants.iter().chain(&self.given_back);
            all.filter(|one| !one.delivery.is_late)
        };
        let is_leased = |key| leases().any(|one| one.range.contains(key) && now < one.ends);
        let mut keys = self.running.iter().filter_map(|run| run.request.key);
        keys.any(|key| range.contains(key) && is_leased(key))
    }

    /// Calls whose release has been waiting and is complete now.
    pub fn released(&mut self) -> Vec<u64> {
        let releases = std::mem::take(&mut self.releases);
        let (waiting, done): (Vec<_>, Vec<_>) = releases
            .into_iter()
            .partition(|(range, _)| self.is_at_work(*range));
        self.releases = waiting;
        if self.releases.is_empty() {
            self.given_back.clear();
        }
        done.into_iter().map(|(_, call)| call).collect()
    }

    /// Takes a request.
    pub fn arrive(&mut self, now: Time, request: WorkRequest) -> Arrival {
        if request.target.name != self.config.id.name || !self.may_run(now, &request) {
            return Arrival::Misdirected;
        }
        if self.running.len() < self.config.slots {
            return Arrival::Runs(self.begin(now, request));
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

    fn may_run(&self, now: Time, request: &WorkRequest) -> bool {
        if !self.config.divided {
            return true;
        }
        request
            .key
            .is_some_and(|key| self.grant(now, key).is_some())
    }

    fn begin(&mut self, now: Time, request: WorkRequest) -> Run {
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
        let mut begun = Vec::new();
        let mut refused = Vec::new();
        while self.running.len() < self.config.slots {
            let Some(request) = self.queue.pop_front() else {
                break;
            };
            if self.may_run(now, &request) {
                begun.push(self.begin(now, request));
            } else {
                refused.push(request);
            }
        }
        (ended, begun, refused)
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
