//! Checks that tokens increase, and that no key is granted while its holder still executes
//! requests on it.

use super::{AcceptedGrant, Checker, Promise};
use beamtray_types::Time;
use std::time::Duration;

/// Grants that arrive this soon after their sender was resumed or its link was restored are
/// exempt, since the router could not yet know that they were outdated.
const AFTER_FAULT_EXEMPTION: Duration = Duration::from_millis(300);
/// A grant that arrives this soon after a delayed delivery may have been part of it.
const DELAYED_DELIVERY_WINDOW: Duration = Duration::from_millis(100);

/// A token under which an upstream held a key, ordered by token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct HeldToken<'a> {
    token: u64,
    upstream: &'a str,
}

/// Tokens under which upstreams held one key.
#[derive(Clone, Copy, Debug, Default)]
struct KeyTokens<'a> {
    highest: HeldToken<'a>,
    /// The highest token of all other holders.
    of_others: HeldToken<'a>,
}

impl<'a> KeyTokens<'a> {
    fn highest_of_others(&self, upstream: &str) -> HeldToken<'a> {
        if self.highest.upstream == upstream {
            self.of_others
        } else {
            self.highest
        }
    }

    fn note(&mut self, had: HeldToken<'a>) {
        if self.highest.upstream == had.upstream {
            self.highest = self.highest.max(had);
        } else if had.token > self.highest.token {
            self.of_others = self.highest;
            self.highest = had;
        } else {
            self.of_others = self.of_others.max(had);
        }
    }
}

fn is_within(at: Time, since: Time, time: Duration) -> bool {
    since <= at && at.since(since) < time
}

impl Checker<'_> {
    /// Whether a grant arrived right after the end of a fault and is therefore exempt.
    pub(super) fn follows_fault(&self, upstream: &str, at: Time) -> bool {
        self.history.fault_ends.iter().any(|fault_end| {
            let concerns = fault_end
                .upstream
                .as_ref()
                .is_none_or(|one| one == upstream);
            concerns && is_within(at, fault_end.at, AFTER_FAULT_EXEMPTION)
        })
    }

    /// Whether a grant may have been part of a delayed delivery.
    pub(super) fn is_delayed_delivery(&self, upstream: &str, at: Time) -> bool {
        self.history.delayed_deliveries.iter().any(|delivery| {
            delivery.upstream == upstream && is_within(at, delivery.at, DELAYED_DELIVERY_WINDOW)
        })
    }

    /// An upstream must accept a key only under a token higher than all those under which others
    /// held it. Delayed grants are not exempt, since the token shows that they are old.
    pub(super) fn check_tokens(&mut self) {
        let accepted_grants = std::mem::take(&mut self.accepted_grants);
        let mut keys = vec![KeyTokens::default(); usize::from(u16::MAX) + 1];
        for taking in &accepted_grants {
            let own = HeldToken {
                token: taking.token,
                upstream: &taking.upstream,
            };
            let mut others = HeldToken::default();
            for tokens in &mut keys[usize::from(taking.first)..=usize::from(taking.last)] {
                others = others.max(tokens.highest_of_others(&taking.upstream));
                tokens.note(own);
            }
            let counts = !self.follows_fault(&taking.upstream, taking.at);
            let holds = others.token < taking.token || !counts;
            self.verdict
                .test(Promise::Owner, holds, taking.at, || too_low(taking, others));
        }
        self.accepted_grants = accepted_grants;
    }

    /// A key must not be granted while another upstream executes a request on it and that
    /// upstream's lease has not expired. Delayed grants are exempt: their hold is timed from
    /// arrival, so it ends later than their sender can know by any clock.
    pub(super) fn check_work(&mut self) {
        let runs = self.runs();
        let accepted_grants = std::mem::take(&mut self.accepted_grants);
        for taking in &accepted_grants {
            if self.is_delayed_delivery(&taking.upstream, taking.at) {
                continue;
            }
            let works = runs.iter().find(|run| {
                run.upstream != taking.upstream
                    && (taking.first..=taking.last).contains(&run.key)
                    && run.begun <= taking.at
                    && taking.at < run.ends
                    && self.is_leased(run, taking.at)
            });
            self.verdict
                .test(Promise::Owner, works.is_none(), taking.at, || {
                    let other = works.map_or("", |run| run.upstream.as_str());
                    let (first, last) = (taking.first, taking.last);
                    let upstream = &taking.upstream;
                    format!("{upstream} accepted keys {first} to {last} while {other} executed requests on them")
                });
        }
        self.accepted_grants = accepted_grants;
    }

    fn is_leased(&self, run: &KeyRun, at: Time) -> bool {
        self.holdings.iter().any(|holding| {
            holding.upstream == run.upstream
                && (holding.first..=holding.last).contains(&run.key)
                && holding.taken <= at
                && at < holding.lease_ends
                && !self.is_delayed_delivery(&holding.upstream, holding.taken)
        })
    }

    /// Executions on keys. One without a reported end lasts until its upstream exits.
    fn runs(&self) -> Vec<KeyRun> {
        let mut runs = Vec::new();
        for request in self.requests.values() {
            for begun in &request.begun {
                let Some(key) = begun.key else { continue };
                let own = request
                    .finished
                    .iter()
                    .filter(|(at, upstream)| *upstream == begun.upstream && *at >= begun.at);
                let finished = own.map(|(at, _)| *at).min();
                let ended = self.history.upstream_ends.iter();
                let ended = ended.filter(|end| end.upstream == begun.upstream);
                let ended = ended.map(|end| end.at).min();
                runs.push(KeyRun {
                    upstream: begun.upstream.clone(),
                    key,
                    begun: begun.at,
                    ends: finished.or(ended).unwrap_or(begun.at),
                });
            }
        }
        runs
    }
}

/// Execution of a request on a key by an upstream.
struct KeyRun {
    upstream: String,
    key: u16,
    begun: Time,
    ends: Time,
}

fn too_low(taking: &AcceptedGrant, other: HeldToken<'_>) -> String {
    let AcceptedGrant {
        upstream,
        first,
        last,
        token,
        ..
    } = taking;
    let (other, had) = (other.upstream, other.token);
    format!(
        "{upstream} accepted keys {first} to {last} under token {token}, but {other} held some under {had}"
    )
}
