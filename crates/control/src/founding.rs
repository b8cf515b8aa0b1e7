//! Founding a control group, and founding it again when a majority of its
//! voters is lost for good.
//!
//! The founding record in the key-value service is the one truth about which
//! generation lives and whose votes count. It changes only by compare-and-swap.
//! A change of voters is written there before it takes effect, so whoever
//! finds a majority of every recorded set of voters gone knows that no
//! majority can exist that it has not heard of.

use crate::core::{NodeCore, Purpose};
use crate::event::{Event, Level};
use crate::feed::CONTACT_PATIENCE;
use crate::group::FOUNDING_INDEX;
use crate::peers::spread_over_zones;
use beamtray_ownership::ControlState;
use beamtray_platform::{KeyValueRequest, KeyValueResult, Machine, MachineState, machine_name};
use beamtray_types::{Generation, GroupId, LogIndex, Member, Time, Zone};
use borsh::{BorshDeserialize, BorshSerialize};
use rand::RngExt;
use std::collections::BTreeSet;
use std::time::Duration;

/// Between readings of the founding record while no leader answers.
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// Random addition to it, so that nodes do not read in step.
const READ_JITTER_MILLIS: u64 = 500;
/// A node counts as live for founding when it reported within this time.
const LIVE_PATIENCE: Duration = Duration::from_secs(3);
/// How long a first founding waits for more nodes to report.
const GATHER_TIME: Duration = Duration::from_millis(800);

/// The record of a group's founding.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct FoundingRecord {
    /// The generation founded.
    pub generation: Generation,
    /// Its first voters.
    pub founders: BTreeSet<Member>,
    /// Sets of voters of which one is in force: the present one, and the next
    /// while a change is under way.
    pub voters: Vec<BTreeSet<Member>>,
    /// The state that the generation starts from.
    pub state: ControlState,
}

/// The latest state of a group that a leader saved.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Checkpoint {
    /// Generation of the state.
    pub generation: Generation,
    /// Last entry in the state.
    pub applied: LogIndex,
    /// The state.
    pub state: ControlState,
}

/// Key of a group's founding record.
pub fn founding_key(group: GroupId) -> String {
    format!("group-{group}-founding")
}

/// Key of a group's checkpoint.
pub fn checkpoint_key(group: GroupId) -> String {
    format!("group-{group}-checkpoint")
}

/// Key of the configuration.
pub fn configuration_key(group: GroupId) -> String {
    format!("group-{group}-configuration")
}

/// What a node knows of its group's founding.
#[derive(Clone, Debug)]
pub(crate) struct Founding {
    started: Time,
    read_due: Time,
    /// Another node reported a later generation.
    told: bool,
    /// The record as last read, with its version.
    record: Option<(u64, FoundingRecord)>,
    /// Since when every recorded set of voters has lost its majority.
    lost_since: Option<Time>,
    gone: BTreeSet<String>,
    machines_due: Time,
}

impl Founding {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            started: now,
            read_due: now,
            told: false,
            record: None,
            lost_since: None,
            gone: BTreeSet::new(),
            machines_due: now,
        }
    }

    pub(crate) fn read_soon(&mut self, now: Time) {
        self.read_due = self.read_due.min(now);
        self.told = true;
    }

    pub(crate) fn note_machines(&mut self, list: &[Machine]) {
        self.gone = list
            .iter()
            .filter(|machine| machine.state == MachineState::Gone)
            .map(|machine| machine.name.clone())
            .collect();
    }
}

impl NodeCore {
    pub(crate) fn tick_founding(&mut self) {
        let quiet = self
            .contact
            .is_none_or(|at| self.now.since(at) > CONTACT_PATIENCE);
        if (!quiet && !self.founding.told) || self.stopping.is_some() {
            self.founding.lost_since = None;
            return;
        }
        if self.now >= self.founding.machines_due {
            self.founding.machines_due = self.now + READ_INTERVAL;
            self.outputs.push(crate::io::Output::ReadMachines);
        }
        if self.now >= self.founding.read_due && !self.is_calling(&Purpose::ReadFounding) {
            self.founding.told = false;
            let jitter = self.rng.random_range(0..READ_JITTER_MILLIS);
            self.founding.read_due = self.now + READ_INTERVAL + Duration::from_millis(jitter);
            let key = founding_key(self.config.group);
            self.call_key_value(Purpose::ReadFounding, KeyValueRequest::Get { key });
        }
    }

    pub(crate) fn on_founding_read(&mut self, result: KeyValueResult) {
        match result {
            KeyValueResult::Absent => self.found_first(),
            KeyValueResult::Value { version, value } => {
                match borsh::from_slice::<FoundingRecord>(&value) {
                    Ok(record) => self.on_founding_record(version, record),
                    Err(error) => {
                        let event = Event::new(Level::Warning, "founding_record_unreadable")
                            .with("cause", error);
                        self.log(event);
                    }
                }
            }
            _ => {}
        }
    }

    /// Founds the first generation once enough nodes reported, from the lowest
    /// of them; should two try, compare-and-swap chooses.
    fn found_first(&mut self) {
        if self.now.since(self.founding.started) < GATHER_TIME {
            return;
        }
        let candidates = self.founders_in_reach();
        let wanted = self.config.voters.min(self.config.peers.len() + 1);
        let lowest = candidates.iter().map(|(member, _)| member.node).min();
        if candidates.len() < wanted || lowest != Some(self.config.me.node) {
            return;
        }
        self.write_founding(0, Generation(1), ControlState::default());
    }

    fn founders_in_reach(&self) -> Vec<(Member, Zone)> {
        let mut candidates = vec![(self.config.me, self.config.zone.clone())];
        let live = self.peers.live(self.now, LIVE_PATIENCE);
        candidates.extend(live.into_iter().map(|peer| (peer.member, peer.zone)));
        candidates
    }

    fn write_founding(&mut self, expected: u64, generation: Generation, mut state: ControlState) {
        if self.is_calling(&Purpose::WriteFounding) {
            return;
        }
        let candidates = self.founders_in_reach();
        let count = self.config.voters.min(candidates.len());
        let founders: BTreeSet<Member> =
            spread_over_zones(&candidates, count).into_iter().collect();
        state.applied = FOUNDING_INDEX;
        let record = FoundingRecord {
            generation,
            voters: vec![founders.clone()],
            founders,
            state,
        };
        let event = Event::new(Level::Info, "founding")
            .with("generation", generation)
            .with("voters", record.founders.len());
        self.log(event);
        let request = KeyValueRequest::Put {
            key: founding_key(self.config.group),
            expected,
            value: borsh::to_vec(&record).unwrap_or_default(),
        };
        self.call_key_value(Purpose::WriteFounding, request);
    }

    /// However the write ended, reading back tells the truth.
    pub(crate) fn on_founding_written(&mut self) {
        self.founding.read_due = self.now;
    }

    fn on_founding_record(&mut self, version: u64, record: FoundingRecord) {
        self.founding.record = Some((version, record.clone()));
        if record.generation > self.raft_generation && record.founders.contains(&self.config.me) {
            let (generation, state) = (record.generation, record.state);
            return self.join_as_founder(generation, &record.founders, state);
        }
        if record.generation > self.raft_generation.max(self.generation) && self.raft.is_some() {
            // This log's generation is over.
            self.raft = None;
            self.leadership = None;
        }
        self.consider_refounding(version, &record);
    }

    fn consider_refounding(&mut self, version: u64, record: &FoundingRecord) {
        let all_lost = record
            .voters
            .iter()
            .all(|voters| self.lost_majority(voters));
        if !all_lost && self.config.guards.refounding_wait {
            self.founding.lost_since = None;
            return;
        }
        let since = *self.founding.lost_since.get_or_insert(self.now);
        // A leader lost just now may have held its lease this long; grants
        // under it are waited for by the new generation's leader.
        let timing = &self.config.timing;
        let wait = timing.with_drift(timing.leader_lease()) + timing.election();
        if self.now.since(since) < wait {
            self.founding.read_due = self.now + READ_INTERVAL / 2;
            return;
        }
        let candidates = self.founders_in_reach();
        let lowest = candidates.iter().map(|(member, _)| member.node).min();
        if lowest != Some(self.config.me.node) {
            return;
        }
        self.founding.record = Some((version, record.clone()));
        if !self.is_calling(&Purpose::ReadCheckpointToFound) {
            let key = checkpoint_key(self.config.group);
            self.call_key_value(Purpose::ReadCheckpointToFound, KeyValueRequest::Get { key });
        }
    }

    fn lost_majority(&self, voters: &BTreeSet<Member>) -> bool {
        let lost = voters
            .iter()
            .filter(|member| self.is_lost(**member))
            .count();
        voters.len() - lost < voters.len() / 2 + 1
    }

    /// Whether a run is over for certain: its machine is gone, or a later run
    /// of its node reported itself.
    fn is_lost(&self, member: Member) -> bool {
        if member.node == self.config.me.node {
            return member.incarnation < self.config.me.incarnation;
        }
        // Incarnations of one node rise, so a late report of an earlier run
        // is not taken for a successor.
        let replaced = self
            .peers
            .get(member.node)
            .is_some_and(|peer| peer.member.incarnation > member.incarnation);
        replaced || self.founding.gone.contains(&machine_name(member))
    }

    pub(crate) fn on_checkpoint_to_found(&mut self, result: KeyValueResult) {
        let Some((version, record)) = self.founding.record.clone() else {
            return;
        };
        let state = match result {
            KeyValueResult::Absent => record.state.clone(),
            KeyValueResult::Value { value, .. } => {
                let Ok(checkpoint) = borsh::from_slice::<Checkpoint>(&value) else {
                    return;
                };
                // The checkpoint may be from before this generation's founding.
                if checkpoint.generation < record.generation {
                    record.state.clone()
                } else {
                    checkpoint.state
                }
            }
            _ => return,
        };
        self.founding.lost_since = None;
        self.write_founding(version, record.generation.next(), state);
    }
}
