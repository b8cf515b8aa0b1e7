//! Which orders are given, which of them first, and how many are under way at once.
//!
//! A granter that gives more orders than its machine can handle reads their answers late,
//! or gives up on them, though the holders answered. What a machine can handle is not
//! known beforehand: other work takes its time, and its share of a processor says nothing
//! of its link. So the answers set the pace, as with the window of a transport protocol:
//! the next order is given when one is answered.
//!
//! The window is what renewals need if each answer takes half of the time for which it is
//! waited: a machine that is slower than that renews less often, and still reads its
//! answers in time. A fast one is not held up, since its answers come within milliseconds.
//!
//! Invariant: holders that answer nothing don't hold up orders to the others. An order to
//! one that is known to be silent does not count, nor a release after a while, which is
//! answered when work has ended.

use super::{Call, Granter};
use crate::order::{CallId, GrantOrder, OrderKind};
use crate::range::ShardKey;
use crate::slice::{Phase, Slice};
use beamtray_types::Time;
use std::cmp::Reverse;
use std::time::Duration;

/// Least orders under way at once, where there are few slices: a tenth of a core handles
/// them in time if an order takes 0.5 ms of a whole one.
const LEAST: usize = 48;
/// Most orders under way at once: connections that are opened at the same time.
const MOST: usize = 256;

/// Which orders go first when not all that are due may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// The keys have no owner, or are on their way to another.
    Unowned,
    /// The hold that ends soonest first.
    Held(Time),
    /// The holder left grants unanswered. The slice that was tried last is tried again,
    /// for each that is tried stays with the holder for longer.
    Silent(Reverse<Time>),
}

impl Granter {
    /// Orders that are due. To be called only with authority to grant.
    pub fn poll(&mut self, now: Time) -> Vec<GrantOrder> {
        if !self.knows_candidates {
            return Vec::new();
        }
        self.found(now);
        self.take_from_leavers(now);
        self.free_lapsed(now);
        self.assign_free(now);
        let room = self.room(now);
        let due = self.due_slices(now).into_iter();
        due.filter_map(|first| self.order(now, first))
            .take(room)
            .collect()
    }

    /// Slices for which an order is due, the most urgent ones first.
    fn due_slices(&self, now: Time) -> Vec<ShardKey> {
        let due = self
            .slices
            .values()
            .filter(|slice| slice.call.is_none() && now >= slice.due);
        let mut due: Vec<(Urgency, ShardKey)> = due
            .map(|slice| (self.urgency(now, slice), slice.range.first))
            .collect();
        due.sort();
        due.into_iter().map(|(_, first)| first).collect()
    }

    fn urgency(&self, now: Time, slice: &Slice) -> Urgency {
        if slice.unowned.is_some() {
            return Urgency::Unowned;
        }
        let is_silent = slice
            .holder()
            .is_some_and(|holder| self.silence(now, holder).is_some());
        if is_silent {
            Urgency::Silent(Reverse(slice.lapses))
        } else {
            Urgency::Held(slice.lapses)
        }
    }

    /// The order that is due for a slice.
    fn order(&mut self, now: Time, first: ShardKey) -> Option<GrantOrder> {
        let hold = self.timing.pace(self.slices.len()).hold;
        let slice = self.slices.get_mut(&first)?;
        let told = slice.told_in <= self.durable || !self.timing.guards.records_first;
        if slice.call.is_some() || now < slice.due || !told {
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
            let heard = self.candidates.get(&holder).and_then(|one| one.heard);
            let contact = self.contacts.entry(holder.clone()).or_default();
            if !contact.takes_grants(now, heard) {
                return None;
            }
            contact.sent(now, call);
        }
        self.next_call += 1;
        slice.call = Some(call);
        let sent = Call {
            sent: now,
            first,
            holder: holder.clone(),
            hold: is_grant.then_some(hold),
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

    /// How many orders may be given now.
    fn room(&self, now: Time) -> usize {
        let under_way = self.calls.values().filter(|call| self.counts(now, call));
        self.window().saturating_sub(under_way.count())
    }

    /// Most orders under way at once.
    fn window(&self) -> usize {
        let renewal = self.timing.pace(self.slices.len()).renewal;
        let answered_in = self.in_time().as_secs_f64();
        let needed = self.slices.len() as f64 * answered_in / renewal.as_secs_f64();
        (needed.ceil() as usize).clamp(LEAST, MOST)
    }

    /// How long an answer may take where the machine keeps pace.
    fn in_time(&self) -> Duration {
        self.timing.order_wait / 2
    }

    /// Whether an order under way takes room from others.
    fn counts(&self, now: Time, call: &Call) -> bool {
        let is_grant = call.hold.is_some();
        let is_silent = self.silence(now, &call.holder).is_some();
        !is_silent && (is_grant || now.since(call.sent) < self.in_time())
    }
}
