//! Whether a holder answers, and when it is sent grants.
//!
//! An order without an answer may have been taken, so each grant that is sent
//! into silence puts off the moment in which the holder's keys can go to
//! another. A holder that leaves a grant unanswered gets one at a time from then
//! on, until it answers something: an order, or requests that nodes send it.

use crate::order::CallId;
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a grant may be under way before further ones wait for its answer.
const PROMPT_ANSWER: Duration = Duration::from_millis(100);
/// Pause after a grant that was not answered.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long after an answer to a request the granter may hear of it: nodes tell their
/// relay every 0.5 s of the answers that they had, which passes them on.
const REPORT_DELAY: Duration = Duration::from_millis(600);

/// Grants that were left unanswered, by what the nodes know of their holders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnansweredGrants {
    /// The holder answered requests after the grant was sent: the granter, or its path
    /// to the holder, is late.
    pub serving: u64,
    /// The holder was not heard of since.
    pub silent: u64,
}

/// What is known of one holder.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    /// Grants under way, and when they were sent.
    pending: BTreeMap<CallId, Time>,
    /// Since when no grant was answered.
    silent_since: Option<Time>,
    /// When the first grant was sent that was not answered.
    unanswered_since: Option<Time>,
    /// When the next grant may be sent to a silent holder.
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
        now.since(*oldest) < PROMPT_ANSWER || last_answered.is_some_and(|at| at > *oldest)
    }

    /// Notes that a grant is sent.
    pub fn sent(&mut self, now: Time, call: CallId) {
        self.pending.insert(call, now);
    }

    /// Notes that the holder answered a grant, whatever it said.
    pub fn answered(&mut self, call: CallId) {
        self.pending.remove(&call);
        self.clear_silence();
    }

    /// Forgets its silence: it answered a release, or gets new keys, whose first
    /// grant it must have the time to answer.
    pub fn clear_silence(&mut self) {
        self.silent_since = None;
        self.unanswered_since = None;
    }

    /// Notes that a grant was given up on; when it was sent.
    pub fn unanswered(&mut self, now: Time, call: CallId) -> Time {
        let sent = self.pending.remove(&call).unwrap_or(now);
        self.unanswered_since.get_or_insert(sent);
        self.silent_since.get_or_insert(now);
        self.retry_at = now + RETRY_DELAY;
        sent
    }

    /// When the first grant was sent that was not answered, if none was since.
    pub fn unanswered_since(&self) -> Option<Time> {
        self.unanswered_since
    }

    /// Whether it left grants unanswered for so long, and no node was answered by it
    /// since. A holder that answers nodes is there: what is late is the granter or its
    /// path to the holder, and taking the keys back would make it later still.
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
