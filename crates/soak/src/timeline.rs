//! What became of the requests of each second of a run.

use crate::config::service_of;
use crate::message::{CallerEnd, Observation, Report};
use beamtray_types::Time;
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// Requests sent in one second, by their end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SecondCount {
    /// All of them.
    pub sent: usize,
    /// Answered with a success.
    pub served: usize,
    /// Answered with a promise that they have not run.
    pub refused: usize,
    /// Answered with another failure.
    pub failed: usize,
    /// Without an answer: disconnected, not connected or timed out.
    pub unanswered: usize,
    /// Sent and served, by service.
    pub services: BTreeMap<&'static str, ServiceCount>,
}

/// Requests for a service sent in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceCount {
    /// All of them.
    pub sent: usize,
    /// Answered with a success.
    pub served: usize,
}

/// Counts of each second after a moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Timeline(pub BTreeMap<u64, SecondCount>);

/// Counts the requests sent from `begin` on.
pub fn timeline(reports: &[Report], begin: Time) -> Timeline {
    let mut sent = HashMap::new();
    let mut seconds = BTreeMap::<u64, SecondCount>::new();
    for report in reports.iter().filter(|report| report.at >= begin) {
        if let Observation::RequestSent { id, path, .. } = &report.observation {
            let second = report.at.since(begin).as_secs();
            let service = service_of(path);
            sent.insert(id.as_str(), (second, service));
            let count = seconds.entry(second).or_default();
            count.sent += 1;
            count.services.entry(service).or_default().sent += 1;
        }
    }
    for report in reports {
        if let Observation::RequestEnded { id, end } = &report.observation
            && let Some((second, service)) = sent.get(id.as_str())
        {
            seconds.entry(*second).or_default().add(service, end);
        }
    }
    Timeline(seconds)
}

impl SecondCount {
    fn add(&mut self, service: &'static str, end: &CallerEnd) {
        match end {
            CallerEnd::Answered { status, .. } => match status {
                200..=299 => {
                    self.served += 1;
                    self.services.entry(service).or_default().served += 1;
                }
                408 | 421 | 429 | 503 => self.refused += 1,
                _ => self.failed += 1,
            },
            CallerEnd::Disconnected
            | CallerEnd::NotSent
            | CallerEnd::Cancelled
            | CallerEnd::TimedOut => self.unanswered += 1,
        }
    }
}

impl Timeline {
    /// Seconds until nine tenths of the requests sent in a second are served, for as long as
    /// requests are sent. The last second, which is not whole, does not count.
    pub fn seconds_until_served(&self) -> Option<u64> {
        let mut since = None;
        let whole = self.0.len().saturating_sub(1);
        for (second, count) in self.0.iter().take(whole) {
            if count.served * 10 < count.sent * 9 {
                since = None;
            } else {
                since = since.or(Some(*second));
            }
        }
        since
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (second, count) in &self.0 {
            write!(
                formatter,
                "  second {second}: sent {} served {} refused {} failed {} unanswered {};",
                count.sent, count.served, count.refused, count.failed, count.unanswered
            )?;
            for (service, count) in &count.services {
                write!(formatter, " {service} {} of {}", count.served, count.sent)?;
            }
            writeln!(formatter)?;
        }
        match self.seconds_until_served() {
            Some(seconds) => writeln!(formatter, "  nine tenths served from second {seconds} on"),
            None => writeln!(formatter, "  nine tenths never served for good"),
        }
    }
}
