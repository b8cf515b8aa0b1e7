//! Test harness: a group on a virtual clock and a simulated network whose links
//! tests can block.

use beamtray_consensus::{
    Entry, Membership, Message, Output, Payload, Raft, RaftConfig, Role, Snapshot,
};
use beamtray_types::{Incarnation, LogIndex, Member, NodeId, Term, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(5);
const DELAY: Duration = Duration::from_millis(10);

pub fn member(node: u32) -> Member {
    Member {
        node: NodeId(node),
        incarnation: Incarnation(1),
    }
}

pub struct Group {
    pub now: Time,
    pub members: BTreeMap<Member, Raft>,
    pub applied: BTreeMap<Member, Vec<Entry>>,
    pub blocked_links: BTreeSet<(Member, Member)>,
    pub paused: BTreeSet<Member>,
    /// Leaders observed in each term.
    pub leaders: BTreeMap<Term, BTreeSet<Member>>,
    /// Two members that held a lease at the same time, if observed.
    pub concurrent_leases: Option<(Member, Member)>,
    in_flight: Vec<(Time, Message)>,
    config: RaftConfig,
}

impl Group {
    pub fn new(count: u32, seed: u64, withhold_votes: bool) -> Self {
        let voters: Vec<Member> = (1..=count).map(member).collect();
        let config = RaftConfig {
            heartbeat_interval: Duration::from_millis(150),
            lease_duration: Duration::from_millis(600),
            election_timeout: Duration::from_millis(700),
            withhold_votes,
            seed,
        };
        let mut group = Self {
            now: Time(1_000_000),
            members: BTreeMap::new(),
            applied: BTreeMap::new(),
            blocked_links: BTreeSet::new(),
            paused: BTreeSet::new(),
            leaders: BTreeMap::new(),
            concurrent_leases: None,
            in_flight: Vec::new(),
            config,
        };
        let snapshot = Snapshot {
            index: LogIndex(1),
            term: Term(0),
            membership: Membership::of_voters(voters.iter().copied()),
            data: Vec::new(),
        };
        for voter in voters {
            group.start(voter, snapshot.clone());
        }
        group
    }

    pub fn start(&mut self, me: Member, snapshot: Snapshot) {
        let config = RaftConfig {
            seed: self.config.seed * 31 + u64::from(me.node.0),
            ..self.config
        };
        self.members
            .insert(me, Raft::new(config, me, snapshot, self.now));
        self.applied.insert(me, Vec::new());
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            self.in_flight.drain(..).partition(|(at, _)| *at <= now);
        self.in_flight = rest;
        for (_, message) in due {
            let to = message.to;
            if self.paused.contains(&to) {
                self.in_flight.push((now + STEP, message));
            } else if let Some(raft) = self.members.get_mut(&to) {
                raft.handle(now, message);
            }
        }
        let active: Vec<Member> = self
            .members
            .keys()
            .copied()
            .filter(|member| !self.paused.contains(member))
            .collect();
        for member in active {
            if let Some(raft) = self.members.get_mut(&member) {
                raft.tick(now);
            }
            self.collect(member);
        }
        self.observe();
    }

    fn collect(&mut self, from: Member) {
        let Some(raft) = self.members.get_mut(&from) else {
            return;
        };
        for output in raft.take_outputs() {
            match output {
                Output::Send(message) => {
                    if !self.blocked_links.contains(&(from, message.to)) {
                        self.in_flight.push((self.now + DELAY, message));
                    }
                }
                Output::Apply(entry) => self.applied.entry(from).or_default().push(entry),
                Output::Restore(_) => self.applied.entry(from).or_default().clear(),
            }
        }
    }

    fn observe(&mut self) {
        let now = self.now;
        let mut holder = None;
        for (member, raft) in &self.members {
            if raft.role() == Role::Leader {
                self.leaders.entry(raft.term()).or_default().insert(*member);
            }
            if raft.has_lease(now) {
                if let Some(other) = holder {
                    self.concurrent_leases = Some((other, *member));
                }
                holder = Some(*member);
            }
        }
    }

    pub fn block_link(&mut self, one: Member, other: Member) {
        self.blocked_links.insert((one, other));
        self.blocked_links.insert((other, one));
    }

    pub fn isolate(&mut self, one: Member) {
        let all: Vec<Member> = self.members.keys().copied().collect();
        for other in all {
            self.block_link(one, other);
        }
    }

    /// Returns a leader that holds a lease.
    pub fn leader(&self) -> Option<Member> {
        let mut all = self.members.iter();
        let found = all.find(|(_, raft)| raft.has_lease(self.now));
        found.map(|(member, _)| *member)
    }

    pub fn propose(&mut self, command: u8) -> Option<LogIndex> {
        let (now, leader) = (self.now, self.leader()?);
        let index = self
            .members
            .get_mut(&leader)?
            .propose(now, vec![command])
            .ok();
        self.collect(leader);
        index
    }

    /// Returns the commands that a member applied, in order.
    pub fn commands(&self, member: Member) -> Vec<u8> {
        let entries = self.applied[&member].iter();
        entries
            .filter_map(|entry| match &entry.payload {
                Payload::Command(command) => command.first().copied(),
                _ => None,
            })
            .collect()
    }

    /// Returns whether no two members applied different entries at the same
    /// index.
    pub fn agrees(&self) -> bool {
        let mut by_index: BTreeMap<LogIndex, &Entry> = BTreeMap::new();
        self.applied.values().flatten().all(|entry| {
            let known = by_index.entry(entry.index).or_insert(entry);
            *known == entry
        })
    }
}
