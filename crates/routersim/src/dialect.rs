//! Dialect of the simulated world. Stored values are indices into a shared list, so no
//! serialization format is needed.

use beamtray_catalog::{AdvertisedRate, Configuration, LeavingStatus, RetryAfter, UpstreamRecord};
use beamtray_dialect::{
    CallMethod, Dialect, DialectError, HeaderNames, HttpCall, HttpResponse, StoreKeys,
};
use beamtray_metastore::{StoreCall, StoreEra, StoreOutcome};
use beamtray_sharding::{GrantOrder, GrantReply, OrderKind};
use std::cell::RefCell;
use std::rc::Rc;

const HEADERS: HeaderNames = HeaderNames {
    request_id: "request-id",
    deadline_ms: "deadline-ms",
    target_upstream: "target",
    answering_upstream: "answering",
    not_executed: "not-executed",
    signature: "signature",
    shard_key: "key",
    handover: "handover",
    store_era: "era",
    rate_limit: "rate-limit",
    leaving: "leaving",
    retry_after: "rest",
    api_key: "api-key",
    tenant: "tenant",
};

const KEYS: StoreKeys = StoreKeys {
    operator_prefix: "operator/",
    configuration: "operator/configuration",
    evacuation_prefix: "operator/evacuation/",
    upstream_prefix: "upstreams/",
};

/// Values written to the store.
#[derive(Debug, Default)]
struct Values {
    configurations: Vec<Configuration>,
    upstreams: Vec<UpstreamRecord>,
}

/// The dialect of the simulated world.
#[derive(Clone, Debug, Default)]
pub struct SimDialect {
    values: Rc<RefCell<Values>>,
}

impl SimDialect {
    /// Returns the stored value for a configuration.
    pub fn encode_configuration(&self, configuration: Configuration) -> Vec<u8> {
        let mut values = self.values.borrow_mut();
        values.configurations.push(configuration);
        number(values.configurations.len() - 1)
    }

    /// Returns the stored value for a registration.
    pub fn encode_upstream(&self, record: UpstreamRecord) -> Vec<u8> {
        let mut values = self.values.borrow_mut();
        values.upstreams.push(record);
        number(values.upstreams.len() - 1)
    }
}

fn number(index: usize) -> Vec<u8> {
    (index as u64).to_le_bytes().to_vec()
}

fn index(value: &[u8]) -> Result<usize, DialectError> {
    let bytes: [u8; 8] = value.try_into().map_err(|_| DialectError {
        subject: "value".to_owned(),
        cause: format!("{} bytes", value.len()),
    })?;
    Ok(u64::from_le_bytes(bytes) as usize)
}

fn missing() -> DialectError {
    DialectError {
        subject: "value".to_owned(),
        cause: "not in the list".to_owned(),
    }
}

fn unused() -> HttpCall {
    HttpCall {
        method: CallMethod::Get,
        target: String::new(),
        headers: Vec::new(),
        body: Vec::new(),
    }
}

impl Dialect for SimDialect {
    fn headers(&self) -> &HeaderNames {
        &HEADERS
    }

    fn keys(&self) -> &StoreKeys {
        &KEYS
    }

    fn encode_store(&self, _: &StoreCall) -> HttpCall {
        unused()
    }

    fn decode_store(&self, _: &StoreCall, _: &HttpResponse) -> StoreOutcome {
        StoreOutcome::Unknown
    }

    fn decode_era(&self, _: &HttpResponse) -> Option<StoreEra> {
        None
    }

    fn decode_configuration(&self, value: &[u8]) -> Result<Configuration, DialectError> {
        let values = self.values.borrow();
        let configuration = values.configurations.get(index(value)?);
        configuration.cloned().ok_or_else(missing)
    }

    fn decode_upstream(&self, _: &str, value: &[u8]) -> Result<UpstreamRecord, DialectError> {
        let values = self.values.borrow();
        let record = values.upstreams.get(index(value)?);
        record.cloned().ok_or_else(missing)
    }

    fn encode_order(&self, _: &GrantOrder) -> HttpCall {
        unused()
    }

    fn decode_order(&self, _: &OrderKind, _: &HttpResponse) -> GrantReply {
        GrantReply::Unanswered
    }

    fn decode_rate(&self, _: &[&[u8]]) -> AdvertisedRate {
        AdvertisedRate::Unlimited
    }

    fn decode_leaving(&self, _: &[&[u8]]) -> LeavingStatus {
        LeavingStatus::NotLeaving
    }

    fn decode_retry_after(&self, _: &[&[u8]]) -> RetryAfter {
        RetryAfter::Unspecified
    }
}
