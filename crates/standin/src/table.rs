//! The transactional table: range reads and transactions of the etcd v3 JSON protocol.

use std::{
    collections::BTreeMap,
    ops::Bound,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    }, //
};

use http::{
    Request,
    Response,
    StatusCode, //
};
use hyper::body::Incoming;
use parking_lot::Mutex;
use platform::table::message::{
    Header,
    KeyValue,
    RangeRequest,
    RangeResponse,
    RequestOp,
    ResponseOp,
    TxnRequest,
    TxnResponse, //
};
use serde_json::json;

use crate::{
    fault::{
        Disconnect,
        Faults, //
    },
    server::{
        Body,
        Service,
        full_answer,
        json_answer,
        read_json, //
    }, //
};

/// Content of the table. A row is a value and the revision that last modified it.
#[derive(Debug, Default)]
struct State {
    revision: u64,
    rows: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
}

/// The table.
#[derive(Debug, Default)]
pub struct Table {
    state: Mutex<State>,
    faults: Faults,
    reads: AtomicU64,
    writes: AtomicU64,
}

impl State {
    fn range(&self, request: &RangeRequest) -> RangeResponse {
        let start = Bound::Included(request.key.clone());
        let end = match request.range_end.as_slice() {
            [] => Bound::Included(request.key.clone()),
            [0] => Bound::Unbounded,
            end => Bound::Excluded(end.to_vec()),
        };
        let kvs = self
            .rows
            .range((start, end))
            .map(|(key, (value, mod_revision))| KeyValue {
                key: key.clone(),
                value: value.clone(),
                mod_revision: *mod_revision,
            })
            .collect();
        RangeResponse {
            header: self.header(),
            kvs,
        }
    }

    fn header(&self) -> Header {
        Header {
            revision: self.revision,
        }
    }

    fn transact(&mut self, request: TxnRequest) -> TxnResponse {
        let succeeded = request.compare.iter().all(|compare| {
            let current = self.rows.get(&compare.key).map_or(0, |row| row.1);
            current == compare.mod_revision
        });
        let ops = if succeeded {
            request.success
        } else {
            request.failure
        };
        if ops.iter().any(|op| !matches!(op, RequestOp::Range(_))) {
            self.revision += 1;
        }
        let responses = ops.into_iter().map(|op| self.apply(op)).collect();
        TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    fn apply(&mut self, op: RequestOp) -> ResponseOp {
        match op {
            RequestOp::Range(request) => {
                return ResponseOp {
                    response_range: Some(self.range(&request)),
                };
            }
            RequestOp::Put(put) => {
                self.rows.insert(put.key, (put.value, self.revision));
            }
            RequestOp::Delete(request) => {
                self.rows.remove(&request.key);
            }
        }
        ResponseOp::default()
    }
}

impl Table {
    async fn range(&self, request: Request<Incoming>) -> Result<Response<Body>, Response<Body>> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let request: RangeRequest = read_json(request).await?;
        Ok(json_answer(&self.state.lock().range(&request)))
    }

    async fn txn(&self, request: Request<Incoming>) -> Result<Response<Body>, Response<Body>> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        let request: TxnRequest = read_json(request).await?;
        Ok(json_answer(&self.state.lock().transact(request)))
    }

    fn counts(&self) -> Response<Body> {
        json_answer(&json!({
            "reads": self.reads.load(Ordering::Relaxed),
            "writes": self.writes.load(Ordering::Relaxed),
        }))
    }
}

impl Service for Table {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Disconnect> {
        let result = match request.uri().path() {
            "/v3/kv/range" => self.range(request).await,
            "/v3/kv/txn" => {
                self.faults.before_write()?;
                let answer = self.txn(request).await;
                self.faults.after_write()?;
                answer
            }
            "/counts" => Ok(self.counts()),
            _ => Ok(full_answer(StatusCode::NOT_FOUND, "")),
        };
        Ok(result.unwrap_or_else(|bad_request| bad_request))
    }
}
