//! What differs from one environment to another in how the router speaks:
//! header names, keys of the metadata store, formats of bodies.
//!
//! A [`Dialect`] translates. It decides nothing, waits for nothing and keeps
//! nothing.

use beamtray_catalog::{AdvertisedRate, Configuration, LeavingStatus, RetryAfter, UpstreamRecord};
use beamtray_metastore::{StoreCall, StoreEra, StoreOutcome};
use beamtray_sharding::{GrantOrder, GrantReply, OrderKind};
use thiserror::Error;

/// Why a value could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{subject}: {cause}")]
pub struct DialectError {
    /// What was read.
    pub subject: String,
    /// What is wrong with it.
    pub cause: String,
}

/// Methods of calls that the router makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallMethod {
    /// Reads.
    Get,
    /// Changes.
    Post,
    /// Removes.
    Delete,
}

/// A call that the router makes, ready to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpCall {
    /// Method.
    pub method: CallMethod,
    /// Path with query.
    pub target: String,
    /// Headers beside those of the transport.
    pub headers: Vec<CallHeader>,
    /// JSON body; empty for none.
    pub body: Vec<u8>,
}

/// One header of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHeader {
    /// Name.
    pub name: &'static str,
    /// Value.
    pub value: String,
}

/// An answer to such a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status.
    pub status: u16,
    /// Value of the header that hands keys over, if there is one.
    pub handover: Option<String>,
    /// Id of the client's request that it says it answers, if it says so.
    pub request_id: Option<String>,
    /// Value of the header that tells the store's era, if there is one.
    pub store_era: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

/// Names of the headers of requests and answers, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of a request, repeated in its answer.
    pub request_id: &'static str,
    /// How long the client waits, in milliseconds.
    pub deadline_ms: &'static str,
    /// Incarnation of the upstream that is meant.
    pub target_upstream: &'static str,
    /// Incarnation of the upstream that answers.
    pub answering_upstream: &'static str,
    /// Proof that a request has not run.
    pub not_executed: &'static str,
    /// Signature of an upstream's answer.
    pub signature: &'static str,
    /// Key of a request to a divided service.
    pub shard_key: &'static str,
    /// What a holder hands over with its keys.
    pub handover: &'static str,
    /// The metadata store's era.
    pub store_era: &'static str,
    /// Requests a second that an upstream takes from all nodes together.
    pub rate_limit: &'static str,
    /// Tells that the upstream leaves.
    pub leaving: &'static str,
    /// How long an upstream that turned a request away wants none from the node.
    pub retry_after: &'static str,
}

/// Keys of the metadata store.
#[derive(Clone, Copy, Debug)]
pub struct StoreKeys {
    /// Prefix of what operators write.
    pub operator_prefix: &'static str,
    /// Key of the newest configuration.
    pub configuration: &'static str,
    /// Prefix of the evacuations of zones: the zone's name follows, and the entry is there
    /// for as long as the evacuation lasts, whatever its value.
    pub evacuation_prefix: &'static str,
    /// Prefix of the upstreams' registrations.
    pub upstream_prefix: &'static str,
}

/// One environment's way of speaking.
pub trait Dialect {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Keys of the metadata store.
    fn keys(&self) -> &StoreKeys;

    /// Puts a call to the metadata store into its format.
    fn encode_store(&self, call: &StoreCall) -> HttpCall;

    /// Reads the store's answer to a call.
    fn decode_store(&self, call: &StoreCall, answer: &HttpResponse) -> StoreOutcome;

    /// Reads the store's era from an answer; `None` where it tells none, or none that can be
    /// read.
    fn decode_era(&self, answer: &HttpResponse) -> Option<StoreEra>;

    /// Reads a configuration.
    ///
    /// # Errors
    /// [`DialectError`] when the value is not one.
    fn decode_configuration(&self, value: &[u8]) -> Result<Configuration, DialectError>;

    /// Reads the registration of the upstream that has `key`.
    ///
    /// # Errors
    /// [`DialectError`] when the value is not one.
    fn decode_upstream(&self, key: &str, value: &[u8]) -> Result<UpstreamRecord, DialectError>;

    /// Puts an order to an upstream into its format.
    fn encode_order(&self, order: &GrantOrder) -> HttpCall;

    /// Reads an upstream's answer to an order of that kind. One that answers a
    /// client's request came late in the place of the order's answer, which is
    /// then not known.
    fn decode_order(&self, kind: &OrderKind, answer: &HttpResponse) -> GrantReply;

    /// Reads what an upstream's answer says of the rate that it takes, from the values of
    /// the header for it, in their order.
    fn decode_rate(&self, values: &[&[u8]]) -> AdvertisedRate;

    /// Reads what an upstream's answer says of its leaving, in the same way.
    fn decode_leaving(&self, values: &[&[u8]]) -> LeavingStatus;

    /// Reads how long an upstream that turned a request away asks for rest, in the same way.
    fn decode_retry_after(&self, values: &[&[u8]]) -> RetryAfter;
}
