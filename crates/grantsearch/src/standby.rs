//! A standby node that renews recorded grants while it does not hear from the granter.
//!
//! A reduced model of the production standby. It acts on the newest record that it knows, renews
//! grants for the same holder under the same token, and stops when the granter's last
//! authorization expires. The
//! store does not answer it, so it never declines.

use beamtray_sharding::{
    AssignmentRecord, CallId, GrantOrder, Granter, KeyRange, OrderKind, RecordNumber,
    STANDBY_AUTHORIZATION, SliceState, StandbyId, StandbyStatus,
};
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// How long the granter must have been silent before the standby acts.
const GRANTER_SILENCE: Duration = Duration::from_millis(1_200);

/// The id of the standby in records.
pub(crate) fn standby_id() -> StandbyId {
    StandbyId {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000)),
        run: 1,
    }
}

/// State of the standby.
#[derive(Clone, Debug, Default)]
pub(crate) struct Standby {
    authorized_until: Time,
    authorized_at: Option<Time>,
    known_record: Option<AssignmentRecord>,
    renewed_at: Option<Time>,
    due: BTreeMap<KeyRange, Time>,
}

impl Standby {
    /// Exchanges records, status reports and authorizations with the granter.
    pub fn exchange(
        &mut self,
        now: Time,
        granter: &mut Granter,
        record: Option<&AssignmentRecord>,
    ) {
        let known = self.known_record.as_ref().map(AssignmentRecord::number);
        if known < record.map(AssignmentRecord::number) {
            self.known_record = record.cloned();
        }
        let known_record: Option<RecordNumber> =
            self.known_record.as_ref().map(AssignmentRecord::number);
        let prolonged = self.renewed_at.map(|at| now.since(at));
        let id = standby_id();
        granter.standby_reported(
            now,
            &id,
            StandbyStatus {
                known_record,
                prolonged,
            },
        );
        if granter.standbys_to_authorize(now).contains(&id) {
            granter.standby_authorized(now, &id);
            self.authorized_until = now + STANDBY_AUTHORIZATION;
            self.authorized_at = Some(now);
        }
    }

    /// Returns the renewals that are due.
    pub fn poll(&mut self, now: Time, hold: Duration, renewal: Duration) -> Vec<GrantOrder> {
        let silence = self.authorized_at.map(|at| now.since(at));
        let is_acting = now < self.authorized_until && silence >= Some(GRANTER_SILENCE);
        let known = self.known_record.as_ref().filter(|_| is_acting);
        let Some(record) = known.filter(|record| record.standbys.contains(&standby_id())) else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        for slice in &record.slices {
            let due = self.due.entry(slice.range).or_default();
            let SliceState::Held { holder, token } = &slice.state else {
                continue;
            };
            if now < *due {
                continue;
            }
            *due = now + renewal;
            orders.push(GrantOrder {
                call: CallId(0),
                holder: holder.clone(),
                range: slice.range,
                token: *token,
                kind: OrderKind::Grant {
                    hold,
                    handover: None,
                },
            });
        }
        if !orders.is_empty() {
            self.renewed_at = Some(now);
        }
        orders
    }
}
