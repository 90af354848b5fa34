//! JSON bodies of the gateway. Bytes are encoded as base64 and 64-bit integers as strings.

use base64::{engine::general_purpose::STANDARD, Engine};
use serde::{de, Deserialize, Deserializer, Serialize, Serializer};

use super::{Stored, Value};

/// Bytes that are serialized as base64.
#[derive(Debug, Clone, Copy)]
pub(super) struct Base64<'a>(pub &'a [u8]);

impl Serialize for Base64<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(self.0))
    }
}

fn decode_bytes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    STANDARD.decode(String::deserialize(deserializer)?).map_err(de::Error::custom)
}

fn decode_integer<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    String::deserialize(deserializer)?.parse().map_err(de::Error::custom)
}

/// Returns the first key after all keys with a prefix.
pub(super) fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    // The last byte of UTF-8 text is below 0xff, so adding one does not overflow.
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

#[derive(Debug, Serialize)]
pub(super) struct RangeRequest<'a> {
    pub key: Base64<'a>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64<'a>>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Header {
    #[serde(default, deserialize_with = "decode_integer")]
    pub revision: u64,
}

#[derive(Debug, Deserialize)]
pub(super) struct KeyValue {
    #[serde(deserialize_with = "decode_bytes")]
    key: Vec<u8>,
    #[serde(default, deserialize_with = "decode_bytes")]
    value: Vec<u8>,
    #[serde(default, deserialize_with = "decode_integer")]
    pub mod_revision: u64,
}

impl From<KeyValue> for Stored {
    fn from(pair: KeyValue) -> Self {
        Self {
            key: String::from_utf8_lossy(&pair.key).into_owned(),
            value: String::from_utf8(pair.value).map_or(Value::Unreadable, Value::Text),
            mod_revision: pair.mod_revision,
        }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct RangeResponse {
    pub header: Header,
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

#[derive(Debug, Serialize)]
pub(super) struct Compare<'a> {
    pub key: Base64<'a>,
    pub target: &'static str,
    pub result: &'static str,
    pub mod_revision: String,
}

#[derive(Debug, Serialize)]
pub(super) struct PutRequest<'a> {
    pub key: Base64<'a>,
    pub value: Base64<'a>,
}

#[derive(Debug, Serialize)]
pub(super) struct DeleteRequest<'a> {
    pub key: Base64<'a>,
}

#[derive(Debug, Serialize)]
pub(super) enum Operation<'a> {
    #[serde(rename = "request_put")]
    Put(PutRequest<'a>),
    #[serde(rename = "request_delete_range")]
    DeleteRange(DeleteRequest<'a>),
    #[serde(rename = "request_range")]
    Range(RangeRequest<'a>),
}

#[derive(Debug, Serialize)]
pub(super) struct TxnRequest<'a> {
    pub compare: [Compare<'a>; 1],
    pub success: [Operation<'a>; 1],
    pub failure: [Operation<'a>; 1],
}

#[derive(Debug, Deserialize)]
pub(super) struct OperationResponse {
    pub response_range: Option<RangeResponse>,
}

#[derive(Debug, Deserialize)]
pub(super) struct TxnResponse {
    pub header: Header,
    #[serde(default)]
    pub succeeded: bool,
    #[serde(default)]
    pub responses: Vec<OperationResponse>,
}

#[derive(Debug, Serialize)]
pub(super) struct CreateRequest<'a> {
    pub key: Base64<'a>,
    pub range_end: Base64<'a>,
    pub start_revision: String,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchRequest<'a> {
    pub create_request: CreateRequest<'a>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Event {
    #[serde(rename = "type", default)]
    pub kind: Option<String>,
    pub kv: KeyValue,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchResponse {
    #[serde(default)]
    pub canceled: bool,
    #[serde(default)]
    pub events: Vec<Event>,
}

/// JSON object of a streamed response.
#[derive(Debug, Deserialize)]
pub(super) struct Streamed {
    pub result: WatchResponse,
}
