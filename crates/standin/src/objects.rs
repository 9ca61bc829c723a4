//! The object store: path-style S3 `GET` and `PUT`.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use bytes::Bytes;
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use hyper::body::Incoming;
use parking_lot::Mutex;

use crate::{
    fault::{
        Disconnect,
        Faults, //
    },
    server::{
        Body,
        Service,
        full_answer,
        read_body, //
    }, //
};

/// The object store.
#[derive(Debug, Default)]
pub struct Objects {
    objects: Mutex<BTreeMap<String, Bytes>>,
    faults: Faults,
}

impl Service for Objects {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Disconnect> {
        let path = request.uri().path().to_owned();
        if request.method() == Method::PUT {
            let body = read_body(request).await?;
            self.objects.lock().insert(path, body);
            return Ok(full_answer(StatusCode::OK, ""));
        }
        let object = self.objects.lock().get(&path).cloned();
        Ok(match object {
            Some(body) => full_answer(StatusCode::OK, body),
            None => full_answer(StatusCode::NOT_FOUND, ""),
        })
    }
}
