//! JSON bodies of the gateway, in which bytes are base64 and 64-bit integers are strings.

use std::fmt;

use base64::{engine::general_purpose::STANDARD, Engine};
use serde::{de, Deserialize, Deserializer, Serialize, Serializer};

/// Bytes, encoded as a base64 string.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Bytes(pub Vec<u8>);

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(de::Error::custom)
    }
}

/// A 64-bit integer, written as a string and read from a string or a number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Int(pub u64);

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

struct IntVisitor;

impl de::Visitor<'_> for IntVisitor {
    type Value = Int;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an integer of 0 or more, as number or text")
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<Int, E> {
        Ok(Int(value))
    }

    fn visit_str<E: de::Error>(self, value: &str) -> Result<Int, E> {
        value.parse().map(Int).map_err(E::custom)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(IntVisitor)
    }
}

#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct Header {
    pub revision: Int,
}

#[derive(Debug, Clone, Serialize)]
pub(super) struct KeyValue {
    pub key: Bytes,
    pub create_revision: Int,
    pub mod_revision: Int,
    pub version: Int,
    pub value: Bytes,
    pub lease: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeRequest {
    pub key: Bytes,
    pub range_end: Bytes,
}

#[derive(Debug, Serialize)]
pub(super) struct RangeResponse {
    pub header: Header,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    pub count: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct PutRequest {
    pub key: Bytes,
    pub value: Bytes,
    pub lease: Int,
}

#[derive(Debug, Serialize)]
pub(super) struct PutResponse {
    pub header: Header,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct DeleteRequest {
    pub key: Bytes,
    pub range_end: Bytes,
}

#[derive(Debug, Serialize)]
pub(super) struct DeleteResponse {
    pub header: Header,
    pub deleted: Int,
}

/// Property of a key that a comparison checks. Only the modification revision is supported.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum Target {
    Mod,
}

/// Relation that a comparison requires. Only equality is supported.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum Relation {
    Equal,
}

#[derive(Debug, Deserialize)]
pub(super) struct Compare {
    pub key: Bytes,
    #[serde(rename = "target")]
    pub _target: Target,
    #[serde(rename = "result")]
    pub _result: Relation,
    #[serde(default)]
    pub mod_revision: Int,
}

#[derive(Debug, Deserialize)]
pub(super) enum Operation {
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_delete_range")]
    DeleteRange(DeleteRequest),
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnRequest {
    pub compare: Vec<Compare>,
    pub success: Vec<Operation>,
    pub failure: Vec<Operation>,
}

#[derive(Debug, Serialize)]
pub(super) enum OperationResponse {
    #[serde(rename = "response_put")]
    Put(PutResponse),
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteResponse),
}

#[derive(Debug, Serialize)]
pub(super) struct TxnResponse {
    pub header: Header,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub succeeded: bool,
    pub responses: Vec<OperationResponse>,
}

#[derive(Debug, Deserialize)]
pub(super) struct GrantRequest {
    #[serde(rename = "TTL")]
    pub ttl: Int,
    #[serde(rename = "ID", default)]
    pub id: Int,
}

#[derive(Debug, Deserialize)]
pub(super) struct KeepaliveRequest {
    #[serde(rename = "ID")]
    pub id: Int,
}

#[derive(Debug, Serialize)]
pub(super) struct LeaseResponse {
    pub header: Header,
    #[serde(rename = "ID")]
    pub id: Int,
    #[serde(rename = "TTL")]
    pub ttl: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct CreateRequest {
    pub key: Bytes,
    pub range_end: Bytes,
    pub start_revision: Int,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchRequest {
    pub create_request: CreateRequest,
}

/// Kind of an event. Like the gateway, the JSON omits the default, `PUT`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum EventKind {
    Put,
    Delete,
}

fn is_put(kind: &EventKind) -> bool {
    *kind == EventKind::Put
}

#[derive(Debug, Clone, Serialize)]
pub(super) struct Event {
    #[serde(rename = "type", skip_serializing_if = "is_put")]
    pub kind: EventKind,
    pub kv: KeyValue,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchResponse {
    pub header: Header,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}

/// Envelope of each object of a streamed response.
#[derive(Debug, Serialize)]
pub(super) struct Streamed<T> {
    pub result: T,
}

#[derive(Debug, Serialize)]
pub(super) struct Error<'a> {
    pub error: &'a str,
    pub code: u32,
    pub message: &'a str,
}
