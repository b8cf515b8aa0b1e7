//! One node's decisions.

mod control;
mod node;
mod records;
mod registration;
mod replica;
mod views;

pub use control::{Control, ControlConfig, OrderTask};
pub use node::{CoreConfig, Datagram, Input, NodeCore, Output, StoreTask, Timing};
pub use records::{NodeRecord, OwnKeys};
pub use registration::Registrar;
pub use replica::{Replica, ReplicaHealth, ReplicaTiming};
pub use views::{Snapshot, ViewHeads, ViewName, ViewNotice, ViewRequest, Views, WantedView};
