//! The granter stores which requests are suspected of crashing upstreams. Processes read this after
//! a restart of the whole deployment, and nodes that missed the messages read it too.

use super::{Control, granter_write};
use crate::core::message::StoreTask;
use crate::core::records::RouterKeys;
use beamtray_dispatch::{Quarantine, SuspicionRecord};
use beamtray_metastore::{Item, StoreCall, StoreOutcome};
use beamtray_types::Time;
use std::time::Duration;

/// Minimum interval between writes, so that suspicions that arise together are written together.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// What is stored of the suspicions.
#[derive(Debug, Default)]
pub(super) struct SuspicionWriter {
    /// The record that this node last wrote.
    written: SuspicionRecord,
    /// The record being written.
    sent: Option<SuspicionRecord>,
    due: Time,
}

/// Serializes the stored record. Serializing to memory can't fail.
fn encode(record: &SuspicionRecord) -> Vec<u8> {
    borsh::to_vec(record).unwrap_or_default()
}

impl Control {
    /// Writes the suspicions worth storing if they changed.
    pub(super) fn poll_suspicions(
        &mut self,
        now: Time,
        quarantine: &Quarantine,
    ) -> Option<(StoreTask, StoreCall)> {
        let authority = self.election.authority(now)?;
        // Writing before the stored record has been read would lose its contents.
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

    /// Handles the outcome of a write; a failed write is retried.
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
