//! Fencing tokens of orders.
//!
//! Invariant: a granter sends each order under a token that no earlier order had. Tokens are
//! allocated in blocks: a holder has one block for each of its slices, the record names the
//! last token of the block, and renewals count up to it without a new record. Two failures
//! that occurred while renewals repeated one token:
//!
//! - An upstream received a renewal without executing it, answered ten more under the same
//!   token over the next seven seconds, and was partitioned. Its keys were reassigned; then
//!   it executed the delayed renewal, since it had never seen a higher token.
//! - An upstream that restarts under its name knows no tokens, and the directory reports the
//!   restart between some milliseconds and a heartbeat later. Renewals that arrived in
//!   between were accepted under the tokens of the previous process.
//!
//! The last token of a block is reserved for those who rely on the record alone: a standby,
//! which repeats it, and a successor, which uses it once. Blocks after the first one are used
//! immediately: a grant requires that the record names the holder, which it does. While the
//! record still names the previous block, a successor pays with one refused renewal, and a
//! standby with the grants that it would have extended if granter and store fail at that
//! moment.
//!
//! A record that may be older than the last grants, because the store reverted, is a special
//! case: its holders are renewed under the recorded tokens for as long as the record is in
//! doubt.

use super::Granter;
use crate::range::ShardKey;
use crate::record::FencingToken;
use crate::slice::{BlockUse, Slice};
use beamtray_types::Time;

impl Granter {
    /// A token higher than all that this granter has allocated: the last one of a new block.
    pub(super) fn next_token(&mut self) -> FencingToken {
        self.token_blocks += 1;
        FencingToken::last_in_block(self.epoch, self.token_blocks)
    }

    /// Allocates a new block for a slice whose block is used up.
    pub(super) fn renew_block(&mut self, now: Time, first: ShardKey) {
        let slice = self.slices.get(&first);
        let is_used_up = slice.is_some_and(|slice| slice.tokens == BlockUse::UsedUp);
        let token = slice.and_then(Slice::token);
        if is_used_up && self.timing.guards.renews_tokens && !self.moved_unseen(now, token) {
            self.take_block(first);
        }
    }

    /// Allocates a new block for a slice with the same holder.
    pub(super) fn take_block(&mut self, first: ShardKey) {
        let fresh = self.next_token();
        if let Some(slice) = self.slices.get_mut(&first)
            && slice.holder().is_some()
        {
            slice.set_token(fresh);
            self.dirty = true;
        }
    }
}

impl Slice {
    /// The token of the next order in the block that ends with `last`.
    pub(super) fn take_order_token(&mut self, last: FencingToken) -> FencingToken {
        let BlockUse::Used(used) = self.tokens else {
            self.tokens = BlockUse::UsedUp;
            return last;
        };
        let Some(token) = last.nth_in_block(used) else {
            self.tokens = BlockUse::UsedUp;
            return last;
        };
        self.tokens = BlockUse::Used(used + 1);
        token
    }
}
