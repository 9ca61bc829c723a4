//! Messages of the etcd v3 JSON protocol, limited to those that the table needs.
//!
//! Keys and values are base64, 64-bit integers are decimal strings. Source:
//! etcd's published API reference, `KV.Range` and `KV.Txn`.

use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    DisplayFromStr,
    base64::Base64,
    serde_as, //
};

use super::{
    Op,
    Outcome,
    Range,
    Row,
    Txn, //
};

/// Request of `/v3/kv/range`.
#[serde_as]
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[expect(missing_docs, reason = "fields are those of the published protocol")]
pub struct RangeRequest {
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    #[serde_as(as = "Base64")]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub range_end: Vec<u8>,
}

impl RangeRequest {
    /// Requests the row with exactly this key.
    pub fn exact(key: &str) -> Self {
        Self {
            key: key.into(),
            range_end: Vec::new(),
        }
    }

    /// Requests all rows whose keys start with `prefix`.
    pub fn prefix(prefix: &str) -> Self {
        Self {
            key: prefix.into(),
            range_end: prefix_end(prefix.as_bytes()),
        }
    }
}

/// Returns the first key after all keys that start with `prefix`; `[0]` means no upper bound.
fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// A row in the protocol.
#[serde_as]
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[expect(missing_docs, reason = "fields are those of the published protocol")]
pub struct KeyValue {
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    #[serde_as(as = "Base64")]
    #[serde(default)]
    pub value: Vec<u8>,
    #[serde_as(as = "DisplayFromStr")]
    pub mod_revision: u64,
}

/// Header of each answer.
#[serde_as]
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[expect(missing_docs, reason = "fields are those of the published protocol")]
pub struct Header {
    #[serde_as(as = "DisplayFromStr")]
    pub revision: u64,
}

/// Answer of `/v3/kv/range`.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[expect(missing_docs, reason = "fields are those of the published protocol")]
pub struct RangeResponse {
    pub header: Header,
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// A condition in the protocol.
#[serde_as]
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[expect(missing_docs, reason = "fields are those of the published protocol")]
pub struct Compare {
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    pub target: String,
    pub result: String,
    #[serde_as(as = "DisplayFromStr")]
    pub mod_revision: u64,
}

/// A write in the protocol.
#[serde_as]
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[expect(missing_docs, reason = "fields are those of the published protocol")]
pub struct PutRequest {
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
}

/// One operation of a transaction.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[expect(missing_docs, reason = "fields are those of the published protocol")]
pub enum RequestOp {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(RangeRequest),
}

/// Request of `/v3/kv/txn`.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[expect(missing_docs, reason = "fields are those of the published protocol")]
pub struct TxnRequest {
    #[serde(default)]
    pub compare: Vec<Compare>,
    #[serde(default)]
    pub success: Vec<RequestOp>,
    #[serde(default)]
    pub failure: Vec<RequestOp>,
}

/// Answer to one operation of a transaction; only reads have a body.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[expect(missing_docs, reason = "fields are those of the published protocol")]
pub struct ResponseOp {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// Answer of `/v3/kv/txn`.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[expect(missing_docs, reason = "fields are those of the published protocol")]
pub struct TxnResponse {
    pub header: Header,
    #[serde(default)]
    pub succeeded: bool,
    #[serde(default)]
    pub responses: Vec<ResponseOp>,
}

impl From<KeyValue> for Row {
    fn from(kv: KeyValue) -> Self {
        Self {
            key: String::from_utf8_lossy(&kv.key).into_owned(),
            value: kv.value,
            revision: kv.mod_revision.into(),
        }
    }
}

impl From<RangeResponse> for Range {
    fn from(answer: RangeResponse) -> Self {
        Self {
            revision: answer.header.revision.into(),
            rows: answer.kvs.into_iter().map(Row::from).collect(),
            clock: None,
        }
    }
}

impl From<Txn> for TxnRequest {
    fn from(txn: Txn) -> Self {
        let mut request = Self::default();
        for compare in txn.compares {
            request
                .failure
                .push(RequestOp::Range(RangeRequest::exact(&compare.key)));
            request.compare.push(Compare {
                key: compare.key.into_bytes(),
                target: "MOD".to_owned(),
                result: "EQUAL".to_owned(),
                mod_revision: compare.revision.number,
            });
        }
        request.success = txn.ops.into_iter().map(RequestOp::from).collect();
        request
    }
}

impl From<Op> for RequestOp {
    fn from(op: Op) -> Self {
        match op {
            Op::Put { key, value } => Self::Put(PutRequest {
                key: key.into_bytes(),
                value,
            }),
            Op::Delete { key } => Self::Delete(RangeRequest::exact(&key)),
        }
    }
}

impl From<TxnResponse> for Outcome {
    fn from(answer: TxnResponse) -> Self {
        if answer.succeeded {
            return Self::Applied(answer.header.revision.into());
        }
        let ranges = answer
            .responses
            .into_iter()
            .filter_map(|response| response.response_range);
        Self::Conflict(ranges.flat_map(|range| Range::from(range).rows).collect())
    }
}
