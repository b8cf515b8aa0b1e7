//! The granter keeps in the store which requests end upstreams, so that all processes may
//! be lost and the next ones know, and nodes that missed the word read it.

use super::{Control, granter_write};
use crate::core::message::StoreTask;
use crate::core::records::RouterKeys;
use beamtray_dispatch::{Quarantine, SuspicionRecord};
use beamtray_metastore::{Item, StoreCall, StoreOutcome};
use beamtray_types::Time;
use std::time::Duration;

/// Between two writes, so that ends close together go in one.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// What of the suspicions is in the store.
#[derive(Debug, Default)]
pub(super) struct SuspicionWriter {
    /// Written last, by this node.
    written: SuspicionRecord,
    /// On its way to the store.
    sent: Option<SuspicionRecord>,
    due: Time,
}

/// The record as it lies in the store. Writing plain data into memory can't fail.
fn encode(record: &SuspicionRecord) -> Vec<u8> {
    borsh::to_vec(record).unwrap_or_default()
}

impl Control {
    /// Writes the suspicions that are worth keeping if they changed.
    pub(super) fn poll_suspicions(
        &mut self,
        now: Time,
        quarantine: &Quarantine,
    ) -> Option<(StoreTask, StoreCall)> {
        let authority = self.election.authority(now)?;
        // Before the records were read they would be written without what they hold.
        let is_read = self.term.as_ref()?.grants.is_some();
        if !self.config.persist_suspicions || !is_read {
            return None;
        }
        if now < self.suspicions.due || self.suspicions.sent.is_some() {
            return None;
        }
        self.suspicions.due = now + WRITE_INTERVAL;
        let record = quarantine.record();
        if record == self.suspicions.written {
            return None;
        }
        let call = granter_write(&authority, RouterKeys::SUSPICIONS, encode(&record));
        self.suspicions.sent = Some(record);
        Some((StoreTask::Suspicions, call))
    }

    /// Takes the outcome of a write; one that failed is tried again.
    pub(super) fn suspicions_written(&mut self, now: Time, outcome: &StoreOutcome) {
        let Some(record) = self.suspicions.sent.take() else {
            return;
        };
        self.suspicions.due = now + WRITE_INTERVAL;
        if let StoreOutcome::Committed { revision } = outcome {
            self.own_writes.push(Item {
                key: RouterKeys::SUSPICIONS.to_owned(),
                value: encode(&record),
                revision: *revision,
            });
            self.suspicions.written = record;
        }
    }
}
