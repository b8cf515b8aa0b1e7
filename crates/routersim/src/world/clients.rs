//! Simulated clients: their requests and the responses they receive.

use super::network::{Event, Run};
use super::{ClientRequest, HOST, ORDER, READ, World};
use beamtray_catalog::Credential;
use beamtray_dispatch::{Fingerprints, RequestContent, RequestHead, Ticket};
use beamtray_router::core::Input;
use beamtray_sharding::ShardKey;
use rand::RngExt;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

/// Percentage of requests that are keyed reads.
const READ_PERCENT: u32 = 65;
/// Percentage of reads that use the hot key while there is one.
const HOT_KEY_PERCENT: u32 = 40;
/// Address of all clients whose address does not matter.
pub(super) const CALLER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 2, 0, 1));
/// Time for which a client waits for a response.
pub(super) const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Head of a client's request.
pub(super) fn request_head(
    id: &str,
    path: String,
    key: Option<ShardKey>,
    caller: IpAddr,
) -> RequestHead {
    let content = RequestContent {
        method: "GET",
        host: HOST,
        target: &path,
        key,
        body: &[],
    };
    RequestHead {
        id: id.to_owned(),
        host: HOST.to_owned(),
        fingerprints: Fingerprints::of(&content, caller),
        path,
        client_timeout: Some(CLIENT_TIMEOUT),
        key,
        credential: Credential::Missing,
    }
}

impl World {
    pub(super) fn client(&mut self) {
        let gap = 1_000_000 / self.config.rate;
        let delay = Duration::from_micros(self.random.random_range(0..2 * gap));
        self.schedule(delay, Event::Client);
        let node = self.random.random_range(0..self.nodes.len());
        let is_read = self.chance(READ_PERCENT);
        let key = is_read.then(|| self.draw_key());
        let number = self.request_number();
        let (shortest, longest) = self.config.work_ms;
        let work = self.millis(shortest, longest);
        self.request_count += 1;
        let sender = self.draw_sender();
        let is_late = self.is_late() && sender.is_entitled();
        let slot = &mut self.nodes[node];
        if slot.core.is_none() {
            return;
        }
        let run = slot.run;
        slot.next_ticket += 1;
        let ticket = Ticket(slot.next_ticket);
        let id = format!("request-{number}");
        let prefix = if is_read { READ } else { ORDER };
        let head = RequestHead {
            credential: sender.credential(),
            ..request_head(&id, format!("{prefix}{number}"), key, CALLER)
        };
        let asked = ClientRequest {
            at: self.now,
            was_connected: self.is_connected(node),
            id,
            node,
            key,
            repeatable: is_read,
            is_late,
            work,
            poison: None,
            sender,
        };
        self.asked.insert((node, run, ticket), asked);
        self.input(node, run, Input::Request { ticket, head });
    }

    fn draw_key(&mut self) -> ShardKey {
        let hot = self.hot_key;
        match hot {
            Some(key) if self.chance(HOT_KEY_PERCENT) => key,
            _ => ShardKey(self.random.random()),
        }
    }

    /// Handles a final response that does not come from an upstream.
    pub(super) fn concluded(&mut self, node: usize, run: Run, ticket: Ticket, refused: bool) {
        let Some(asked) = self.asked.remove(&(node, run, ticket)) else {
            return;
        };
        if refused && !asked.repeatable {
            self.checkers.refused(self.now, &asked.id);
        }
        self.note_first_attempt(&asked, false);
        if asked.is_late {
            self.checkers.recovery_answer(false);
        }
    }

    /// Handles a response from an upstream.
    pub(super) fn answered(&mut self, node: usize, run: Run, ticket: Ticket) {
        let Some(asked) = self.asked.remove(&(node, run, ticket)) else {
            return;
        };
        self.served_count += 1;
        self.note_first_attempt(&asked, true);
        if asked.is_late {
            self.checkers.recovery_answer(true);
        }
    }

    /// Reports the final response to a first attempt at a node that was connected. One that comes
    /// after the client has given up does not serve it.
    fn note_first_attempt(&mut self, asked: &ClientRequest, served: bool) {
        let served = served && self.now.since(asked.at) <= CLIENT_TIMEOUT;
        if asked.was_connected {
            self.checkers
                .first_attempt_ended(asked.at, asked.node, served);
        }
    }

    /// Drops the requests of a node's clients, whose connections end with its process.
    pub(super) fn forget_clients_of(&mut self, node: usize) {
        self.asked.retain(|_, asked| asked.node != node);
    }
}
