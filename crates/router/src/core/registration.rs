//! Maintains this node's registration in the metadata store, under a lease.

use crate::core::records::{NodeRecord, RouterKeys};
use beamtray_metastore::{
    Item, LeaseKeeper, LeaseTiming, Revision, StoreCall, StoreOutcome, Transaction, Write,
};
use beamtray_types::Time;
use std::time::Duration;

/// Delay before a failed write is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Lease,
    Write,
}

/// Maintains the registration of one node.
#[derive(Clone, Debug)]
pub struct Registrar {
    record: NodeRecord,
    /// Key and value of the registration.
    key: String,
    value: Vec<u8>,
    keeper: LeaseKeeper,
    pending: Option<(Step, Time)>,
    write_at: Time,
    /// Revision of the last completed write of the current record.
    written_at: Option<Revision>,
    last_renewal_at: Option<Time>,
    stopped: bool,
}

impl Registrar {
    /// Creates a registrar whose record has not been written yet.
    pub fn new(record: NodeRecord, timing: LeaseTiming) -> Self {
        Self {
            key: RouterKeys::node(&record.name),
            value: encode(&record),
            record,
            keeper: LeaseKeeper::new(timing),
            pending: None,
            write_at: Time::ZERO,
            written_at: None,
            last_renewal_at: None,
            stopped: false,
        }
    }

    /// Key of the registration.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// The store call that is due. `entry` is the registration as it appears in this node's view,
    /// and `view_at` the revision of that view.
    ///
    /// Invariant: a completed write is repeated only if a view that is at least as new lacks it. If
    /// it were repeated because the view is late, every write of every node would make the views of
    /// all nodes later.
    pub fn poll(
        &mut self,
        now: Time,
        entry: Option<&Item>,
        view_at: Option<Revision>,
    ) -> Option<StoreCall> {
        if self.pending.is_some() || self.stopped {
            return None;
        }
        let Some(lease) = self.keeper.lease(now) else {
            return self.lease_call(now);
        };
        let is_visible = entry.is_some_and(|item| item.value == self.value);
        let is_expected = self.written_at.is_some_and(|at| view_at < Some(at));
        if is_visible || is_expected || now < self.write_at {
            return self.lease_call(now);
        }
        self.write_at = now + WRITE_RETRY_DELAY;
        self.pending = Some((Step::Write, now));
        Some(StoreCall::Commit(Transaction {
            writes: vec![Write {
                key: self.key.clone(),
                value: self.value.clone(),
                lease: Some(lease),
            }],
            ..Transaction::default()
        }))
    }

    fn lease_call(&mut self, now: Time) -> Option<StoreCall> {
        let call = self.keeper.poll(now)?;
        self.pending = Some((Step::Lease, now));
        Some(call)
    }

    /// Handles the outcome of the pending call.
    pub fn handle(&mut self, now: Time, outcome: &StoreOutcome) {
        match self.pending.take() {
            Some((Step::Lease, sent)) => self.lease_answered(now, sent, outcome),
            Some((Step::Write, _)) => {
                if let StoreOutcome::Committed { revision } = outcome {
                    self.written_at = Some(*revision);
                }
            }
            None => {}
        }
    }

    fn lease_answered(&mut self, now: Time, sent: Time, outcome: &StoreOutcome) {
        self.keeper.handle(now, sent, outcome);
        match outcome {
            StoreOutcome::Leased { .. } => self.last_renewal_at = Some(sent),
            // The store removed the registration along with its lease.
            StoreOutcome::Absent => {
                self.written_at = None;
                self.write_at = now;
            }
            _ => {}
        }
    }

    /// When the last successful lease renewal was sent.
    pub fn last_renewal_at(&self) -> Option<Time> {
        self.last_renewal_at
    }

    /// Sets whether the node declines to be a standby.
    pub fn set_declines_standby(&mut self, declines: bool) {
        if self.record.declines_standby != declines {
            self.record.declines_standby = declines;
            self.value = encode(&self.record);
            self.written_at = None;
            self.write_at = Time::ZERO;
        }
    }

    /// Sets the interval of lease renewals.
    pub fn set_renewal(&mut self, renewal: Duration) {
        self.keeper.set_renewal(renewal);
    }

    /// Stops maintaining the registration; returns the call that revokes its lease.
    pub fn resign(&mut self) -> Option<StoreCall> {
        self.stopped = true;
        self.keeper.resign()
    }
}

fn encode(record: &NodeRecord) -> Vec<u8> {
    // Serializing to memory can't fail.
    borsh::to_vec(record).unwrap_or_default()
}
