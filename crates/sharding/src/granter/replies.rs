//! Handling of replies to orders.

use super::{Call, CandidateState, EXCLUSION_PERIOD, Granter};
use crate::lost_holders::delay_while_nobody_there;
use crate::order::{CallId, GrantReply, Handover};
use crate::range::ShardKey;
use crate::record::FencingToken;
use crate::slice::{LossCause, OwnedAgain, Phase, Slice};
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use std::time::Duration;

/// Delay after an order that was refused or not answered.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Multiplier of the hash that spreads slices by their first key.
const SPREAD_FACTOR: u16 = 40_503;
/// Number of steps over which renewals are spread.
const SPREAD_STEPS: u32 = 64;

impl Granter {
    /// Handles the reply to an order.
    ///
    /// Invariant: a reply applies to the holder that the order was sent to. The slice may
    /// have another holder by then, if the first one was found to have terminated while the order
    /// was pending.
    pub fn handle_reply(&mut self, now: Time, call: CallId, reply: GrantReply) {
        let Some(sent) = self.calls.remove(&call) else {
            self.handle_fence_reply(now, call, &reply);
            return;
        };
        if reply == GrantReply::Replaced {
            self.mark_terminated(&sent.holder);
        }
        if sent.hold.is_some() {
            let was_silent = self.unanswered_for(now, &sent.holder).is_some();
            let answered = matches!(reply, GrantReply::Granted | GrantReply::Outdated);
            self.adjust_window(now, answered, !was_silent);
            self.record_contact(now, call, &sent.holder, &reply);
        }
        let Some(slice) = self.slices.get_mut(&sent.first) else {
            return;
        };
        if slice.pending_call != Some(call) || slice.current_holder() != Some(&sent.holder) {
            return;
        }
        slice.pending_call = None;
        match sent.hold {
            Some(hold) => {
                self.track_doubt(now, &sent, hold, &reply);
                self.confirm_holder(&sent, &reply);
                self.handle_grant_reply(now, sent.first, hold, &reply);
            }
            None => self.handle_release_reply(now, sent.first, reply),
        }
    }

    /// Records whether the holder may still execute the grant.
    fn track_doubt(&mut self, now: Time, sent: &Call, hold: Duration, reply: &GrantReply) {
        match reply {
            GrantReply::InDoubt | GrantReply::BrokenOff => {
                self.doubt_grant(now, sent, hold);
            }
            GrantReply::Granted
            | GrantReply::Outdated
            | GrantReply::Released(_)
            | GrantReply::Replaced
            | GrantReply::Rejected
            | GrantReply::Undelivered
            | GrantReply::Refused
            | GrantReply::NoAddress
            | GrantReply::Unanswered => {}
        }
    }

    /// Records that the holder executed an order under a token of this term.
    fn confirm_holder(&mut self, sent: &Call, reply: &GrantReply) {
        let is_of_term = sent.token >= FencingToken::new(self.epoch, 0);
        if *reply != GrantReply::Granted || !is_of_term {
            return;
        }
        if let Some(slice) = self.slices.get_mut(&sent.first) {
            slice.unconfirmed_until = None;
        }
        if sent.sent < self.grants_in_flight_until {
            self.confirm_reachable(&sent.holder);
        }
    }

    fn record_contact(&mut self, now: Time, call: CallId, holder: &UpstreamId, reply: &GrantReply) {
        let last_answered = self
            .candidates
            .get(holder)
            .and_then(|one| one.last_answered);
        let contact = self.contacts.entry(holder.clone()).or_default();
        match reply {
            GrantReply::Granted | GrantReply::Outdated => contact.answered(call),
            GrantReply::Unanswered
            | GrantReply::InDoubt
            | GrantReply::BrokenOff
            | GrantReply::Undelivered
            | GrantReply::Refused
            | GrantReply::NoAddress
            | GrantReply::Rejected
            | GrantReply::Replaced
            | GrantReply::Released(_) => {
                let sent = contact.unanswered(now, call);
                if last_answered > Some(sent) {
                    self.unanswered_grants.serving += 1;
                } else {
                    self.unanswered_grants.silent += 1;
                }
            }
        }
    }

    /// Handles the reply to a grant.
    ///
    /// Invariant: `expires_at` is not before the end of any grant that the holder may have
    /// accepted. A shorter grant does not end a longer one that is in force.
    fn handle_grant_reply(
        &mut self,
        now: Time,
        first: ShardKey,
        hold: Duration,
        reply: &GrantReply,
    ) {
        let timing = self.timing;
        let renewal = timing.pace(self.slices.len()).renewal;
        let token = self.slices.get(&first).and_then(Slice::token);
        let moved_unseen = self.moved_unseen(now, token);
        let Some(slice) = self.slices.get_mut(&first) else {
            return;
        };
        match reply {
            GrantReply::Granted => {
                slice.expires_at = slice.expires_at.max(now + timing.bound(hold));
                slice.due_at = now + spread(renewal, first);
                if let Phase::Held { handover, .. } = &mut slice.phase {
                    *handover = None;
                    let unowned = slice.unowned.take();
                    let owned_again = unowned.map(|unowned| OwnedAgain {
                        range: slice.range,
                        cause: unowned.cause,
                        after: now.since(unowned.since),
                    });
                    let moved = owned_again.filter(|again| again.cause == LossCause::Balance);
                    if let Some(moved) = moved {
                        self.move_time.record(moved.after);
                    }
                    self.owned_again.extend(owned_again);
                }
            }
            GrantReply::Unanswered | GrantReply::InDoubt | GrantReply::BrokenOff => {
                if timing.guards.counts_unanswered {
                    let expires_at = now + timing.transit + timing.bound(hold);
                    slice.expires_at = slice.expires_at.max(expires_at);
                }
                slice.due_at = now + RETRY_DELAY;
            }
            GrantReply::Outdated if moved_unseen => self.withhold_slice(now, first),
            GrantReply::Outdated => self.renew_token(now, first),
            GrantReply::Undelivered
            | GrantReply::Refused
            | GrantReply::NoAddress
            | GrantReply::Rejected
            | GrantReply::Replaced
            | GrantReply::Released(_) => {
                slice.due_at = now + RETRY_DELAY;
            }
        }
        if let Some(slice) = self.slices.get_mut(&first)
            && matches!(slice.phase, Phase::Leaving { .. })
        {
            // The grant was pending when the slice began to leave.
            slice.due_at = now;
        }
    }

    /// Renews the slice under a fresh token, since the holder has seen a higher one, from a
    /// standby or from a block that no record names.
    fn renew_token(&mut self, now: Time, first: ShardKey) {
        self.take_block(first);
        if let Some(slice) = self.slices.get_mut(&first) {
            slice.due_at = now;
        }
    }

    pub(super) fn handle_release_reply(&mut self, now: Time, first: ShardKey, reply: GrantReply) {
        let Some(slice) = self.slices.get_mut(&first) else {
            return;
        };
        let Phase::Leaving { holder, next, .. } = &slice.phase else {
            return;
        };
        let (holder, next) = (holder.clone(), next.clone());
        match reply {
            GrantReply::Released(handover) => {
                if let Some(contact) = self.contacts.get_mut(&holder) {
                    contact.clear_silence();
                }
                self.free_slice(now, first, handover, next);
            }
            GrantReply::Replaced => self.free_slice(now, first, None, next),
            GrantReply::Outdated => {
                let fresh = self.next_token();
                if let Some(slice) = self.slices.get_mut(&first)
                    && let Phase::Leaving { release, .. } = &mut slice.phase
                {
                    *release = fresh;
                    slice.due_at = now;
                }
            }
            GrantReply::Granted
            | GrantReply::Rejected
            | GrantReply::Undelivered
            | GrantReply::Refused
            | GrantReply::NoAddress
            | GrantReply::BrokenOff
            | GrantReply::InDoubt
            | GrantReply::Unanswered => {
                let is_gone = reply.is_nobody_there() && !self.candidates.contains_key(&holder);
                let lost = slice.unowned.filter(|_| is_gone);
                let delay = lost.map(|unowned| delay_while_nobody_there(now.since(unowned.since)));
                slice.due_at = now + delay.unwrap_or(RETRY_DELAY);
                // The holder is still unresponsive, so the exclusion starts over.
                if let Some(until) = self.excluded_until.get_mut(&holder) {
                    *until = now + EXCLUSION_PERIOD;
                }
            }
        }
    }

    pub(super) fn free_slice(
        &mut self,
        now: Time,
        first: ShardKey,
        handover: Option<Handover>,
        next: Option<UpstreamId>,
    ) {
        let Some(slice) = self.slices.get_mut(&first) else {
            return;
        };
        slice.set_phase(Phase::Free { handover });
        slice.expires_at = now;
        let ready = |id: &UpstreamId| {
            self.candidates
                .get(id)
                .is_some_and(|candidate| candidate.state != CandidateState::Draining)
                && !self.is_unfenced(id)
        };
        let is_withheld = self
            .slices
            .get(&first)
            .is_some_and(|slice| self.is_withheld(slice.range));
        let is_doubted = self
            .slices
            .get(&first)
            .is_some_and(|one| one.doubt.is_some());
        let waits = is_withheld || is_doubted || self.awaits_term_fence(now);
        if let Some(next) = next.filter(ready).filter(|_| !waits) {
            self.assign(now, first, next);
        }
    }
}

/// Slightly less than the renewal interval, varying from slice to slice so that not all
/// renewals are due at once.
fn spread(renewal: Duration, first: ShardKey) -> Duration {
    let part = u32::from(first.0.wrapping_mul(SPREAD_FACTOR) >> 8) % SPREAD_STEPS;
    renewal - renewal * part / (SPREAD_STEPS * 5)
}
