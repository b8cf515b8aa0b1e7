//! The control logic of one node: group membership, the duties of the leader,
//! state replication to followers, and request routing based on that state.
//!
//! [`NodeCore`] is a pure state machine: it takes the time and an [`Input`] and
//! returns [`Output`]s. It uses no clock, socket, thread or unseeded random
//! number generator, so the simulator runs it unmodified.
//!
//! Neither request handling nor grant renewal waits for the platform's key-value
//! service; only founding a group, changing voters and changing the
//! configuration do.

mod checkpoint;
mod config;
mod configure;
mod core;
mod event;
mod feed;
mod founding;
mod group;
mod io;
mod key_value;
mod leader;
mod message;
mod operator;
mod operators;
mod peers;
mod placing;
mod plan;
mod voters;

pub use crate::core::NodeCore;
pub use config::{ControlConfig, Guards, PeerInfo};
pub use configure::StoredConfiguration;
pub use event::{Event, Level};
pub use founding::{Checkpoint, FoundingRecord, checkpoint_key, configuration_key, founding_key};
pub use io::{Input, KeyValueCall, OperatorCall, Output};
pub use message::{Envelope, Feed, FeedBody, FeedEntry, Hello, PeerMessage};
pub use operator::{
    AssignmentRow, NodeRow, OperatorAnswer, OperatorRequest, ServiceRow, StatusReport, VoterRow,
};
pub use plan::{PlanReport, ServicePlan};
