//! Unusable store entries, such as those left by other writers.
//!
//! Invariant: an unusable entry is logged once for as long as it remains unusable, however often it
//! is rewritten, and does not affect other entries.

use super::ViewNotice;
use beamtray_catalog::{Configuration, UpstreamRecord};
use beamtray_types::ServiceName;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Maximum length of a reported cause in bytes: a decoder may quote a value of a megabyte.
const MAX_CAUSE_LENGTH: usize = 200;

/// Number of unusable entries below one prefix.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnusableCounts {
    /// Entries whose value can't be decoded.
    pub unreadable: usize,
    /// Registrations of services that no configuration has named.
    pub unknown_service: usize,
}

/// Keys whose value can't be decoded.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreadableKeys(BTreeSet<String>);

impl UnreadableKeys {
    /// Records an unreadable value; returns a notice unless it was already recorded.
    pub fn record(&mut self, key: String, cause: &str) -> Option<ViewNotice> {
        if !self.0.insert(key.clone()) {
            return None;
        }
        let cause = truncated(cause);
        Some(ViewNotice::Unreadable { key, cause })
    }

    /// Removes a key whose value was decoded or removed.
    pub fn forget(&mut self, key: &str) {
        self.0.remove(key);
    }

    /// Number of recorded keys below a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let from = self
            .0
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        from.take_while(|key| key.starts_with(prefix)).count()
    }
}

fn truncated(cause: &str) -> String {
    if cause.len() <= MAX_CAUSE_LENGTH {
        return cause.to_owned();
    }
    let end = cause.floor_char_boundary(MAX_CAUSE_LENGTH);
    format!("{}...", &cause[..end])
}

/// Registrations of services that no configuration has named so far.
///
/// They are not evidence about another upstream with the same address, and do not count when
/// registrations vanish together. A service that was named once stays known: otherwise the
/// upstreams of a service that is removed and restored would have to acquire their keys again.
#[derive(Clone, Debug, Default)]
pub(super) struct UnknownServices {
    /// Services named by any configuration so far; `None` before the first configuration.
    known_services: Option<BTreeSet<ServiceName>>,
    /// The registrations by their store keys.
    registrations: BTreeMap<String, UpstreamRecord>,
}

impl UnknownServices {
    /// Whether the service is unknown. Before the first configuration, no service is.
    pub fn is_unknown(&self, service: &ServiceName) -> bool {
        let known = self.known_services.as_ref();
        known.is_some_and(|known| !known.contains(service))
    }

    /// Stores a registration; returns a notice unless the key was already present.
    pub fn insert(&mut self, key: String, record: UpstreamRecord) -> Option<ViewNotice> {
        let notice = ViewNotice::UnknownService {
            key: key.clone(),
            service: record.service.clone(),
        };
        let known = self.registrations.insert(key, record);
        known.is_none().then_some(notice)
    }

    /// Removes the registration with this key.
    pub fn remove(&mut self, key: &str) {
        self.registrations.remove(key);
    }

    /// Adds the services of a configuration. Returns the stored registrations that it names.
    pub fn set_known(&mut self, configuration: &Configuration) -> Vec<UpstreamRecord> {
        let services = configuration.services.iter();
        let known_services = self.known_services.get_or_insert_default();
        known_services.extend(services.map(|service| service.name.clone()));
        let newly_known = self
            .registrations
            .extract_if(.., |_, record| known_services.contains(&record.service));
        newly_known.map(|(_, record)| record).collect()
    }

    /// Number of stored registrations.
    pub fn count(&self) -> usize {
        self.registrations.len()
    }
}
