//! Duties of the leader: tracking nodes, granting and placing slices, managing
//! voters, checkpoints and the configuration. They end with its term.

use crate::checkpoint::Checkpointing;
use crate::config::ControlConfig;
use crate::configure::ConfigurationChanges;
use crate::core::NodeCore;
use crate::event::{Event, Level};
use crate::io::Output;
use crate::message::{FeedEntry, Hello};
use crate::placing::Loads;
use crate::voters::VoterChange;
use beamtray_keyvalue::{Machine, MachineState};
use beamtray_ownership::{Command, CommandBatch, GrantReply, Granter, GranterConfig, NodeRecord};
use beamtray_routing::SliceCount;
use beamtray_types::{Generation, LogIndex, Member, NodeId, ServerName, Term, Time, Zone};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Time without reports after which a node is not considered live.
const NODE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of entries kept for nodes that are slightly behind.
const ENTRY_HISTORY_LIMIT: usize = 1_024;
/// Interval between reads of the machine list.
const MACHINES_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between planning passes.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between balancing passes.
const BALANCE_INTERVAL: Duration = Duration::from_millis(1_000);

/// A node as known to the leader.
#[derive(Clone, Debug)]
pub(crate) struct KnownNode {
    pub(crate) member: Member,
    pub(crate) zone: Zone,
    pub(crate) last_report: Time,
    pub(crate) leaving: bool,
}

/// State of one leader in one term.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub(crate) term: Term,
    pub(crate) started: Time,
    pub(crate) granter: Granter,
    pub(crate) nodes: BTreeMap<NodeId, KnownNode>,
    pub(crate) loads: Loads,
    pub(crate) checkpointing: Checkpointing,
    pub(crate) configuration_changes: ConfigurationChanges,
    pub(crate) voter_change: VoterChange,
    recent: VecDeque<FeedEntry>,
    sent_up_to: Option<LogIndex>,
    /// Index of the last proposal; planning waits until it is applied.
    last_proposed: LogIndex,
    /// Time of the next periodic planning pass.
    pub(crate) plan_due: Time,
    balance_due: Time,
    machines_due: Time,
    leaving: BTreeSet<ServerName>,
    reclaimed_machines: BTreeSet<String>,
}

impl Leadership {
    pub(crate) fn new(
        config: &ControlConfig,
        generation: Generation,
        term: Term,
        elected_at: Time,
    ) -> Self {
        let granter = GranterConfig {
            group: config.group,
            renewal: config.timing.renewal(),
            grant: config.timing.grant(),
            grant_bound: config.timing.grant_bound(),
            guards: config.guards.granter,
        };
        Self {
            term,
            started: elected_at,
            granter: Granter::new(granter, generation, term, elected_at),
            nodes: BTreeMap::new(),
            loads: Loads::default(),
            checkpointing: Checkpointing::new(elected_at),
            configuration_changes: ConfigurationChanges::new(elected_at),
            voter_change: VoterChange::new(elected_at),
            recent: VecDeque::new(),
            sent_up_to: None,
            last_proposed: LogIndex(0),
            plan_due: elected_at,
            balance_due: elected_at + BALANCE_INTERVAL,
            machines_due: elected_at,
            leaving: BTreeSet::new(),
            reclaimed_machines: BTreeSet::new(),
        }
    }

    pub(crate) fn record_entry(&mut self, entry: FeedEntry) {
        self.recent.push_back(entry);
        if self.recent.len() > ENTRY_HISTORY_LIMIT {
            self.recent.pop_front();
        }
    }

    /// The entries after `index` up to `applied`, if all are in the history.
    pub(crate) fn entries_after(
        &self,
        index: LogIndex,
        applied: LogIndex,
    ) -> Option<Vec<FeedEntry>> {
        if index >= applied {
            return Some(Vec::new());
        }
        let oldest = self.recent.front()?.index;
        (oldest <= index.next()).then(|| {
            let newer = self.recent.iter().filter(|entry| entry.index > index);
            newer.cloned().collect()
        })
    }

    /// Returns the entries applied since the previous call; `None` on the first
    /// call, if there are none, or if they are no longer in the history.
    pub(crate) fn take_unsent_entries(&mut self, applied: LogIndex) -> Option<Vec<FeedEntry>> {
        let from = self.sent_up_to.replace(applied)?;
        let entries = self.entries_after(from, applied)?;
        (!entries.is_empty()).then_some(entries)
    }

    pub(crate) fn record_node(&mut self, now: Time, member: Member, hello: &Hello) {
        let known = KnownNode {
            member,
            zone: hello.zone.clone(),
            last_report: now,
            leaving: hello.leaving,
        };
        self.nodes.insert(member.node, known);
    }

    pub(crate) fn known_nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.nodes.keys().copied()
    }

    pub(crate) fn is_node_live(&self, now: Time, member: Member) -> bool {
        self.nodes.get(&member.node).is_some_and(|node| {
            node.member == member && now.since(node.last_report) < NODE_TIMEOUT && !node.leaving
        })
    }

    /// Whether the platform reports the node's machine as reclaimed.
    pub(crate) fn is_machine_reclaimed(&self, name: &str) -> bool {
        self.reclaimed_machines.contains(name)
    }

    fn update_machines(&mut self, list: &[Machine]) {
        let named = |state| {
            list.iter()
                .filter(move |machine| machine.state == state)
                .map(|machine| machine.name.clone())
        };
        self.leaving = named(MachineState::Leaving)
            .chain(named(MachineState::Gone))
            .map(ServerName)
            .collect();
        self.reclaimed_machines = named(MachineState::Gone).collect();
    }
}

impl NodeCore {
    pub(crate) fn tick_leader(&mut self) {
        if self.leadership.is_none() || !self.has_lease() {
            return;
        }
        let now = self.now;
        let me = self.config.me;
        let (zone, leaving) = (self.config.zone.clone(), self.stopping.is_some());
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let myself = KnownNode {
            member: me,
            zone,
            last_report: now,
            leaving,
        };
        leadership.nodes.insert(me.node, myself);
        leadership.loads.advance(now);
        if now >= leadership.machines_due {
            leadership.machines_due = now + MACHINES_INTERVAL;
            self.outputs.push(Output::ReadMachines);
        }
        self.plan_changes();
        self.send_grants();
        self.tick_configuration();
        self.tick_checkpoint();
        self.tick_voters();
    }

    /// Proposes the changes that are due, one batch at a time.
    fn plan_changes(&mut self) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if self.state.applied < leadership.last_proposed || now < leadership.plan_due {
            return;
        }
        leadership.plan_due = now + PLAN_INTERVAL;
        let balance = now >= leadership.balance_due;
        if balance {
            leadership.balance_due = now + BALANCE_INTERVAL;
        }
        let mut commands = Vec::new();
        commands.extend(self.node_changes());
        commands.extend(self.leaving_changes());
        commands.extend(self.slice_changes(balance));
        if commands.is_empty() {
            return;
        }
        self.propose(commands);
    }

    /// Proposes commands and defers further planning until they are applied.
    pub(crate) fn propose(&mut self, commands: Vec<Command>) {
        let now = self.now;
        let batch = borsh::to_vec(&CommandBatch { commands }).unwrap_or_default();
        let Some(raft) = &mut self.raft else { return };
        let Ok(index) = raft.propose(now, batch) else {
            return;
        };
        if let Some(leadership) = &mut self.leadership {
            leadership.last_proposed = index;
        }
    }

    /// Commands that update the group's node list.
    fn node_changes(&self) -> Vec<Command> {
        let now = self.now;
        let Some(leadership) = &self.leadership else {
            return Vec::new();
        };
        let live = leadership
            .nodes
            .iter()
            .filter(|(_, node)| now.since(node.last_report) < NODE_TIMEOUT && !node.leaving);
        let mut nodes: BTreeMap<NodeId, NodeRecord> = live
            .map(|(id, node)| {
                let record = NodeRecord {
                    incarnation: node.member.incarnation,
                    zone: node.zone.clone(),
                };
                (*id, record)
            })
            .collect();
        // A new leader has not received reports from all nodes yet.
        if now.since(leadership.started) < NODE_TIMEOUT {
            for (id, record) in &self.state.nodes {
                if !leadership.nodes.contains_key(id) {
                    nodes.insert(*id, record.clone());
                }
            }
        }
        let listed = &self.state.nodes;
        let gone = listed.keys().filter(|node| !nodes.contains_key(node));
        let gone = gone.map(|node| Command::SetNode {
            node: *node,
            record: None,
        });
        let new = nodes
            .iter()
            .filter(|(node, record)| listed.get(node) != Some(record));
        let new = new.map(|(node, record)| Command::SetNode {
            node: *node,
            record: Some(record.clone()),
        });
        gone.chain(new).collect()
    }

    fn leaving_changes(&self) -> Option<Command> {
        let leadership = self.leadership.as_ref()?;
        let servers: BTreeSet<ServerName> = leadership
            .leaving
            .iter()
            .filter(|name| self.state.declaration.server(name).is_some())
            .cloned()
            .collect();
        let changed = self.config.guards.drains && servers != self.state.leaving;
        changed.then_some(Command::SetLeaving { servers })
    }

    /// Reacts to a state change: sends it to the nodes and updates grants.
    pub(crate) fn on_leader_state_changed(&mut self) {
        if self.leadership.is_none() {
            return;
        }
        self.push_feed();
        if let Some(leadership) = &mut self.leadership {
            leadership.plan_due = self.now;
        }
        self.update_grants();
        if self.has_lease() {
            self.send_grants();
        }
        self.answer_applied_confirmations();
    }

    fn update_grants(&mut self) {
        let now = self.now;
        let mut grants = self.state.grants();
        let keyed = self.state.declaration.services.iter();
        let servers: Vec<_> = keyed
            .filter(|service| self.state.services.contains_key(&service.name))
            .flat_map(|service| &service.servers)
            .map(|server| {
                let set = grants.remove(&server.name).unwrap_or_default();
                (server.name.clone(), server.address, set)
            })
            .collect();
        let names: BTreeSet<ServerName> = servers.iter().map(|(name, _, _)| name.clone()).collect();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.granter.set_servers(now, servers);
        leadership.granter.retain(now, |name| names.contains(name));
    }

    fn send_grants(&mut self) {
        let (now, has_lease) = (self.now, self.has_lease());
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let pending = leadership.granter.poll(now, has_lease);
        self.outputs.extend(pending.into_iter().map(Output::Grant));
    }

    pub(crate) fn on_grant_reply(&mut self, server: &ServerName, reply: Option<GrantReply>) {
        let (now, has_lease) = (self.now, self.has_lease());
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let may_unblock_changes = match reply {
            Some(reply) => leadership.granter.handle(now, server, &reply, has_lease),
            None => {
                leadership.granter.record_no_reply(server);
                false
            }
        };
        if has_lease && may_unblock_changes {
            leadership.plan_due = now;
            self.plan_changes();
            self.send_grants();
        }
    }

    pub(crate) fn on_machines(&mut self, list: Option<Vec<Machine>>) {
        let Some(list) = list else { return };
        self.founding.update_machines(&list);
        if let Some(leadership) = &mut self.leadership {
            leadership.update_machines(&list);
        }
    }

    pub(crate) fn record_load(&mut self, load: Vec<SliceCount>) {
        if let Some(leadership) = &mut self.leadership {
            leadership.loads.record(load);
        }
    }

    /// Ends leadership. Pending confirmations are answered as unknown; all other
    /// leader state is discarded.
    pub(crate) fn end_leadership(&mut self) {
        let waiting = match self.leadership.take() {
            Some(leadership) => leadership.configuration_changes.into_pending_replies(),
            None => return,
        };
        for (operation, reply) in waiting {
            let event = Event::new(Level::Warning, "confirmation_unknown")
                .with("operation", operation)
                .with("cause", "leadership ended");
            self.log(event);
            let answer = crate::operator::OperatorAnswer::Unknown { operation };
            self.reply_to_operator(reply, answer);
        }
    }
}
