//! Fresh tokens for a holder that may yet take an order under the one that it has.
//!
//! Invariant: a token is used again only while every order under it was answered, on
//! connections that did not end. Two counter-cases:
//!
//! - An upstream left a renewal lying, answered ten more under the same token over the next
//!   seven seconds, and was cut off. Its keys went to another; then it took the one that
//!   lay, since it had never seen a higher token. So an order without an answer is the last
//!   one under its token, and the next one that is answered outdates it. What is left is a
//!   holder that is cut off before it answers that one.
//! - An upstream that restarts under its name forgets all tokens, and the directory tells of
//!   it some milliseconds to a heartbeat later. A renewal that comes in between is taken
//!   under the token that the incarnation before had. What shows a restart sooner is the
//!   connection: it ends with the process, and no new one comes up while there is none.
//!
//! They are used at once. The record has to name the holder before a grant, which it does;
//! that it tells an older token for a moment costs a successor one refused renewal. A
//! standby can't choose tokens: if the granter and the store are lost before the record is
//! written, it can't prolong these holds.

use super::Granter;
use crate::range::ShardKey;
use crate::record::FencingToken;
use beamtray_catalog::UpstreamId;

impl Granter {
    /// Has a slice renewed under a fresh token: an order under the one before may still be
    /// taken.
    pub(super) fn renew_token(&mut self, first: ShardKey) {
        if !self.timing.guards.renews_tokens {
            return;
        }
        let fresh = self.next_token();
        if let Some(slice) = self.slices.get_mut(&first)
            && slice.holder().is_some()
        {
            slice.set_token(fresh);
            self.dirty = true;
        }
    }

    /// Has the keys of a holder renewed under fresh tokens.
    pub(super) fn renew_tokens(&mut self, holder: &UpstreamId) {
        if !self.timing.guards.renews_tokens {
            return;
        }
        let (epoch, counter) = (self.epoch, &mut self.counter);
        for slice in self.slices.values_mut() {
            if slice.holder() == Some(holder) && slice.token_is_out {
                *counter += 1;
                slice.set_token(FencingToken::new(epoch, *counter));
                self.dirty = true;
            }
        }
    }
}
