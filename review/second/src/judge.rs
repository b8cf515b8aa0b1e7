//! Judges a run by the rule OWNER, from what the upstreams take and run.

use crate::keys::Range;
use crate::record::Record;
use beamtray_types::Time;
use std::cell::RefCell;
use std::rc::Rc;

/// Keys that an upstream took.
struct Taken {
    upstream: String,
    range: Range,
    fence: u64,
}

/// A request that is being run, and until when the lease of its key was to last.
struct Work {
    upstream: String,
    request: String,
    key: u16,
    lease_end: Time,
}

/// What all upstreams took and run.
pub struct Judge {
    record: Rc<Record>,
    taken: RefCell<Vec<Taken>>,
    work: RefCell<Vec<Work>>,
    broken: RefCell<Vec<String>>,
}

impl Judge {
    /// Nothing was taken yet.
    pub fn new(record: &Rc<Record>) -> Rc<Self> {
        Rc::new(Self {
            record: record.clone(),
            taken: RefCell::default(),
            work: RefCell::default(),
            broken: RefCell::default(),
        })
    }

    /// An upstream begins a request on a key.
    pub fn work_begins(&self, upstream: &str, request: &str, key: u16, lease_end: Time) {
        self.work.borrow_mut().push(Work {
            upstream: upstream.to_owned(),
            request: request.to_owned(),
            key,
            lease_end,
        });
    }

    /// A request has ended.
    pub fn work_ends(&self, request: &str) {
        self.work
            .borrow_mut()
            .retain(|work| work.request != request);
    }

    /// Whether a request runs on one of the keys at the upstream.
    pub fn works_on(&self, upstream: &str, range: Range) -> bool {
        let work = self.work.borrow();
        let mut own = work.iter().filter(|work| work.upstream == upstream);
        own.any(|work| range.contains(work.key))
    }

    /// An upstream has renewed its lease: its requests on these keys may go on for longer.
    fn renew_work(&self, upstream: &str, range: Range, lease_end: Time) {
        let mut work = self.work.borrow_mut();
        let own = work.iter_mut().filter(|work| work.upstream == upstream);
        for work in own.filter(|work| range.contains(work.key)) {
            work.lease_end = work.lease_end.max(lease_end);
        }
    }

    /// An upstream takes keys. `is_late` if it left the grant unanswered before.
    pub fn keys_taken(
        &self,
        upstream: &str,
        range: Range,
        fence: u64,
        lease_end: Time,
        is_late: bool,
    ) {
        self.check_fence(upstream, range, fence);
        if !is_late {
            self.check_work(upstream, range, fence);
        }
        self.renew_work(upstream, range, lease_end);
        self.taken.borrow_mut().push(Taken {
            upstream: upstream.to_owned(),
            range,
            fence,
        });
    }

    /// Whether another upstream has taken one of the keys with a higher fence.
    pub fn has_gone_on(&self, upstream: &str, range: Range, fence: u64) -> bool {
        let taken = self.taken.borrow();
        let mut others = taken.iter().filter(|taken| taken.upstream != upstream);
        others.any(|taken| taken.range.overlaps(range) && taken.fence > fence)
    }

    /// "An upstream takes a key with a fencing token. That fence isn't above all those with which
    /// other upstreams had the key."
    fn check_fence(&self, upstream: &str, range: Range, fence: u64) {
        let taken = self.taken.borrow();
        let above = taken.iter().find(|taken| {
            let overlaps = taken.range.overlaps(range);
            taken.upstream != upstream && overlaps && taken.fence >= fence
        });
        if let Some(above) = above {
            self.found(format!(
                "{upstream} takes keys {}..{} with fence {fence}; {} had {}..{} with fence {}",
                range.first,
                range.last,
                above.upstream,
                above.range.first,
                above.range.last,
                above.fence
            ));
        }
    }

    /// "An upstream given a key on which another upstream is still at work, before that other
    /// upstream's lease would have run out."
    fn check_work(&self, upstream: &str, range: Range, fence: u64) {
        let now = self.record.now();
        let work = self.work.borrow();
        let at_work = work.iter().find(|work| {
            work.upstream != upstream && range.contains(work.key) && now < work.lease_end
        });
        if let Some(work) = at_work {
            self.found(format!(
                "{upstream} is given keys {}..{} with fence {fence}; {} is still at work on key {} \
                 for request {}, and its lease would have lasted {} ms more",
                range.first,
                range.last,
                work.upstream,
                work.key,
                work.request,
                work.lease_end.since(now).as_millis()
            ));
        }
    }

    fn found(&self, text: String) {
        self.record.line(format_args!("OWNER broken: {text}"));
        self.broken.borrow_mut().push(text);
    }

    /// What broke the rule.
    pub fn broken(&self) -> Vec<String> {
        self.broken.borrow().clone()
    }

    /// Number of grants that were taken.
    pub fn taken(&self) -> usize {
        self.taken.borrow().len()
    }
}
