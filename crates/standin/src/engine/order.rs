//! Orders to an engine: it loads the ordered weights for a while, then serves them.

use std::{
    sync::Arc,
    time::{
        Duration,
        SystemTime, //
    }, //
};

use endpoint::order::State;
use http::{
    Request,
    Response,
    StatusCode, //
};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Engine,
    batch::Stage, //
};
use crate::server::{
    Body,
    full_answer,
    json_answer,
    read_json, //
};

/// Interval of the check whether all running requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Whether an engine accepts orders, and which fencing numbers it accepts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// Has no interface for orders.
    #[default]
    None,
    /// Rejects orders whose fencing number is lower than the highest it has seen.
    Checks,
    /// Obeys any order.
    Ignores,
}

/// One order that arrived, as `GET /orders` lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Record {
    /// Weights version to load.
    pub version: String,
    /// Fencing number of the sender.
    pub fencing: u64,
    /// Whether the engine accepted it.
    pub taken: bool,
    /// Time of arrival, in milliseconds since 1970.
    pub at_ms: u64,
    /// Time from which the weights are served, in milliseconds since 1970; 0 until then.
    pub loaded_ms: u64,
}

/// Orders that one engine has received.
#[derive(Debug, Default)]
pub struct Log {
    records: Mutex<Vec<Record>>,
    /// Version of the newest accepted order while its weights load.
    loading: Mutex<Option<String>>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Order {
    version: String,
    fencing: u64,
}

fn unix_time_ms() -> u64 {
    let elapsed = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

impl Engine {
    pub(super) fn list_orders(&self) -> Response<Body> {
        json_answer(&*self.order_log.records.lock())
    }

    pub(super) fn weights_state(&self) -> Response<Body> {
        if self.config.order_policy == Policy::None {
            return full_answer(StatusCode::NOT_FOUND, "");
        }
        json_answer(&State {
            version: self.identity.borrow().version.clone(),
            loading: self.order_log.loading.lock().clone(),
        })
    }

    pub(super) async fn receive_order(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let order: Order = match read_json(request).await {
            Ok(order) => order,
            Err(bad_request) => return bad_request,
        };
        let mut records = self.order_log.records.lock();
        let highest = records.iter().map(|r| r.fencing).max().unwrap_or(0);
        let accepted = match self.config.order_policy {
            Policy::None => return full_answer(StatusCode::NOT_FOUND, ""),
            Policy::Checks => order.fencing >= highest,
            Policy::Ignores => true,
        };
        let index = records.len();
        records.push(Record {
            version: order.version.clone(),
            fencing: order.fencing,
            taken: accepted,
            at_ms: unix_time_ms(),
            loaded_ms: 0,
        });
        if !accepted {
            return full_answer(StatusCode::CONFLICT, "old fencing number");
        }
        *self.order_log.loading.lock() = Some(order.version.clone());
        tokio::spawn(self.clone().load_weights(index, order.version));
        full_answer(StatusCode::ACCEPTED, "")
    }

    /// Loads weights while requests run, and switches to them when no request runs any more.
    async fn load_weights(self: Arc<Self>, index: usize, version: String) {
        tokio::time::sleep(self.config.load_time).await;
        while self.batch.count(Stage::Prefill) + self.batch.count(Stage::Decode) > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.restart(&version);
        self.order_log.records.lock()[index].loaded_ms = unix_time_ms();
        let mut loading = self.order_log.loading.lock();
        if loading.as_ref() == Some(&version) {
            *loading = None;
        }
    }
}
