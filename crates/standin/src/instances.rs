//! The instance list in the Prometheus HTTP service-discovery format, with a lag.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use hyper::body::Incoming;
use parking_lot::Mutex;
use platform::instances::Group;

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

/// The instance list: `PUT /instances` replaces it, and `GET /instances` shows the new list once
/// the lag has passed.
#[derive(Debug, Default)]
pub struct Instances {
    lag: Duration,
    snapshots: Mutex<Vec<(Instant, Vec<Group>)>>,
    faults: Faults,
}

impl Instances {
    /// Creates an empty list that shows changes after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            ..Self::default()
        }
    }

    fn visible(&self) -> Vec<Group> {
        let snapshots = self.snapshots.lock();
        let is_visible = |(set_at, _): &&(Instant, Vec<Group>)| set_at.elapsed() >= self.lag;
        let newest = snapshots.iter().rev().find(is_visible);
        newest.map(|(_, groups)| groups.clone()).unwrap_or_default()
    }
}

impl Service for Instances {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Disconnect> {
        if request.method() == Method::PUT {
            let groups = match read_json(request).await {
                Ok(groups) => groups,
                Err(bad_request) => return Ok(bad_request),
            };
            self.snapshots.lock().push((Instant::now(), groups));
            return Ok(full_answer(StatusCode::OK, ""));
        }
        Ok(json_answer(&self.visible()))
    }
}
