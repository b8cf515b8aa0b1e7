//! The granter's handling of its standbys: choosing them, processing their reports and issuing
//! their leases.

use crate::core::grants::Grants;
use crate::core::records::NodeRecord;
use crate::core::standby::{StandbyLease, StandbyReport};
use crate::core::views::Views;
use beamtray_sharding::{Granter, StandbyId, StandbyStatus};
use beamtray_types::{ServiceName, Time};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Number of standbys: one may be lost together with the granter.
const STANDBY_COUNT: usize = 2;
/// Interval at which leases are issued.
const LEASE_INTERVAL: Duration = Duration::from_millis(200);

/// The granter's record of standby reports, and its schedule of leases.
#[derive(Clone, Debug, Default)]
pub(crate) struct StandbyLeases {
    /// When each standby sent its last report, by its own clock.
    echoes: BTreeMap<StandbyId, Time>,
    next_leases_at: Time,
}

impl StandbyLeases {
    /// The standby leases that are due.
    pub fn poll(
        &mut self,
        now: Time,
        epoch: u64,
        own: StandbyId,
        granters: &mut [&mut Granter],
        views: &Views,
        wanted: &[StandbyId],
    ) -> Vec<(SocketAddr, StandbyLease)> {
        if now < self.next_leases_at {
            return Vec::new();
        }
        self.next_leases_at = now + LEASE_INTERVAL;
        for granter in granters.iter_mut() {
            mark_terminated(now, own, granter, views);
        }
        let mut recipients: BTreeSet<StandbyId> = BTreeSet::new();
        for granter in granters.iter_mut() {
            granter.set_standbys(now, wanted);
            recipients.extend(granter.standbys_to_authorize(now));
        }
        let mut leases = Vec::new();
        for id in recipients {
            for granter in granters.iter_mut() {
                granter.standby_authorized(now, &id);
            }
            let lease = StandbyLease {
                epoch,
                run: id.run,
                echo: self.echoes.get(&id).copied().unwrap_or_default(),
            };
            leases.push((id.address, lease));
        }
        leases
    }

    /// Handles a standby's report.
    pub fn handle_report(
        &mut self,
        now: Time,
        from: SocketAddr,
        report: &StandbyReport,
        all: &mut BTreeMap<ServiceName, Grants>,
    ) {
        let id = StandbyId {
            address: from,
            run: report.run,
        };
        let echo = self.echoes.entry(id).or_default();
        *echo = report.sent.max(*echo);
        let prolonged = report
            .prolonged_ms
            .map(u64::from)
            .map(Duration::from_millis);
        for (service, grants) in all {
            let known = report.known.iter().find(|known| known.service == *service);
            let answer = StandbyStatus {
                known_record: known.map(|known| known.number),
                prolonged,
            };
            grants.granter.standby_reported(now, &id, answer);
        }
    }
}

/// Marks standbys that no longer prolong holds: nodes that decline, and nodes registered at the
/// same address with a different run, whose earlier process has therefore terminated. This node's
/// own standby role ended when it became the granter.
fn mark_terminated(now: Time, own: StandbyId, granter: &mut Granter, views: &Views) {
    for id in granter.standbys() {
        let mut nodes = views.nodes.values();
        let node = nodes.find(|node| node.peers == id.address);
        let ended = node.is_some_and(|node| node.run != id.run || node.declines_standby);
        if ended || id == own {
            granter.standby_terminated(now, &id);
        }
    }
}

/// Chooses standbys among the nodes that are heard, by capacity. Zones other than the granter's
/// come first, and no two standbys share a zone if that can be avoided.
pub(crate) fn choose_standbys(own: &NodeRecord, nodes: &[&NodeRecord]) -> Vec<StandbyId> {
    let mut sorted: Vec<&&NodeRecord> = nodes
        .iter()
        .filter(|node| node.peers != own.peers)
        .collect();
    sorted.sort_by_key(|node| {
        let rank = Reverse(node.capacity);
        (node.zone == own.zone, rank, xxh3_64(node.name.as_bytes()))
    });
    let mut chosen: Vec<&NodeRecord> = Vec::new();
    for node in &sorted {
        if chosen.iter().all(|other| other.zone != node.zone) {
            chosen.push(node);
        }
    }
    for node in &sorted {
        if !chosen.iter().any(|other| other.peers == node.peers) {
            chosen.push(node);
        }
    }
    let ids = chosen
        .into_iter()
        .take(STANDBY_COUNT)
        .map(|node| StandbyId {
            address: node.peers,
            run: node.run,
        });
    ids.collect()
}
