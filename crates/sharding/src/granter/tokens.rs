//! Tokens of orders.
//!
//! Invariant: a granter gives each order under a token that no order had before. Tokens come
//! in blocks: a holder has one for each of its slices, the record names its last token, and
//! renewals count up to that without a word to the record. Two counter-cases, where
//! renewals repeated one token:
//!
//! - An upstream left a renewal lying, answered ten more under the same token over the next
//!   seven seconds, and was cut off. Its keys went to another; then it took the one that
//!   lay, since it had never seen a higher token.
//! - An upstream that restarts under its name forgets all tokens, and the directory tells of
//!   it some milliseconds to a heartbeat later. Renewals that came in between were taken
//!   under the tokens that the process before had.
//!
//! The last token of a block is for those who go by the record alone: a standby, which
//! repeats it, and a successor, once. A block after the first one is used at once: the record
//! has to name the holder before a grant, which it does. That it tells the block before for a
//! moment costs a successor one refused renewal, and a standby the holds that it would have
//! prolonged, if granter and store are lost in that moment.
//!
//! A record that the store may have gone back from is a case of its own: its holders are
//! renewed under the tokens that it names until it is not doubted any more.

use super::Granter;
use crate::range::ShardKey;
use crate::record::FencingToken;
use crate::slice::{BlockUse, Slice};
use beamtray_types::Time;

impl Granter {
    /// A token above all that this granter has taken, the last one of its block.
    pub(super) fn next_token(&mut self) -> FencingToken {
        self.token_blocks += 1;
        FencingToken::last_in_block(self.epoch, self.token_blocks)
    }

    /// Gives a slice a fresh block where the one that it has is used up.
    pub(super) fn renew_block(&mut self, now: Time, first: ShardKey) {
        let slice = self.slices.get(&first);
        let is_used_up = slice.is_some_and(|slice| slice.tokens == BlockUse::UsedUp);
        let token = slice.and_then(Slice::token);
        if is_used_up && self.timing.guards.renews_tokens && !self.moved_unseen(now, token) {
            self.take_block(first);
        }
    }

    /// Gives a slice a fresh block for the same holder.
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
    /// The token of the next order under the block that ends with `last`.
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
