//! A harmless request that many clients send.

use super::clients::{CALLER, request_head};
use super::network::Event;
use super::tenants::RequestSender;
use super::{ClientRequest, ORDER, READ, World};
use crate::fault::FaultKind;
use beamtray_dispatch::Ticket;
use beamtray_router::core::Input;
use beamtray_sharding::ShardKey;
use rand::RngExt;
use std::time::Duration;

/// Key of the request if it is a read.
const KEY: ShardKey = ShardKey(30_000);

impl World {
    /// Sends the request of a fault to some node and schedules the next one.
    pub(super) fn popular_client(&mut self, fault: usize) {
        let (begun, duration) = (self.faults[fault].at, self.faults[fault].duration);
        let FaultKind::PopularRequest {
            is_read,
            pause_ms,
            says_the_same,
        } = self.faults[fault].kind
        else {
            return;
        };
        if self.now >= begun + duration {
            return;
        }
        let pause = Duration::from_millis(pause_ms);
        self.schedule(pause, Event::PopularClient { fault });
        let node = self.random.random_range(0..self.nodes.len());
        let work = self.millis(20, 60);
        let number = self.request_number();
        let slot = &mut self.nodes[node];
        if slot.core.is_none() {
            return;
        }
        slot.next_ticket += 1;
        let (run, ticket) = (slot.run, Ticket(slot.next_ticket));
        let prefix = if is_read { READ } else { ORDER };
        let id = format!("popular-{number}");
        let content = if says_the_same {
            "popular"
        } else {
            id.as_str()
        };
        let key = is_read.then_some(KEY);
        let head = request_head(&id, format!("{prefix}{content}"), key, CALLER);
        let asked = ClientRequest {
            at: self.now,
            was_connected: self.is_connected(node),
            id,
            node,
            key,
            repeatable: is_read,
            is_late: false,
            work,
            poison: None,
            sender: RequestSender::Anonymous,
        };
        self.request_count += 1;
        self.asked.insert((node, run, ticket), asked);
        self.input(node, run, Input::Request { ticket, head });
    }
}
