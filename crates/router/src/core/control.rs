//! This node's part in control: its entry, the election, and the grants while
//! it is the granter.

mod standbys;

use crate::core::grants::{Grants, adopt, candidates, probe_claimed, read_state};
use crate::core::message::{OrderTask, StoreTask};
use crate::core::records::{NodeRecord, OwnKeys};
use crate::core::registration::Registrar;
use crate::core::standby_words::StandbyWords;
use crate::core::views::{Snapshot, ViewName, Views};
use beamtray_catalog::{Directory, UpstreamId};
use beamtray_dispatch::{Dispatcher, KeyReport, SpeedTable};
use beamtray_metastore::{
    Authority, Condition, Election, ElectionConfig, Item, LeaseTiming, Revision, StoreCall,
    StoreOutcome, Transaction, Write,
};
use beamtray_sharding::{BalanceLimits, GrantOrder, GrantReply, GranterTiming, OwnedAgain};
use beamtray_types::{ServiceName, Time};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Between two looks at the balance.
const REBALANCE: Duration = Duration::from_millis(150);
/// Share of the counted load that is left after one look.
const LOAD_KEPT: f64 = 0.917;
/// Between looks at which orders are due, when nothing asks for one sooner.
const ORDERS: Duration = Duration::from_millis(10);
/// Between looks at what nodes heard of upstreams, and at their speeds, when the
/// directory does not change: a holder that leaves a grant unanswered for that
/// long may have answered requests meanwhile.
const REFRESH_CANDIDATES: Duration = Duration::from_millis(100);
/// Between two writes of learned speeds.
const KEEP_SPEEDS: Duration = Duration::from_secs(4);
/// Pause between two records, so that changes close together go in one.
const GATHER: Duration = Duration::from_millis(20);
/// Added to that for each slice: every node takes every record.
const GATHER_A_SLICE: Duration = Duration::from_micros(120);
/// Pause after a record that was not written.
const REWRITE: Duration = Duration::from_millis(80);
/// Pause after a failed reading at a takeover.
const REREAD: Duration = Duration::from_millis(100);

/// Between renewals of a relay's entry.
const RELAY_RENEWAL: Duration = Duration::from_millis(300);
/// How much longer than a relay another node leaves the granter's place vacant.
const HANDICAP: Duration = Duration::from_millis(300);
/// How much longer a node that can do next to nothing leaves it vacant than the one
/// that can do most.
const WEAK_HANDICAP: Duration = Duration::from_millis(250);

/// Fixed values of a node's control.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// What the node tells of itself.
    pub record: NodeRecord,
    /// Lease of the node's entry.
    pub node_lease: LeaseTiming,
    /// Lease of the granter's place.
    pub granter_lease: LeaseTiming,
    /// How long the place is left vacant before this node tries to take it.
    pub patience: Duration,
    /// Grants.
    pub grants: GranterTiming,
    /// Balance.
    pub balance: BalanceLimits,
}

/// One term of this node as the granter.
struct Term {
    authority: Authority,
    /// None until the records were read.
    grants: Option<BTreeMap<ServiceName, Grants>>,
    /// Whether a reading of them is under way.
    reading: bool,
    /// Pages read so far, and the revision of the first one.
    read: Vec<Item>,
    read_from: Option<Revision>,
    read_at: Time,
    rebalance_at: Time,
    /// When orders are looked at next.
    orders_at: Time,
    /// When candidates are looked at next, and the state of the directory that
    /// they were last taken from.
    candidates_at: Time,
    candidates_of: Option<u64>,
}

impl Term {
    fn new(now: Time, authority: Authority) -> Self {
        Self {
            authority,
            grants: None,
            reading: false,
            read: Vec::new(),
            read_from: None,
            read_at: now,
            rebalance_at: now,
            orders_at: now,
            candidates_at: now,
            candidates_of: None,
        }
    }

    /// Whether candidates are to be taken from the directory again.
    fn refreshes_candidates(&mut self, now: Time, changes: u64) -> bool {
        let refreshes = self.candidates_of != Some(changes) || now >= self.candidates_at;
        if refreshes {
            self.candidates_of = Some(changes);
            self.candidates_at = now + REFRESH_CANDIDATES;
        }
        refreshes
    }
}

/// This node's part in control.
pub struct Control {
    config: ControlConfig,
    registrar: Registrar,
    election: Election,
    term: Option<Term>,
    addresses: BTreeMap<UpstreamId, SocketAddr>,
    /// State of the directory that the addresses were last taken from.
    addresses_of: Option<u64>,
    standbys: StandbyWords,
    /// Assignments in the store that this node's views don't show yet.
    written: Vec<Item>,
    /// What was read at the start of the term.
    taken_over: Option<Snapshot>,
    speeds_at: Time,
}

impl Control {
    /// A node that is not registered yet.
    pub fn new(config: ControlConfig) -> Self {
        let election = Election::new(ElectionConfig {
            granter_key: OwnKeys::GRANTER.to_owned(),
            epoch_key: OwnKeys::EPOCH.to_owned(),
            node: config.record.name.clone(),
            run: config.record.run,
            peers: config.record.peers,
            lease: config.granter_lease,
            patience: config.patience,
        });
        Self {
            registrar: Registrar::new(config.record.clone(), config.node_lease),
            election,
            term: None,
            standbys: StandbyWords::default(),
            written: Vec::new(),
            taken_over: None,
            speeds_at: Time::ZERO,
            addresses: BTreeMap::new(),
            addresses_of: None,
            config,
        }
    }

    /// States whether this node is a relay, which makes it a better granter, and
    /// whether it follows the store. Others rely on one that does both, so it
    /// looks after its path to the store more often; so does a standby that
    /// misses the granter.
    ///
    /// `ability` is this node's processor share, as a part of the ablest one's.
    pub fn set_relay(&mut self, is_relay: bool, follows: bool, misses_granter: bool, ability: f64) {
        let renewal = if (is_relay && follows) || misses_granter {
            RELAY_RENEWAL
        } else {
            self.config.node_lease.renewal
        };
        self.registrar.set_renewal(renewal);
        let handicap = if is_relay { Duration::ZERO } else { HANDICAP };
        let weak = WEAK_HANDICAP.mul_f64((1.0 - ability).clamp(0.0, 1.0));
        self.election.set_handicap(handicap + weak);
    }

    /// When the last call was sent that shows a sound path to the store.
    pub fn store_sound_at(&self) -> Option<Time> {
        self.registrar.sound_at()
    }

    /// Whether this node has the right to grant.
    pub fn is_granter(&self, now: Time) -> bool {
        self.election.authority(now).is_some()
    }

    /// Calls to the store that are due.
    pub fn poll_store(
        &mut self,
        now: Time,
        views: &Views,
        speeds: &SpeedTable,
    ) -> Vec<(StoreTask, StoreCall)> {
        let mirror = views.replica(ViewName::Members).mirror();
        let view = mirror
            .at()
            .map(|_| (mirror.get(OwnKeys::GRANTER), mirror.get(OwnKeys::EPOCH)));
        let mut calls = Vec::new();
        if let Some(call) = self.election.poll(now, view) {
            calls.push((StoreTask::Election, call));
        }
        let entry = mirror.get(self.registrar.key());
        if let Some(call) = self.registrar.poll(now, entry) {
            calls.push((StoreTask::Registration, call));
        }
        self.follow_authority(now);
        calls.extend(self.poll_term(now));
        calls.extend(self.poll_speeds(now, speeds));
        calls
    }

    /// Begins and ends terms as the authority comes and goes.
    fn follow_authority(&mut self, now: Time) {
        let Some(authority) = self.election.authority(now) else {
            // The lease may prove to have lasted after all: the term is kept
            // and nothing is sent meanwhile.
            return;
        };
        let same = self
            .term
            .as_ref()
            .is_some_and(|term| term.authority.epoch == authority.epoch);
        if same {
            if let Some(term) = &mut self.term {
                term.authority = authority;
            }
            return;
        }
        self.term = Some(Term::new(now, authority));
    }

    fn poll_term(&mut self, now: Time) -> Vec<(StoreTask, StoreCall)> {
        let Some(authority) = self.election.authority(now) else {
            return Vec::new();
        };
        let Some(term) = &mut self.term else {
            return Vec::new();
        };
        let Some(grants) = &mut term.grants else {
            if term.reading || now < term.read_at {
                return Vec::new();
            }
            term.reading = true;
            let after = term.read.last().map(|item| item.key.clone());
            return vec![(StoreTask::TakeOver, read_state(after))];
        };
        let mut calls = Vec::new();
        for (service, grants) in grants {
            let call = grants.poll_write(now, service, authority.revision);
            calls.extend(call.map(|call| (StoreTask::Record(service.clone()), call)));
        }
        calls
    }

    /// Keeps what was learned of speeds for the processes after this one.
    fn poll_speeds(&mut self, now: Time, speeds: &SpeedTable) -> Option<(StoreTask, StoreCall)> {
        let authority = self.election.authority(now)?;
        if now < self.speeds_at {
            return None;
        }
        let record = speeds.record();
        self.speeds_at = now + KEEP_SPEEDS;
        if record.services.is_empty() {
            return None;
        }
        let call = StoreCall::Commit(Transaction {
            conditions: vec![Condition {
                key: OwnKeys::GRANTER.to_owned(),
                revision: authority.revision,
            }],
            writes: vec![Write {
                key: OwnKeys::SPEEDS.to_owned(),
                value: borsh::to_vec(&record).unwrap_or_default(),
                lease: None,
            }],
            removals: Vec::new(),
        });
        Some((StoreTask::Speeds, call))
    }

    /// Takes the outcome of a call.
    pub fn handle_store(&mut self, now: Time, task: &StoreTask, outcome: StoreOutcome) {
        match task {
            StoreTask::Election => self.election.handle(now, &outcome),
            StoreTask::Registration => self.registrar.handle(now, &outcome),
            StoreTask::TakeOver => self.taken_over(now, outcome),
            StoreTask::Record(service) => self.recorded(now, service, outcome),
            StoreTask::View(..) | StoreTask::Speeds | StoreTask::Farewell => {}
        }
    }

    /// Takes a page of the assignments read at a takeover.
    fn taken_over(&mut self, now: Time, outcome: StoreOutcome) {
        let Some(term) = &mut self.term else {
            return;
        };
        term.reading = false;
        let StoreOutcome::Page { items, more, at } = outcome else {
            term.read_at = now + REREAD;
            return;
        };
        // Later pages may hold newer items, so the first one's revision counts.
        let from = *term.read_from.get_or_insert(at);
        term.read.extend(items);
        if more {
            return;
        }
        let timing = self.config.grants;
        let epoch = term.authority.epoch;
        let read = std::mem::take(&mut term.read);
        term.grants = Some(adopt(now, timing, epoch, &read));
        term.candidates_of = None;
        self.taken_over = Some(Snapshot {
            view: ViewName::State,
            at: from,
            items: read,
            removals: Vec::new(),
            is_whole: true,
        });
    }

    /// What this node read at the start of its term, as a copy of the view of the
    /// assignments.
    ///
    /// Invariant: that view is whole before this node adds what it writes. It tells the
    /// others of the view up to its last write, and what it lacked they would lack.
    pub fn take_taken_over(&mut self) -> Option<Snapshot> {
        self.taken_over.take()
    }

    /// Assignments that this node wrote.
    pub fn take_written(&mut self) -> Vec<Item> {
        std::mem::take(&mut self.written)
    }

    fn recorded(&mut self, now: Time, service: &ServiceName, outcome: StoreOutcome) {
        let Some(term) = &mut self.term else {
            return;
        };
        let epoch = term.authority.epoch;
        let Some(grants) = term
            .grants
            .as_mut()
            .and_then(|grants| grants.get_mut(service))
        else {
            return;
        };
        match outcome {
            StoreOutcome::Committed { revision } => {
                let slices = grants.granter.slice_count() as u32;
                grants.write_at = now + GATHER + GATHER_A_SLICE * slices;
                let written = grants.written(now, service, revision);
                self.written.extend(written);
            }
            StoreOutcome::Conflict { items } => {
                grants.write_at = now + REWRITE;
                grants.conflict(epoch, &items);
            }
            _ => {
                grants.write_at = now + REWRITE;
                grants.not_written();
            }
        }
        term.orders_at = now;
    }

    /// Follows the directory and gives orders that are due.
    pub fn poll_orders(
        &mut self,
        now: Time,
        views: &Views,
        dispatcher: &Dispatcher,
    ) -> Vec<OrderTask> {
        self.follow_addresses(&views.directory);
        let Some(authority) = self.election.authority(now) else {
            return Vec::new();
        };
        self.add_services(now, views);
        let Some(term) = &mut self.term else {
            return Vec::new();
        };
        if now < term.orders_at {
            return Vec::new();
        }
        term.orders_at = now + ORDERS;
        // Before they are known all holders would seem to have left.
        if term.grants.is_none() || !views.knows_upstreams() {
            return Vec::new();
        }
        let refreshes = term.refreshes_candidates(now, views.directory.changes());
        let Some(all) = &mut term.grants else {
            return Vec::new();
        };
        let rebalance = now >= term.rebalance_at;
        if rebalance {
            term.rebalance_at = now + REBALANCE;
        }
        let mut tasks = Vec::new();
        for (service, grants) in all.iter_mut() {
            let granter = &mut grants.granter;
            if refreshes {
                granter.set_candidates(now, candidates(service, views, dispatcher));
                probe_claimed(now, granter, views);
            }
            if rebalance {
                granter.rebalance(now, &self.config.balance);
                granter.load.decay(LOAD_KEPT);
            }
            for order in granter.poll(now) {
                tasks.push(OrderTask {
                    service: service.clone(),
                    address: self.addresses.get(&order.holder).copied(),
                    order,
                    until: authority.until,
                });
            }
        }
        tasks
    }

    /// Follows where upstreams listen. An address never changes during the life of
    /// an upstream.
    fn follow_addresses(&mut self, directory: &Directory) {
        if self.addresses_of == Some(directory.changes()) {
            return;
        }
        self.addresses_of = Some(directory.changes());
        for registration in directory.iter() {
            let record = &registration.record;
            if !self.addresses.contains_key(&record.id) {
                self.addresses.insert(record.id.clone(), record.address);
            }
        }
    }

    /// Slices that have an owner again since the last call.
    pub fn take_owned_again(&mut self) -> Vec<(ServiceName, OwnedAgain)> {
        let all = self.term.as_mut().and_then(|term| term.grants.as_mut());
        let all = all.into_iter().flat_map(|all| all.iter_mut());
        let owned = all.flat_map(|(service, grants)| {
            let owned = grants.granter.take_owned_again().into_iter();
            owned.map(move |owned| (service.clone(), owned))
        });
        owned.collect()
    }

    /// Where upstreams listen, or did when they were last seen.
    pub fn addresses(&self) -> &BTreeMap<UpstreamId, SocketAddr> {
        &self.addresses
    }

    /// Starts granters of services that are divided and have none.
    fn add_services(&mut self, now: Time, views: &Views) {
        let Some(term) = &mut self.term else {
            return;
        };
        let (Some(all), Some(configuration)) = (&mut term.grants, &views.configuration) else {
            return;
        };
        let epoch = term.authority.epoch;
        if configuration
            .services
            .iter()
            .any(|service| service.divided && !all.contains_key(&service.name))
        {
            term.candidates_of = None;
        }
        let divided = configuration.services.iter().filter(|s| s.divided);
        for service in divided {
            all.entry(service.name.clone())
                .or_insert_with(|| Grants::new(now, self.config.grants, epoch));
        }
    }

    /// Takes an upstream's answer to an order.
    pub fn handle_order(
        &mut self,
        now: Time,
        service: &ServiceName,
        order: &GrantOrder,
        epoch: u64,
        reply: GrantReply,
    ) {
        let Some(term) = &mut self.term else {
            return;
        };
        if term.authority.epoch.0 != epoch {
            return;
        }
        if reply != GrantReply::Granted {
            term.orders_at = now;
        }
        let grants = term.grants.as_mut().and_then(|all| all.get_mut(service));
        if let Some(grants) = grants {
            grants.granter.handle(now, order.call, reply);
        }
    }

    /// Notes that an upstream has ended.
    pub fn proved_gone(&mut self, id: &UpstreamId) {
        let all = self.term.as_mut().and_then(|term| term.grants.as_mut());
        for grants in all.into_iter().flat_map(|all| all.values_mut()) {
            grants.granter.proved_dead(id);
        }
    }

    /// The term, if this node is or was the granter.
    pub fn epoch(&self) -> Option<u64> {
        self.term.as_ref().map(|term| term.authority.epoch.0)
    }

    /// Takes a report of requests by key.
    pub fn report(&mut self, report: &KeyReport) {
        let Some(all) = self.term.as_mut().and_then(|term| term.grants.as_mut()) else {
            return;
        };
        for load in &report.keys {
            let service = report.services.get(usize::from(load.service));
            if let Some(grants) = service.and_then(|service| all.get_mut(service)) {
                let requests = f64::from(load.requests);
                grants.granter.load.add(load.key, requests);
            }
        }
    }

    /// Gives up what this node has in the store.
    pub fn resign(&mut self) -> Vec<StoreCall> {
        self.term = None;
        let place = self.election.resign();
        let entry = self.registrar.resign();
        place.into_iter().chain(entry).collect()
    }

    /// Slices, and how many of them are held, over all services.
    pub fn slice_counts(&self, now: Time) -> (usize, usize) {
        let all = self.term.as_ref().and_then(|term| term.grants.as_ref());
        let granters = all.into_iter().flatten().map(|(_, grants)| &grants.granter);
        granters.fold((0, 0), |(slices, held), granter| {
            (
                slices + granter.slice_count(),
                held + granter.held_count(now),
            )
        })
    }
}
