//! The replicated state machine.

use crate::command::{Command, CommandBatch};
use crate::grant::GrantedSlice;
use crate::slices::{Ownership, SliceTable};
use beamtray_settings::{Declaration, DeclarationChange, Division};
use beamtray_types::{
    Fence, Incarnation, LogIndex, NodeId, OperationId, Revision, ServerName, ServiceName, Zone,
};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of completed operations kept so that a retried confirmation gets
/// the original result.
const OPERATION_HISTORY_LIMIT: usize = 256;

/// A live node as recorded by its control group.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct NodeRecord {
    /// Incarnation of the node process.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: Zone,
}

/// Outcome of a confirmed declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ConfigureOutcome {
    /// Activated as this revision.
    InForce(Revision),
    /// A later revision, given here, was already active.
    Superseded(Revision),
}

/// The replicated state of a control group.
///
/// Invariant: applying the same entries yields the same state on every node,
/// so nothing here reads a clock or draws random numbers.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ControlState {
    /// Index of the last applied entry.
    pub applied: LogIndex,
    /// Revision of the active declaration.
    pub revision: Revision,
    /// The active declaration.
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
    /// Outcome of the write `operation`, if it was applied and is still in the
    /// history.
    pub fn operation(&self, operation: OperationId) -> Option<ConfigureOutcome> {
        self.operations
            .iter()
            .find(|(known, _)| *known == operation)
            .map(|(_, outcome)| *outcome)
    }

    /// Whether a server must be given no new slices or requests.
    pub fn is_leaving(&self, server: &ServerName) -> bool {
        self.leaving.contains(server)
            || self
                .declaration
                .server(server)
                .is_none_or(|(_, declared)| declared.drain)
    }

    /// The slices granted to `server`.
    pub fn grants_of(&self, server: &ServerName) -> Vec<GrantedSlice> {
        self.grants().remove(server).unwrap_or_default()
    }

    /// The slices granted to each server.
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

    /// Starts revoking every slice of the servers that are leaving. Used for the
    /// initial state of a generation: no grant is in force at that point, so no
    /// request is interrupted, and none needs to be routed to these servers.
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

    /// Applies the commands of one log entry; `fence` becomes the fencing token
    /// of new assignments.
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
                // Never from `Owned`: that owner's grant was not revoked.
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

    /// Activates a declaration. Revisions increase monotonically: an older
    /// declaration that arrives late has no effect.
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
            // The changes are based on another revision; the leader proposes
            // them again.
            return;
        }
        let outcome = if revision <= self.revision {
            ConfigureOutcome::Superseded(self.revision)
        } else {
            self.revision = revision;
            self.declaration = self.declaration.with_changes(changes);
            self.create_slice_tables();
            ConfigureOutcome::InForce(revision)
        };
        self.operations.push_back((operation, outcome));
        if self.operations.len() > OPERATION_HISTORY_LIMIT {
            self.operations.pop_front();
        }
    }

    /// Creates the slices of each new keyed service. Slices of services that
    /// are no longer declared remain until their owners release them.
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
