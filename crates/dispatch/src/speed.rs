//! How fast each upstream is, learned from answers.
//!
//! Upstreams of one service differ in speed and routes in work. A sample is
//! the time of an answer relative to its route's mean, so that an upstream
//! that happens to get long requests does not count as slow.

use crate::report::UpstreamHash;
use beamtray_types::ServiceName;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::HashMap;

/// Samples that an unknown upstream is taken to have had at speed 1.
const PRIOR_SAMPLES: f64 = 3.0;
/// Samples that what an earlier process learned is worth.
const RESTORED_SAMPLES: f64 = 12.0;
/// Older samples fade beyond this number.
const MAX_SAMPLES: f64 = 40.0;
/// Weight of a new sample in a route's mean.
const MEAN_SMOOTHING: f64 = 0.03;
/// Longest time relative to the mean that counts: one very long request says
/// little.
const MAX_SAMPLE_RATIO: f64 = 5.0;

#[derive(Clone, Copy, Debug)]
struct Samples {
    count: f64,
    sum: f64,
}

/// Samples of one upstream, to be told to other nodes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UnreportedSamples {
    pub count: u32,
    pub sum: f64,
    pub failures: u32,
}

/// What was learned of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct UpstreamSpeed {
    /// The upstream.
    pub upstream: UpstreamHash,
    /// Its time relative to the mean.
    pub slowness: f32,
}

/// What was learned of one route or service.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct MeanResponseTime {
    /// The name.
    pub name: String,
    /// Mean time of its answers, in seconds.
    pub seconds: f32,
}

/// Learned speeds as they outlive the processes that learned them.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct SpeedRecord {
    /// Upstreams.
    pub upstreams: Vec<UpstreamSpeed>,
    /// Routes.
    pub routes: Vec<MeanResponseTime>,
    /// Services.
    pub services: Vec<MeanResponseTime>,
}

/// Learned speeds.
#[derive(Clone, Debug, Default)]
pub struct SpeedTable {
    routes: HashMap<String, f64>,
    upstreams: HashMap<UpstreamHash, Samples>,
    unreported: HashMap<UpstreamHash, UnreportedSamples>,
    services: HashMap<ServiceName, f64>,
}

impl SpeedTable {
    /// Takes the time of an answer, in seconds.
    pub fn record_response(&mut self, upstream: UpstreamHash, route: &str, seconds: f64) {
        let mean = match self.routes.get_mut(route) {
            Some(mean) => mean,
            None => self.routes.entry(route.to_owned()).or_insert(seconds),
        };
        let ratio = (seconds / mean.max(1e-4)).min(MAX_SAMPLE_RATIO);
        *mean += (seconds - *mean) * MEAN_SMOOTHING;
        self.add_local_sample(upstream, ratio);
    }

    /// The same of a request that queued, its time in the queue taken off as far as that is
    /// known: it tells of the upstream, and nothing of the route's work.
    pub fn record_queued_response(&mut self, upstream: UpstreamHash, route: &str, seconds: f64) {
        let Some(mean) = self.routes.get(route) else {
            return;
        };
        let ratio = (seconds / mean.max(1e-4)).min(MAX_SAMPLE_RATIO);
        self.add_local_sample(upstream, ratio);
    }

    /// Takes a sample of this node, to be told to others.
    fn add_local_sample(&mut self, upstream: UpstreamHash, ratio: f64) {
        self.add_samples(upstream, 1.0, ratio);
        let unreported = self.unreported.entry(upstream).or_default();
        unreported.count += 1;
        unreported.sum += ratio;
    }

    /// Takes an answer that told of a failure, to be told to other nodes.
    pub fn record_failure(&mut self, upstream: UpstreamHash) {
        self.unreported.entry(upstream).or_default().failures += 1;
    }

    /// Takes samples of another node.
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

    /// Time that an upstream takes relative to the mean; 1 when unknown.
    pub fn slowness(&self, upstream: UpstreamHash) -> f64 {
        self.upstreams
            .get(&upstream)
            .map_or(1.0, |samples| (samples.sum / samples.count).max(0.1))
    }

    /// Mean time of a route's answers, in seconds, if any came.
    pub fn route_mean(&self, route: &str) -> Option<f64> {
        self.routes.get(route).copied()
    }

    /// Takes the time of an answer for the mean of its service.
    pub fn record_service_response(&mut self, service: &ServiceName, seconds: f64) {
        match self.services.get_mut(service) {
            Some(mean) => *mean += (seconds - *mean) * MEAN_SMOOTHING,
            None => {
                self.services.insert(service.clone(), seconds);
            }
        }
    }

    /// Mean time of a service's answers, in seconds, if any came.
    pub fn service_mean(&self, service: &ServiceName) -> Option<f64> {
        self.services.get(service).copied()
    }

    /// What is known, to be kept.
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

    /// Takes what an earlier process kept, for whatever is not known here.
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

    /// Samples taken here since the last call.
    pub(crate) fn take_unreported(&mut self) -> Vec<(UpstreamHash, UnreportedSamples)> {
        self.unreported.drain().collect()
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, keep: impl Fn(UpstreamHash) -> bool) {
        self.upstreams.retain(|upstream, _| keep(*upstream));
    }
}
