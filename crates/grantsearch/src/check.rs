//! The invariants that must hold in every history.
//!
//! Sole ownership consists of three invariants:
//!
//! 1. No two upstreams hold the same key and both start requests for it during that time.
//! 2. The token under which an upstream accepts a key is higher than all tokens under which other
//!    upstreams had it.
//! 3. No two upstreams hold the same key for more than half a second, with or without requests.
//!
//! The rule excludes some grants: from the first two invariants, those that arrive within
//! [`RECOVERY_WINDOW`] after
//! their sender resumed or a path recovered; from the third also those that were delayed in the
//! network or executed late. In this model every holder starts requests all the time, as it would
//! for routers with a stale view, so any overlap of two holders violates the first
//! invariant. Requests that are still running when keys are handed over are not modelled.

use crate::scope::Scope;
use crate::upstream::Upstream;
use beamtray_catalog::{UpstreamId, UpstreamName};
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Grants that arrive within this time after a path recovered or their sender resumed are
/// excluded by the rule.
pub const RECOVERY_WINDOW: Duration = Duration::from_millis(300);
/// How long two upstreams may hold the same key without requests.
pub const MAX_OVERLAP: Duration = Duration::from_millis(500);

/// An invariant of key ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// No two upstreams hold the same key and both start requests for it.
    SoleOwner,
    /// A token is higher than all tokens under which other upstreams held the key.
    RisingTokens,
    /// No two upstreams hold the same key for more than half a second.
    ShortOverlap,
    /// A key has an owner again in time if an upstream is available.
    OwnedAgain,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// Description of the violation.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.invariant, self.text)
    }
}

/// A holder of a range, as tokens are compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HolderKey {
    range: usize,
    name: UpstreamName,
    /// Always 0 if restarts under the same id are not distinguished.
    incarnation: u32,
}

/// Tracks which upstream accepted which range under which token.
#[derive(Clone, Debug, Default)]
pub(crate) struct InvariantChecker {
    /// Highest token under which each upstream held a range.
    highest_tokens: BTreeMap<HolderKey, u64>,
    /// Start of the current overlap of holders, by range index.
    overlap_since: BTreeMap<usize, Time>,
    /// If set, the only invariant that is checked.
    only: Option<Invariant>,
    distinguish_restarts: bool,
    pub violation: Option<Violation>,
}

impl InvariantChecker {
    pub fn new(scope: &Scope) -> Self {
        Self {
            only: scope.only_invariant,
            distinguish_restarts: scope.distinguish_restarts,
            ..Self::default()
        }
    }

    fn report(&mut self, invariant: Invariant, text: String) {
        if self.only.is_some_and(|only| only != invariant) {
            return;
        }
        self.violation.get_or_insert(Violation { invariant, text });
    }

    /// Records that an upstream accepted a range under a token, by a grant that is not excluded.
    pub fn grant_accepted(
        &mut self,
        now: Time,
        range: usize,
        token: u64,
        by: usize,
        all: &[Upstream],
    ) {
        let holder = &all[by].id;
        let key = HolderKey {
            range,
            name: holder.name.clone(),
            incarnation: if self.distinguish_restarts {
                all[by].incarnation
            } else {
                0
            },
        };
        let others = self.highest_tokens.iter();
        let others = others.filter(|(other, _)| other.range == range && **other != key);
        let highest = others.max_by_key(|(_, token)| **token);
        if let Some((other, above)) = highest.filter(|(_, highest)| **highest >= token) {
            let other = &other.name;
            let text = format!("{holder} takes range {range} under {token}, {other} had {above}");
            self.report(Invariant::RisingTokens, text);
        }
        let current = holders(all, range, |held| held.counted_expiry, now);
        let others: Vec<&str> = current
            .filter(|id| *id != holder)
            .map(|id| id.name.0.as_str())
            .collect();
        if !others.is_empty() {
            let text = format!(
                "{holder} takes range {range}, which {} holds",
                others.join(", ")
            );
            self.report(Invariant::SoleOwner, text);
        }
        let highest = self.highest_tokens.entry(key).or_default();
        *highest = token.max(*highest);
    }

    /// Checks for overlaps that last too long.
    pub fn tick(&mut self, now: Time, ranges: usize, all: &[Upstream]) {
        for range in 0..ranges {
            let held = holders(all, range, |held| held.prompt_expiry, now).count();
            if held < 2 {
                self.overlap_since.remove(&range);
                continue;
            }
            let since = *self.overlap_since.entry(range).or_insert(now);
            if now.since(since) > MAX_OVERLAP {
                let text = format!("{held} upstreams hold range {range}");
                self.report(Invariant::ShortOverlap, text);
            }
        }
    }
}

/// Returns the holders of a range at `now`, judged by the expiry that `end` selects.
fn holders(
    all: &[Upstream],
    range: usize,
    end: fn(&crate::upstream::Holding) -> Time,
    now: Time,
) -> impl Iterator<Item = &UpstreamId> {
    let held = all
        .iter()
        .filter(move |one| now < end(&one.holdings[range]));
    held.map(|one| &one.id)
}
