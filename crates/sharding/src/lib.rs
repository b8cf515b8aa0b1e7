//! Key ownership for sharded services: which upstream holds which keys.
//!
//! [`AssignmentRecord`] is the assignment of keys to holders, stored in the metadata store as
//! [`AssignmentPart`]s. [`Granter`] grants and revokes ownership; [`LoadMap`] and
//! [`plan_moves`] decide which keys to move. The crate does no I/O and reads no clock.

mod balance;
mod granter;
mod key_set;
mod load;
mod lost_holders;
mod order;
mod part;
mod range;
mod record;
mod release_answers;
mod slice;
mod standby;

pub use balance::{
    BalanceLimits, MoveBudget, SliceHolding, SliceMove, UpstreamCapacity, plan_moves,
};
pub use granter::{
    Candidate, CandidateState, Contact, DoubtNotice, GrantPace, Granter, GranterGuards,
    GranterTiming, RenewalNotice, UnansweredGrants,
};
pub use key_set::KeySet;
pub use load::LoadMap;
pub use lost_holders::{FenceNotice, UnfencedUpstream};
pub use order::{CallId, GrantOrder, GrantReply, Handover, OrderKind};
pub use part::{Assignment, AssignmentHead, AssignmentPart, Part};
pub use range::{KeyRange, ShardKey};
pub use record::{
    AssignmentRecord, DoubtedKeys, FencingToken, RecordNumber, SliceRecord, SliceState,
};
pub use release_answers::ReleaseAnswers;
pub use slice::{LossCause, OwnedAgain};
pub use standby::{STANDBY_AUTHORIZATION, StandbyId, StandbyStatus};
