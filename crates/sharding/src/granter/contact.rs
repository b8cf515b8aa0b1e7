//! Tracks whether a holder replies, and when it may be sent grants.
//!
//! An unanswered order may have been accepted, so each grant that is sent to an unresponsive
//! holder postpones the moment at which its keys can be reassigned. After leaving a grant
//! unanswered, a holder gets only one grant at a time until it answers an order or a request
//! that nodes send it.

use crate::order::CallId;
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a grant may be pending before further ones wait for its reply.
const MAX_PENDING_AGE: Duration = Duration::from_millis(100);
/// Delay after an unanswered grant.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long after an answer to a request the granter may learn of it: nodes report the
/// answers that they received to their relay every 0.5 s, which forwards them.
const REPORT_DELAY: Duration = Duration::from_millis(600);

/// Counts of unanswered grants, by whether nodes have heard from the holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnansweredGrants {
    /// The holder answered requests after the grant was sent: the granter, or its path to the
    /// holder, is slow.
    pub serving: u64,
    /// The holder has not been heard from since.
    pub silent: u64,
}

/// Responsiveness of one holder.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    /// Pending grants, and when they were sent.
    pending: BTreeMap<CallId, Time>,
    /// Since when no grant has been answered.
    silent_since: Option<Time>,
    /// When the first unanswered grant was sent.
    unanswered_since: Option<Time>,
    /// When the next grant may be sent to an unresponsive holder.
    retry_at: Time,
}

impl Contact {
    /// Whether a grant may be sent. `last_answered` is when the holder last answered a
    /// request, as far as known.
    pub fn may_send_grant(&self, now: Time, last_answered: Option<Time>) -> bool {
        if self.silent_since.is_some() {
            return self.pending.is_empty() && now >= self.retry_at;
        }
        let Some(oldest) = self.pending.values().min() else {
            return true;
        };
        now.since(*oldest) < MAX_PENDING_AGE || last_answered.is_some_and(|at| at > *oldest)
    }

    /// Records that a grant is sent.
    pub fn sent(&mut self, now: Time, call: CallId) {
        self.pending.insert(call, now);
    }

    /// Records that the holder replied to a grant, whatever the reply.
    pub fn answered(&mut self, call: CallId) {
        self.pending.remove(&call);
        self.clear_silence();
    }

    /// Resets the unresponsive state: the holder answered a release, or gets new keys and
    /// must have time to answer their first grant.
    pub fn clear_silence(&mut self) {
        self.silent_since = None;
        self.unanswered_since = None;
    }

    /// Records that a grant was given up on; returns when it was sent.
    pub fn unanswered(&mut self, now: Time, call: CallId) -> Time {
        let sent = self.pending.remove(&call).unwrap_or(now);
        self.unanswered_since.get_or_insert(sent);
        self.silent_since.get_or_insert(now);
        self.retry_at = now + RETRY_DELAY;
        sent
    }

    /// When the first unanswered grant was sent, if no grant has been answered since.
    pub fn unanswered_since(&self) -> Option<Time> {
        self.unanswered_since
    }

    /// Whether the holder has left grants unanswered for `timeout` and has answered no node
    /// since. A holder that answers nodes is alive: the granter or its path to the holder is
    /// slow, and revoking the keys would slow it down further.
    pub fn is_silent(&self, now: Time, timeout: Duration, last_answered: Option<Time>) -> bool {
        let Some(since) = self.silent_since else {
            return false;
        };
        now.since(since) >= timeout && last_answered.is_none_or(|at| at <= since + REPORT_DELAY)
    }

    /// How long no grant has been answered.
    pub fn unanswered_for(&self, now: Time) -> Option<Duration> {
        self.silent_since.map(|since| now.since(since))
    }
}
