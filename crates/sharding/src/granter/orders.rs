//! Scheduling of orders: which are due, their priority, and how many may be pending at once.
//!
//! A granter that sends more orders than its machine can handle reads the replies late, or
//! times out, although the holders answered. The capacity of a machine is not known in
//! advance: other work takes processor time, and its share of a processor says nothing about
//! its link. The rate is therefore controlled by replies, as with the congestion window of a
//! transport protocol: the next order is sent when one is answered.
//!
//! The window is limited to what renewals need if each reply takes half of the order timeout.
//! This does not slow down a fast machine, which gets its replies within milliseconds. When
//! orders time out, the window is halved, and it grows with each reply, so that a slow
//! machine renews less often but still reads its replies in time. Replies that merely take
//! long are no signal: a machine may be slow to read them whatever their number. A window
//! that shrank for slow replies let grants expire.
//!
//! Invariant: unresponsive holders do not delay orders to the others. Orders to holders known
//! to be unresponsive have a separate window of half the size. A release stops counting after
//! a while, since it is answered only when work on the keys has ended.

use super::{Call, Granter};
use crate::order::{CallId, GrantOrder, OrderKind};
use crate::range::ShardKey;
use crate::slice::{Phase, Slice};
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use std::cmp::Reverse;
use std::time::Duration;

/// Lower limit for the maximum window, used with few slices: a tenth of a core handles that
/// many in time if an order takes 0.5 ms of a whole one.
const MIN_WINDOW_LIMIT: usize = 48;
/// Minimum window, however slow the machine is.
const MIN_WINDOW: f64 = 4.0;
/// Factor applied to the window when an order times out.
const WINDOW_DECREASE: f64 = 0.5;
/// Upper limit for the maximum window; it bounds how many connections are opened at once.
const MAX_WINDOW_LIMIT: usize = 256;

/// The adaptive window of pending orders.
#[derive(Clone, Copy, Debug)]
pub(super) struct OrderWindow {
    /// Maximum number of pending orders, if that is less than what renewals need.
    size: f64,
    shrunk_at: Option<Time>,
}

impl Default for OrderWindow {
    fn default() -> Self {
        Self {
            size: MAX_WINDOW_LIMIT as f64,
            shrunk_at: None,
        }
    }
}

/// Numbers of orders that are pending, or that may be sent.
#[derive(Clone, Copy, Debug, Default)]
struct OrderRoom {
    /// To responsive holders.
    answering: usize,
    /// To holders that left grants unanswered.
    silent: usize,
}

/// Priority of due orders, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// The keys have no owner, or are moving to another one.
    Unowned,
    /// Renewals; the grant that expires soonest goes first.
    Held(Time),
    /// The holder left grants unanswered. The slice that was tried last is retried first,
    /// because every slice that is tried stays with the holder for longer.
    Silent(Reverse<Time>),
}

/// A slice with a due order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueOrder {
    urgency: Urgency,
    first: ShardKey,
    /// Whether the order goes to a holder that left grants unanswered.
    is_silent: bool,
}

impl Granter {
    /// Returns the orders that are due. Must be called only with authority to grant.
    pub fn poll(&mut self, now: Time) -> Vec<GrantOrder> {
        if !self.knows_candidates {
            return Vec::new();
        }
        self.create_slices(now);
        self.polled_at = now;
        self.revoke_from_leavers(now);
        self.expire_doubts(now);
        self.free_expired(now);
        self.assign_free(now);
        self.resume_renewals(now);
        let mut room = self.room(now);
        let mut orders = Vec::new();
        for due in self.due_slices(now) {
            let left = match due.is_silent {
                true => &mut room.silent,
                false => &mut room.answering,
            };
            if *left == 0 {
                continue;
            }
            if let Some(order) = self.order(now, due.first) {
                *left -= 1;
                orders.push(order);
            }
        }
        orders.extend(self.fence_orders(now));
        orders.extend(self.term_fence_orders(now));
        orders
    }

    /// The slices with a due order, most urgent first.
    fn due_slices(&self, now: Time) -> Vec<DueOrder> {
        let due = self
            .slices
            .values()
            .filter(|slice| slice.pending_call.is_none() && now >= slice.due_at)
            .filter(|slice| !self.is_renewal_suspended(now, slice));
        let mut due: Vec<DueOrder> = due.map(|slice| self.due_order(now, slice)).collect();
        due.sort();
        due
    }

    fn due_order(&self, now: Time, slice: &Slice) -> DueOrder {
        let is_silent = slice
            .current_holder()
            .is_some_and(|holder| self.unanswered_for(now, holder).is_some());
        let urgency = match slice.unowned {
            Some(_) => Urgency::Unowned,
            None if is_silent => Urgency::Silent(Reverse(slice.expires_at)),
            None => Urgency::Held(slice.expires_at),
        };
        DueOrder {
            urgency,
            first: slice.range.first,
            is_silent,
        }
    }

    /// The order that is due for a slice.
    fn order(&mut self, now: Time, first: ShardKey) -> Option<GrantOrder> {
        self.renew_block(now, first);
        let hold = self.timing.pace(self.slices.len()).hold;
        let slice = self.slices.get_mut(&first)?;
        let is_recorded =
            slice.recorded_in <= self.durable_sequence || !self.timing.guards.records_first;
        if slice.pending_call.is_some() || now < slice.due_at || !is_recorded {
            return None;
        }
        let (holder, token, kind) = match &slice.phase {
            Phase::Free { .. } => return None,
            Phase::Held {
                holder,
                token,
                handover,
            } => {
                let kind = OrderKind::Grant {
                    hold,
                    handover: handover.clone(),
                };
                (holder.clone(), *token, kind)
            }
            Phase::Leaving {
                holder, release, ..
            } => (holder.clone(), *release, OrderKind::Release),
        };
        let call = CallId(self.next_call);
        let is_grant = matches!(kind, OrderKind::Grant { .. });
        if is_grant {
            let last_answered = self
                .candidates
                .get(&holder)
                .and_then(|one| one.last_answered);
            let contact = self.contacts.entry(holder.clone()).or_default();
            if !contact.may_send_grant(now, last_answered) {
                return None;
            }
            contact.sent(now, call);
        }
        let token = match is_grant && self.timing.guards.renews_tokens {
            true => slice.take_order_token(token),
            false => token,
        };
        self.next_call += 1;
        slice.pending_call = Some(call);
        let sent = Call {
            sent: now,
            first,
            holder: holder.clone(),
            hold: is_grant.then_some(hold),
            token,
        };
        self.calls.insert(call, sent);
        Some(GrantOrder {
            call,
            holder,
            range: slice.range,
            token,
            kind,
        })
    }

    /// A key that another upstream holds, if there is one.
    pub fn key_held_by_other(&self, holder: &UpstreamId) -> Option<ShardKey> {
        let of_others = |slice: &&Slice| {
            let other = slice.holder();
            other.is_some_and(|other| other.name != holder.name)
        };
        let slice = self.slices.values().find(of_others);
        slice.map(|slice| slice.range.first)
    }

    /// How many orders may be sent now.
    fn room(&self, now: Time) -> OrderRoom {
        let mut pending = OrderRoom::default();
        for call in self.calls.values() {
            if self.unanswered_for(now, &call.holder).is_some() {
                pending.silent += 1;
            } else if call.hold.is_some() || now.since(call.sent) < self.timely_answer() {
                pending.answering += 1;
            }
        }
        let window = self.window();
        OrderRoom {
            answering: window.saturating_sub(pending.answering),
            silent: (window / 2).saturating_sub(pending.silent),
        }
    }

    /// Maximum number of pending orders.
    fn window(&self) -> usize {
        self.renewal_window().min(self.window.size as usize)
    }

    /// Number of pending orders that renewals need.
    fn renewal_window(&self) -> usize {
        let renewal = self.timing.pace(self.slices.len()).renewal;
        let answered_in = self.timely_answer().as_secs_f64();
        let needed = self.slices.len() as f64 * answered_in / renewal.as_secs_f64();
        (needed.ceil() as usize).clamp(MIN_WINDOW_LIMIT, MAX_WINDOW_LIMIT)
    }

    /// Adjusts the window to the outcome of a grant. `was_answering` tells whether the holder
    /// was responsive until then.
    pub(super) fn adjust_window(&mut self, now: Time, answered: bool, was_answering: bool) {
        let needed = self.renewal_window() as f64;
        let window = &mut self.window;
        if answered {
            window.size = (window.size + 1.0).min(needed);
            return;
        }
        // Orders sent before the window last shrank carry no new information.
        let wait = self.timing.order_timeout;
        let is_new = window.shrunk_at.is_none_or(|at| now.since(at) >= wait);
        if was_answering && is_new {
            window.size = (window.size.min(needed) * WINDOW_DECREASE).max(MIN_WINDOW);
            window.shrunk_at = Some(now);
        }
    }

    /// How long a reply may take on a machine that is not overloaded.
    fn timely_answer(&self) -> Duration {
        self.timing.order_timeout / 2
    }
}
