//! The decision logic of one router node, free of I/O.

mod control;
mod grants;
mod membership;
mod message;
mod node;
mod records;
mod registration;
mod relays;
mod replica;
mod standby;
mod standby_leases;
mod transfer_pace;
mod views;

pub use control::{Control, ControlConfig, OrderCheckWork};
pub use message::{
    Datagram, GRANT_TIMEOUT, Input, Liveness, OrderTask, Output, OwnershipNotice, StoreTask, Timing,
};
pub use node::{CoreConfig, NodeCore, Waits};
pub use records::{AssignmentKey, NodeRecord, RouterKeys};
pub use registration::Registrar;
pub use relays::{
    RELAY_MAX_AGE, RelayContacts, RelayRole, RelayedContact, Relays, STANDBY_RELAY_MAX_AGE,
    TIERED_RELAY_MAX_AGE,
};
pub use replica::{Replica, ReplicaHealth, ReplicaTiming};
pub use standby::{KnownRecord, STANDBY_TERM, StandbyLease, StandbyReport, StandbyState};
pub use transfer_pace::TransferPace;
pub use views::{
    LatestRevisions, RestartCause, Snapshot, StoreContact, UnusableCounts, ViewName, ViewNotice,
    ViewRequest, Views, WantedView,
};
