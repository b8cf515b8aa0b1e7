//! Imbalance, measured as the ratio of the busiest server to the mean.

use crate::input::SliceLoad;
use beamtray_types::ServerName;
use std::collections::BTreeMap;

/// Ratio of the maximum to the mean over servers; 1 is perfect balance, 0 means
/// that there is nothing to measure.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Imbalance {
    /// By requests per second.
    pub load: f64,
    /// By share of the hash space, as an estimate of the number of keys.
    pub keys: f64,
}

/// Measures the imbalance of slices over `servers`.
pub fn imbalance(slices: &[SliceLoad], servers: &[ServerName]) -> Imbalance {
    let ratio = |weight: &dyn Fn(&SliceLoad) -> f64| {
        let mut totals: BTreeMap<&ServerName, f64> =
            servers.iter().map(|server| (server, 0.0)).collect();
        for slice in slices {
            if let Some(total) = slice.owner.as_ref().and_then(|owner| totals.get_mut(owner)) {
                *total += weight(slice);
            }
        }
        let sum: f64 = totals.values().sum();
        let most = totals.values().copied().fold(0.0, f64::max);
        if sum == 0.0 {
            return 0.0;
        }
        most * totals.len() as f64 / sum
    };
    Imbalance {
        load: ratio(&|slice| slice.rate),
        keys: ratio(&|slice| slice.range.fraction()),
    }
}
