//! The upstreams of each service that take new work, ready to be chosen from.
//!
//! Made anew when the directory changes, so that a choice does not look at the
//! upstreams of other services, nor names each one again.

use crate::report::UpstreamHash;
use beamtray_catalog::{Directory, Registration, UpstreamState};
use beamtray_types::{ServiceName, Time};
use std::collections::HashMap;
use std::rc::Rc;

/// One upstream that may be chosen.
#[derive(Clone, Debug)]
pub(super) struct PoolMember {
    pub hash: UpstreamHash,
    pub registration: Registration,
}

/// The upstreams of each service that take new work.
#[derive(Clone, Debug, Default)]
pub(super) struct Pools {
    /// State of the directory that this was made from.
    made_of: Option<u64>,
    members: HashMap<ServiceName, Rc<[PoolMember]>>,
    /// When the last upstream of each service is warm.
    warm_at: HashMap<ServiceName, Time>,
}

impl Pools {
    /// Follows the directory.
    pub fn follow(&mut self, directory: &Directory) {
        if self.made_of == Some(directory.change_count()) {
            return;
        }
        self.made_of = Some(directory.change_count());
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

    /// When the last upstream of a service is warm.
    pub fn warm_at(&self, service: &ServiceName) -> Time {
        self.warm_at.get(service).copied().unwrap_or_default()
    }

    /// The upstreams of a service that take new work, in the order of their ids.
    pub fn of(&self, service: &ServiceName) -> Rc<[PoolMember]> {
        self.members.get(service).cloned().unwrap_or_default()
    }
}
