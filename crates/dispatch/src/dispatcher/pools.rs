//! Index of the upstreams of each service that accept new work.
//!
//! Rebuilt when the directory changes, so that selecting an upstream neither scans the
//! upstreams of other services nor hashes their ids again.

use crate::report::UpstreamHash;
use beamtray_catalog::{Directory, Registration, UpstreamState};
use beamtray_types::{ServiceName, Time, Zone};
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
    /// Those in one zone.
    near: HashMap<ServiceName, Rc<[PoolMember]>>,
    /// When the last upstream of each service becomes warm.
    warm_at: HashMap<ServiceName, Time>,
}

impl Pools {
    /// Rebuilds the index if the directory has changed, and returns whether it has; `zone` is that
    /// of this node.
    pub fn update(&mut self, directory: &Directory, zone: &Zone) -> bool {
        if self.directory_changes == Some(directory.change_count()) {
            return false;
        }
        self.directory_changes = Some(directory.change_count());
        let ready = |one: &&Registration| {
            one.record.state == UpstreamState::Ready && directory.evacuated_since(one).is_none()
        };
        // Keyed by reference: there may be thousands of upstreams of a few services.
        let mut members: HashMap<&ServiceName, Vec<PoolMember>> = HashMap::new();
        let mut warm_at: HashMap<&ServiceName, Time> = HashMap::new();
        for registration in directory.iter().filter(ready) {
            let service = &registration.record.service;
            let latest = warm_at.entry(service).or_default();
            *latest = registration.warm_at.max(*latest);
            members.entry(service).or_default().push(PoolMember {
                hash: UpstreamHash::of(&registration.record.id),
                registration: registration.clone(),
            });
        }
        let is_near = |member: &&PoolMember| member.registration.record.zone == *zone;
        let near = members.iter().map(|(service, pool)| {
            let near = pool.iter().filter(is_near).cloned().collect();
            ((*service).clone(), near)
        });
        self.near = near.collect();
        let warm_at = warm_at.into_iter();
        self.warm_at = warm_at
            .map(|(service, latest)| (service.clone(), latest))
            .collect();
        let members = members.into_iter();
        self.members = members
            .map(|(service, pool)| (service.clone(), pool.into()))
            .collect();
        true
    }

    /// When the last upstream of a service becomes warm.
    pub fn warm_at(&self, service: &ServiceName) -> Time {
        self.warm_at.get(service).copied().unwrap_or_default()
    }

    /// Upstreams of a service that accept new work, ordered by id.
    pub fn of(&self, service: &ServiceName) -> Rc<[PoolMember]> {
        self.members.get(service).cloned().unwrap_or_default()
    }
    /// Those of them in the zone of this node.
    pub fn near(&self, service: &ServiceName) -> Rc<[PoolMember]> {
        self.near.get(service).cloned().unwrap_or_default()
    }
}
