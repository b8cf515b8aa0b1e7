//! Entries of the store that name nothing to use, as other writers leave them.
//!
//! Invariant: such an entry costs one line for as long as it stays unusable, however often
//! it is written, and takes nothing from the entries beside it.

use super::ViewNotice;
use beamtray_catalog::{Configuration, UpstreamRecord};
use beamtray_types::ServiceName;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Longest cause that is told, in bytes: a decoder may quote a value of a megabyte.
const MAX_CAUSE_LENGTH: usize = 200;

/// How many entries below one prefix can't be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnusableCounts {
    /// Entries whose value is not what it should be.
    pub unreadable: usize,
    /// Registrations of services that no configuration has named.
    pub unknown_service: usize,
}

/// Keys whose value can't be read.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreadableKeys(BTreeSet<String>);

impl UnreadableKeys {
    /// Notes an unreadable value; what to tell of it, unless it was unreadable before.
    pub fn note(&mut self, key: String, cause: &str) -> Option<ViewNotice> {
        if !self.0.insert(key.clone()) {
            return None;
        }
        let cause = truncated(cause);
        Some(ViewNotice::Unreadable { key, cause })
    }

    /// Notes that a value could be read, or is gone.
    pub fn forget(&mut self, key: &str) {
        self.0.remove(key);
    }

    /// How many keys below a prefix there are.
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
/// They are no evidence about an upstream whose address they bear, and no part of what
/// vanishes together. A service that was named once stays known: upstreams of a service
/// that comes back would have to get their keys anew.
#[derive(Clone, Debug, Default)]
pub(super) struct UnknownServices {
    /// Services that a configuration named; `None` before the first one.
    known_services: Option<BTreeSet<ServiceName>>,
    /// By the key of the entry.
    registrations: BTreeMap<String, UpstreamRecord>,
}

impl UnknownServices {
    /// Whether an upstream of that service is one. Before there is a configuration, none is.
    pub fn is_unknown(&self, service: &ServiceName) -> bool {
        let known = self.known_services.as_ref();
        known.is_some_and(|known| !known.contains(service))
    }

    /// Keeps a registration aside; what to tell of it, unless it was there before.
    pub fn insert(&mut self, key: String, record: UpstreamRecord) -> Option<ViewNotice> {
        let notice = ViewNotice::UnknownService {
            key: key.clone(),
            service: record.service.clone(),
        };
        let known = self.registrations.insert(key, record);
        known.is_none().then_some(notice)
    }

    /// Drops the registration of that key.
    pub fn remove(&mut self, key: &str) {
        self.registrations.remove(key);
    }

    /// Takes the services of a configuration; the registrations that it names now.
    pub fn set_known(&mut self, configuration: &Configuration) -> Vec<UpstreamRecord> {
        let services = configuration.services.iter();
        let known_services = self.known_services.get_or_insert_default();
        known_services.extend(services.map(|service| service.name.clone()));
        let newly_known = self
            .registrations
            .extract_if(.., |_, record| known_services.contains(&record.service));
        newly_known.map(|(_, record)| record).collect()
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.registrations.len()
    }
}
