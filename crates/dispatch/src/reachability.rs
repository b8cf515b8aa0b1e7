//! Which upstreams this node can't connect to although they are running.
//!
//! A failed connection does not tell whether the upstream or the network path has failed. The
//! path has if the upstream responds to any node after the failure: an upstream that has
//! ended responds to nobody.
//!
//! Invariant: a path counts as broken only if its upstream is known to have been alive after the
//! connection failed. Without it, each upstream that has ended would be sought through other
//! nodes.

use crate::report::UpstreamHash;
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of upstreams behind broken paths from which a node counts as cut off.
const CUT_OFF_UPSTREAMS: usize = 3;
/// Number of other nodes that fail to connect to an upstream after which it may have ended. Some of
/// them may be partitioned as well.
const MAX_FAILED_ELSEWHERE: u32 = 3;
/// Interval between two probes of a path.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of probes that begin at the same time, which is each half of that interval at the
/// most.
const MAX_PROBES: usize = 4;

/// A change of what this node can connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathNotice {
    /// The path to an upstream is broken: a connection failed, and the upstream responded since.
    Broken {
        /// The upstream.
        upstream: UpstreamId,
        /// Its address.
        address: SocketAddr,
        /// Time since the connection failed.
        failed_ago: Duration,
    },
    /// A connection to the upstream was opened.
    Restored {
        /// The upstream.
        upstream: UpstreamId,
        /// Time since the first connection failed.
        failed_ago: Duration,
    },
    /// This node can connect to no upstream, while other nodes can.
    CutOff {
        /// Number of upstreams behind broken paths.
        broken: usize,
        /// Time since a connection was last opened, if one was.
        connected_ago: Option<Duration>,
    },
    /// A connection to an upstream was opened again.
    Reconnected {
        /// How long this node was cut off.
        cut_off_for: Duration,
    },
}

/// A path to an upstream that failed and has not been restored.
#[derive(Clone, Debug)]
struct FailedPath {
    upstream: UpstreamId,
    address: SocketAddr,
    /// Start of the first failed connection attempt.
    failed_at: Time,
    /// Start of the last one.
    last_failed_at: Time,
    /// Whether the upstream responded to any node after that.
    is_broken: bool,
    /// Number of other nodes in a row that could not connect either.
    failed_elsewhere: u32,
    /// When the path is next probed.
    probe_at: Time,
}

/// The number of failed paths by what is known of their upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathCounts {
    /// Nothing was heard of the upstream since.
    pub failed: usize,
    /// The upstream responded since.
    pub broken: usize,
}

/// The paths from this node to upstreams that failed.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    failed: BTreeMap<UpstreamHash, FailedPath>,
    /// Start of the last attempt that opened a connection to any upstream.
    connected_at: Option<Time>,
    /// Start of the last attempt that failed to.
    last_failed_at: Time,
    cut_off_since: Option<Time>,
    /// Number of registered upstreams.
    upstream_count: usize,
    /// When paths are next probed.
    next_probes: Time,
    notices: Vec<PathNotice>,
}

impl Reachability {
    /// Records that a connection attempt that began at `began` failed.
    pub fn connection_failed(&mut self, began: Time, upstream: &UpstreamId, address: SocketAddr) {
        self.last_failed_at = self.last_failed_at.max(began);
        let path = self
            .failed
            .entry(UpstreamHash::of(upstream))
            .or_insert_with(|| FailedPath {
                upstream: upstream.clone(),
                address,
                failed_at: began,
                last_failed_at: began,
                is_broken: false,
                failed_elsewhere: 0,
                probe_at: began + PROBE_INTERVAL,
            });
        path.last_failed_at = path.last_failed_at.max(began);
    }

    /// Records that a connection was opened by an attempt that began at `began`. Returns whether
    /// this node is known to connect to that upstream now.
    ///
    /// The connection may be reported long after it was opened, when the request on it ends. It
    /// only shows that a path is whole if it began after the last failure.
    pub fn connected(&mut self, now: Time, began: Time, upstream: UpstreamHash) -> bool {
        self.connected_at = self.connected_at.max(Some(began));
        if self.cut_off_since.is_some() && began <= self.last_failed_at {
            return false;
        }
        if let Some(since) = self.cut_off_since.take() {
            // What ended for one path most likely ended for all; those that fail again are
            // found out by their next connection.
            self.failed.clear();
            let cut_off_for = now.since(since);
            self.notices.push(PathNotice::Reconnected { cut_off_for });
            return true;
        }
        let path = self.failed.get(&upstream);
        if path.is_some_and(|path| began <= path.last_failed_at) {
            return false;
        }
        if let Some(path) = self.failed.remove(&upstream).filter(|path| path.is_broken) {
            self.notices.push(PathNotice::Restored {
                upstream: path.upstream,
                failed_ago: now.since(path.failed_at),
            });
        }
        true
    }

    /// Records that an upstream responded to some node. Returns whether that shows its path from
    /// this node to be broken.
    pub fn responded(&mut self, now: Time, upstream: UpstreamHash) -> bool {
        let Some(path) = self.failed.get_mut(&upstream) else {
            return false;
        };
        if path.is_broken {
            return false;
        }
        path.is_broken = true;
        path.failed_elsewhere = 0;
        self.notices.push(PathNotice::Broken {
            upstream: path.upstream.clone(),
            address: path.address,
            failed_ago: now.since(path.failed_at),
        });
        self.update_cut_off(now);
        true
    }

    /// Whether other nodes failed to connect to an upstream as well, so that it may have ended.
    pub fn may_have_ended(&self, upstream: UpstreamHash) -> bool {
        let path = self.failed.get(&upstream);
        path.is_some_and(|path| path.failed_elsewhere >= MAX_FAILED_ELSEWHERE)
    }

    fn update_cut_off(&mut self, now: Time) {
        let broken = self.failed.values().filter(|path| path.is_broken);
        let first = broken.clone().map(|path| path.failed_at).min();
        let count = broken.count();
        let needed = CUT_OFF_UPSTREAMS.min(self.upstream_count.max(1));
        let connected_since = self.connected_at >= first;
        if self.cut_off_since.is_some() || count < needed || connected_since {
            return;
        }
        self.cut_off_since = Some(now);
        self.notices.push(PathNotice::CutOff {
            broken: count,
            connected_ago: self.connected_at.map(|at| now.since(at)),
        });
    }

    /// Whether the path to an upstream is broken.
    pub fn is_broken(&self, upstream: UpstreamHash) -> bool {
        let path = self.failed.get(&upstream);
        path.is_some_and(|path| path.is_broken)
    }

    /// Whether requests to an upstream should not use this node's own path: it is broken, or this
    /// node is cut off from all upstreams.
    pub fn avoids_own_path(&self, upstream: UpstreamHash) -> bool {
        self.cut_off_since.is_some() || self.is_broken(upstream)
    }

    /// Records whether another node could connect to an upstream. After [`MAX_FAILED_ELSEWHERE`]
    /// failures the upstream may have ended, and the path counts as broken again only when it
    /// responds once more.
    pub fn tried_elsewhere(&mut self, now: Time, upstream: UpstreamHash, opened: bool) {
        let Some(path) = self.failed.get_mut(&upstream) else {
            return;
        };
        path.failed_elsewhere = if opened { 0 } else { path.failed_elsewhere + 1 };
        if path.failed_elsewhere >= MAX_FAILED_ELSEWHERE {
            path.failed_at = now;
            path.is_broken = false;
        }
    }

    /// Since when this node has been able to connect to no upstream, while other nodes can.
    pub fn cut_off_since(&self) -> Option<Time> {
        self.cut_off_since
    }

    /// Applies the registered upstreams: the paths to others are forgotten.
    pub fn retain(&mut self, count: usize, is_registered: impl Fn(UpstreamHash) -> bool) {
        self.upstream_count = count;
        self.failed.retain(|upstream, _| is_registered(*upstream));
        if self.failed.is_empty() {
            self.cut_off_since = None;
        }
    }

    /// Takes the upstreams to whose addresses a connection is to be tried now. Only a probe shows
    /// that a path is whole again where requests no longer use it.
    pub fn take_probes(&mut self, now: Time) -> Vec<(UpstreamId, SocketAddr)> {
        if now < self.next_probes {
            return Vec::new();
        }
        let is_cut_off = self.cut_off_since.is_some();
        let paths = self.failed.iter();
        let mut due: Vec<(Time, UpstreamHash)> = paths
            .filter(|(_, path)| (path.is_broken || is_cut_off) && now >= path.probe_at)
            .map(|(upstream, path)| (path.probe_at, *upstream))
            .collect();
        // In the order of time, so that none waits forever behind others.
        due.sort_unstable();
        due.truncate(MAX_PROBES);
        if !due.is_empty() {
            self.next_probes = now + PROBE_INTERVAL / 2;
        }
        let probes = due.into_iter();
        probes
            .filter_map(|(_, upstream)| self.begin_probe(now, upstream))
            .collect()
    }

    fn begin_probe(
        &mut self,
        now: Time,
        upstream: UpstreamHash,
    ) -> Option<(UpstreamId, SocketAddr)> {
        let path = self.failed.get_mut(&upstream)?;
        path.probe_at = now + PROBE_INTERVAL;
        Some((path.upstream.clone(), path.address))
    }

    /// Takes the changes since the last call.
    pub fn take_notices(&mut self) -> Vec<PathNotice> {
        std::mem::take(&mut self.notices)
    }

    /// Upstreams behind failed paths; each comes with whether the path is broken.
    pub fn failed(&self) -> impl Iterator<Item = (&UpstreamId, bool)> {
        let failed = self.failed.values();
        failed.map(|path| (&path.upstream, path.is_broken))
    }

    /// Number of failed paths.
    pub fn counts(&self) -> PathCounts {
        let broken = self.failed.values().filter(|path| path.is_broken).count();
        PathCounts {
            failed: self.failed.len() - broken,
            broken,
        }
    }
}
