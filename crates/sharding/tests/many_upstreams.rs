//! Processor time of a granter's decisions with many upstreams.
//!
//! Guards against a granter that loses its lease before its first grant. At 300 machines with
//! 3,000 upstreams a sharded service never had an owner: the nodes became granter in turn,
//! for 3 to 5 s each, and each lost its lease before it had written a record. Choosing
//! holders scanned all 1,660 upstreams again for each of 1,660 slices, which took 0.65 s of a
//! whole core, so 3.3 s on a node with a fifth of one, while the lease expires after 2 s. The
//! logs showed `granter_here` at -6.4, -1.2, 2.0 and 5.7 s, and no order in between.

mod common;

use beamtray_metastore::Epoch;
use beamtray_sharding::{
    AssignmentRecord, Candidate, DoubtedKeys, Granter, GranterTiming, KeyRange, SliceRecord,
    SliceState,
};
use common::*;
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Upstreams of the sharded service in such a deployment.
const UPSTREAMS: usize = 1_660;
/// A granter that does not renew its lease for 1.5 s (the lease of 2 s, less the 0.5 s
/// between renewals) loses it; the slowest supported machine has a fifth of a core.
const MAX_PROCESSOR_TIME: Duration = Duration::from_millis(300);
/// The time in which a granter has to renew its lease, and may use that much processor time.
const RENEWAL_TIME_MS: u64 = 1_500;
/// Least time between two checks for due orders.
const CHECK_INTERVAL_MS: usize = 10;

/// Interval between orders of a granter with a whole core, and with a fifth of one.
const WHOLE_CORE: Duration = Duration::from_millis(1);
const FIFTH_OF_A_CORE: Duration = Duration::from_millis(5);

/// Processor time of this thread; other load on the machine does not count.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    Duration::from(time.expect("thread CPU clock"))
}

/// A granter that sends orders at that interval and renews each slice within 2 s.
fn granter(min_order_interval: Duration) -> Granter {
    let timing = GranterTiming {
        min_order_interval,
        max_renewal: Duration::from_secs(2),
        ..timing()
    };
    let mut granter = Granter::new(at(0), timing, Epoch(1), None);
    let names = (0..UPSTREAMS).map(|number| format!("i-{number:08x}"));
    let candidates: Vec<Candidate> = names.map(|name| ready(&name, None)).collect();
    granter.set_candidates(at(0), candidates);
    granter
}

#[test]
fn the_first_division_does_not_cost_the_granter_its_lease() {
    let mut granter = granter(WHOLE_CORE);
    let before = processor_time();
    granter.poll(at(6_000));
    let took = processor_time() - before;
    assert_eq!(granter.slice_count(), UPSTREAMS);
    assert!(took < MAX_PROCESSOR_TIME, "{took:?}");
}

/// A third of the upstreams is lost at once, and their slices go to the others.
#[test]
fn loss_of_a_zone_does_not_cost_the_granter_its_lease() {
    let mut granter = granter(WHOLE_CORE);
    let mut now = at(6_000);
    granter.poll(now);
    write_record(&mut granter, now).expect("keys were divided");
    grant_all(&mut granter, now);
    let left = (0..UPSTREAMS).filter(|number| number % 3 != 0);
    let left = left.map(|number| ready(&format!("i-{number:08x}"), None));
    granter.set_candidates(now, left.collect::<Vec<_>>());
    let mut longest = Duration::ZERO;
    let end = now + Duration::from_secs(8);
    while now < end {
        now = now + Duration::from_millis(50);
        let before = processor_time();
        let orders = granter.poll(now);
        longest = longest.max(processor_time() - before);
        for order in orders {
            let number = u32::from_str_radix(&order.holder.name.0[2..], 16).expect("a number");
            if number.is_multiple_of(3) {
                granter.handle_reply(now, order.call, beamtray_sharding::GrantReply::Undelivered);
            } else {
                answer(&mut granter, now, &order);
            }
        }
        write_record(&mut granter, now);
    }
    assert!(longest < MAX_PROCESSOR_TIME, "{longest:?}");
    assert_eq!(granter.held_count(now), granter.slice_count());
}

/// Slices that the granter cannot renew in time are not created.
#[test]
fn a_granter_creates_no_more_slices_than_it_renews_in_time() {
    let mut granter = granter(FIFTH_OF_A_CORE);
    granter.poll(at(6_000));
    assert_eq!(granter.slice_count(), 400);
}

/// A record by which nobody holds keys, and upstreams that are lost may still execute a grant of
/// any of them.
fn record_in_doubt() -> AssignmentRecord {
    let ranges = KeyRange::ALL.divide(UPSTREAMS as u32);
    let doubted = ranges.iter().map(|range| DoubtedKeys {
        range: *range,
        left_ms: 15_000,
    });
    let slices = ranges.iter().map(|range| SliceRecord {
        range: *range,
        state: SliceState::Free,
    });
    AssignmentRecord {
        epoch: Epoch(1),
        sequence: 1,
        standbys: Vec::new(),
        unfenced: Vec::new(),
        doubted: doubted.collect(),
        slices: slices.collect(),
    }
}

/// Guards against checks that compare each slice without a holder with each range of keys that
/// may not be assigned yet. After the loss of all processes both are many for 15 s.
#[test]
fn keys_in_doubt_after_a_loss_of_all_do_not_cost_the_granter_its_lease() {
    let timing = GranterTiming {
        min_order_interval: WHOLE_CORE,
        max_renewal: Duration::from_secs(2),
        ..timing()
    };
    let mut granter = Granter::new(at(0), timing, Epoch(2), Some(&record_in_doubt()));
    let names = (0..UPSTREAMS).map(|number| format!("i-{number:08x}"));
    let candidates: Vec<Candidate> = names.map(|name| ready(&name, None)).collect();
    granter.set_candidates(at(0), candidates);
    let before = processor_time();
    for millis in (0..RENEWAL_TIME_MS).step_by(CHECK_INTERVAL_MS) {
        assert!(granter.poll(at(millis)).is_empty(), "keys were assigned");
    }
    let took = processor_time() - before;
    assert!(took < MAX_PROCESSOR_TIME, "{took:?}");
}
