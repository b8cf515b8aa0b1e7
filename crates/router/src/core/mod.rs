//! One node's decisions.

mod control;
mod node;
mod records;
mod registration;
mod replica;
mod views;

pub use control::{Control, ControlConfig, OrderTask};
pub use node::{CoreConfig, Input, NodeCore, Output, StoreTask, Timing};
pub use records::{NodeRecord, OwnKeys};
pub use registration::Registrar;
pub use replica::{Replica, ReplicaHealth};
pub use views::{Snapshot, ViewNotice, ViewRequest, Views};
