//! Founding of a control group, and founding of a new generation when its
//! voters can no longer form a majority.
//!
//! The founding record in the key-value service is the source of truth for the
//! current generation and its voters. It is changed only by compare-and-swap,
//! and a change of voters is written to it before it takes effect.
//!
//! A generation is over once no recorded set of voters has a majority left that
//! is neither permanently lost nor has abandoned the generation. An incarnation
//! is permanently lost if its machine is gone or its node has restarted. It
//! abandons a generation after a long time without a leader if the other voters
//! have none either: it then no longer takes part in that log, so no entry can
//! be committed and no lease obtained without it. The new generation starts from
//! the latest state among the reachable nodes and the checkpoint.

use crate::configure::StoredConfiguration;
use crate::core::{NodeCore, Purpose};
use crate::event::{Event, Level};
use crate::feed::CONTACT_TIMEOUT;
use crate::group::FOUNDING_INDEX;
use crate::peers::spread_over_zones;
use beamtray_keyvalue::{KeyValueRequest, KeyValueResult, Machine, MachineState, machine_name};
use beamtray_ownership::{Command, CommandBatch, ControlState};
use beamtray_settings::DeclarationChange;
use beamtray_types::{Fence, Generation, GroupId, LogIndex, Member, NodeId, Revision, Time, Zone};
use borsh::{BorshDeserialize, BorshSerialize};
use rand::RngExt;
use std::collections::BTreeSet;
use std::time::Duration;

/// Interval between reads of the founding record while no leader answers.
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// Random jitter added to the interval so that nodes do not read in lockstep.
const READ_JITTER_MILLIS: u64 = 500;
/// Jitter per node of the fleet, which keeps the combined read rate of all nodes
/// below the service's limit.
const READ_JITTER_PER_NODE_MILLIS: u64 = 25;
/// A node is considered live for founding if it reported within this time.
const LIVE_REPORT_WINDOW: Duration = Duration::from_secs(3);
/// Time without a leader after which a voter may abandon its generation. Long
/// enough for several elections.
const ABANDON_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Gap between ticks above which this process is assumed to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(400);
/// Window in which a node without a leader sends several search reports.
const SEARCH_REPORT_WINDOW: Duration = Duration::from_millis(1_200);
/// How long the initial founding waits for more nodes to report.
const INITIAL_DISCOVERY_WAIT: Duration = Duration::from_millis(800);

/// The stored record of a group's current generation.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct FoundingRecord {
    /// The generation.
    pub generation: Generation,
    /// Its initial voters.
    pub founders: BTreeSet<Member>,
    /// Sets of voters, one of which is in effect: the current set and, while a
    /// change is pending, the next one.
    pub voters: Vec<BTreeSet<Member>>,
    /// Initial state of the generation.
    pub state: ControlState,
}

/// A checkpoint of a group's state, saved by its leader.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Checkpoint {
    /// Generation of the state.
    pub generation: Generation,
    /// Index of the last entry applied to the state.
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

/// A node's knowledge of its group's founding.
#[derive(Clone, Debug)]
pub(crate) struct Founding {
    started: Time,
    read_due: Time,
    /// Whether another node reported a later generation.
    newer_generation_reported: bool,
    /// The record last read, with its version.
    record: Option<(u64, FoundingRecord)>,
    /// Time since which no recorded set of voters has had a usable majority.
    majority_lost_since: Option<Time>,
    /// Time since which this node has been searching for a leader without a pause.
    leaderless_since: Option<Time>,
    last_tick: Time,
    /// Highest generation that this node has abandoned.
    pub(crate) abandoned: Generation,
    reclaimed_machines: BTreeSet<String>,
    /// Initial state for a new generation, held while the configuration is read.
    state: Option<ControlState>,
    machines_due: Time,
}

impl Founding {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            started: now,
            read_due: now,
            newer_generation_reported: false,
            record: None,
            majority_lost_since: None,
            leaderless_since: None,
            last_tick: now,
            abandoned: Generation(0),
            reclaimed_machines: BTreeSet::new(),
            state: None,
            machines_due: now,
        }
    }

    /// Nodes of the voters in the record last read.
    pub(crate) fn recorded_voters(&self) -> BTreeSet<NodeId> {
        let record = self.record.iter().flat_map(|(_, record)| &record.voters);
        record.flatten().map(|member| member.node).collect()
    }

    pub(crate) fn read_soon(&mut self, now: Time) {
        self.read_due = self.read_due.min(now);
        self.newer_generation_reported = true;
    }

    /// Resets the time without a leader.
    pub(crate) fn restart_search(&mut self) {
        self.leaderless_since = None;
    }

    /// Tracks the time without a leader. A long gap between ticks means that this
    /// process was paused and could not have received messages from a leader.
    fn track_leader_search(&mut self, now: Time, searching: bool) {
        let paused = now.since(self.last_tick) > PAUSE_THRESHOLD;
        self.last_tick = now;
        if !searching {
            self.leaderless_since = None;
        } else if paused || self.leaderless_since.is_none() {
            self.leaderless_since = Some(now);
        }
    }

    pub(crate) fn update_machines(&mut self, list: &[Machine]) {
        self.reclaimed_machines = list
            .iter()
            .filter(|machine| machine.state == MachineState::Gone)
            .map(|machine| machine.name.clone())
            .collect();
    }
}

impl NodeCore {
    pub(crate) fn tick_founding(&mut self) {
        let no_recent_contact = self
            .contact
            .is_none_or(|at| self.now.since(at) > CONTACT_TIMEOUT);
        self.founding
            .track_leader_search(self.now, no_recent_contact);
        if (!no_recent_contact && !self.founding.newer_generation_reported)
            || self.stopping.is_some()
        {
            self.founding.majority_lost_since = None;
            return;
        }
        if self.now >= self.founding.machines_due {
            self.founding.machines_due = self.now + READ_INTERVAL;
            self.outputs.push(crate::io::Output::ReadMachines);
        }
        if self.now >= self.founding.read_due && !self.is_calling(&Purpose::ReadFounding) {
            self.founding.newer_generation_reported = false;
            let fleet_jitter = self.config.peers.len() as u64 * READ_JITTER_PER_NODE_MILLIS;
            let jitter = self
                .rng
                .random_range(0..READ_JITTER_MILLIS.max(fleet_jitter));
            self.founding.read_due = self.now + READ_INTERVAL + Duration::from_millis(jitter);
            let key = founding_key(self.config.group);
            self.call_key_value(Purpose::ReadFounding, KeyValueRequest::Get { key });
        }
    }

    pub(crate) fn on_founding_read(&mut self, result: KeyValueResult) {
        match result {
            KeyValueResult::Absent => self.found_initial_generation(),
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

    /// Founds the first generation once enough nodes have reported. The lowest of
    /// them does so; if two try, compare-and-swap lets only one succeed.
    fn found_initial_generation(&mut self) {
        if self.now.since(self.founding.started) < INITIAL_DISCOVERY_WAIT {
            return;
        }
        let candidates = self.reachable_founders();
        let wanted = self.config.voters.min(self.config.peers.len() + 1);
        let lowest = candidates.iter().map(|(member, _)| member.node).min();
        if candidates.len() < wanted || lowest != Some(self.config.me.node) {
            return;
        }
        self.write_founding(0, Generation(1), ControlState::default());
    }

    fn reachable_founders(&self) -> Vec<(Member, Zone)> {
        let mut candidates = vec![(self.config.me, self.config.zone.clone())];
        let live = self.peers.live(self.now, LIVE_REPORT_WINDOW);
        candidates.extend(live.into_iter().map(|peer| (peer.member, peer.zone)));
        candidates
    }

    fn write_founding(&mut self, expected: u64, generation: Generation, mut state: ControlState) {
        if self.is_calling(&Purpose::WriteFounding) {
            return;
        }
        let candidates = self.reachable_founders();
        let count = self.config.voters.min(candidates.len());
        let founders: BTreeSet<Member> =
            spread_over_zones(&candidates, count).into_iter().collect();
        state.applied = FOUNDING_INDEX;
        state.revoke_from_leaving();
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

    /// Reads the record back, which shows the outcome whatever the write returned.
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
            // The generation of this log is over.
            self.raft = None;
            self.end_leadership();
        }
        self.refound_if_lost(version, &record);
    }

    fn refound_if_lost(&mut self, version: u64, record: &FoundingRecord) {
        self.abandon_if_stalled(record);
        let excluded = |member: &Member| self.is_excluded(*member, record.generation);
        let no_majority_left = record
            .voters
            .iter()
            .all(|voters| lacks_majority(voters, &excluded));
        if !no_majority_left && self.config.guards.refounding_wait {
            self.founding.majority_lost_since = None;
            return;
        }
        let since = *self.founding.majority_lost_since.get_or_insert(self.now);
        // A leader that was just lost may still hold its lease for this long. The
        // new generation's leader waits for the grants issued under it.
        let timing = &self.config.timing;
        let wait = timing.with_drift(timing.leader_lease()) + timing.election();
        if self.now.since(since) < wait {
            self.founding.read_due = self.now + READ_INTERVAL / 2;
            return;
        }
        if !self.has_latest_state(record.generation) {
            return;
        }
        self.founding.record = Some((version, record.clone()));
        let reading = self.is_calling(&Purpose::ReadCheckpointToFound)
            || self.is_calling(&Purpose::ReadConfigurationToFound);
        if !reading {
            let key = checkpoint_key(self.config.group);
            self.call_key_value(Purpose::ReadCheckpointToFound, KeyValueRequest::Get { key });
        }
    }

    /// Abandons a generation that makes no progress: this voter has had no leader
    /// for a long time, and so many others are lost or without a leader that no
    /// recorded set of voters can have a majority elsewhere.
    fn abandon_if_stalled(&mut self, record: &FoundingRecord) {
        let generation = record.generation;
        let is_participant = self.raft_generation == generation && self.raft.is_some();
        let leaderless = self
            .founding
            .leaderless_since
            .is_some_and(|since| self.now.since(since) > ABANDON_TIMEOUT);
        if !is_participant || !leaderless {
            return;
        }
        let excluded =
            |member: &Member| self.is_excluded(*member, generation) || self.is_leaderless(*member);
        if record
            .voters
            .iter()
            .all(|voters| lacks_majority(voters, &excluded))
        {
            self.founding.abandoned = generation;
            self.raft = None;
            self.end_leadership();
            let event =
                Event::new(Level::Warning, "generation_abandoned").with("generation", generation);
            self.log(event);
        }
    }

    /// Whether `member` is this node or recently reported to it, as nodes that
    /// search for a leader do.
    fn is_leaderless(&self, member: Member) -> bool {
        let report = self.peers.get(member.node);
        member == self.config.me
            || report.is_some_and(|peer| {
                peer.member == member && self.now.since(peer.at) < SEARCH_REPORT_WINDOW
            })
    }

    /// Whether a member no longer takes part in a generation's log.
    fn is_excluded(&self, member: Member, generation: Generation) -> bool {
        if member == self.config.me {
            return self.founding.abandoned >= generation;
        }
        let abandoned = self
            .peers
            .get(member.node)
            .is_some_and(|peer| peer.member == member && peer.abandoned >= generation);
        abandoned || self.is_lost(member)
    }

    /// Whether no reachable node has later state of `generation`. Ties are
    /// resolved in favor of the lowest node.
    fn has_latest_state(&self, generation: Generation) -> bool {
        let rank = |known: Generation, applied, node| {
            let applied = if known == generation {
                applied
            } else {
                LogIndex(0)
            };
            (applied, std::cmp::Reverse(node))
        };
        let own_rank = rank(self.generation, self.state.applied, self.config.me.node);
        let live = self.peers.live(self.now, LIVE_REPORT_WINDOW);
        live.iter()
            .all(|peer| rank(peer.generation, peer.applied, peer.member.node) <= own_rank)
    }

    /// Whether a member is permanently lost: its machine is gone, or a later
    /// incarnation of its node has reported.
    fn is_lost(&self, member: Member) -> bool {
        if member.node == self.config.me.node {
            return member.incarnation < self.config.me.incarnation;
        }
        // Incarnations of a node increase, so a delayed report of an earlier one
        // is not mistaken for a successor.
        let replaced = self
            .peers
            .get(member.node)
            .is_some_and(|peer| peer.member.incarnation > member.incarnation);
        replaced
            || self
                .founding
                .reclaimed_machines
                .contains(&machine_name(member))
    }

    pub(crate) fn on_checkpoint_to_found(&mut self, result: KeyValueResult) {
        let Some((_, record)) = &self.founding.record else {
            return;
        };
        let state = match result {
            KeyValueResult::Absent => record.state.clone(),
            KeyValueResult::Value { value, .. } => {
                let Ok(checkpoint) = borsh::from_slice::<Checkpoint>(&value) else {
                    return;
                };
                // The checkpoint may predate the founding of this generation.
                if checkpoint.generation < record.generation {
                    record.state.clone()
                } else {
                    checkpoint.state
                }
            }
            _ => return,
        };
        let newer = self.generation == record.generation && self.state.applied > state.applied;
        self.founding.state = Some(if newer { self.state.clone() } else { state });
        let key = configuration_key(self.config.group);
        let purpose = Purpose::ReadConfigurationToFound;
        self.call_key_value(purpose, KeyValueRequest::Get { key });
    }

    /// Applies the stored configuration, which may have been accepted after the
    /// checkpoint, so that no node ever reverts to an older configuration.
    pub(crate) fn on_configuration_to_found(&mut self, result: KeyValueResult) {
        let (Some((version, record)), Some(mut state)) =
            (self.founding.record.clone(), self.founding.state.take())
        else {
            return;
        };
        match result {
            KeyValueResult::Absent => {}
            KeyValueResult::Value { version, value } => {
                let Ok(stored) = borsh::from_slice::<StoredConfiguration>(&value) else {
                    return;
                };
                let commands = vec![Command::Configure {
                    operation: stored.operation,
                    revision: Revision(version),
                    base: state.revision,
                    changes: vec![DeclarationChange::Replace(stored.declaration)],
                }];
                state.apply(Fence::default(), &CommandBatch { commands });
            }
            _ => return,
        }
        self.founding.majority_lost_since = None;
        self.write_founding(version, record.generation.next(), state);
    }
}

/// Whether the voters that are not `excluded` are fewer than a majority.
fn lacks_majority(voters: &BTreeSet<Member>, excluded: &dyn Fn(&Member) -> bool) -> bool {
    let left = voters.iter().filter(|member| !excluded(member)).count();
    left < voters.len() / 2 + 1
}
