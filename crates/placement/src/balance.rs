//! Load-based placement.
//!
//! The weight of a slice combines its share of the service's load with, to a
//! lesser extent, its share of the hash space. Both are relative to the mean per
//! server, so 1.0 is the target weight of a server. Slices move from the
//! heaviest server to the lightest while the gain exceeds the service's cost of
//! a move. A slice too heavy to be moved with a gain is split; splitting changes
//! no owner.

use crate::baseline::{modulo_targets, ring_targets};
use crate::input::{Change, PlacementInput, Policy, SliceLoad};
use beamtray_types::{ServerName, SliceRange};
use std::collections::BTreeMap;

/// Fraction of a slice's weight that is load; the rest is its share of keys.
const LOAD_FRACTION: f64 = 0.9;
/// Excess over the mean below which a server is not rebalanced.
const TOLERATED_EXCESS: f64 = 0.08;
/// Approximate period that a request rate is averaged over, in seconds.
const RATE_AVERAGING_SECONDS: f64 = 4.0;
/// Number of servers per concurrent balancing move.
const SERVERS_PER_BALANCE_MOVE: usize = 4;
/// Limit on concurrent moves while servers are drained, per available server.
const DRAIN_MOVES_PER_SERVER: usize = 2;
/// Slices may be split until a service has this many times its initial number
/// of slices.
const MAX_SLICE_GROWTH: usize = 3;
/// A slice of at least this weight is split before any other slice is moved.
const DOMINANT_WEIGHT: f64 = 0.6;
/// Adjacent slices whose combined weight is below this fraction of an initial
/// slice are merged.
const MERGE_WEIGHT: f64 = 0.5;

/// Plans the changes to make now.
pub fn plan(input: &PlacementInput) -> Vec<Change> {
    if input.available.is_empty() {
        return Vec::new();
    }
    match input.policy {
        Policy::Balanced => Planner::new(input).plan(),
        Policy::Ring => plan_baseline(input, ring_targets(&ranges(input), &input.available)),
        Policy::Modulo => plan_baseline(input, modulo_targets(&ranges(input), &input.available)),
    }
}

fn ranges(input: &PlacementInput) -> Vec<SliceRange> {
    input.slices.iter().map(|slice| slice.range).collect()
}

/// Moves every slice to the owner chosen by a baseline policy.
fn plan_baseline(input: &PlacementInput, targets: Vec<Option<ServerName>>) -> Vec<Change> {
    let pairs = input.slices.iter().zip(targets);
    pairs
        .filter(|(slice, _)| !slice.moving)
        .filter_map(|(slice, target)| {
            let (first, to) = (slice.range.first, target?);
            match &slice.owner {
                None => Some(Change::Place { first, to }),
                Some(owner) if *owner != to => Some(Change::Move { first, to }),
                Some(_) => None,
            }
        })
        .collect()
}

struct Planner<'a> {
    input: &'a PlacementInput,
    weights: Vec<f64>,
    totals: BTreeMap<&'a ServerName, f64>,
    moves_in_progress: usize,
    /// Excess over the mean that is not rebalanced.
    tolerated: f64,
    changes: Vec<Change>,
}

impl<'a> Planner<'a> {
    fn new(input: &'a PlacementInput) -> Self {
        let servers = input.available.len() as f64;
        let rate: f64 = input.slices.iter().map(|slice| slice.rate).sum();
        let weight = |slice: &SliceLoad| {
            let keys = slice.range.fraction() * servers;
            if rate <= 0.0 {
                return keys;
            }
            LOAD_FRACTION * slice.rate / rate * servers + (1.0 - LOAD_FRACTION) * keys
        };
        let weights: Vec<f64> = input.slices.iter().map(weight).collect();
        let mut totals: BTreeMap<&ServerName, f64> =
            input.available.iter().map(|server| (server, 0.0)).collect();
        for (slice, weight) in input.slices.iter().zip(&weights) {
            if let Some(total) = slice.owner.as_ref().and_then(|owner| totals.get_mut(owner)) {
                *total += weight;
            }
        }
        Self {
            input,
            weights,
            totals,
            tolerated: tolerated_excess(rate, servers),
            moves_in_progress: input.slices.iter().filter(|slice| slice.moving).count(),
            changes: Vec::new(),
        }
    }

    fn plan(mut self) -> Vec<Change> {
        self.place_unowned();
        self.drain_unavailable();
        // Balancing starts only when every slice has an owner that may keep it.
        if self.changes.is_empty() && self.input.allow_balance {
            self.balance();
        }
        if self.changes.is_empty() && self.input.allow_balance {
            self.merge_light();
        }
        self.changes
    }

    /// Assigns unowned slices, heaviest first, each to the lightest server.
    fn place_unowned(&mut self) {
        let mut unowned: Vec<usize> = (0..self.input.slices.len())
            .filter(|position| {
                let slice = &self.input.slices[*position];
                slice.owner.is_none() && !slice.moving
            })
            .collect();
        unowned.sort_by(|left, right| self.weights[*right].total_cmp(&self.weights[*left]));
        for position in unowned {
            if let Some(to) = self.lightest() {
                let first = self.input.slices[position].range.first;
                *self.totals.entry(to).or_default() += self.weights[position];
                let to = to.clone();
                self.changes.push(Change::Place { first, to });
            }
        }
    }

    /// Moves slices off servers that may not hold any, within the drain limit.
    fn drain_unavailable(&mut self) {
        let limit = self.input.available.len() * DRAIN_MOVES_PER_SERVER;
        for (position, slice) in self.input.slices.iter().enumerate() {
            if self.moves_in_progress >= limit {
                return;
            }
            let Some(owner) = &slice.owner else { continue };
            let stays = self.totals.contains_key(owner) || self.input.unresponsive.contains(owner);
            if slice.moving || stays {
                continue;
            }
            if let Some(to) = self.lightest() {
                *self.totals.entry(to).or_default() += self.weights[position];
                self.moves_in_progress += 1;
                let (first, to) = (slice.range.first, to.clone());
                self.changes.push(Change::Move { first, to });
            }
        }
    }

    fn balance(&mut self) {
        let limit = self
            .input
            .available
            .len()
            .div_ceil(SERVERS_PER_BALANCE_MOVE);
        let mut moved = vec![false; self.input.slices.len()];
        while self.moves_in_progress < limit {
            let Some((heaviest, heaviest_total)) = self.heaviest() else {
                return;
            };
            let Some(lightest) = self.lightest() else {
                return;
            };
            let lightest_total = self.totals[lightest];
            if heaviest_total < 1.0 + self.tolerated {
                return;
            }
            if self.split_dominant(heaviest) {
                return;
            }
            let candidate = self.best_move(heaviest, heaviest_total, lightest_total, &moved);
            let Some((position, gain)) = candidate else {
                return self.split_heaviest(heaviest, heaviest_total - lightest_total);
            };
            if gain <= self.move_cost_of(position) {
                return self.split_heaviest(heaviest, heaviest_total - lightest_total);
            }
            moved[position] = true;
            let weight = self.weights[position];
            *self.totals.entry(heaviest).or_default() -= weight;
            *self.totals.entry(lightest).or_default() += weight;
            self.moves_in_progress += 1;
            let first = self.input.slices[position].range.first;
            let to = lightest.clone();
            self.changes.push(Change::Move { first, to });
        }
    }

    /// Cost of moving a slice, proportional to the keys that change owner up to
    /// the initial slice size, for which it is the service's `move_cost` divided
    /// by the square root of the initial number of slices per server.
    fn move_cost_of(&self, position: usize) -> f64 {
        let initial_slices = f64::from(self.input.slices_per_server.max(1));
        let servers = self.input.available.len() as f64;
        let size = self.input.slices[position].range.fraction() * servers * initial_slices;
        self.input.move_cost * size.min(1.0) / initial_slices.sqrt()
    }

    /// The slice of `server` whose move reduces the larger of the two totals the
    /// most, net of the move's cost.
    fn best_move(
        &self,
        server: &ServerName,
        heaviest_total: f64,
        lightest_total: f64,
        moved: &[bool],
    ) -> Option<(usize, f64)> {
        let gain =
            |weight: f64| heaviest_total - (heaviest_total - weight).max(lightest_total + weight);
        (0..self.input.slices.len())
            .filter(|position| {
                let slice = &self.input.slices[*position];
                slice.owner.as_ref() == Some(server) && !slice.moving && !moved[*position]
            })
            .map(|position| (position, gain(self.weights[position])))
            .filter(|(_, gain)| *gain > 0.0)
            .max_by(|left, right| {
                let net = |(position, gain): &(usize, f64)| gain - self.move_cost_of(*position);
                net(left).total_cmp(&net(right))
            })
    }

    /// Splits a slice that alone makes up most of a server's target weight: its
    /// parts can be spread over servers, whereas moving the other slices away
    /// would only change their owners.
    fn split_dominant(&mut self, server: &ServerName) -> bool {
        let before = self.changes.len();
        self.split_heaviest(server, 2.0 * DOMINANT_WEIGHT);
        self.changes.len() > before
    }

    /// Splits the heaviest slice of a server if its weight is at least half of
    /// the excess that no single move can remove.
    fn split_heaviest(&mut self, server: &ServerName, excess: f64) {
        let initial_slices = self.input.slices_per_server as usize * self.input.available.len();
        if self.input.slices.len() >= initial_slices.max(1) * MAX_SLICE_GROWTH {
            return;
        }
        let heaviest = (0..self.input.slices.len())
            .filter(|position| {
                let slice = &self.input.slices[*position];
                slice.owner.as_ref() == Some(server) && !slice.moving
            })
            .max_by(|left, right| self.weights[*left].total_cmp(&self.weights[*right]));
        let Some(position) = heaviest else { return };
        if self.weights[position] < excess / 2.0 {
            return;
        }
        let slice = &self.input.slices[position];
        if let Some(at) = split_point(slice) {
            let first = slice.range.first;
            self.changes.push(Change::Split { first, at });
        }
    }

    /// Merges light adjacent slices of one owner once a service has more than
    /// one and a half times its initial number of slices.
    fn merge_light(&mut self) {
        let initial_slices = self.input.slices_per_server as usize * self.input.available.len();
        if self.input.slices.len() <= initial_slices + initial_slices / 2 {
            return;
        }
        let limit = MERGE_WEIGHT / f64::from(self.input.slices_per_server.max(1));
        let pairs = self.input.slices.windows(2).enumerate();
        let found = pairs.into_iter().find(|(position, pair)| {
            let [lower, upper] = pair else { return false };
            let together = self.weights[*position] + self.weights[position + 1];
            lower.owner.is_some()
                && lower.owner == upper.owner
                && !lower.moving
                && !upper.moving
                && together < limit
        });
        if let Some((position, _)) = found {
            let first = self.input.slices[position].range.first;
            self.changes.push(Change::Merge { first });
        }
    }

    fn lightest(&self) -> Option<&'a ServerName> {
        let totals = self.totals.iter();
        totals
            .min_by(|left, right| left.1.total_cmp(right.1))
            .map(|(server, _)| *server)
    }

    fn heaviest(&self) -> Option<(&'a ServerName, f64)> {
        let totals = self.totals.iter();
        totals
            .max_by(|left, right| left.1.total_cmp(right.1))
            .map(|(server, total)| (*server, *total))
    }
}

/// The excess that is not rebalanced. Correcting the random variation expected
/// on the busiest of `servers` servers would cost moves without any gain.
/// `rate` is the request rate of the whole service per second.
fn tolerated_excess(rate: f64, servers: f64) -> f64 {
    let sampled_requests = rate / servers * RATE_AVERAGING_SECONDS;
    if sampled_requests <= 0.0 {
        return TOLERATED_EXCESS;
    }
    // The maximum of n normally distributed samples is about this many standard
    // deviations above the mean.
    let deviations = 1.0 + (2.0 * servers.max(1.0).ln()).sqrt();
    TOLERATED_EXCESS.max(LOAD_FRACTION * deviations / sampled_requests.sqrt())
}

/// Where to split a slice: next to its hot hash, so that repeated splits isolate
/// that hash in a slice of its own, or else in the middle.
fn split_point(slice: &SliceLoad) -> Option<u64> {
    let SliceRange { first, last } = slice.range;
    if first == last {
        return None;
    }
    match slice.hot_hash {
        Some(hash) if hash > first && hash <= last => Some(hash),
        Some(hash) if hash == first => Some(hash + 1),
        _ => Some(first + (last - first) / 2 + 1),
    }
}
