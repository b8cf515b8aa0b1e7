//! One node's decisions.

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
mod standby_words;
mod views;

pub use control::{Control, ControlConfig};
pub use message::{
    Datagram, GRANT_TIMEOUT, Input, Liveness, OrderTask, Output, OwnershipNotice, StoreTask, Timing,
};
pub use node::{CoreConfig, NodeCore};
pub use records::{AssignmentKey, NodeRecord, OwnKeys};
pub use registration::Registrar;
pub use relays::{RelayedContact, Relays, RelaysHeard, STANDBY_TRUST, TIERED_TRUST, TRUST};
pub use replica::{Replica, ReplicaHealth, ReplicaTiming};
pub use standby::{KnownRecord, STANDBY_TERM, StandbyReport, StandbyState, StandbyWord};
pub use views::{
    Snapshot, StoreContact, UnusableCounts, ViewHeads, ViewName, ViewNotice, ViewRequest, Views,
    WantedView,
};
