//! This node's part in the control plane: its registration, the granter election, and the grants
//! while it is the granter.

mod observed_terms;
mod order_checks;
mod ownership;
mod reach;
mod standbys;
mod suspicions;
mod term;

use crate::core::grants::{Grants, candidates, probe_contested};
use crate::core::message::{OrderTask, StoreTask};
use crate::core::records::{NodeRecord, RouterKeys};
use crate::core::registration::Registrar;
use crate::core::relays::RelayRole;
use crate::core::standby_leases::StandbyLeases;
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
pub use order_checks::OrderCheckWork;
use order_checks::OrderChecks;
pub use reach::HolderReach;
use reach::ReachState;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use suspicions::SuspicionWriter;
use term::Term;

/// Interval of rebalancing.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(150);
/// Factor applied to the measured key load at each rebalancing.
const LOAD_DECAY: f64 = 0.917;
/// Interval at which measured speeds are written to the store.
const SPEEDS_WRITE_INTERVAL: Duration = Duration::from_secs(4);
/// Interval at which a relay renews the lease of its registration.
const RELAY_LEASE_RENEWAL: Duration = Duration::from_millis(300);
/// How much longer than a relay other nodes wait before they claim the vacant granter key.
const NON_RELAY_ELECTION_DELAY: Duration = Duration::from_millis(300);
/// How much longer than other relays the first relay of a zone waits if it has little processor
/// time for each node of its zone.
const LOADED_RELAY_ELECTION_DELAY: Duration = Duration::from_millis(150);
/// How much longer a node with almost no capacity waits than the node with the highest capacity.
const LOW_CAPACITY_ELECTION_DELAY: Duration = Duration::from_millis(250);

/// Fixed parameters of a node's control.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// The node's registration.
    pub record: NodeRecord,
    /// Lease of the node's registration.
    pub node_lease: LeaseTiming,
    /// Lease of the granter key.
    pub granter_lease: LeaseTiming,
    /// How long the granter key must be vacant before this node tries to claim it.
    pub election_delay: Duration,
    /// Whether the granter stores suspected poison requests. Disabled only by a test that shows why
    /// this is needed.
    pub persist_suspicions: bool,
    /// Whether all nodes of the system are starting for the first time.
    pub is_first_start: bool,
    /// Timing of the grants.
    pub grants: GranterTiming,
    /// Limits on rebalancing.
    pub balance: BalanceLimits,
}

/// Assignments of sharded services, as a node knows them.
pub type KnownAssignments = BTreeMap<ServiceName, Rc<Assignment>>;

/// A write that the store accepts only from the current granter.
fn granter_write(authority: &Authority, key: &str, value: Vec<u8>) -> StoreCall {
    StoreCall::Commit(Transaction {
        conditions: vec![Condition {
            key: RouterKeys::GRANTER.to_owned(),
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

/// This node's part in the control plane.
pub struct Control {
    config: ControlConfig,
    registrar: Registrar,
    election: Election,
    term: Option<Term>,
    order_checks: OrderChecks,
    addresses: BTreeMap<UpstreamId, SocketAddr>,
    /// Version of the directory that the addresses were last taken from.
    addresses_version: Option<u64>,
    standbys: StandbyLeases,
    /// Records in the store that this node's views don't contain yet.
    own_writes: Vec<Item>,
    /// The store's era.
    era: StoreEra,
    /// This node's last term that had loaded its grants, if a new era ended it.
    last_term: Option<Epoch>,
    /// Terms that a live process is known to have observed.
    observed_terms: BTreeSet<Epoch>,
    /// The records that the last term would have written next.
    last_records: BTreeMap<ServiceName, AssignmentRecord>,
    /// The records read at the start of the term.
    loaded_state: Option<Snapshot>,
    next_speeds_write: Time,
    suspicions: SuspicionWriter,
    reach: ReachState,
}

impl Control {
    /// Creates the control of a node that is not registered yet.
    pub fn new(config: ControlConfig) -> Self {
        let election = Election::new(ElectionConfig {
            granter_key: RouterKeys::GRANTER.to_owned(),
            epoch_key: RouterKeys::EPOCH.to_owned(),
            node: config.record.name.clone(),
            run: config.record.run,
            peer_address: config.record.peers,
            lease: config.granter_lease,
            candidacy_delay: config.election_delay,
        });
        Self {
            registrar: Registrar::new(config.record.clone(), config.node_lease),
            election,
            term: None,
            order_checks: OrderChecks::new(config.grants.min_order_interval),
            standbys: StandbyLeases::default(),
            own_writes: Vec::new(),
            era: StoreEra::default(),
            last_term: None,
            observed_terms: BTreeSet::new(),
            last_records: BTreeMap::new(),
            loaded_state: None,
            next_speeds_write: Time::ZERO,
            suspicions: SuspicionWriter::default(),
            reach: ReachState::default(),
            addresses: BTreeMap::new(),
            addresses_version: None,
            config,
        }
    }

    /// Sets this node's part in its zone and whether it follows the store. Relays are the
    /// preferred granters, since they learn of a vacancy early, except those that the reports of
    /// their zone leave little processor time. Failure that this prevents: a granter that was also
    /// the first relay of 26 nodes, with a tenth of a core, wrote its record twice a second, and
    /// keys that moved had no owner for four seconds.
    ///
    /// Other nodes rely on a relay that follows the store, so it checks its path to the store more
    /// often; so does a standby that misses the granter.
    ///
    /// `relative_capacity` is this node's processor share relative to the node with the largest
    /// share.
    pub fn set_relay(
        &mut self,
        role: RelayRole,
        follows: bool,
        misses_granter: bool,
        relative_capacity: f64,
    ) {
        let is_relay = role != RelayRole::Ordinary;
        let renewal = if (is_relay && follows) || misses_granter {
            RELAY_LEASE_RENEWAL
        } else {
            self.config.node_lease.renewal
        };
        self.registrar.set_renewal(renewal);
        let relay_delay = match role {
            RelayRole::Relay => Duration::ZERO,
            RelayRole::LoadedFirst => LOADED_RELAY_ELECTION_DELAY,
            RelayRole::Ordinary => NON_RELAY_ELECTION_DELAY,
        };
        let capacity_delay =
            LOW_CAPACITY_ELECTION_DELAY.mul_f64((1.0 - relative_capacity).clamp(0.0, 1.0));
        let reach_delay = self.reach.election_delay();
        self.election
            .set_extra_delay(relay_delay + capacity_delay + reach_delay);
    }

    /// When the last successful call that shows the store to be reachable was sent.
    pub fn last_store_contact(&self) -> Option<Time> {
        self.registrar.last_renewal_at()
    }

    /// Whether this node may issue grants.
    pub fn is_granter(&self, now: Time) -> bool {
        self.election.authority(now).is_some()
    }

    /// Starts a new era of the store: a term of the previous era ends, and its grants are
    /// continued, if at all, by the next term.
    pub fn begin_era(&mut self, era: StoreEra) {
        self.era = era;
        self.election.begin_era(era);
        let ended = self.term.take().filter(|term| term.grants.is_some());
        if let Some(term) = ended {
            self.observe_term(term.authority.epoch);
            self.last_term = Some(term.authority.epoch);
            let grants = term.grants.unwrap_or_default().into_iter();
            self.last_records = grants
                .map(|(service, grants)| (service, grants.granter.snapshot()))
                .collect();
        }
    }

    /// The store calls that are due.
    pub fn poll_store(
        &mut self,
        now: Time,
        views: &Views,
        dispatcher: &Dispatcher,
    ) -> Vec<(StoreTask, StoreCall)> {
        let mirror = views.replica(ViewName::Members).mirror();
        let view = mirror.revision().filter(|at| at.era >= self.era).map(|_| {
            (
                mirror.get(RouterKeys::GRANTER),
                mirror.get(RouterKeys::EPOCH),
            )
        });
        let mut calls = Vec::new();
        if let Some(call) = self.election.poll(now, view) {
            calls.push((StoreTask::Election, call));
        }
        let entry = mirror.get(self.registrar.key());
        if let Some(call) = self.registrar.poll(now, entry, mirror.revision()) {
            calls.push((StoreTask::Registration, call));
        }
        self.update_term(now);
        calls.extend(self.poll_term(now));
        calls.extend(self.poll_speeds(now, dispatcher.speeds()));
        calls.extend(self.poll_suspicions(now, dispatcher.quarantine()));
        calls
    }

    /// Stores the measured speeds for later processes.
    fn poll_speeds(&mut self, now: Time, speeds: &SpeedTable) -> Option<(StoreTask, StoreCall)> {
        let authority = self.election.authority(now)?;
        if now < self.next_speeds_write {
            return None;
        }
        let record = speeds.record();
        self.next_speeds_write = now + SPEEDS_WRITE_INTERVAL;
        if record.services.is_empty() {
            return None;
        }
        let value = borsh::to_vec(&record).unwrap_or_default();
        let call = granter_write(&authority, RouterKeys::SPEEDS, value);
        Some((StoreTask::Speeds, call))
    }

    /// Handles the outcome of a call.
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
            StoreTask::TakeOver => self.handle_takeover_page(now, outcome, known),
            StoreTask::Record(service) => self.handle_record_write(now, service, outcome),
            StoreTask::Suspicions => self.suspicions_written(now, &outcome),
            StoreTask::View(..) | StoreTask::Speeds | StoreTask::Farewell => {}
        }
    }

    /// Updates the upstream addresses and returns the orders that are due.
    pub fn poll_orders(
        &mut self,
        now: Time,
        views: &Views,
        dispatcher: &Dispatcher,
    ) -> Vec<OrderTask> {
        self.update_addresses(&views.directory);
        let Some(authority) = self.election.authority(now) else {
            return Vec::new();
        };
        self.add_services(now, views);
        let Some(term) = &mut self.term else {
            return Vec::new();
        };
        if !self.order_checks.is_due(now) {
            return Vec::new();
        }
        let grants = term.grants.iter().flat_map(|all| all.values());
        let slices = grants.map(|grants| grants.granter.slice_count()).sum();
        self.order_checks.checked(now, slices);
        // Until the upstreams are known, all holders would seem to have left.
        if term.grants.is_none() || !views.knows_upstreams() {
            return Vec::new();
        }
        let refreshes = term.refreshes_candidates(now, views.directory.change_count());
        let Some(all) = &mut term.grants else {
            return Vec::new();
        };
        let rebalance = now >= term.rebalance_at;
        if rebalance {
            term.rebalance_at = now + REBALANCE_INTERVAL;
        }
        let mut tasks = Vec::new();
        for (service, grants) in all.iter_mut() {
            let granter = &mut grants.granter;
            if refreshes {
                granter.set_candidates(now, candidates(now, service, views, dispatcher));
                probe_contested(now, granter, views);
            }
            if rebalance {
                granter.rebalance(now, &self.config.balance);
                granter.load.decay(LOAD_DECAY);
            }
            for order in granter.poll(now) {
                tasks.push(OrderTask {
                    service: service.clone(),
                    address: self.addresses.get(&order.holder).copied(),
                    probe_key: granter.key_held_by_other(&order.holder),
                    order,
                    until: authority.valid_until,
                });
            }
        }
        tasks
    }

    /// Adds the addresses of new upstreams. An upstream never changes its address.
    fn update_addresses(&mut self, directory: &Directory) {
        if self.addresses_version == Some(directory.change_count()) {
            return;
        }
        self.addresses_version = Some(directory.change_count());
        for registration in directory.iter() {
            let record = &registration.record;
            if !self.addresses.contains_key(&record.id) {
                self.addresses.insert(record.id.clone(), record.address);
            }
        }
    }

    /// Current or last known addresses of the upstreams.
    pub fn addresses(&self) -> &BTreeMap<UpstreamId, SocketAddr> {
        &self.addresses
    }

    /// Creates the grants of sharded services that have none yet.
    fn add_services(&mut self, now: Time, views: &Views) {
        let Some(term) = &mut self.term else {
            return;
        };
        let (Some(all), Some(configuration)) = (&mut term.grants, &views.configuration) else {
            return;
        };
        let epoch = term.authority.epoch;
        let may_have_lost_records = term.may_have_lost_records;
        if configuration
            .services
            .iter()
            .any(|service| service.sharded && !all.contains_key(&service.name))
        {
            term.candidates_version = None;
        }
        let divided = configuration.services.iter().filter(|s| s.sharded);
        for service in divided {
            all.entry(service.name.clone()).or_insert_with(|| {
                let mut grants = Grants::new(now, self.config.grants, epoch);
                if may_have_lost_records {
                    grants.granter.withhold(now, KeyRange::ALL);
                    grants.granter.doubt_record(now);
                }
                grants
            });
        }
    }

    /// Handles an upstream's reply to an order.
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
            self.order_checks.hasten(now);
        }
        let grants = term.grants.as_mut().and_then(|all| all.get_mut(service));
        if let Some(grants) = grants {
            grants.granter.handle_reply(now, order.call, reply);
        }
    }

    /// Records that an upstream's process has terminated.
    pub fn confirm_terminated(&mut self, id: &UpstreamId) {
        let all = self.term.as_mut().and_then(|term| term.grants.as_mut());
        for grants in all.into_iter().flat_map(|all| all.values_mut()) {
            grants.granter.mark_terminated(id);
        }
    }

    /// Checks for due orders so far.
    pub fn order_check_work(&self) -> OrderCheckWork {
        self.order_checks.work()
    }

    /// The term, if this node is or was the granter.
    pub fn epoch(&self) -> Option<u64> {
        self.term.as_ref().map(|term| term.authority.epoch.0)
    }

    /// Adds a report of request counts by key.
    pub fn add_key_report(&mut self, report: &KeyReport) {
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

    /// Revokes this node's leases in the store.
    pub fn resign(&mut self) -> Vec<StoreCall> {
        self.term = None;
        let granter_lease = self.election.resign();
        let node_lease = self.registrar.resign();
        granter_lease.into_iter().chain(node_lease).collect()
    }
}
