//! The upstream model behaves like the emulator.

use beamtray_catalog::UpstreamId;
use beamtray_emulator::{FullPolicy, UpstreamConfig, UpstreamEmulator};
use beamtray_grantsearch::{Arrival, Upstream};
use beamtray_metastore::Epoch;
use beamtray_sharding::{CallId, FencingToken, GrantOrder, GrantReply, KeyRange, OrderKind};
use beamtray_types::Time;
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// An order sent to an upstream.
#[derive(Clone, Debug)]
struct Event {
    after_ms: u64,
    /// Index into two single ranges and the range of both.
    range: usize,
    counter: u64,
    is_grant: bool,
    is_meant: bool,
}

impl Arbitrary for Event {
    fn arbitrary(source: &mut Gen) -> Self {
        Self {
            after_ms: u64::arbitrary(source) % 2_000,
            range: usize::arbitrary(source) % 3,
            counter: u64::arbitrary(source) % 6,
            is_grant: u8::arbitrary(source) % 4 > 0,
            is_meant: u8::arbitrary(source) % 8 > 0,
        }
    }
}

const HOLD: Duration = Duration::from_millis(3_000);
/// The model's clock always runs 2% slow; the emulator's clock is exact.
const COUNTED: Duration = Duration::from_millis(3_060);

fn id(name: &str) -> UpstreamId {
    UpstreamId::from(name.to_owned())
}

fn emulator() -> UpstreamEmulator {
    UpstreamEmulator::new(UpstreamConfig {
        id: id("a1"),
        service: "ledger".into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_001)),
        zone: "lhr-a".into(),
        slots: 1,
        queue: 0,
        is_sharded: true,
        full: FullPolicy::Shed,
        slowness_percent: 100,
    })
}

fn order(event: &Event, range: KeyRange, hold: Duration) -> GrantOrder {
    let kind = if event.is_grant {
        OrderKind::Grant {
            hold,
            handover: None,
        }
    } else {
        OrderKind::Release
    };
    GrantOrder {
        call: CallId(0),
        holder: id(if event.is_meant { "a1" } else { "a2" }),
        range,
        token: FencingToken::new(Epoch(1), event.counter),
        kind,
    }
}

/// Whether the replies are of the same kind; only the emulator returns a handover.
fn is_alike(one: &GrantReply, other: &GrantReply) -> bool {
    std::mem::discriminant(one) == std::mem::discriminant(other)
}

quickcheck! {
    fn it_answers_and_holds_as_the_emulator_does(events: Vec<Event>) -> bool {
        let ranges = KeyRange::ALL.divide(2);
        let targets = [ranges[0], ranges[1], KeyRange::ALL];
        let mut large = emulator();
        let mut small = Upstream::new(id("a1"), 1, &ranges);
        let mut now = Time::ZERO;
        let arrival = Arrival { is_late: false, is_excluded: false };
        events.iter().take(40).all(|event| {
            now = now + Duration::from_millis(event.after_ms);
            let range = targets[event.range];
            let from_large = large.order(now, &order(event, range, COUNTED));
            let from_small = small.order(now, &order(event, range, HOLD), arrival);
            let same_holds = small.holdings.iter().all(|holding| {
                let held = large.grant(now, holding.range.first).is_some();
                held == (now < holding.expiry)
            });
            from_large.is_some_and(|large| is_alike(&large, &from_small)) && same_holds
        })
    }
}
