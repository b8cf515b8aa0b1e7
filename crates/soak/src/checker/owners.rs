//! The promise that a key has one owner.

use super::{Begun, Checker, Promise};
use beamtray_types::Time;
use std::collections::HashMap;
use std::time::Duration;

/// How long two upstreams may hold the same keys.
const OVERLAP: Duration = Duration::from_millis(500);

impl Checker<'_> {
    /// Two upstreams must not both begin requests on a key while both hold it.
    pub(super) fn judge_owners(&mut self) {
        let mut begun: Vec<(u16, Begun)> = self
            .requests
            .values()
            .flat_map(|request| request.begun.iter())
            .filter_map(|begun| Some((begun.key?, begun.clone())))
            .collect();
        begun.sort_by_key(|(_, begun)| begun.at);
        let mut last: HashMap<(u16, String), Time> = HashMap::new();
        for (key, begun) in begun {
            let other = self.holdings.iter().find(|holding| {
                let holds = holding.first <= key
                    && key <= holding.last
                    && holding.since <= begun.at
                    && begun.at < holding.ends;
                let both_since = holding.since.max(begun.held_since);
                let began = last.get(&(key, holding.upstream.clone()));
                holds
                    && holding.upstream != begun.upstream
                    && began.is_some_and(|began| *began >= both_since)
            });
            let other = other.map(|holding| holding.upstream.clone());
            self.verdict
                .test(Promise::Owner, other.is_none(), begun.at, || {
                    let other = other.unwrap_or_default();
                    format!("{} and {other} both work on key {key}", begun.upstream)
                });
            last.insert((key, begun.upstream), begun.at);
        }
        self.judge_overlaps();
    }

    fn judge_overlaps(&mut self) {
        let holdings = std::mem::take(&mut self.holdings);
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
        self.holdings = holdings;
    }
}
