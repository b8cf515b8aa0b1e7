//! Checkpoints: copies of the group's state in the key-value service, used for
//! recovery after the loss of a majority of its voters.
//!
//! Only entries committed after the last checkpoint can be lost in that case.
//! The checkpoint interval bounds them while the key-value service responds.

use crate::core::{LeaderPurpose, NodeCore, Purpose};
use crate::founding::{Checkpoint, checkpoint_key};
use beamtray_keyvalue::{KeyValueRequest, KeyValueResult};
use beamtray_types::{LogIndex, Time};
use std::time::Duration;

/// Minimum time between checkpoints.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Delay before retrying a failed call.
const RETRY_INTERVAL: Duration = Duration::from_millis(2_000);

/// Checkpointing state of a leader.
#[derive(Clone, Debug)]
pub(crate) struct Checkpointing {
    /// Version of the key; `None` until it has been read.
    version: Option<u64>,
    pub(crate) saved: LogIndex,
    due: Time,
    busy: bool,
}

impl Checkpointing {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            version: None,
            saved: LogIndex(0),
            due: now,
            busy: false,
        }
    }
}

impl NodeCore {
    pub(crate) fn tick_checkpoint(&mut self) {
        let (now, applied, generation) = (self.now, self.state.applied, self.generation);
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let checkpointing = &mut leadership.checkpointing;
        let unsaved = checkpointing.saved < applied;
        if checkpointing.busy || !unsaved || now < checkpointing.due {
            return;
        }
        checkpointing.busy = true;
        let key = checkpoint_key(self.config.group);
        let Some(expected) = checkpointing.version else {
            let purpose = Purpose::Leader(LeaderPurpose::ReadCheckpoint);
            return self.call_key_value(purpose, KeyValueRequest::Get { key });
        };
        let checkpoint = Checkpoint {
            generation,
            applied,
            state: self.state.clone(),
        };
        let value = borsh::to_vec(&checkpoint).unwrap_or_default();
        let purpose = Purpose::Leader(LeaderPurpose::WriteCheckpoint(applied));
        let request = KeyValueRequest::Put {
            key,
            expected,
            value,
        };
        self.call_key_value(purpose, request);
    }

    pub(crate) fn on_checkpoint_read(&mut self, result: KeyValueResult) {
        let (now, generation) = (self.now, self.generation);
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let checkpointing = &mut leadership.checkpointing;
        checkpointing.busy = false;
        match result {
            KeyValueResult::Absent => checkpointing.version = Some(0),
            KeyValueResult::Value { version, value } => {
                // A checkpoint of a later generation must not be overwritten.
                let later = borsh::from_slice::<Checkpoint>(&value)
                    .is_ok_and(|checkpoint| checkpoint.generation > generation);
                if later {
                    checkpointing.due = now + RETRY_INTERVAL;
                } else {
                    checkpointing.version = Some(version);
                }
            }
            _ => checkpointing.due = now + RETRY_INTERVAL,
        }
    }

    pub(crate) fn on_checkpoint_written(&mut self, index: LogIndex, result: KeyValueResult) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let checkpointing = &mut leadership.checkpointing;
        checkpointing.busy = false;
        checkpointing.due = now + CHECKPOINT_INTERVAL;
        match result {
            KeyValueResult::Stored { version } => {
                checkpointing.version = Some(version);
                checkpointing.saved = index;
            }
            KeyValueResult::RateLimited { retry_after } => checkpointing.due = now + retry_after,
            _ => {
                checkpointing.version = None;
                checkpointing.due = now + RETRY_INTERVAL;
            }
        }
    }
}
