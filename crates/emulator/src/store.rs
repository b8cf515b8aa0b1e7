//! An in-memory emulator of the metadata store.

use beamtray_metastore::{
    Condition, Item, LeaseId, Revision, StoreCall, StoreEvent, StoreOutcome, Transaction,
};
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of keys in one page of a range read.
const PAGE_SIZE: usize = 500;

#[derive(Clone, Debug)]
struct StoredValue {
    value: Vec<u8>,
    revision: Revision,
    lease: Option<LeaseId>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    expires: Time,
}

#[derive(Clone, Debug)]
struct Change {
    at: Time,
    key: String,
    event: StoreEvent,
}

/// A watch that has no events to return yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchWait {
    /// Prefix of the watched keys.
    pub prefix: String,
    /// Only changes after this revision are returned.
    pub after: Revision,
    /// When the watch ends even without an event.
    pub until: Time,
}

/// Result of submitting a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The call is complete.
    Done(StoreOutcome),
    /// The watch is pending; poll it with [`StoreEmulator::watch`].
    Waits(WatchWait),
}

/// An emulated metadata store.
#[derive(Clone, Debug)]
pub struct StoreEmulator {
    items: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, Lease>,
    revision: Revision,
    history: Vec<Change>,
    /// Changes up to this revision have been compacted.
    compacted: Revision,
    retention: Duration,
    next_lease: u64,
    /// Whether leases expire; an outage may suspend expiry.
    pub lease_expiry_enabled: bool,
}

impl StoreEmulator {
    /// Creates an empty store that keeps its change history for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            items: BTreeMap::new(),
            leases: BTreeMap::new(),
            revision: Revision::ABSENT,
            history: Vec::new(),
            compacted: Revision::ABSENT,
            retention,
            next_lease: 1,
            lease_expiry_enabled: true,
        }
    }

    /// Advances the time to `now`: expires leases and compacts old history.
    pub fn advance(&mut self, now: Time) {
        if self.lease_expiry_enabled {
            let ended: Vec<u64> = self
                .leases
                .iter()
                .filter(|(_, lease)| lease.expires <= now)
                .map(|(id, _)| *id)
                .collect();
            for id in ended {
                self.remove_lease(now, LeaseId(id));
            }
        }
        let span = self.retention;
        let old = self
            .history
            .iter()
            .take_while(|change| now.since(change.at) > span)
            .count();
        self.compact_oldest(old);
    }

    fn compact_oldest(&mut self, changes: usize) {
        for change in self.history.drain(..changes) {
            self.compacted = self.compacted.max(change.event.revision());
        }
    }

    /// Compacts the whole history.
    pub fn compact(&mut self) {
        let all = self.history.len();
        self.compact_oldest(all);
        self.compacted = self.revision;
    }

    /// Restarts the time to live of every lease, as after an outage that suspended expiry.
    pub fn renew_all_leases(&mut self, now: Time) {
        for lease in self.leases.values_mut() {
            lease.expires = now + lease.ttl;
        }
    }

    /// Restores an older copy: later changes are lost, and their revision numbers are
    /// assigned again.
    pub fn restore(&mut self, copy: StoreEmulator) {
        *self = copy;
    }

    /// Returns the keys that start with `prefix`.
    pub fn keys_with_prefix(&self, prefix: &str) -> Vec<String> {
        let below = self.items.keys().filter(|key| key.starts_with(prefix));
        below.cloned().collect()
    }

    fn remove_lease(&mut self, now: Time, lease: LeaseId) -> bool {
        if self.leases.remove(&lease.0).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, stored)| stored.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision.number += 1;
        }
        for key in keys {
            self.remove(now, &key);
        }
        true
    }

    fn remove(&mut self, now: Time, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        let event = StoreEvent::Removed {
            key: key.to_owned(),
            revision: self.revision,
        };
        self.record_change(now, key, event);
    }

    fn record_change(&mut self, now: Time, key: &str, event: StoreEvent) {
        self.history.push(Change {
            at: now,
            key: key.to_owned(),
            event,
        });
    }

    /// Writes a key unconditionally, as operators and upstreams do.
    pub fn put(&mut self, now: Time, key: &str, value: Vec<u8>) -> Revision {
        self.revision.number += 1;
        self.write(now, key, value, None);
        self.revision
    }

    /// Removes a key unconditionally, as operators and upstreams do.
    pub fn delete(&mut self, now: Time, key: &str) {
        self.revision.number += 1;
        self.remove(now, key);
    }

    fn write(&mut self, now: Time, key: &str, value: Vec<u8>, lease: Option<LeaseId>) {
        let stored = StoredValue {
            value,
            revision: self.revision,
            lease,
        };
        let event = StoreEvent::Put(item(key, &stored));
        self.items.insert(key.to_owned(), stored);
        self.record_change(now, key, event);
    }

    /// Returns the current value and revision of a key.
    pub fn get(&self, key: &str) -> Option<Item> {
        self.items.get(key).map(|stored| item(key, stored))
    }

    /// Executes a call.
    pub fn call(&mut self, now: Time, call: &StoreCall) -> StoreReply {
        self.advance(now);
        StoreReply::Done(match call {
            StoreCall::Get { key } => match self.get(key) {
                Some(item) => StoreOutcome::Found(item),
                None => StoreOutcome::Absent,
            },
            StoreCall::Range { prefix, after } => self.range(prefix, after.as_deref()),
            StoreCall::Watch {
                prefix,
                after,
                wait,
            } => {
                let wait = WatchWait {
                    prefix: prefix.clone(),
                    // The wire format carries only the revision number.
                    after: Revision::new(after.number),
                    until: now + *wait,
                };
                return match self.watch(now, &wait) {
                    Some(outcome) => StoreReply::Done(outcome),
                    None => StoreReply::Waits(wait),
                };
            }
            StoreCall::Commit(transaction) => self.commit(now, transaction),
            StoreCall::GrantLease { ttl } => self.grant(now, *ttl),
            StoreCall::KeepLease { lease } => match self.leases.get_mut(&lease.0) {
                Some(held) => {
                    held.expires = now + held.ttl;
                    StoreOutcome::Leased {
                        lease: None,
                        ttl: held.ttl,
                    }
                }
                None => StoreOutcome::Absent,
            },
            StoreCall::RevokeLease { lease } => {
                if self.remove_lease(now, *lease) {
                    StoreOutcome::Revoked
                } else {
                    StoreOutcome::Absent
                }
            }
        })
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> StoreOutcome {
        let below = self
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let mut items: Vec<Item> = below.map(|(key, stored)| item(key, stored)).collect();
        let more = items.len() > PAGE_SIZE;
        items.truncate(PAGE_SIZE);
        StoreOutcome::Page {
            items,
            more,
            at: self.revision,
        }
    }

    /// Returns the outcome of a pending watch, or `None` while it has to wait.
    pub fn watch(&self, now: Time, wait: &WatchWait) -> Option<StoreOutcome> {
        if wait.after < self.compacted || wait.after > self.revision {
            return Some(StoreOutcome::Compacted);
        }
        let events: Vec<StoreEvent> = self
            .history
            .iter()
            .filter(|change| change.event.revision() > wait.after)
            .filter(|change| change.key.starts_with(&wait.prefix))
            .map(|change| change.event.clone())
            .collect();
        if events.is_empty() && now < wait.until {
            return None;
        }
        Some(StoreOutcome::Events {
            events,
            at: self.revision,
        })
    }

    fn commit(&mut self, now: Time, transaction: &Transaction) -> StoreOutcome {
        let missing = transaction
            .writes
            .iter()
            .filter_map(|write| write.lease)
            .any(|lease| !self.leases.contains_key(&lease.0));
        if missing {
            return StoreOutcome::Absent;
        }
        if !transaction
            .conditions
            .iter()
            .all(|one| self.condition_holds(one))
        {
            let keys = transaction.conditions.iter();
            return StoreOutcome::Conflict {
                items: keys.filter_map(|one| self.get(&one.key)).collect(),
            };
        }
        self.revision.number += 1;
        for write in &transaction.writes {
            self.write(now, &write.key, write.value.clone(), write.lease);
        }
        for key in &transaction.removals {
            self.remove(now, key);
        }
        StoreOutcome::Committed {
            revision: self.revision,
        }
    }

    fn condition_holds(&self, condition: &Condition) -> bool {
        let stored = self.items.get(&condition.key);
        let revision = stored.map_or(Revision::ABSENT, |stored| stored.revision);
        revision.number == condition.revision.number
    }

    fn grant(&mut self, now: Time, ttl: Duration) -> StoreOutcome {
        let lease = LeaseId(self.next_lease);
        self.next_lease += 1;
        let expires = now + ttl;
        self.leases.insert(lease.0, Lease { ttl, expires });
        StoreOutcome::Leased {
            lease: Some(lease),
            ttl,
        }
    }
}

fn item(key: &str, stored: &StoredValue) -> Item {
    Item {
        key: key.to_owned(),
        value: stored.value.clone(),
        revision: stored.revision,
    }
}
