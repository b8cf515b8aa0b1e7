//! A node's view of the registered upstreams.
//!
//! A registration that vanishes while the metadata store is sound means that
//! the upstream left. One that vanishes right after an outage of the store, or
//! together with many others, proves nothing: leases ran out while upstreams
//! could not renew them. Such an upstream is kept as *unconfirmed* until it
//! registers again, another one answers at its address, or it has had enough
//! time to register again.
//!
//! The doubt must be short. A node that was cut off alone sees the same, and
//! must not send to upstreams that left meanwhile once it counts as connected.

use crate::evacuation::Evacuations;
use crate::incarnations::{Incarnations, Observation};
use crate::upstream::{UpstreamId, UpstreamName, UpstreamRecord, UpstreamState};
use beamtray_types::{ServiceName, Time, Zone};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Part of all registrations, in percent, that do not vanish together unless
/// something is wrong with the store.
const MASS_LOSS_PERCENT: usize = 40;

/// How long late writes of an upstream that was found gone are expected.
const GONE_RETENTION: Duration = Duration::from_secs(120);
/// Between looks for upstreams that need not be remembered any more.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Timing of a directory.
#[derive(Clone, Copy, Debug)]
pub struct DirectoryPolicy {
    /// How long after the store's last trouble a vanished registration proves
    /// nothing.
    pub outage_grace: Duration,
    /// How long an upstream has to register again after its registration
    /// vanished.
    pub reregistration_timeout: Duration,
}

/// An upstream as the directory holds it.
#[derive(Clone, Debug)]
pub struct Registration {
    /// What it said last.
    pub record: Rc<UpstreamRecord>,
    /// When its warm-up ends.
    pub warm_at: Time,
    /// Until when it counts as cold whatever its entry says.
    cold_until: Time,
    /// Since when its registration is missing without proof that it left.
    pub unconfirmed_since: Option<Time>,
}

/// What a new view changed, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// An upstream appeared or changed what it says.
    Registered(UpstreamId, UpstreamState),
    /// An upstream is gone.
    Removed(UpstreamId),
    /// A registration is missing, which proves nothing now.
    Unconfirmed(UpstreamId),
    /// An upstream says in its answers that it leaves.
    Leaves(UpstreamId),
    /// The upstreams of a zone are to get nothing.
    Evacuated(Zone),
    /// They may get work again.
    Readmitted(Zone),
    /// An upstream started again under its name: the incarnation before has ended.
    Restarted {
        /// The incarnation before.
        earlier: UpstreamId,
        /// The one that counts now.
        later: UpstreamId,
        /// Where the earlier one listened, or the later one if that is not known.
        address: SocketAddr,
    },
}

/// A node's view of the registered upstreams.
#[derive(Clone, Debug)]
pub struct Directory {
    policy: DirectoryPolicy,
    upstreams: BTreeMap<UpstreamId, Registration>,
    /// Counts the changes: who keeps an index of its own follows it by this.
    change_count: u64,
    /// Upstreams that are unconfirmed.
    unconfirmed: BTreeSet<UpstreamId>,
    next_cleanup: Time,
    last_store_failure: Option<Time>,
    /// When some node was last known to have the store's answers to all of its calls. It is
    /// judged anew at each time at which registrations vanish.
    last_store_healthy: Option<Time>,
    /// Upstreams that were found gone, and when.
    gone: BTreeMap<UpstreamId, Time>,
    /// Upstreams that said in answers or in their entries that they leave, and when that was
    /// first heard. None comes back from that as the same incarnation; an entry that says
    /// otherwise is older, and the store may have gone back to it.
    leaving: BTreeMap<UpstreamId, Time>,
    /// Zones whose upstreams are to get nothing.
    evacuations: Evacuations,
    /// Which incarnation counts where an upstream started again under its name.
    incarnations: Incarnations,
}

impl Directory {
    /// An empty view.
    pub fn new(policy: DirectoryPolicy) -> Self {
        Self {
            policy,
            upstreams: BTreeMap::new(),
            change_count: 0,
            unconfirmed: BTreeSet::new(),
            next_cleanup: Time::ZERO,
            last_store_failure: None,
            last_store_healthy: None,
            gone: BTreeMap::new(),
            leaving: BTreeMap::new(),
            evacuations: Evacuations::default(),
            incarnations: Incarnations::default(),
        }
    }

    /// Number of changes so far; an index that was made at this number is still
    /// right.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Puts another timing in force.
    pub fn set_policy(&mut self, policy: DirectoryPolicy) {
        self.policy = policy;
    }

    /// Notes that the store failed to answer at that time, or said that it lost
    /// history.
    pub fn note_store_failure(&mut self, at: Time) {
        self.last_store_failure = self.last_store_failure.max(Some(at));
    }

    /// Notes that some node has the answers to all of its calls. Trouble that others have
    /// with the store is then their path's: leases did not run out for lack of a store.
    pub fn note_store_healthy(&mut self, at: Time) {
        self.last_store_healthy = self.last_store_healthy.max(Some(at));
    }

    /// Takes a registration. One of an upstream that was found gone, or that has started
    /// again since, is a late write of that upstream and changes nothing.
    ///
    /// Two upstreams may claim one address for a while, the one that ended and
    /// the one that has the address now, and either may be the newer entry: a
    /// dead upstream's write can come late. Only the address itself tells.
    pub fn register(&mut self, now: Time, record: UpstreamRecord) -> Vec<DirectoryChange> {
        if self.gone.contains_key(&record.id) {
            return Vec::new();
        }
        match self.incarnations.observe_entry(now, &record) {
            Observation::Current => self.insert(now, record).into_iter().collect(),
            Observation::RestartOf(earlier) => self.replace_incarnation(now, earlier, record),
            Observation::Replaced => Vec::new(),
        }
    }

    /// Lets an incarnation take the place of the one before.
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

    /// Lets the upstreams of a zone get nothing from now on.
    pub fn evacuate(&mut self, now: Time, zone: Zone) -> Option<DirectoryChange> {
        if !self.evacuations.begin(now, zone.clone()) {
            return None;
        }
        self.change_count += 1;
        Some(DirectoryChange::Evacuated(zone))
    }

    /// Ends the evacuation of a zone; `warm_up` tells for how long upstreams of a service may
    /// be cold after it.
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

    /// Since when an upstream is to get nothing, its zone being evacuated.
    pub fn evacuated_since(&self, registration: &Registration) -> Option<Time> {
        self.evacuations.since(&registration.record.zone)
    }

    /// Takes the absence of registrations that vanished together.
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

    /// Removes an upstream at whose address another one answers.
    pub fn confirm_gone(&mut self, now: Time, id: &UpstreamId) -> Option<DirectoryChange> {
        self.gone.insert(id.clone(), now);
        self.remove(id)
    }

    /// Takes an upstream's word that it leaves, from an answer. It holds for as long as this
    /// incarnation is there, whatever its entry says: the store may not have been told yet, or
    /// an entry may have been written before the answer.
    pub fn mark_leaving(&mut self, now: Time, id: &UpstreamId) -> Option<DirectoryChange> {
        if self.leaving.contains_key(id) || self.gone.contains_key(id) {
            return None;
        }
        self.leaving.insert(id.clone(), now);
        if let Some(registration) = self.upstreams.get_mut(id) {
            Rc::make_mut(&mut registration.record).state = UpstreamState::Draining;
            self.change_count += 1;
        }
        Some(DirectoryChange::Leaves(id.clone()))
    }

    /// Upstreams that said that they leave and are still there, as far as known.
    pub fn leaving(&self) -> impl Iterator<Item = &UpstreamId> {
        let ids = self.leaving.keys();
        ids.filter(|id| self.upstreams.contains_key(id))
    }

    /// Removes an upstream whose entry names it no more: that is no lapse of a lease, so
    /// there is nothing to wait for, and no proof that it ended, so it may come back.
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

    /// Removes unconfirmed upstreams that had enough time.
    pub fn expire(&mut self, now: Time) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        if now >= self.next_cleanup {
            self.next_cleanup = now + CLEANUP_INTERVAL;
            self.gone
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

    /// The incarnation of that name that counts.
    pub fn registered(&self, name: &UpstreamName) -> Option<&Registration> {
        registered(&self.upstreams, name)
    }

    /// The upstream of that id.
    pub fn get(&self, id: &UpstreamId) -> Option<&Registration> {
        self.upstreams.get(id)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Registration> {
        self.upstreams.values()
    }

    /// Upstreams of a service that take new work.
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

/// The registration of a name: there is one at most.
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
