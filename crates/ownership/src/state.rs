//! The state machine on the replicated log.

use crate::command::{Command, CommandBatch};
use crate::grant::GrantedSlice;
use crate::slices::{Ownership, SliceTable};
use beamtray_settings::{Declaration, DeclarationChange, Division};
use beamtray_types::{
    Fence, Incarnation, LogIndex, NodeId, OperationId, Revision, ServerName, ServiceName, Zone,
};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Operations remembered, so that a repeated confirmation finds its result.
const OPERATION_HISTORY_LIMIT: usize = 256;

/// A live node as its group lists it.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct NodeRecord {
    /// Its run.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: Zone,
}

/// How a confirmed declaration ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ConfigureOutcome {
    /// In force as this revision.
    InForce(Revision),
    /// A later revision was in force already.
    Superseded(Revision),
}

/// What a control group has agreed on.
///
/// Invariant: applying the same entries gives the same state everywhere, so
/// nothing here reads a clock or draws a random number.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ControlState {
    /// Last entry applied.
    pub applied: LogIndex,
    /// Revision of the declaration in force.
    pub revision: Revision,
    /// The declaration in force.
    pub declaration: Declaration,
    /// Slices of the keyed services.
    pub services: BTreeMap<ServiceName, SliceTable>,
    /// Live nodes.
    pub nodes: BTreeMap<NodeId, NodeRecord>,
    /// Servers on machines that are leaving.
    pub leaving: BTreeSet<ServerName>,
    operations: VecDeque<(OperationId, ConfigureOutcome)>,
}

impl ControlState {
    /// How the write `operation` ended, when it was applied.
    pub fn operation(&self, operation: OperationId) -> Option<ConfigureOutcome> {
        self.operations
            .iter()
            .find(|(known, _)| *known == operation)
            .map(|(_, outcome)| *outcome)
    }

    /// Whether a server is to receive nothing new.
    pub fn is_leaving(&self, server: &ServerName) -> bool {
        self.leaving.contains(server)
            || self
                .declaration
                .server(server)
                .is_none_or(|(_, declared)| declared.drain)
    }

    /// The slices that `server` is to hold.
    pub fn grants_of(&self, server: &ServerName) -> Vec<GrantedSlice> {
        self.grants().remove(server).unwrap_or_default()
    }

    /// The slices that each server is to hold.
    pub fn grants(&self) -> BTreeMap<ServerName, Vec<GrantedSlice>> {
        let mut grants: BTreeMap<ServerName, Vec<GrantedSlice>> = BTreeMap::new();
        for table in self.services.values() {
            for (range, slice) in table.iter() {
                if let Ownership::Owned { server, fence } = &slice.ownership {
                    let granted = GrantedSlice {
                        range,
                        fence: *fence,
                    };
                    grants.entry(server.clone()).or_default().push(granted);
                }
            }
        }
        grants
    }

    /// Takes every slice back from servers that are to be emptied. For a
    /// generation's first state: no grant is in force then, so nobody is cut
    /// off, and no request needs to be sent to such a server any more.
    pub fn revoke_from_leaving(&mut self) {
        let leaving: BTreeSet<ServerName> = self
            .grants()
            .into_keys()
            .filter(|server| self.is_leaving(server))
            .collect();
        for table in self.services.values_mut() {
            table.revoke_from(&leaving);
        }
    }

    /// Applies the commands of one log entry under its fence.
    pub fn apply(&mut self, fence: Fence, batch: &CommandBatch) {
        self.applied = fence.index;
        for command in &batch.commands {
            self.apply_command(fence, command);
        }
    }

    fn apply_command(&mut self, fence: Fence, command: &Command) {
        match command {
            Command::Configure {
                operation,
                revision,
                base,
                changes,
            } => self.configure(*operation, *revision, *base, changes),
            Command::Assign {
                service,
                first,
                expected,
                to,
            } => self.update_ownership(service, *first, *expected, |ownership| {
                // Never from `Owned`: that owner was not asked to let go.
                if !matches!(ownership, Ownership::Owned { .. }) {
                    let server = to.clone();
                    *ownership = Ownership::Owned { server, fence };
                }
            }),
            Command::Revoke {
                service,
                first,
                expected,
                to,
            } => self.update_ownership(service, *first, Some(*expected), |ownership| {
                if let Ownership::Owned { server, fence } = ownership {
                    *ownership = Ownership::Revoking {
                        from: server.clone(),
                        fence: *fence,
                        to: to.clone(),
                    };
                }
            }),
            Command::Release {
                service,
                first,
                expected,
            } => self.update_ownership(service, *first, Some(*expected), |ownership| {
                if matches!(ownership, Ownership::Revoking { .. }) {
                    *ownership = Ownership::Unassigned;
                }
            }),
            Command::Split { service, first, at } => {
                if let Some(table) = self.services.get_mut(service) {
                    table.split(*first, *at);
                }
            }
            Command::Merge { service, first } => {
                if let Some(table) = self.services.get_mut(service) {
                    table.merge(*first);
                }
            }
            Command::DropService { service } => self.drop_service(service),
            Command::SetNode { node, record } => {
                match record {
                    Some(record) => self.nodes.insert(*node, record.clone()),
                    None => self.nodes.remove(node),
                };
            }
            Command::SetLeaving { servers } => self.leaving = servers.clone(),
        }
    }

    fn update_ownership(
        &mut self,
        service: &ServiceName,
        first: u64,
        expected: Option<Fence>,
        change: impl FnOnce(&mut Ownership),
    ) {
        let slice = self
            .services
            .get_mut(service)
            .and_then(|table| table.get_mut(first));
        if let Some(slice) = slice
            && slice.ownership.fence() == expected
        {
            change(&mut slice.ownership);
        }
    }

    /// Revisions only rise: an older declaration that arrives late changes
    /// nothing.
    fn configure(
        &mut self,
        operation: OperationId,
        revision: Revision,
        base: Revision,
        changes: &[DeclarationChange],
    ) {
        if self.operation(operation).is_some() {
            return;
        }
        let whole = matches!(changes, [DeclarationChange::Replace(_)]);
        if revision > self.revision && base != self.revision && !whole {
            // Steps from another revision; the leader proposes them anew.
            return;
        }
        let outcome = if revision <= self.revision {
            ConfigureOutcome::Superseded(self.revision)
        } else {
            self.revision = revision;
            self.declaration = self.declaration.with(changes);
            self.create_slice_tables();
            ConfigureOutcome::InForce(revision)
        };
        self.operations.push_back((operation, outcome));
        if self.operations.len() > OPERATION_HISTORY_LIMIT {
            self.operations.pop_front();
        }
    }

    /// Gives each new keyed service its slices. Those of services no longer
    /// declared stay until their owners let go of them.
    fn create_slice_tables(&mut self) {
        for service in &self.declaration.services {
            if service.division != Division::Keyed {
                continue;
            }
            let count = service.slices_per_server * service.servers.len() as u32;
            self.services
                .entry(service.name.clone())
                .or_insert_with(|| SliceTable::even(count));
        }
    }

    fn drop_service(&mut self, service: &ServiceName) {
        let declared = self
            .declaration
            .service(service)
            .is_some_and(|declared| declared.division == Division::Keyed);
        let free = self.services.get(service).is_some_and(|table| {
            table
                .iter()
                .all(|(_, slice)| slice.ownership == Ownership::Unassigned)
        });
        if free && !declared {
            self.services.remove(service);
        }
    }
}
