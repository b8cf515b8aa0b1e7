//! Which upstream holds which keys of a divided service.
//!
//! [`AssignmentRecord`] is who holds what, kept in the metadata store by
//! [`AssignmentPart`]s; [`Granter`] the side
//! that grants and takes back, [`LoadMap`] and [`plan_moves`] decide what is
//! to move. All pure.

mod balance;
mod granter;
mod load;
mod lost_holders;
mod order;
mod part;
mod range;
mod record;
mod slice;
mod standby;

pub use balance::{
    BalanceLimits, MoveBudget, SliceHolding, SliceMove, UpstreamCapacity, plan_moves,
};
pub use granter::{
    Candidate, CandidateState, Contact, DoubtNotice, GrantPace, Granter, GranterGuards,
    GranterTiming, UnansweredGrants,
};
pub use load::LoadMap;
pub use lost_holders::{FenceNotice, UnfencedUpstream};
pub use order::{CallId, GrantOrder, GrantReply, Handover, OrderKind};
pub use part::{Assignment, AssignmentHead, AssignmentPart, Part};
pub use range::{KeyRange, ShardKey};
pub use record::{
    AssignmentRecord, DoubtedKeys, FencingToken, RecordNumber, SliceRecord, SliceState,
};
pub use slice::{LossCause, OwnedAgain};
pub use standby::{STANDBY_AUTHORIZATION, StandbyId, StandbyStatus};
