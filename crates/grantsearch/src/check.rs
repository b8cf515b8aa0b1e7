//! What must hold in every history.
//!
//! The rule of sole ownership has three sentences:
//!
//! 1. Two upstreams never both hold a key and both begin requests on it meanwhile.
//! 2. The token under which an upstream takes a key lies above all those under which other
//!    upstreams had it.
//! 3. Two upstreams never hold a key for more than half a second, with requests or without.
//!
//! Left out, as the rule says: of the first two, grants that arrive within [`RECOVERY_WINDOW`] after
//! their sender was continued or a path healed; of the third also those that were held up on
//! their way or taken late. Here every holder begins requests all the time, as routers with
//! an old view would send them, so that any time in which two hold a key breaks the first
//! sentence. Work that is still under way when keys are given on is not in this world.

use crate::scope::Scope;
use crate::upstream::Upstream;
use beamtray_catalog::{UpstreamId, UpstreamName};
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Grants that arrive so soon after a path healed or their sender was continued are left
/// out by the rule.
pub const RECOVERY_WINDOW: Duration = Duration::from_millis(300);
/// How long two may hold a key without requests.
pub const MAX_OVERLAP: Duration = Duration::from_millis(500);

/// A sentence that must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// Two upstreams hold a key and both begin requests on it.
    SoleOwner,
    /// A token is not above those under which others had the key.
    RisingTokens,
    /// Two upstreams hold a key for more than half a second.
    ShortOverlap,
    /// A key has no owner for too long though an upstream is there.
    OwnedAgain,
}

/// A sentence that does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub invariant: Invariant,
    /// What happened.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.invariant, self.text)
    }
}

/// Who took a range.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HolderKey {
    range: usize,
    name: UpstreamName,
    /// Always 0 where lives under one id are not told apart.
    incarnation: u32,
}

/// Follows who took which range under which token.
#[derive(Clone, Debug, Default)]
pub(crate) struct InvariantChecker {
    /// The highest token under which an upstream had a range, by its number.
    highest_tokens: BTreeMap<HolderKey, u64>,
    /// Since when two hold a range.
    overlap_since: BTreeMap<usize, Time>,
    /// Looks at this promise alone, if at one.
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

    /// An upstream took a range under a token, by a grant that counts.
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

    /// Time has passed.
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

/// Who holds a range at `now`, by one of the ends of a hold.
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
