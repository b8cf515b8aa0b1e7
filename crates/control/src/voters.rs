//! Maintains the target number of voters, spread over zones.
//!
//! A voter that is lost or leaving is replaced by a live node: the new node
//! first joins as a learner, then becomes a voter, and then the old voter is
//! removed. Each change of the voter set is written to the founding record
//! before it is proposed, and the previous set is removed from the record once
//! the change is committed.

use crate::core::{LeaderPurpose, NodeCore, Purpose};
use crate::event::{Event, Level};
use crate::founding::{FoundingRecord, founding_key};
use crate::peers::spread_over_zones;
use beamtray_consensus::Membership;
use beamtray_keyvalue::{KeyValueRequest, KeyValueResult, machine_name};
use beamtray_types::{Member, Time, Zone};
use std::collections::BTreeSet;
use std::time::Duration;

/// Interval between checks of the voters.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time without an answer after which a voter is considered lost.
const VOTER_TIMEOUT: Duration = Duration::from_secs(4);
/// A member that answered within this time is considered responsive.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of entries a learner may lag behind the leader's commit index
/// to become a voter.
const CAUGHT_UP_ENTRIES: u64 = 16;

/// State of a voter change.
#[derive(Clone, Debug)]
pub(crate) struct VoterChange {
    due: Time,
    busy: bool,
    /// The founding record last read or written, with its version.
    record: Option<(u64, FoundingRecord)>,
    wanted: Option<BTreeSet<Member>>,
}

impl VoterChange {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            due: now + VOTER_TIMEOUT / 4,
            busy: false,
            record: None,
            wanted: None,
        }
    }
}

impl NodeCore {
    pub(crate) fn tick_voters(&mut self) {
        let now = self.now;
        let settled = self
            .raft
            .as_ref()
            .is_some_and(|raft| raft.is_membership_committed());
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let change = &mut leadership.voter_change;
        if now < change.due || change.busy || !settled {
            return;
        }
        change.due = now + CHECK_INTERVAL;
        if let Some(learners) = self.wanted_learners() {
            return self.propose_learners(learners);
        }
        let wanted = self.wanted_voters();
        if let Some(leadership) = &mut self.leadership {
            leadership.voter_change.wanted = wanted;
        }
        if !self.config.guards.records_voters {
            return self.propose_wanted();
        }
        self.record_voters();
    }

    /// Voters that are lost or leaving.
    fn failing_voters(&self, voters: &BTreeSet<Member>) -> BTreeSet<Member> {
        let (Some(leadership), Some(raft)) = (&self.leadership, &self.raft) else {
            return BTreeSet::new();
        };
        let failing = |member: &Member| {
            if *member == self.config.me {
                return self.stopping.is_some();
            }
            let node = leadership.nodes.get(&member.node);
            let replaced = node.is_some_and(|node| node.member.incarnation > member.incarnation);
            let leaving = node.is_some_and(|node| node.leaving);
            let answered = raft
                .last_acknowledged(*member)
                .unwrap_or(leadership.started);
            let unresponsive = self.now.since(answered.max(leadership.started)) > VOTER_TIMEOUT;
            replaced
                || leaving
                || unresponsive
                || leadership.is_machine_reclaimed(&machine_name(*member))
        };
        voters.iter().copied().filter(failing).collect()
    }

    /// Live nodes that could become voters, with their zones.
    fn candidates(&self, voters: &BTreeSet<Member>) -> Vec<(Member, Zone)> {
        let Some(leadership) = &self.leadership else {
            return Vec::new();
        };
        leadership
            .nodes
            .values()
            .filter(|node| leadership.is_node_live(self.now, node.member))
            .filter(|node| !voters.contains(&node.member))
            .map(|node| (node.member, node.zone.clone()))
            .collect()
    }

    /// The desired learners, if they differ from the current ones.
    fn wanted_learners(&self) -> Option<BTreeSet<Member>> {
        let membership = self.raft.as_ref()?.membership();
        let failing = self.failing_voters(&membership.voters);
        let healthy: BTreeSet<Member> = membership.voters.difference(&failing).copied().collect();
        let missing = self.config.voters.saturating_sub(healthy.len());
        let used: BTreeSet<Zone> = healthy.iter().filter_map(|m| self.zone_of(*m)).collect();
        let candidates = self.candidates(&membership.voters);
        let (elsewhere, same): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .partition(|(_, zone)| !used.contains(zone));
        let mut chosen = spread_over_zones(&elsewhere, missing);
        chosen.extend(spread_over_zones(&same, missing - chosen.len()));
        let wanted: BTreeSet<Member> = chosen.into_iter().collect();
        (wanted != membership.learners).then_some(wanted)
    }

    fn zone_of(&self, member: Member) -> Option<Zone> {
        let node = self.leadership.as_ref()?.nodes.get(&member.node)?;
        Some(node.zone.clone())
    }

    fn propose_learners(&mut self, learners: BTreeSet<Member>) {
        let now = self.now;
        let Some(raft) = &mut self.raft else { return };
        let next = Membership {
            voters: raft.membership().voters.clone(),
            learners,
        };
        // A rejected proposal is retried at the next check.
        let _ = raft.propose_membership(now, next);
    }

    /// The voters after the next change, if one is due.
    fn wanted_voters(&self) -> Option<BTreeSet<Member>> {
        let raft = self.raft.as_ref()?;
        let membership = raft.membership();
        let failing = self.failing_voters(&membership.voters);
        let healthy = membership.voters.len() - failing.len();
        let mut next = membership.voters.clone();
        let ready = membership.learners.iter().find(|member| {
            let matched = raft.match_index(**member).map_or(0, |index| index.0);
            let near = matched > 0 && matched + CAUGHT_UP_ENTRIES >= raft.commit_index().0;
            near && self.answers(**member)
        });
        if let Some(member) = ready.filter(|_| healthy < self.config.voters) {
            next.insert(*member);
            return Some(next).filter(|next| self.has_answering_majority(next));
        }
        let removable = failing
            .into_iter()
            .find(|member| *member != self.config.me)?;
        let leaving = self.leadership.as_ref()?.nodes.get(&removable.node);
        let leaving = leaving.is_some_and(|node| node.leaving && node.member == removable);
        // A lost voter remains until it has been replaced, so that the size of the
        // majority never shrinks unintentionally.
        let spare = membership.voters.len() > self.config.voters;
        let smaller = leaving && membership.voters.len() > 1 && membership.learners.is_empty();
        if !spare && !smaller {
            return None;
        }
        next.remove(&removable);
        Some(next).filter(|next| self.has_answering_majority(next))
    }

    /// Whether a member answered the leader recently.
    fn answers(&self, member: Member) -> bool {
        let answered = self
            .raft
            .as_ref()
            .and_then(|raft| raft.last_acknowledged(member));
        member == self.config.me || answered.is_some_and(|at| self.now.since(at) < ANSWER_TIMEOUT)
    }

    /// Whether a majority of `voters` is responsive. A change without one could
    /// never be committed, and the group would stop making progress.
    fn has_answering_majority(&self, voters: &BTreeSet<Member>) -> bool {
        let answering = voters
            .iter()
            .filter(|member| self.answers(**member))
            .count();
        answering > voters.len() / 2
    }

    /// Updates the founding record to hold the current voters and, if a change is
    /// wanted, the next ones. Proposes the change once the record is written.
    fn record_voters(&mut self) {
        let Some(present) = self
            .raft
            .as_ref()
            .map(|raft| raft.membership().voters.clone())
        else {
            return;
        };
        let generation = self.raft_generation;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let change = &mut leadership.voter_change;
        let Some((version, record)) = &change.record else {
            change.busy = true;
            let key = founding_key(self.config.group);
            let purpose = Purpose::Leader(LeaderPurpose::ReadVoters);
            return self.call_key_value(purpose, KeyValueRequest::Get { key });
        };
        if record.generation != generation {
            return;
        }
        let mut sets = vec![present];
        sets.extend(change.wanted.clone());
        if record.voters == sets {
            return self.propose_wanted();
        }
        let (version, mut record) = (*version, record.clone());
        record.voters = sets;
        change.busy = true;
        change.record = Some((version, record.clone()));
        let request = KeyValueRequest::Put {
            key: founding_key(self.config.group),
            expected: version,
            value: borsh::to_vec(&record).unwrap_or_default(),
        };
        let purpose = Purpose::Leader(LeaderPurpose::WriteVoters);
        self.call_key_value(purpose, request);
    }

    fn propose_wanted(&mut self) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(wanted) = leadership.voter_change.wanted.take() else {
            return;
        };
        let Some(raft) = &mut self.raft else { return };
        let mut learners = raft.membership().learners.clone();
        learners.retain(|member| !wanted.contains(member));
        let count = wanted.len();
        let next = Membership {
            voters: wanted,
            learners,
        };
        let proposed = raft.propose_membership(now, next).is_ok();
        let event = Event::new(Level::Info, "voters_change")
            .with("voters", count)
            .with("proposed", proposed);
        self.log(event);
    }

    pub(crate) fn on_voters_read(&mut self, result: KeyValueResult) {
        let generation = self.raft_generation;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let change = &mut leadership.voter_change;
        change.busy = false;
        let KeyValueResult::Value { version, value } = result else {
            change.due = self.now + VOTER_TIMEOUT / 4;
            return;
        };
        let Ok(record) = borsh::from_slice::<FoundingRecord>(&value) else {
            return;
        };
        if record.generation > generation {
            // A new generation was founded without this leader.
            self.founding.read_soon(self.now);
            return;
        }
        change.record = Some((version, record));
    }

    pub(crate) fn on_voters_written(&mut self, result: KeyValueResult) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let change = &mut leadership.voter_change;
        change.busy = false;
        match (&mut change.record, result) {
            (Some((known, _)), KeyValueResult::Stored { version }) => {
                *known = version;
                self.propose_wanted();
            }
            _ => {
                change.record = None;
                change.due = now + VOTER_TIMEOUT / 4;
            }
        }
    }
}
