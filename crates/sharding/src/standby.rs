//! Standbys: nodes that may prolong recorded holds while there is no granter.
//!
//! When the granter and the metadata store are lost in the same moment, nobody
//! can be elected and nobody has the right to grant; without standbys every key
//! would be without an owner once the short holds have run out. A standby may
//! order the *same* holder under the *same* token to hold on. It can neither
//! move keys nor grant anything that no record names.
//!
//! A granter names its standbys in its records and sends them words; a word lets
//! a standby prolong holds for [`STANDBY_AUTHORIZATION`]. A standby tells which record
//! it knows.
//!
//! Invariant: keys of a holder that does not answer go to another only when each
//! standby that a record names knows the record in which they leave, or its last
//! word has run out; and when no order that it sent before can be in force.
//! Without it a standby that is cut off together with the holder, but not from
//! it, keeps the holder alive while the granter gives the keys away.

use crate::record::RecordNumber;
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a standby may prolong holds after the granter's last word: the
/// longest outage of the store that is to be bridged, and an election.
pub const STANDBY_AUTHORIZATION: Duration = Duration::from_secs(11);
/// How much slower a standby's clock may run than the granter's, in percent.
const DRIFT_PERCENT: u32 = 2;
/// A standby that told nothing for this long gets no further words.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// One run of a node, as a standby.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct StandbyId {
    /// Where the node hears other nodes.
    pub address: SocketAddr,
    /// Tells one run of the node from the others.
    pub run: u64,
}

/// What a standby tells the granter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandbyStatus {
    /// The record that it knows.
    pub known_record: Option<RecordNumber>,
    /// How long ago it last ordered a holder to hold on.
    pub prolonged: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Standby {
    known_record: Option<RecordNumber>,
    /// Until when it may prolong holds.
    authorized_until: Time,
    /// Until when holds may be in force that it prolonged, as far as it told.
    holds_until: Time,
    /// When it last told something, or was named.
    last_report: Time,
    /// Sequence of the first record that names it.
    named_in: u64,
    /// If not, it gets no further words and leaves once the last has run out.
    is_wanted: bool,
}

/// How long what a standby orders may be in force.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StandbyBounds {
    /// After a standby sent an order.
    pub hold: Duration,
    /// How long an order may take from the decision to its arrival.
    pub transit: Duration,
}

/// The standbys that a granter's records name.
#[derive(Clone, Debug)]
pub(crate) struct Standbys {
    bounds: StandbyBounds,
    named: BTreeMap<StandbyId, Standby>,
    /// Until when keys may be held because of standbys that no record names.
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

    /// Takes over those that the record of another term names, whose granter
    /// has lost its right before `now`.
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

    /// Takes over standbys of another term that no record tells of: each of them may have
    /// had a word until `now`.
    pub fn adopt_unknown(&mut self, now: Time) {
        self.unknown_until = self.last_order_end(self.authorization_end(now));
    }

    /// The end of a word. The standby counts from before the answer of its own
    /// that the word echoes, so the way of neither of them matters.
    fn authorization_end(&self, sent: Time) -> Time {
        sent + STANDBY_AUTHORIZATION * (100 + DRIFT_PERCENT) / 100
    }

    fn order_end(&self, sent: Time) -> Time {
        sent + self.bounds.transit + self.bounds.hold
    }

    /// Those that the next record names.
    pub fn ids(&self) -> Vec<StandbyId> {
        self.named.keys().copied().collect()
    }

    /// States which nodes are wanted; `sequence` is the number of the next
    /// record. Whether that record differs from the last one in this.
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
                // It may have a word because of another service.
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

    /// Those that are to be sent a word. `durable` is the sequence of the newest
    /// durable record: a successor must know who has a word.
    pub fn to_authorize(&self, now: Time, durable: u64) -> Vec<StandbyId> {
        let due = self.named.iter().filter(|(_, standby)| {
            let answers = now.since(standby.last_report) < REPORT_TIMEOUT;
            standby.is_wanted && answers && standby.named_in <= durable
        });
        due.map(|(id, _)| *id).collect()
    }

    /// Notes that a word is sent.
    pub fn mark_authorized(&mut self, now: Time, id: &StandbyId) {
        let end = self.authorization_end(now);
        if let Some(standby) = self.named.get_mut(id) {
            standby.authorized_until = end;
        }
    }

    /// Takes what a standby tells.
    pub fn apply_status(&mut self, now: Time, id: &StandbyId, status: StandbyStatus) {
        let holds_until = status.prolonged.map(|ago| self.order_end(now - ago));
        let Some(standby) = self.named.get_mut(id) else {
            return;
        };
        standby.last_report = now;
        standby.known_record = standby.known_record.max(status.known_record);
        standby.holds_until = standby.holds_until.max(holds_until.unwrap_or_default());
    }

    /// Notes that the process of a standby has ended.
    pub fn mark_ended(&mut self, now: Time, id: &StandbyId) {
        let order_end = self.order_end(now);
        let Some(standby) = self.named.get_mut(id) else {
            return;
        };
        if standby.authorized_until > now {
            standby.authorized_until = now;
            standby.holds_until = standby.holds_until.max(order_end);
        }
    }

    /// Until when keys that leave with that record may be held because of a
    /// standby.
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

    /// The end of holds that a standby may have ordered at the end of its word.
    fn last_order_end(&self, authorized_until: Time) -> Time {
        authorized_until + self.bounds.transit + self.bounds.hold
    }
}
