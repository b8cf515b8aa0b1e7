//! A node's view of the registered upstreams.
//!
//! A registration that disappears while the metadata store is healthy means that the
//! upstream left. One that disappears right after a store outage, or together with many
//! others, is inconclusive: its lease may have expired because the upstream could not renew
//! it. Such an upstream is kept as *unconfirmed* until it registers again, another upstream
//! answers at its address, or it has had enough time to register again.
//!
//! The unconfirmed period must be short. A node that alone was cut off from the store sees
//! the same, and once it counts as connected again it must not send requests to upstreams
//! that left in the meantime.

use crate::evacuation::Evacuations;
use crate::incarnations::{Incarnations, Observation};
use crate::upstream::{UpstreamId, UpstreamName, UpstreamRecord, UpstreamState};
use beamtray_types::{ServiceName, Time, Zone};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Share of all registrations, in percent, above which a simultaneous loss is attributed to
/// a store failure.
const MASS_LOSS_PERCENT: usize = 40;

/// How long late writes of a terminated upstream are expected.
const GONE_RETENTION: Duration = Duration::from_secs(120);
/// Interval between cleanups of outdated records.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Timing parameters of a [`Directory`].
#[derive(Clone, Copy, Debug)]
pub struct DirectoryPolicy {
    /// How long after the last store failure a missing registration is inconclusive.
    pub outage_grace: Duration,
    /// How long an unconfirmed upstream is kept while waiting for it to register again.
    pub reregistration_timeout: Duration,
}

/// A registered upstream.
#[derive(Clone, Debug)]
pub struct Registration {
    /// Its latest registration record.
    pub record: Rc<UpstreamRecord>,
    /// Time at which its warm-up ends.
    pub warm_at: Time,
    /// Time until which it counts as cold regardless of its entry.
    cold_until: Time,
    /// When its registration went missing, if it is not known to have left.
    pub unconfirmed_since: Option<Time>,
}

/// A change of the directory, for logging.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// An upstream registered or changed its state.
    Registered(UpstreamId, UpstreamState),
    /// An upstream was removed.
    Removed(UpstreamId),
    /// A registration is missing, which is inconclusive.
    Unconfirmed(UpstreamId),
    /// An upstream reported that it is leaving.
    Leaving(UpstreamId),
    /// A zone was evacuated: its upstreams receive no requests.
    Evacuated(Zone),
    /// The evacuation of a zone ended.
    Readmitted(Zone),
    /// An upstream restarted under the same name: the previous incarnation has terminated.
    Restarted {
        /// The previous incarnation.
        earlier: UpstreamId,
        /// The current incarnation.
        later: UpstreamId,
        /// Address of the earlier incarnation, or of the later one if that is unknown.
        address: SocketAddr,
    },
}

/// A node's view of the registered upstreams.
#[derive(Clone, Debug)]
pub struct Directory {
    policy: DirectoryPolicy,
    upstreams: BTreeMap<UpstreamId, Registration>,
    /// Number of changes, by which derived indexes detect that they are out of date.
    change_count: u64,
    /// The unconfirmed upstreams.
    unconfirmed: BTreeSet<UpstreamId>,
    next_cleanup: Time,
    last_store_failure: Option<Time>,
    /// Last time at which some node was known to have responses to all of its store calls.
    /// Only a report for the very time at which registrations go missing is used.
    last_store_healthy: Option<Time>,
    /// Upstreams known to have terminated, and when that was established.
    terminated: BTreeMap<UpstreamId, Time>,
    /// Upstreams that reported in responses or entries that they are leaving, and when that
    /// was first learned. An incarnation never returns from that state; an entry that says
    /// otherwise is older, and the store may have reverted to it.
    leaving: BTreeMap<UpstreamId, Time>,
    /// The evacuated zones.
    evacuations: Evacuations,
    /// The incarnations of each upstream name.
    incarnations: Incarnations,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new(policy: DirectoryPolicy) -> Self {
        Self {
            policy,
            upstreams: BTreeMap::new(),
            change_count: 0,
            unconfirmed: BTreeSet::new(),
            next_cleanup: Time::ZERO,
            last_store_failure: None,
            last_store_healthy: None,
            terminated: BTreeMap::new(),
            leaving: BTreeMap::new(),
            evacuations: Evacuations::default(),
            incarnations: Incarnations::default(),
        }
    }

    /// Returns the number of changes so far; an index built at the same number is up to date.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Replaces the timing parameters.
    pub fn set_policy(&mut self, policy: DirectoryPolicy) {
        self.policy = policy;
    }

    /// Records that the store failed to respond at that time, or reported lost history.
    pub fn note_store_failure(&mut self, at: Time) {
        self.last_store_failure = self.last_store_failure.max(Some(at));
    }

    /// Records that some node has responses to all of its store calls. Failures seen by other
    /// nodes are then due to their connection to the store: no lease expired for lack of it.
    pub fn note_store_healthy(&mut self, at: Time) {
        self.last_store_healthy = self.last_store_healthy.max(Some(at));
    }

    /// Applies a registration. A registration of an upstream that is known to have terminated, or
    /// that has restarted since, is a late write and is ignored.
    ///
    /// Two upstreams may have the same address for a while, the terminated one and the one
    /// that uses the address now, and either entry may be the newer one, since a terminated
    /// upstream's write can arrive late. Only a response from the address shows which one
    /// is live.
    pub fn register(&mut self, now: Time, record: UpstreamRecord) -> Vec<DirectoryChange> {
        if self.terminated.contains_key(&record.id) {
            return Vec::new();
        }
        match self.incarnations.observe_entry(now, &record) {
            Observation::Current => self.insert(now, record).into_iter().collect(),
            Observation::RestartOf(earlier) => self.replace_incarnation(now, earlier, record),
            Observation::Replaced => Vec::new(),
        }
    }

    /// Replaces an incarnation by a later one of the same name.
    fn replace_incarnation(
        &mut self,
        now: Time,
        earlier: UpstreamId,
        record: UpstreamRecord,
    ) -> Vec<DirectoryChange> {
        let known = self.upstreams.get(&earlier);
        let address = known.map_or(record.address, |known| known.record.address);
        let later = record.id.clone();
        let removed = self.remove(&earlier);
        let restarted = DirectoryChange::Restarted {
            earlier,
            later,
            address,
        };
        let inserted = self.insert(now, record);
        let changes = [removed, Some(restarted), inserted].into_iter();
        changes.flatten().collect()
    }

    fn insert(&mut self, now: Time, mut record: UpstreamRecord) -> Option<DirectoryChange> {
        if record.state == UpstreamState::Draining {
            self.leaving.entry(record.id.clone()).or_insert(now);
        } else if self.leaving.contains_key(&record.id) {
            record.state = UpstreamState::Draining;
        }
        let known = self.upstreams.get(&record.id);
        let cold_until = known.map_or(Time::ZERO, |known| known.cold_until);
        let warm_at = cold_until.max(now + record.warm_up_left);
        let changed = known.is_none_or(|known| known.record.state != record.state);
        let change = DirectoryChange::Registered(record.id.clone(), record.state);
        self.change_count += 1;
        self.unconfirmed.remove(&record.id);
        self.upstreams.insert(
            record.id.clone(),
            Registration {
                warm_at,
                cold_until,
                unconfirmed_since: None,
                record: Rc::new(record),
            },
        );
        changed.then_some(change)
    }

    /// Begins the evacuation of a zone: its upstreams receive no requests.
    pub fn evacuate(&mut self, now: Time, zone: Zone) -> Option<DirectoryChange> {
        if !self.evacuations.begin(now, zone.clone()) {
            return None;
        }
        self.change_count += 1;
        Some(DirectoryChange::Evacuated(zone))
    }

    /// Ends the evacuation of a zone; `warm_up` returns how long the upstreams of a service
    /// may be cold afterwards.
    pub fn readmit(
        &mut self,
        now: Time,
        zone: Zone,
        warm_up: impl Fn(&ServiceName) -> Duration,
    ) -> Option<DirectoryChange> {
        if !self.evacuations.end(&zone) {
            return None;
        }
        let of_zone = self.upstreams.values_mut();
        for registration in of_zone.filter(|one| one.record.zone == zone) {
            registration.cold_until = now + warm_up(&registration.record.service);
            registration.warm_at = registration.warm_at.max(registration.cold_until);
        }
        self.change_count += 1;
        Some(DirectoryChange::Readmitted(zone))
    }

    /// Returns when the evacuation of the upstream's zone began, if one is in force.
    pub fn evacuated_since(&self, registration: &Registration) -> Option<Time> {
        self.evacuations.since(&registration.record.zone)
    }

    /// Handles registrations that went missing together.
    pub fn handle_missing(&mut self, now: Time, names: &[UpstreamName]) -> Vec<DirectoryChange> {
        for name in names {
            self.incarnations.observe_absence(now, name);
        }
        let registered = names.iter().filter_map(|name| self.registered(name));
        let ids: Vec<UpstreamId> = registered.map(|one| one.record.id.clone()).collect();
        let after_failure = self
            .last_store_failure
            .is_some_and(|failure| now.since(failure) < self.policy.outage_grace)
            && self.last_store_healthy != Some(now);
        let mass_loss = ids.len() * 100 > self.upstreams.len() * MASS_LOSS_PERCENT;
        let mass_loss = mass_loss && names.len() > 1;
        ids.iter()
            .filter_map(|id| self.handle_missing_one(now, id, after_failure || mass_loss))
            .collect()
    }

    fn handle_missing_one(
        &mut self,
        now: Time,
        id: &UpstreamId,
        inconclusive: bool,
    ) -> Option<DirectoryChange> {
        let registration = self.upstreams.get_mut(id)?;
        let draining = registration.record.state == UpstreamState::Draining;
        if draining || !inconclusive {
            return self.remove(id);
        }
        if registration.unconfirmed_since.is_some() {
            return None;
        }
        registration.unconfirmed_since = Some(now);
        self.change_count += 1;
        self.unconfirmed.insert(id.clone());
        Some(DirectoryChange::Unconfirmed(id.clone()))
    }

    /// Removes an upstream that is known to have terminated: another one answers at its address.
    pub fn confirm_terminated(&mut self, now: Time, id: &UpstreamId) -> Option<DirectoryChange> {
        self.terminated.insert(id.clone(), now);
        self.remove(id)
    }

    /// Marks an upstream as leaving, as reported in a response. This applies to the
    /// incarnation for as long as it exists, whatever its entry says: the store may not have
    /// the change yet, or the entry may have been written before the response.
    pub fn mark_leaving(&mut self, now: Time, id: &UpstreamId) -> Option<DirectoryChange> {
        if self.leaving.contains_key(id) || self.terminated.contains_key(id) {
            return None;
        }
        self.leaving.insert(id.clone(), now);
        if let Some(registration) = self.upstreams.get_mut(id) {
            Rc::make_mut(&mut registration.record).state = UpstreamState::Draining;
            self.change_count += 1;
        }
        Some(DirectoryChange::Leaving(id.clone()))
    }

    /// Returns the upstreams that reported that they are leaving and are still registered.
    pub fn leaving(&self) -> impl Iterator<Item = &UpstreamId> {
        let ids = self.leaving.keys();
        ids.filter(|id| self.upstreams.contains_key(id))
    }

    /// Removes an upstream whose entry no longer describes it. This is not an expired lease,
    /// so there is nothing to wait for, and not evidence that the upstream terminated, so it may
    /// register again.
    pub fn withdraw(&mut self, now: Time, name: &UpstreamName) -> Option<DirectoryChange> {
        self.incarnations.observe_absence(now, name);
        let id = self.registered(name)?.record.id.clone();
        self.remove(&id)
    }

    fn remove(&mut self, id: &UpstreamId) -> Option<DirectoryChange> {
        self.upstreams.remove(id)?;
        self.change_count += 1;
        self.unconfirmed.remove(id);
        Some(DirectoryChange::Removed(id.clone()))
    }

    /// Drops outdated records, applies due reinstatements and removes unconfirmed upstreams
    /// that did not register again in time.
    pub fn expire(&mut self, now: Time) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        if now >= self.next_cleanup {
            self.next_cleanup = now + CLEANUP_INTERVAL;
            self.terminated
                .retain(|_, since| now.since(*since) < GONE_RETENTION);
            let upstreams = &self.upstreams;
            self.leaving.retain(|id, since| {
                upstreams.contains_key(id) || now.since(*since) < GONE_RETENTION
            });
            for (earlier, record) in self.take_reinstated(now) {
                changes.extend(self.replace_incarnation(now, earlier, record));
            }
        }
        let timeout = self.policy.reregistration_timeout;
        let has_timed_out = |id: &&UpstreamId| {
            let registration = self.upstreams.get(*id);
            let since = registration.and_then(|registration| registration.unconfirmed_since);
            since.is_some_and(|since| now.since(since) >= timeout)
        };
        let expired: Vec<UpstreamId> = self
            .unconfirmed
            .iter()
            .filter(has_timed_out)
            .cloned()
            .collect();
        changes.extend(expired.into_iter().filter_map(|id| self.remove(&id)));
        changes
    }

    fn take_reinstated(&mut self, now: Time) -> Vec<(UpstreamId, UpstreamRecord)> {
        let upstreams = &self.upstreams;
        let is_registered = |name: &UpstreamName| registered(upstreams, name).is_some();
        self.incarnations.expire(now, is_registered)
    }

    /// Returns the registration of the current incarnation of a name.
    pub fn registered(&self, name: &UpstreamName) -> Option<&Registration> {
        registered(&self.upstreams, name)
    }

    /// Returns the registration of an incarnation.
    pub fn get(&self, id: &UpstreamId) -> Option<&Registration> {
        self.upstreams.get(id)
    }

    /// Returns all registered upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Registration> {
        self.upstreams.values()
    }

    /// Returns the upstreams of a service that accept new work.
    pub fn ready<'a, 'b>(
        &'a self,
        service: &'b ServiceName,
    ) -> impl Iterator<Item = &'a Registration> + use<'a, 'b> {
        self.upstreams.values().filter(move |registration| {
            registration.record.service == *service
                && registration.record.state == UpstreamState::Ready
        })
    }
}

/// Returns the registration of a name, of which there is at most one.
fn registered<'a>(
    upstreams: &'a BTreeMap<UpstreamId, Registration>,
    name: &UpstreamName,
) -> Option<&'a Registration> {
    let first = UpstreamId {
        name: name.clone(),
        started_at: None,
    };
    let (id, registration) = upstreams.range(first..).next()?;
    (id.name == *name).then_some(registration)
}
