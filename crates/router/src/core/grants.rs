//! The grants of one service, and their record in the store.

use crate::core::records::OwnKeys;
use crate::core::views::Views;
use beamtray_catalog::{UpstreamId, UpstreamState};
use beamtray_dispatch::{Dispatcher, UpstreamHash};
use beamtray_metastore::{Condition, Item, Revision, StoreCall, Transaction, Write};
use beamtray_sharding::{AssignmentRecord, Candidate, Granter, GranterTiming, Standing};
use beamtray_types::{ServiceName, Time};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time of a request where nothing is learned yet, in seconds.
const UNKNOWN_WORK: f64 = 0.1;

/// A record that is being written.
#[derive(Clone, Debug)]
pub(crate) struct Writing {
    pub(crate) record: AssignmentRecord,
}

/// Grants of one service.
pub(crate) struct Grants {
    pub(crate) granter: Granter,
    /// Revision of the record in the store.
    pub(crate) revision: Revision,
    pub(crate) writing: Option<Writing>,
    pub(crate) write_at: Time,
}

pub(crate) fn read_assignments(after: Option<String>) -> StoreCall {
    StoreCall::Range {
        prefix: OwnKeys::ASSIGNMENTS.to_owned(),
        after,
    }
}

pub(crate) fn adopt(
    now: Time,
    timing: GranterTiming,
    epoch: beamtray_metastore::Epoch,
    item: &Item,
) -> Option<(ServiceName, Grants)> {
    let service = item.key.strip_prefix(OwnKeys::ASSIGNMENTS)?;
    let record: AssignmentRecord = borsh::from_slice(&item.value).ok()?;
    let mut granter = Granter::new(now, timing, epoch, Some(&record));
    granter.not_written();
    let grants = Grants {
        granter,
        revision: item.revision,
        writing: None,
        write_at: now,
    };
    Some((service.into(), grants))
}

pub(crate) fn write_record(
    service: &ServiceName,
    record: &AssignmentRecord,
    revision: Revision,
    granter: Revision,
) -> StoreCall {
    let key = OwnKeys::assignment(service);
    StoreCall::Commit(Transaction {
        conditions: vec![
            Condition {
                key: OwnKeys::GRANTER.to_owned(),
                revision: granter,
            },
            Condition {
                key: key.clone(),
                revision,
            },
        ],
        writes: vec![Write {
            key,
            value: encode(record),
            lease: None,
        }],
        removals: Vec::new(),
    })
}

pub(crate) fn encode(record: &AssignmentRecord) -> Vec<u8> {
    // Writing borsh to memory can't fail.
    borsh::to_vec(record).unwrap_or_default()
}

pub(crate) fn candidates(
    service: &ServiceName,
    views: &Views,
    dispatcher: &Dispatcher,
) -> Vec<Candidate> {
    let speeds = dispatcher.speeds();
    let work = speeds.service_mean(service).unwrap_or(UNKNOWN_WORK);
    let of_service = views
        .directory
        .iter()
        .filter(|registration| registration.record.service == *service);
    of_service
        .map(|registration| {
            let record = &registration.record;
            let hash = UpstreamHash::of(&record.id);
            let slowness = speeds.slowness(hash);
            Candidate {
                id: record.id.clone(),
                standing: match record.state {
                    UpstreamState::Ready => Standing::Ready,
                    UpstreamState::Draining => Standing::Draining,
                },
                capacity: f64::from(record.slots) / (work * slowness),
                heard: dispatcher.heard(hash),
            }
        })
        .collect()
}

/// Asks holders whose address another upstream claims too: whoever has the
/// address tells.
pub(crate) fn probe_claimed(now: Time, granter: &mut Granter, views: &Views) {
    let mut claims: BTreeMap<SocketAddr, Vec<&UpstreamId>> = BTreeMap::new();
    for registration in views.directory.iter() {
        let record = &registration.record;
        claims.entry(record.address).or_default().push(&record.id);
    }
    let contested = claims.values().filter(|ids| ids.len() > 1);
    for id in contested.flatten() {
        granter.probe(now, id);
    }
}
