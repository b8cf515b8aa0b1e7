//! The node's consensus member and the application of committed entries.

use crate::core::NodeCore;
use crate::event::{Event, Level};
use crate::io::Output;
use crate::leader::Leadership;
use crate::message::{FeedEntry, PeerMessage};
use beamtray_consensus::{
    Body, Entry, Membership, Message, Output as RaftOutput, Payload, Raft, RaftConfig, Role,
    Snapshot,
};
use beamtray_ownership::{CommandBatch, ControlState};
use beamtray_types::{Fence, Generation, LogIndex, Member, Term};
use rand::Rng;
use std::collections::BTreeSet;

/// Log length above which the log is compacted into a snapshot.
const LOG_COMPACTION_THRESHOLD: usize = 512;
/// Index of a generation's initial snapshot. Greater than 0, so that a member
/// that starts empty is always sent the snapshot.
pub(crate) const FOUNDING_INDEX: LogIndex = LogIndex(1);

impl NodeCore {
    fn raft_config(&mut self) -> RaftConfig {
        RaftConfig {
            heartbeat_interval: self.config.timing.heartbeat(),
            lease_duration: self.config.timing.leader_lease(),
            election_timeout: self.config.timing.election(),
            withhold_votes: self.config.guards.withhold_votes,
            seed: self.rng.next_u64(),
        }
    }

    /// Joins a generation's log as one of its founders.
    pub(crate) fn join_as_founder(
        &mut self,
        generation: Generation,
        founders: &BTreeSet<Member>,
        state: ControlState,
    ) {
        let snapshot = Snapshot {
            index: FOUNDING_INDEX,
            term: Term(0),
            membership: Membership::of_voters(founders.iter().copied()),
            data: encode_state(&state),
        };
        self.adopt_state(generation, state);
        self.start_raft(generation, snapshot);
    }

    fn start_raft(&mut self, generation: Generation, snapshot: Snapshot) {
        let config = self.raft_config();
        self.raft = Some(Raft::new(config, self.config.me, snapshot, self.now));
        self.raft_generation = generation;
        self.end_leadership();
        self.founding.restart_search();
    }

    /// Replaces the state with one of `generation`: a new generation, or a later
    /// state of the current one.
    pub(crate) fn adopt_state(&mut self, generation: Generation, state: ControlState) {
        if generation > self.generation {
            self.contact = None;
            self.leader_hint = None;
            if self.raft_generation < generation {
                self.raft = None;
                self.end_leadership();
            }
            let event =
                Event::new(Level::Info, "generation_adopted").with("generation", generation);
            self.log(event);
        }
        self.generation = generation;
        self.state = state;
        self.on_state_changed();
    }

    pub(crate) fn on_consensus(&mut self, generation: Generation, message: Message) {
        if generation < self.generation.max(self.raft_generation) {
            return;
        }
        if generation > self.raft_generation {
            // Only a leader that has this incarnation as a member sends these.
            let invited = matches!(
                message.body,
                Body::AppendEntries { .. } | Body::InstallSnapshot { .. }
            );
            if !invited || message.to != self.config.me {
                return;
            }
            self.start_raft(generation, Snapshot::default());
        }
        if let Some(raft) = &mut self.raft {
            raft.handle(self.now, message);
        }
    }

    /// Processes outputs of the consensus member and handles leadership changes.
    pub(crate) fn process_raft_outputs(&mut self) {
        loop {
            let Some(raft) = &mut self.raft else { return };
            let outputs = raft.take_outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                self.on_raft_output(output);
            }
        }
        self.update_leadership();
        self.compact_log();
    }

    fn on_raft_output(&mut self, output: RaftOutput) {
        match output {
            RaftOutput::Send(message) => {
                let to = message.to.node;
                let generation = self.raft_generation;
                let message = PeerMessage::Consensus {
                    generation,
                    message,
                };
                self.outputs.push(Output::Peer { to, message });
            }
            RaftOutput::Apply(entry) => self.on_committed(entry),
            RaftOutput::Restore(snapshot) => self.on_restored(snapshot),
        }
    }

    fn on_committed(&mut self, entry: Entry) {
        let command = match entry.payload {
            Payload::Command(command) => command,
            Payload::Noop | Payload::Membership(_) => Vec::new(),
        };
        let entry = FeedEntry {
            term: entry.term,
            index: entry.index,
            command,
        };
        if let Some(leadership) = &mut self.leadership {
            leadership.record_entry(entry.clone());
        }
        self.apply(self.raft_generation, &[entry]);
    }

    fn on_restored(&mut self, snapshot: Snapshot) {
        let newer = self.raft_generation > self.generation || snapshot.index > self.state.applied;
        if !newer {
            return;
        }
        match borsh::from_slice::<ControlState>(&snapshot.data) {
            Ok(mut state) => {
                state.applied = snapshot.index;
                self.adopt_state(self.raft_generation, state);
            }
            Err(error) => {
                let event = Event::new(Level::Warning, "snapshot_refused").with("cause", error);
                self.log(event);
            }
        }
    }

    /// Applies committed entries that directly follow the state. Other entries
    /// are already applied or will be sent again.
    pub(crate) fn apply(&mut self, generation: Generation, entries: &[FeedEntry]) {
        if generation != self.generation {
            return;
        }
        let mut changed = false;
        for entry in entries {
            if entry.index != self.state.applied.next() {
                continue;
            }
            let fence = Fence::new(generation, entry.term, entry.index);
            let batch = if entry.command.is_empty() {
                CommandBatch::default()
            } else {
                borsh::from_slice(&entry.command).unwrap_or_default()
            };
            let before = self.state.revision;
            self.state.apply(fence, &batch);
            if self.state.revision != before {
                let event = Event::new(Level::Info, "configuration_in_force")
                    .with("revision", self.state.revision)
                    .with("index", entry.index);
                self.log(event);
            }
            changed |= !batch.commands.is_empty();
        }
        if changed {
            self.on_state_changed();
            self.on_leader_state_changed();
        }
    }

    /// Starts or ends the leader's duties when the consensus role changes.
    fn update_leadership(&mut self) {
        let Some(raft) = &self.raft else { return };
        let is_leader = raft.role() == Role::Leader;
        let term = raft.term();
        let current = self.leadership.as_ref().map(|leadership| leadership.term);
        if is_leader && current != Some(term) && raft.has_lease(self.now) {
            let elected_at = raft.elected_at();
            self.leadership = Some(Leadership::new(
                &self.config,
                self.raft_generation,
                term,
                elected_at,
            ));
            self.calls
                .retain(|_, (_, purpose)| !matches!(purpose, crate::core::Purpose::Leader(_)));
            self.on_leader_state_changed();
            let event = Event::new(Level::Info, "leading")
                .with("generation", self.raft_generation)
                .with("term", term);
            self.log(event);
        }
        if !is_leader && self.leadership.is_some() {
            self.end_leadership();
            let event = Event::new(Level::Info, "not_leading").with("term", term);
            self.log(event);
        }
    }

    fn compact_log(&mut self) {
        let Some(raft) = &mut self.raft else { return };
        let same = self.raft_generation == self.generation;
        if same && raft.log_len() > LOG_COMPACTION_THRESHOLD {
            raft.compact(self.state.applied, encode_state(&self.state));
        }
    }

    /// Transfers leadership to another voter before a planned stop.
    pub(crate) fn transfer_leadership_for_stop(&mut self) {
        let now = self.now;
        let me = self.config.me;
        let Some(raft) = &mut self.raft else { return };
        if raft.role() != Role::Leader {
            return;
        }
        let voters = raft.membership().voters.iter().copied();
        let successor = voters
            .filter(|member| *member != me)
            .max_by_key(|member| (raft.match_index(*member), raft.last_acknowledged(*member)));
        if let Some(successor) = successor {
            let handed = raft.transfer_leadership(now, successor).is_ok();
            let event = Event::new(Level::Info, "leadership_transfer")
                .with("to", successor)
                .with("sent", handed);
            self.log(event);
        }
    }
}

/// Encodes a state for a snapshot.
pub(crate) fn encode_state(state: &ControlState) -> Vec<u8> {
    borsh::to_vec(state).unwrap_or_default()
}
