//! Index of the upstreams of each service that accept new work.
//!
//! Rebuilt when the directory changes, so that selecting an upstream neither scans the
//! upstreams of other services nor hashes their ids again.

use crate::report::UpstreamHash;
use beamtray_catalog::{Directory, Registration, UpstreamState};
use beamtray_types::{ServiceName, Time};
use std::collections::HashMap;
use std::rc::Rc;

/// One upstream that may be selected.
#[derive(Clone, Debug)]
pub(super) struct PoolMember {
    pub hash: UpstreamHash,
    pub registration: Registration,
}

/// The upstreams of each service that accept new work.
#[derive(Clone, Debug, Default)]
pub(super) struct Pools {
    /// Change counter of the directory that the index was built from.
    directory_changes: Option<u64>,
    members: HashMap<ServiceName, Rc<[PoolMember]>>,
    /// When the last upstream of each service becomes warm.
    warm_at: HashMap<ServiceName, Time>,
}

impl Pools {
    /// Rebuilds the index if the directory has changed.
    pub fn update(&mut self, directory: &Directory) {
        if self.directory_changes == Some(directory.change_count()) {
            return;
        }
        self.directory_changes = Some(directory.change_count());
        let mut members: HashMap<ServiceName, Vec<PoolMember>> = HashMap::new();
        self.warm_at.clear();
        let ready = |one: &&Registration| {
            one.record.state == UpstreamState::Ready && directory.evacuated_since(one).is_none()
        };
        for registration in directory.iter().filter(ready) {
            let record = &registration.record;
            let member = PoolMember {
                hash: UpstreamHash::of(&record.id),
                registration: registration.clone(),
            };
            let warm_at = self.warm_at.entry(record.service.clone()).or_default();
            *warm_at = registration.warm_at.max(*warm_at);
            let pool = members.entry(record.service.clone());
            pool.or_default().push(member);
        }
        let members = members.into_iter();
        self.members = members
            .map(|(service, pool)| (service, pool.into()))
            .collect();
    }

    /// When the last upstream of a service becomes warm.
    pub fn warm_at(&self, service: &ServiceName) -> Time {
        self.warm_at.get(service).copied().unwrap_or_default()
    }

    /// Upstreams of a service that accept new work, ordered by id.
    pub fn of(&self, service: &ServiceName) -> Rc<[PoolMember]> {
        self.members.get(service).cloned().unwrap_or_default()
    }
}
