//! One node's decisions: the group it belongs to, what a leader does, what a
//! follower knows, and the routing on top.
//!
//! [`NodeCore`] is pure: it takes the time and an [`Input`] and returns
//! [`Output`]s. It owns no clock, socket, thread or unseeded random number, so
//! the simulator runs it as it is.
//!
//! Nothing on the request path and no renewal of ownership waits for the
//! platform's key-value service; only founding, changes of voters and changes
//! of configuration do.

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
