//! Fresh tokens for a holder whose connection was lost.
//!
//! An upstream that restarts under its name forgets all tokens, and the directory tells of
//! it some milliseconds to a heartbeat later. A renewal that comes in between is taken under
//! the token that the incarnation before had. What shows a restart sooner is the connection:
//! it ends with the process, and no new one comes up while there is none. So after that the
//! keys of the holder are renewed under fresh tokens.
//!
//! They are used at once. The record has to name the holder before a grant, which it does;
//! that it tells an older token for a moment costs a successor one refused renewal. A
//! standby can't choose tokens: if the granter and the store are lost before the record is
//! written, it can't prolong these holds.

use super::Granter;
use crate::record::FencingToken;
use beamtray_catalog::UpstreamId;

impl Granter {
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
