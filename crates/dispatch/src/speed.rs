//! Speed of each upstream, learned from response times.
//!
//! Upstreams of one service differ in speed, and routes differ in work. A sample is a response
//! time relative to the mean of its route, so that an upstream that happens to get long
//! requests does not count as slow.

use crate::report::UpstreamHash;
use beamtray_types::ServiceName;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;

/// Number of samples at speed 1 assumed for an unknown upstream.
const PRIOR_SAMPLES: f64 = 3.0;
/// Weight, in samples, of a speed learned by an earlier process.
const RESTORED_SAMPLES: f64 = 12.0;
/// Number of samples beyond which older ones are scaled down.
const MAX_SAMPLES: f64 = 40.0;
/// Smoothing factor of a route's mean response time.
const MEAN_SMOOTHING: f64 = 0.03;
/// Upper bound on a sample: one very long request says little.
const MAX_SAMPLE_RATIO: f64 = 5.0;

#[derive(Clone, Copy, Debug)]
struct Samples {
    count: f64,
    sum: f64,
}

/// Samples of one upstream that have not been reported to other nodes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UnreportedSamples {
    pub count: u32,
    pub sum: f64,
    pub failures: u32,
}

/// Learned speed of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct UpstreamSpeed {
    /// The upstream.
    pub upstream: UpstreamHash,
    /// Response time relative to the mean.
    pub slowness: f32,
}

/// Learned mean response time of one route or service.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct MeanResponseTime {
    /// Name of the route or service.
    pub name: String,
    /// Mean response time in seconds.
    pub seconds: f32,
}

/// Learned speeds, as kept in the store across processes.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct SpeedRecord {
    /// Speeds of upstreams.
    pub upstreams: Vec<UpstreamSpeed>,
    /// Means of routes.
    pub routes: Vec<MeanResponseTime>,
    /// Means of services.
    pub services: Vec<MeanResponseTime>,
}

/// Learned speeds.
#[derive(Clone, Debug, Default)]
pub struct SpeedTable {
    routes: BTreeMap<String, f64>,
    upstreams: BTreeMap<UpstreamHash, Samples>,
    unreported: BTreeMap<UpstreamHash, UnreportedSamples>,
    services: BTreeMap<ServiceName, f64>,
}

impl SpeedTable {
    /// Records a response time in seconds.
    pub fn record_response(&mut self, upstream: UpstreamHash, route: &str, seconds: f64) {
        let mean = match self.routes.get_mut(route) {
            Some(mean) => mean,
            None => self.routes.entry(route.to_owned()).or_insert(seconds),
        };
        let ratio = (seconds / mean.max(1e-4)).min(MAX_SAMPLE_RATIO);
        *mean += (seconds - *mean) * MEAN_SMOOTHING;
        self.add_local_sample(upstream, ratio);
    }

    /// Records the response time of a request that queued, less its time in the queue as far as
    /// known. It counts for the upstream, but not for the route's mean.
    pub fn record_queued_response(&mut self, upstream: UpstreamHash, route: &str, seconds: f64) {
        let Some(mean) = self.routes.get(route) else {
            return;
        };
        let ratio = (seconds / mean.max(1e-4)).min(MAX_SAMPLE_RATIO);
        self.add_local_sample(upstream, ratio);
    }

    /// Adds a sample of this node, to be reported to other nodes.
    fn add_local_sample(&mut self, upstream: UpstreamHash, ratio: f64) {
        self.add_samples(upstream, 1.0, ratio);
        let unreported = self.unreported.entry(upstream).or_default();
        unreported.count += 1;
        unreported.sum += ratio;
    }

    /// Records a failure response, to be reported to other nodes.
    pub fn record_failure(&mut self, upstream: UpstreamHash) {
        self.unreported.entry(upstream).or_default().failures += 1;
    }

    /// Adds samples of another node.
    pub fn add_samples(&mut self, upstream: UpstreamHash, count: f64, sum: f64) {
        let samples = self.upstreams.entry(upstream).or_insert(Samples {
            count: PRIOR_SAMPLES,
            sum: PRIOR_SAMPLES,
        });
        samples.count += count;
        samples.sum += sum;
        if samples.count > MAX_SAMPLES {
            let scale = MAX_SAMPLES / samples.count;
            samples.count *= scale;
            samples.sum *= scale;
        }
    }

    /// Response time of an upstream relative to the mean; 1 if unknown.
    pub fn slowness(&self, upstream: UpstreamHash) -> f64 {
        self.upstreams
            .get(&upstream)
            .map_or(1.0, |samples| (samples.sum / samples.count).max(0.1))
    }

    /// Mean response time of a route in seconds, if known.
    pub fn route_mean(&self, route: &str) -> Option<f64> {
        self.routes.get(route).copied()
    }

    /// Updates the mean response time of a service.
    pub fn record_service_response(&mut self, service: &ServiceName, seconds: f64) {
        match self.services.get_mut(service) {
            Some(mean) => *mean += (seconds - *mean) * MEAN_SMOOTHING,
            None => {
                self.services.insert(service.clone(), seconds);
            }
        }
    }

    /// Mean response time of a service in seconds, if known.
    pub fn service_mean(&self, service: &ServiceName) -> Option<f64> {
        self.services.get(service).copied()
    }

    /// Returns what is known, for the store.
    pub fn record(&self) -> SpeedRecord {
        let means = |means: &mut dyn Iterator<Item = (String, f64)>| {
            let rows = means.map(|(name, seconds)| MeanResponseTime {
                name,
                seconds: seconds as f32,
            });
            rows.collect()
        };
        let upstreams = self.upstreams.keys().map(|upstream| UpstreamSpeed {
            upstream: *upstream,
            slowness: self.slowness(*upstream) as f32,
        });
        SpeedRecord {
            upstreams: upstreams.collect(),
            routes: means(&mut self.routes.iter().map(|(name, mean)| (name.clone(), *mean))),
            services: means(
                &mut self
                    .services
                    .iter()
                    .map(|(name, mean)| (name.0.clone(), *mean)),
            ),
        }
    }

    /// Restores what an earlier process stored, except where this process already has a value of
    /// its own.
    pub fn restore(&mut self, record: &SpeedRecord) {
        for row in &record.upstreams {
            let known = Samples {
                count: RESTORED_SAMPLES,
                sum: RESTORED_SAMPLES * f64::from(row.slowness),
            };
            self.upstreams.entry(row.upstream).or_insert(known);
        }
        for row in &record.routes {
            let mean = f64::from(row.seconds);
            self.routes.entry(row.name.clone()).or_insert(mean);
        }
        for row in &record.services {
            let service = ServiceName::from(row.name.as_str());
            let mean = f64::from(row.seconds);
            self.services.entry(service).or_insert(mean);
        }
    }

    /// Takes the samples of this node since the last call.
    pub(crate) fn take_unreported(&mut self) -> Vec<(UpstreamHash, UnreportedSamples)> {
        std::mem::take(&mut self.unreported).into_iter().collect()
    }

    /// Drops upstreams that are deregistered.
    pub fn retain(&mut self, keep: impl Fn(UpstreamHash) -> bool) {
        self.upstreams.retain(|upstream, _| keep(*upstream));
    }
}
