//! The environment-specific parts of the router's protocols: header names, metadata store
//! keys and body formats.
//!
//! A [`Dialect`] only translates: it makes no decisions, does no I/O and keeps no state.

use beamtray_catalog::{AdvertisedRate, Configuration, LeavingStatus, RetryAfter, UpstreamRecord};
use beamtray_metastore::{StoreCall, StoreEra, StoreOutcome};
use beamtray_sharding::{GrantOrder, GrantReply, OrderKind};
use thiserror::Error;

/// A value that could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{subject}: {cause}")]
pub struct DialectError {
    /// The value that was decoded, such as a key or a field.
    pub subject: String,
    /// Why decoding failed.
    pub cause: String,
}

/// HTTP method of an outgoing call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallMethod {
    /// GET.
    Get,
    /// POST.
    Post,
    /// DELETE.
    Delete,
}

/// An encoded outgoing HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpCall {
    /// HTTP method.
    pub method: CallMethod,
    /// Path and query.
    pub target: String,
    /// Headers other than those set by the HTTP transport.
    pub headers: Vec<CallHeader>,
    /// JSON body; empty if there is none.
    pub body: Vec<u8>,
}

/// A header of an outgoing call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHeader {
    /// Header name.
    pub name: &'static str,
    /// Header value.
    pub value: String,
}

/// The response to an [`HttpCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the key handover header, if present.
    pub handover: Option<String>,
    /// Value of the request id header, if present: the client request that this responds to.
    pub request_id: Option<String>,
    /// Value of the store era header, if present.
    pub store_era: Option<String>,
    /// Response body.
    pub body: Vec<u8>,
}

/// Names of request and response headers, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Request id, echoed in the response.
    pub request_id: &'static str,
    /// Time the client is willing to wait, in milliseconds.
    pub deadline_ms: &'static str,
    /// Incarnation of the upstream that a request is addressed to.
    pub target_upstream: &'static str,
    /// Incarnation of the upstream that sent a response.
    pub answering_upstream: &'static str,
    /// Upstream's statement that a request was not executed.
    pub not_executed: &'static str,
    /// Signature of an upstream's response.
    pub signature: &'static str,
    /// Key of a request to a sharded service.
    pub shard_key: &'static str,
    /// State that a holder hands over together with its keys.
    pub handover: &'static str,
    /// Era of the metadata store.
    pub store_era: &'static str,
    /// Requests per second that an upstream accepts from all nodes together.
    pub rate_limit: &'static str,
    /// Whether the upstream is leaving.
    pub leaving: &'static str,
    /// How long the node should send no requests to an upstream that rejected one.
    pub retry_after: &'static str,
    /// Key that identifies the tenant of a client; upstreams are not told it.
    pub api_key: &'static str,
    /// Name of the tenant, as upstreams are told it.
    pub tenant: &'static str,
}

/// Keys and key prefixes in the metadata store.
#[derive(Clone, Copy, Debug)]
pub struct StoreKeys {
    /// Prefix of the keys written by operators.
    pub operator_prefix: &'static str,
    /// Key of the current configuration.
    pub configuration: &'static str,
    /// Prefix of zone evacuations, followed by the zone name. The zone is evacuated while the
    /// key exists, whatever its value.
    pub evacuation_prefix: &'static str,
    /// Prefix of upstream registrations.
    pub upstream_prefix: &'static str,
}

/// Header names, store keys and encodings of one environment.
pub trait Dialect {
    /// Returns the header names.
    fn headers(&self) -> &HeaderNames;

    /// Returns the metadata store keys.
    fn keys(&self) -> &StoreKeys;

    /// Encodes a call to the metadata store.
    fn encode_store(&self, call: &StoreCall) -> HttpCall;

    /// Decodes the metadata store's response to `call`.
    fn decode_store(&self, call: &StoreCall, answer: &HttpResponse) -> StoreOutcome;

    /// Decodes the store's era from a response; `None` if it is missing or unreadable.
    fn decode_era(&self, answer: &HttpResponse) -> Option<StoreEra>;

    /// Decodes a configuration.
    ///
    /// # Errors
    /// [`DialectError`] if the value is not a valid configuration.
    fn decode_configuration(&self, value: &[u8]) -> Result<Configuration, DialectError>;

    /// Decodes the upstream registration stored under `key`.
    ///
    /// # Errors
    /// [`DialectError`] if the value is not a valid registration.
    fn decode_upstream(&self, key: &str, value: &[u8]) -> Result<UpstreamRecord, DialectError>;

    /// Encodes an order to an upstream.
    fn encode_order(&self, order: &GrantOrder) -> HttpCall;

    /// Decodes an upstream's response to an order of the given kind. A response that carries a
    /// client's request id is a late response to that request, received in place of the order's
    /// response; the outcome of the order is then unknown.
    fn decode_order(&self, kind: &OrderKind, answer: &HttpResponse) -> GrantReply;

    /// Decodes the rate that an upstream advertises, from the values of the rate limit header
    /// in order of appearance.
    fn decode_rate(&self, values: &[&[u8]]) -> AdvertisedRate;

    /// Decodes whether an upstream is leaving, from the values of the leaving header in order
    /// of appearance.
    fn decode_leaving(&self, values: &[&[u8]]) -> LeavingStatus;

    /// Decodes how long to wait before the next request to an upstream that rejected one, from
    /// the values of the retry-after header in order of appearance.
    fn decode_retry_after(&self, values: &[&[u8]]) -> RetryAfter;
}
