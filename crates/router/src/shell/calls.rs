//! Calls to the metadata store and orders to upstreams.

use crate::core::{GRANT_TIMEOUT, Input, OrderTask, StoreTask};
use crate::shell::connections::{Answer, CallFailure, CallProgress, ConnectionPool};
use crate::shell::handle::Shared;
use crate::shell::held_body::HeldBody;
use beamtray_dialect::{CallMethod, HttpCall, HttpResponse};
use beamtray_metastore::{StoreCall, StoreOutcome};
use beamtray_sharding::{GrantOrder, GrantReply, OrderKind};
use beamtray_types::Time;
use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Timeout of calls to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of a release: the upstream finishes its work on the keys before it answers.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How long an order may stay unacknowledged at the TCP level. Shorter than the timeout of its
/// answer, so that the end of the connection shows that the order did not reach the upstream's
/// machine.
pub(crate) const ORDER_ACK_TIMEOUT: Duration = Duration::from_millis(400);
const JSON: &str = "application/json";

/// Calls the store and reports the outcome to the core.
pub(crate) fn call_store(shared: &Rc<Shared>, task: StoreTask, call: StoreCall) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        let limit = match &call {
            StoreCall::Watch { wait, .. } => *wait + STORE_TIMEOUT,
            _ => STORE_TIMEOUT,
        };
        let encoded = shared.dialect.encode_store(&call);
        let progress = CallProgress::repeatable().for_system();
        let answer = send(
            &shared,
            &shared.connections,
            shared.store,
            encoded,
            &progress,
        );
        let answer = timeout(limit, answer).await;
        let outcome = match answer {
            Ok(Ok(answer)) => interpret_store_answer(&shared, &call, &answer),
            Ok(Err(_)) | Err(_) => {
                // Other connections may be dead as well without a sign of it.
                shared.connections.close_idle(shared.store);
                StoreOutcome::Unknown
            }
        };
        shared.observer.store_call_ended(&task, &outcome);
        shared.input(Input::Store { task, outcome });
    });
}

/// Decodes an answer of the store. The core is informed of a new era first.
///
/// An answer from an older era is stale: the store has rolled back what it says.
fn interpret_store_answer(
    shared: &Shared,
    call: &StoreCall,
    answer: &HttpResponse,
) -> StoreOutcome {
    let known_era = shared.store_era.get();
    let era = match shared.dialect.decode_era(answer) {
        Some(era) if known_era.is_some_and(|known_era| era < known_era) => {
            return StoreOutcome::Unknown;
        }
        Some(era) => era,
        None => {
            if let Some(text) = &answer.store_era {
                shared.observer.era_unreadable(text);
            }
            known_era.unwrap_or_default()
        }
    };
    if known_era != Some(era) {
        shared.store_era.set(Some(era));
        shared.input(Input::StoreEra(era));
    }
    shared.dialect.decode_store(call, answer).with_era(era)
}

/// Sends an order and reports the outcome to the core.
pub(crate) fn send_order(shared: &Rc<Shared>, task: OrderTask, epoch: u64) {
    let shared = shared.clone();
    let decided_at = shared.now();
    tokio::task::spawn_local(async move {
        let reply = match task.address {
            Some(address) => deliver_order(&shared, address, &task).await,
            None => GrantReply::NoAddress,
        };
        let took = shared.now().since(decided_at);
        shared.observer.order_ended(&task, &reply, took);
        shared.input(Input::Order {
            service: task.service,
            order: task.order,
            epoch,
            reply,
        });
    });
}

async fn deliver_order(shared: &Shared, address: SocketAddr, task: &OrderTask) -> GrantReply {
    // The validity of the order is checked right before it is written: the process may have
    // been paused since the decision, and connecting may take long.
    let validity_left = task.until.since(shared.now());
    if validity_left.is_zero() {
        return GrantReply::Undelivered;
    }
    let is_grant = matches!(task.order.kind, OrderKind::Grant { .. });
    if let Some(key) = task.probe_key.filter(|_| is_grant) {
        let question = task.order.liveness_probe(key);
        let exchange = exchange_order(shared, address, &question, GRANT_TIMEOUT, task.until);
        match exchange.await.reply {
            reply @ (GrantReply::Replaced | GrantReply::Refused | GrantReply::NoAddress) => {
                return reply;
            }
            // Only the question was written, not the grant.
            GrantReply::Undelivered
            | GrantReply::Unanswered
            | GrantReply::InDoubt
            | GrantReply::BrokenOff => return GrantReply::Undelivered,
            GrantReply::Granted
            | GrantReply::Outdated
            | GrantReply::Released(_)
            | GrantReply::Rejected => {}
        }
    }
    let limit = match task.order.kind {
        OrderKind::Grant { .. } => GRANT_TIMEOUT,
        OrderKind::Release => RELEASE_TIMEOUT,
    };
    let exchange = exchange_order(shared, address, &task.order, limit, task.until).await;
    if is_unproven_release(shared, &task.order, &exchange) {
        // The connection is out of step. The order is repeated on a new one.
        shared.order_connections.disable_reuse(address);
        return GrantReply::InDoubt;
    }
    exchange.reply
}

/// An order and its answer.
struct OrderExchange {
    reply: GrantReply,
    /// Whether the order was written to a connection that had carried others.
    was_reused: bool,
}

/// Whether an answer says that keys were released and may belong to another order. On a connection
/// that carried others, the answer to a release is told by its handover.
fn is_unproven_release(shared: &Shared, order: &GrantOrder, exchange: &OrderExchange) -> bool {
    match &exchange.reply {
        GrantReply::Released(_) if !exchange.was_reused => false,
        GrantReply::Released(None) => true,
        GrantReply::Released(Some(handover)) => {
            let mut answers = shared.release_answers.borrow_mut();
            !answers.belongs(order, handover)
        }
        _ => false,
    }
}

/// Writes an order unless `until` has passed, and waits up to `limit` for the answer.
async fn exchange_order(
    shared: &Shared,
    address: SocketAddr,
    order: &GrantOrder,
    limit: Duration,
    until: Time,
) -> OrderExchange {
    let pool = &shared.order_connections;
    let call = shared.dialect.encode_order(order);
    let progress = CallProgress::repeatable()
        .for_system()
        .with_write_deadline(shared.clock.clone(), until);
    let began = shared.now();
    let answer = timeout(limit, send(shared, pool, address, call, &progress)).await;
    shared.report_connection(&order.holder, address, began, &progress);
    let reply = match answer {
        Ok(Ok(answer)) => match shared.dialect.decode_order(&order.kind, &answer) {
            // This was the answer to another call; that to the order is missing.
            GrantReply::Unanswered => GrantReply::InDoubt,
            reply => reply,
        },
        Ok(Err(CallFailure::ConnectionLost)) => {
            // Other connections to the same upstream may have ended as well.
            shared.connections.close_idle(address);
            pool.close_idle(address);
            GrantReply::BrokenOff
        }
        Ok(Err(CallFailure::AckTimeout)) => {
            report_silent_path(shared, order, address, began);
            pool.close_idle(address);
            GrantReply::Unanswered
        }
        Ok(Err(_)) | Err(_) if progress.may_have_been_written() => {
            // Other connections may be dead as well. A new connection shows whether an order
            // can't have arrived.
            pool.close_idle(address);
            GrantReply::InDoubt
        }
        Ok(Err(CallFailure::ConnectionRefused)) => GrantReply::Refused,
        Ok(Err(_)) | Err(_) => GrantReply::Undelivered,
    };
    OrderExchange {
        reply,
        was_reused: progress.was_reused(),
    }
}

/// Reports a connection over which nothing was acknowledged. A new one would fail as well.
fn report_silent_path(shared: &Shared, order: &GrantOrder, address: SocketAddr, began: Time) {
    shared.input(Input::ConnectionTried {
        upstream: order.holder.clone(),
        address,
        began,
        opened: false,
    });
}

async fn send(
    shared: &Shared,
    pool: &ConnectionPool,
    address: SocketAddr,
    call: HttpCall,
    progress: &CallProgress,
) -> Result<HttpResponse, CallFailure> {
    let request = build_request(address, call).map_err(|_| CallFailure::NotSent)?;
    let answer = pool.call(address.into(), request, progress).await?;
    let decoded = to_http_answer(shared, &answer);
    if decoded.request_id.is_some() {
        // This is the answer to a client request, so the connection is out of step and nothing
        // else on it can be relied on.
        pool.disable_reuse(address);
        return Ok(decoded);
    }
    pool.put_back(answer);
    Ok(decoded)
}

fn build_request(
    address: SocketAddr,
    call: HttpCall,
) -> Result<Request<HeldBody>, hyper::http::Error> {
    let method = match call.method {
        CallMethod::Get => Method::GET,
        CallMethod::Post => Method::POST,
        CallMethod::Delete => Method::DELETE,
    };
    let mut builder = Request::builder()
        .method(method)
        .uri(call.target)
        .header(HOST, address.to_string());
    for header in call.headers {
        builder = builder.header(header.name, header.value);
    }
    if !call.body.is_empty() {
        builder = builder.header(CONTENT_TYPE, JSON);
    }
    builder.body(HeldBody::from(Bytes::from(call.body)))
}

fn to_http_answer(shared: &Shared, answer: &Answer) -> HttpResponse {
    let names = shared.dialect.headers();
    let header = |name| {
        let value = answer.head.headers.get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    HttpResponse {
        status: answer.head.status.as_u16(),
        handover: header(names.handover),
        request_id: header(names.request_id),
        store_era: header(names.store_era),
        body: answer.body.to_vec(),
    }
}
