//! This node's part in control: its entry, the election, and the grants while
//! it is the granter.

mod ownership;
mod standbys;
mod suspicions;
mod term;

use crate::core::grants::{Grants, candidates, probe_claimed};
use crate::core::message::{OrderTask, StoreTask};
use crate::core::records::{NodeRecord, OwnKeys};
use crate::core::registration::Registrar;
use crate::core::standby_words::StandbyWords;
use crate::core::views::{Snapshot, ViewName, Views};
use beamtray_catalog::{Directory, UpstreamId};
use beamtray_dispatch::{Dispatcher, KeyReport, SpeedTable};
use beamtray_metastore::{
    Authority, Condition, Election, ElectionConfig, Epoch, Item, LeaseTiming, StoreCall, StoreEra,
    StoreOutcome, Transaction, Write,
};
use beamtray_sharding::{
    Assignment, AssignmentRecord, BalanceLimits, GrantOrder, GrantReply, GranterTiming, KeyRange,
};
use beamtray_types::{ServiceName, Time};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use suspicions::SuspicionWriter;
use term::Term;

/// Between two looks at the balance.
const REBALANCE: Duration = Duration::from_millis(150);
/// Share of the counted load that is left after one look.
const LOAD_KEPT: f64 = 0.917;
/// Between looks at which orders are due, when nothing asks for one sooner.
const ORDERS: Duration = Duration::from_millis(10);
/// Between two writes of learned speeds.
const KEEP_SPEEDS: Duration = Duration::from_secs(4);
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
    /// Whether the granter keeps in the store which requests end upstreams. Only a test
    /// that shows why turns it off.
    pub keeps_suspicions: bool,
    /// Grants.
    pub grants: GranterTiming,
    /// Balance.
    pub balance: BalanceLimits,
}

/// Assignments of divided services, as a node knows them.
pub type KnownAssignments = BTreeMap<ServiceName, Rc<Assignment>>;

/// A write that the store takes only from the granter.
fn granters_write(authority: &Authority, key: &str, value: Vec<u8>) -> StoreCall {
    StoreCall::Commit(Transaction {
        conditions: vec![Condition {
            key: OwnKeys::GRANTER.to_owned(),
            revision: authority.revision,
        }],
        writes: vec![Write {
            key: key.to_owned(),
            value,
            lease: None,
        }],
        removals: Vec::new(),
    })
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
    /// The store's era.
    era: StoreEra,
    /// The last term of this node that had its grants, if an era ended it.
    last_term: Option<Epoch>,
    /// What that term would have written next.
    last_records: BTreeMap<ServiceName, AssignmentRecord>,
    /// What was read at the start of the term.
    reading: Option<Snapshot>,
    speeds_at: Time,
    suspicions: SuspicionWriter,
}

impl Control {
    /// A node that is not registered yet.
    pub fn new(config: ControlConfig) -> Self {
        let election = Election::new(ElectionConfig {
            granter_key: OwnKeys::GRANTER.to_owned(),
            epoch_key: OwnKeys::EPOCH.to_owned(),
            node: config.record.name.clone(),
            run: config.record.run,
            peer_address: config.record.peers,
            lease: config.granter_lease,
            candidacy_delay: config.patience,
        });
        Self {
            registrar: Registrar::new(config.record.clone(), config.node_lease),
            election,
            term: None,
            standbys: StandbyWords::default(),
            written: Vec::new(),
            era: StoreEra::default(),
            last_term: None,
            last_records: BTreeMap::new(),
            reading: None,
            speeds_at: Time::ZERO,
            suspicions: SuspicionWriter::default(),
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
        self.election.set_extra_delay(handicap + weak);
    }

    /// When the last call was sent that shows a sound path to the store.
    pub fn store_sound_at(&self) -> Option<Time> {
        self.registrar.sound_at()
    }

    /// Whether this node has the right to grant.
    pub fn is_granter(&self, now: Time) -> bool {
        self.election.authority(now).is_some()
    }

    /// The store has begun an era: a term of the one before is over, and its grants are
    /// continued, if at all, by the next one.
    pub fn begin_era(&mut self, era: StoreEra) {
        self.era = era;
        self.election.begin_era(era);
        let ended = self.term.take().filter(|term| term.grants.is_some());
        if let Some(term) = ended {
            self.last_term = Some(term.authority.epoch);
            let grants = term.grants.unwrap_or_default().into_iter();
            self.last_records = grants
                .map(|(service, grants)| (service, grants.granter.snapshot()))
                .collect();
        }
    }

    /// Calls to the store that are due.
    pub fn poll_store(
        &mut self,
        now: Time,
        views: &Views,
        dispatcher: &Dispatcher,
    ) -> Vec<(StoreTask, StoreCall)> {
        let mirror = views.replica(ViewName::Members).mirror();
        let view = mirror
            .revision()
            .filter(|at| at.era >= self.era)
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
        calls.extend(self.poll_speeds(now, dispatcher.speeds()));
        calls.extend(self.poll_suspicions(now, dispatcher.quarantine()));
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
        let value = borsh::to_vec(&record).unwrap_or_default();
        let call = granters_write(&authority, OwnKeys::SPEEDS, value);
        Some((StoreTask::Speeds, call))
    }

    /// Takes the outcome of a call.
    pub fn handle_store(
        &mut self,
        now: Time,
        task: &StoreTask,
        outcome: StoreOutcome,
        known: &KnownAssignments,
    ) {
        match task {
            StoreTask::Election => self.election.handle(now, &outcome),
            StoreTask::Registration => self.registrar.handle(now, &outcome),
            StoreTask::TakeOver => self.taken_over(now, outcome, known),
            StoreTask::Record(service) => self.recorded(now, service, outcome),
            StoreTask::Suspicions => self.suspicions_written(now, &outcome),
            StoreTask::View(..) | StoreTask::Speeds | StoreTask::Farewell => {}
        }
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
        let refreshes = term.refreshes_candidates(now, views.directory.change_count());
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
                granter.set_candidates(now, candidates(now, service, views, dispatcher));
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
                    asks_about: granter.key_of_others(&order.holder),
                    order,
                    until: authority.valid_until,
                });
            }
        }
        tasks
    }

    /// Follows where upstreams listen. An address never changes during the life of
    /// an upstream.
    fn follow_addresses(&mut self, directory: &Directory) {
        if self.addresses_of == Some(directory.change_count()) {
            return;
        }
        self.addresses_of = Some(directory.change_count());
        for registration in directory.iter() {
            let record = &registration.record;
            if !self.addresses.contains_key(&record.id) {
                self.addresses.insert(record.id.clone(), record.address);
            }
        }
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
        let lacks_records = term.lacks_records;
        if configuration
            .services
            .iter()
            .any(|service| service.sharded && !all.contains_key(&service.name))
        {
            term.candidates_of = None;
        }
        let divided = configuration.services.iter().filter(|s| s.sharded);
        for service in divided {
            all.entry(service.name.clone()).or_insert_with(|| {
                let mut grants = Grants::new(now, self.config.grants, epoch);
                if lacks_records {
                    grants.granter.withhold(now, KeyRange::ALL);
                }
                grants
            });
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
}
