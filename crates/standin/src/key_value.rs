//! A model of a key-value service: compare-and-swap, leases, watches, a rate limit
//! and outages.

use beamtray_keyvalue::{KeyValueRequest, KeyValueResult};
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Fault-injection switches of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyValueFaults {
    /// Calls have no effect and get no reply.
    pub down: bool,
    /// Calls take effect, but their replies are lost.
    pub loses_replies: bool,
}

#[derive(Clone, Debug)]
struct StoredValue {
    version: u64,
    value: Vec<u8>,
    lease: Option<u64>,
}

/// State of the key-value service.
#[derive(Clone, Debug)]
pub struct KeyValueStore {
    keys: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, Time>,
    next_lease: u64,
    /// Faults that are active.
    pub faults: KeyValueFaults,
    per_second: u32,
    window: Time,
    calls_in_window: u32,
}

impl KeyValueStore {
    /// Creates an empty service that admits `per_second` calls a second.
    pub fn new(per_second: u32) -> Self {
        Self {
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            faults: KeyValueFaults::default(),
            per_second,
            window: Time::ZERO,
            calls_in_window: 0,
        }
    }

    /// Serves one call. Returns `None` if the caller gets no reply.
    pub fn handle(&mut self, now: Time, request: &KeyValueRequest) -> Option<KeyValueResult> {
        if self.faults.down {
            return None;
        }
        if let Some(retry_after) = self.check_rate_limit(now) {
            return Some(KeyValueResult::RateLimited { retry_after });
        }
        self.expire(now);
        let result = match request {
            KeyValueRequest::Get { key } => self.get(key),
            KeyValueRequest::Put {
                key,
                expected,
                value,
            } => self.put(key, *expected, value.clone(), None),
        };
        (!self.faults.loses_replies).then_some(result)
    }

    /// Returns the current version of a key, 0 if absent. Watches wait for it to change.
    pub fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |stored| stored.version)
    }

    /// Returns a key's value, bypassing the rate limit and faults.
    pub fn peek(&self, key: &str) -> Option<&[u8]> {
        self.keys.get(key).map(|stored| stored.value.as_slice())
    }

    /// Grants a lease; keys written under it are removed when it expires.
    pub fn grant_lease(&mut self, now: Time, ttl: Duration) -> u64 {
        let lease = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(lease, now + ttl);
        lease
    }

    /// Renews a lease. Returns false if it has already expired.
    pub fn keep_lease(&mut self, now: Time, lease: u64, ttl: Duration) -> bool {
        self.expire(now);
        let Some(expires) = self.leases.get_mut(&lease) else {
            return false;
        };
        *expires = now + ttl;
        true
    }

    /// Writes a key under a lease. Returns `None` if the lease has expired.
    pub fn put_leased(
        &mut self,
        now: Time,
        key: &str,
        expected: u64,
        value: Vec<u8>,
        lease: u64,
    ) -> Option<KeyValueResult> {
        self.expire(now);
        if !self.leases.contains_key(&lease) {
            return None;
        }
        Some(self.put(key, expected, value, Some(lease)))
    }

    fn get(&self, key: &str) -> KeyValueResult {
        match self.keys.get(key) {
            None => KeyValueResult::Absent,
            Some(stored) => KeyValueResult::Value {
                version: stored.version,
                value: stored.value.clone(),
            },
        }
    }

    fn put(
        &mut self,
        key: &str,
        expected: u64,
        value: Vec<u8>,
        lease: Option<u64>,
    ) -> KeyValueResult {
        let present = self.version(key);
        if present != expected {
            return KeyValueResult::Conflict { version: present };
        }
        let version = present + 1;
        let stored = StoredValue {
            version,
            value,
            lease,
        };
        self.keys.insert(key.to_owned(), stored);
        KeyValueResult::Stored { version }
    }

    fn check_rate_limit(&mut self, now: Time) -> Option<Duration> {
        let second = Duration::from_secs(1);
        if now.since(self.window) >= second {
            self.window = now;
            self.calls_in_window = 0;
        }
        self.calls_in_window += 1;
        (self.calls_in_window > self.per_second)
            .then(|| second.saturating_sub(now.since(self.window)))
    }

    fn expire(&mut self, now: Time) {
        self.leases.retain(|_, expires| now < *expires);
        let leases = &self.leases;
        self.keys.retain(|_, stored| {
            let lease = stored.lease;
            lease.is_none_or(|lease| leases.contains_key(&lease))
        });
    }
}
