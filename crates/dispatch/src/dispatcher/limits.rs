//! Requests to upstreams that name the rate that they take.

use super::Dispatcher;
use crate::rate_limit::LimitNotice;
use crate::request::Ticket;
use beamtray_catalog::RateWord;
use beamtray_types::Time;

impl Dispatcher {
    /// Takes what the answer to a request said of its upstream's rate, before its end.
    pub fn rate_named(&mut self, now: Time, ticket: Ticket, word: RateWord) {
        let request = self.requests.get(&ticket);
        let Some(attempt) = request.and_then(|request| request.attempt.as_ref()) else {
            return;
        };
        self.limits.answered(now, attempt.hash, attempt.sent, word);
    }

    /// What became known of rates since the last call.
    pub fn take_limit_notices(&mut self) -> Vec<LimitNotice> {
        self.limits.take_notices()
    }

    /// How many upstreams name a rate.
    pub fn limited_count(&self) -> usize {
        self.limits.count()
    }
}
