//! Standbys: nodes that may extend recorded grants while there is no granter.
//!
//! If the granter and the metadata store fail at the same time, no successor can be elected
//! and nobody is allowed to grant. Without standbys all keys would lose their owner as soon
//! as the short grants expire. A standby may ask the *same* holder under the *same* token to
//! keep its keys. It can neither move keys nor grant keys that no record assigns.
//!
//! A granter names its standbys in its records and sends them authorizations; each one lets a
//! standby extend grants for [`STANDBY_AUTHORIZATION`]. A standby reports which record it
//! knows.
//!
//! Invariant: keys of an unresponsive holder are assigned to another upstream only when each
//! standby that a record names either knows the record in which the keys are leaving or has
//! no valid authorization any more, and when no order that it sent before can be in force.
//! Otherwise a standby that is partitioned together with the holder, but not from it, keeps
//! extending its grants while the granter assigns the keys to another upstream.

use crate::record::RecordNumber;
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a standby may extend grants after the granter's last authorization: the longest
/// store outage to be bridged, plus an election.
pub const STANDBY_AUTHORIZATION: Duration = Duration::from_secs(11);
/// How much slower than the granter's clock a standby's clock may run, in percent.
const DRIFT_PERCENT: u32 = 2;
/// A standby that has not reported for this long gets no further authorizations.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// One run of a node in the role of a standby.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct StandbyId {
    /// Address at which the node listens for other nodes.
    pub address: SocketAddr,
    /// Distinguishes the runs of the node.
    pub run: u64,
}

/// What a standby reports to the granter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandbyStatus {
    /// The newest record that it knows.
    pub known_record: Option<RecordNumber>,
    /// How long ago it last sent an order to extend a grant.
    pub prolonged: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Standby {
    known_record: Option<RecordNumber>,
    /// Until when it may extend grants.
    authorized_until: Time,
    /// Until when grants that it reported to have extended may be in force.
    holds_until: Time,
    /// When it last reported, or was first named.
    last_report: Time,
    /// Sequence number of the first record that names it.
    named_in: u64,
    /// If false, it gets no further authorizations and is removed once the last one has
    /// expired.
    is_wanted: bool,
}

/// Bounds on how long an order of a standby may be in force.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StandbyBounds {
    /// Longest duration of an extended grant.
    pub hold: Duration,
    /// Longest time from the decision to send an order to its arrival.
    pub transit: Duration,
}

/// The standbys named in a granter's records.
#[derive(Clone, Debug)]
pub(crate) struct Standbys {
    bounds: StandbyBounds,
    named: BTreeMap<StandbyId, Standby>,
    /// Until when standbys that no record names may have extended grants.
    unknown_until: Time,
}

impl Standbys {
    pub fn new(bounds: StandbyBounds) -> Self {
        Self {
            bounds,
            named: BTreeMap::new(),
            unknown_until: Time::ZERO,
        }
    }

    /// Adopts the standbys named by the record of an earlier term, whose granter lost its
    /// authority before `now`.
    pub fn adopt(&mut self, now: Time, named: &[StandbyId]) {
        for id in named {
            self.named.insert(
                *id,
                Standby {
                    known_record: None,
                    authorized_until: self.authorization_end(now),
                    holds_until: now,
                    last_report: now,
                    named_in: 0,
                    is_wanted: false,
                },
            );
        }
    }

    /// Accounts for unknown standbys of an earlier term: each of them may have been
    /// authorized until `now`.
    pub fn adopt_unknown(&mut self, now: Time) {
        self.unknown_until = self.last_order_end(self.authorization_end(now));
    }

    /// The end of an authorization. A standby counts it from when it sent the report that the
    /// authorization echoes, so the network delay of neither message matters.
    fn authorization_end(&self, sent: Time) -> Time {
        sent + STANDBY_AUTHORIZATION * (100 + DRIFT_PERCENT) / 100
    }

    fn order_end(&self, sent: Time) -> Time {
        sent + self.bounds.transit + self.bounds.hold
    }

    /// The standbys that the next record names.
    pub fn ids(&self) -> Vec<StandbyId> {
        self.named.keys().copied().collect()
    }

    /// Sets the wanted standbys and returns whether the set that records name has changed.
    /// `sequence` is the number of the next record.
    pub fn set_wanted(&mut self, now: Time, wanted: &[StandbyId], sequence: u64) -> bool {
        let before = self.ids();
        let last_order = self.bounds.transit + self.bounds.hold;
        self.named.retain(|id, standby| {
            let over = now >= standby.authorized_until + last_order && now >= standby.holds_until;
            wanted.contains(id) || !over
        });
        let authorized_until = self.authorization_end(now);
        for id in wanted {
            self.named.entry(*id).or_insert(Standby {
                known_record: None,
                // It may be authorized on behalf of another service.
                authorized_until,
                holds_until: now,
                last_report: now,
                named_in: sequence,
                is_wanted: true,
            });
        }
        for (id, standby) in &mut self.named {
            standby.is_wanted = wanted.contains(id);
        }
        before != self.ids()
    }

    /// The standbys that are due an authorization. `durable` is the sequence number of the
    /// newest durable record: a successor must know who may be authorized.
    pub fn to_authorize(&self, now: Time, durable: u64) -> Vec<StandbyId> {
        let due = self.named.iter().filter(|(_, standby)| {
            let answers = now.since(standby.last_report) < REPORT_TIMEOUT;
            standby.is_wanted && answers && standby.named_in <= durable
        });
        due.map(|(id, _)| *id).collect()
    }

    /// Records that an authorization is sent.
    pub fn mark_authorized(&mut self, now: Time, id: &StandbyId) {
        let end = self.authorization_end(now);
        if let Some(standby) = self.named.get_mut(id) {
            standby.authorized_until = end;
        }
    }

    /// Applies a standby's report.
    pub fn apply_status(&mut self, now: Time, id: &StandbyId, status: StandbyStatus) {
        let holds_until = status.prolonged.map(|ago| self.order_end(now - ago));
        let Some(standby) = self.named.get_mut(id) else {
            return;
        };
        standby.last_report = now;
        standby.known_record = standby.known_record.max(status.known_record);
        standby.holds_until = standby.holds_until.max(holds_until.unwrap_or_default());
    }

    /// Records that the process of a standby has terminated.
    pub fn mark_terminated(&mut self, now: Time, id: &StandbyId) {
        let order_end = self.order_end(now);
        let Some(standby) = self.named.get_mut(id) else {
            return;
        };
        if standby.authorized_until > now {
            standby.authorized_until = now;
            standby.holds_until = standby.holds_until.max(order_end);
        }
    }

    /// Until when a standby may have extended grants of the keys that leave with that record.
    pub fn hold_until(&self, record: RecordNumber) -> Time {
        let ends = self.named.values().map(|standby| {
            if standby.known_record >= Some(record) {
                standby.holds_until
            } else {
                let last_order = self.last_order_end(standby.authorized_until);
                standby.holds_until.max(last_order)
            }
        });
        ends.max().unwrap_or_default().max(self.unknown_until)
    }

    /// The end of grants that a standby may have extended at the end of its authorization.
    fn last_order_end(&self, authorized_until: Time) -> Time {
        authorized_until + self.bounds.transit + self.bounds.hold
    }
}
