//! Dispatches key-value service results to their handlers.

use crate::core::{LeaderPurpose, NodeCore, Purpose};
use crate::io::KeyValueCall;
use beamtray_keyvalue::KeyValueResult;

impl NodeCore {
    pub(crate) fn on_key_value(&mut self, call: KeyValueCall, result: KeyValueResult) {
        let Some((_, purpose)) = self.calls.remove(&call) else {
            return;
        };
        match purpose {
            Purpose::ReadFounding => self.on_founding_read(result),
            Purpose::WriteFounding => self.on_founding_written(),
            Purpose::ReadCheckpointToFound => self.on_checkpoint_to_found(result),
            Purpose::ReadConfigurationToFound => self.on_configuration_to_found(result),
            Purpose::Leader(purpose) => self.on_leader_key_value(purpose, result),
        }
    }

    fn on_leader_key_value(&mut self, purpose: LeaderPurpose, result: KeyValueResult) {
        match purpose {
            LeaderPurpose::ReadCheckpoint => self.on_checkpoint_read(result),
            LeaderPurpose::WriteCheckpoint(index) => self.on_checkpoint_written(index, result),
            LeaderPurpose::ReadConfiguration => self.on_configuration_read(result),
            LeaderPurpose::WriteConfiguration(operation) => {
                self.on_configuration_written(operation, result);
            }
            LeaderPurpose::ReadBack(operation) => self.on_read_back(operation, result),
            LeaderPurpose::ReadVoters => self.on_voters_read(result),
            LeaderPurpose::WriteVoters => self.on_voters_written(result),
        }
    }
}
