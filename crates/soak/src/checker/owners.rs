//! Checks that a key has at most one owner.

use super::{Checker, ExecutionStart, Promise};
use beamtray_types::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Longest tolerated overlap of holds of the same keys by two upstreams.
const OVERLAP: Duration = Duration::from_millis(500);

impl Checker<'_> {
    /// Two upstreams must not both start requests on a key while both hold it. Grants right
    /// after a fault are exempt, since their sender could not yet know that they were outdated.
    pub(super) fn check_owners(&mut self) {
        let all = self.holdings.clone();
        let mut holdings = all.clone();
        holdings.retain(|holding| !self.follows_fault(&holding.upstream, holding.taken));
        for holding in &mut holdings {
            if self.follows_fault(&holding.upstream, holding.since) {
                holding.since = holding.taken;
            }
        }
        self.holdings = holdings;
        self.check_concurrent_starts();
        self.holdings = all;
        self.check_overlapping_holds();
    }

    fn check_concurrent_starts(&mut self) {
        let mut begun: Vec<(u16, ExecutionStart)> = self
            .requests
            .values()
            .flat_map(|request| request.begun.iter())
            .filter_map(|begun| Some((begun.key?, begun.clone())))
            .collect();
        begun.sort_by_key(|(_, begun)| begun.at);
        let mut last: HashMap<(u16, String), Time> = HashMap::new();
        for (key, begun) in begun {
            let own_since = self.counted_since(&begun, key);
            let other = self.holdings.iter().find(|holding| {
                let holds = holding.first <= key
                    && key <= holding.last
                    && holding.since <= begun.at
                    && begun.at < holding.ends;
                let both_since = own_since.map(|own| holding.since.max(own));
                let began = last.get(&(key, holding.upstream.clone()));
                let both_began = both_since.zip(began);
                holds
                    && holding.upstream != begun.upstream
                    && both_began.is_some_and(|(both_since, began)| *began >= both_since)
            });
            let other = other.map(|holding| holding.upstream.clone());
            self.verdict
                .test(Promise::Owner, other.is_none(), begun.at, || {
                    let other = other.unwrap_or_default();
                    format!(
                        "{} and {other} both execute requests on key {key}",
                        begun.upstream
                    )
                });
            last.insert((key, begun.upstream), begun.at);
        }
    }

    /// Since when the upstream of an execution has held its key under grants that are not exempt.
    fn counted_since(&self, begun: &ExecutionStart, key: u16) -> Option<Time> {
        if !self.follows_fault(&begun.upstream, begun.held_since) {
            return Some(begun.held_since);
        }
        let own = self.holdings.iter().filter(|holding| {
            holding.upstream == begun.upstream
                && (holding.first..=holding.last).contains(&key)
                && begun.held_since <= holding.taken
                && holding.taken <= begun.at
        });
        own.map(|holding| holding.taken).min()
    }

    /// Two upstreams must not hold the same keys for long, with or without requests. Delayed
    /// grants are exempt: their hold is timed from arrival, so it ends later than their sender
    /// can know by any clock.
    fn check_overlapping_holds(&mut self) {
        let all = std::mem::take(&mut self.holdings);
        let mut holdings = all.clone();
        holdings.retain(|holding| !self.is_delayed_delivery(&holding.upstream, holding.taken));
        for (index, one) in holdings.iter().enumerate() {
            let other = holdings[index + 1..].iter().find(|other| {
                let from = one.since.max(other.since);
                let until = one.ends.min(other.ends);
                one.upstream != other.upstream
                    && one.first <= other.last
                    && other.first <= one.last
                    && until.since(from) > OVERLAP
            });
            self.verdict
                .test(Promise::Owner, other.is_none(), one.since, || {
                    let other = other.map_or("", |other| other.upstream.as_str());
                    let (first, last) = (one.first, one.last);
                    format!(
                        "{} and {other} both hold keys of {first} to {last}",
                        one.upstream
                    )
                });
        }
        self.holdings = all;
    }
}
