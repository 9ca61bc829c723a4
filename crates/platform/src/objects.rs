//! Client for the object store, which takes path-style S3 requests.

use std::{
    future::Future,
    net::SocketAddr, //
};

use bytes::Bytes;
use http::Method;

use crate::http::{
    Client,
    Fault, //
};

/// The object store.
pub trait Objects: Clone + Send + Sync + 'static {
    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Any [`Fault`].
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, Fault>> + Send;

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// After [`Fault::Lost`] the object may have been written.
    fn put(&self, name: &str, body: Bytes) -> impl Future<Output = Result<(), Fault>> + Send;
}

/// The object store behind an HTTP address.
#[derive(Clone, Debug)]
pub struct Remote {
    address: SocketAddr,
    bucket: String,
    client: Client,
}

impl Remote {
    /// Creates a client for `bucket` at `address`.
    pub fn new(address: SocketAddr, bucket: impl Into<String>, client: Client) -> Self {
        Self {
            address,
            bucket: bucket.into(),
            client,
        }
    }

    fn path(&self, name: &str) -> String {
        format!("/{}/{name}", self.bucket)
    }
}

impl Objects for Remote {
    async fn get(&self, name: &str) -> Result<Option<Bytes>, Fault> {
        let path = self.path(name);
        let result = self
            .client
            .call(Method::GET, self.address, &path, Bytes::new())
            .await;
        match result {
            Ok(answer) => Ok(Some(answer.body)),
            Err(Fault::Refused { status: 404, .. }) => Ok(None),
            Err(fault) => Err(fault),
        }
    }

    async fn put(&self, name: &str, body: Bytes) -> Result<(), Fault> {
        let path = self.path(name);
        self.client
            .call(Method::PUT, self.address, &path, body)
            .await?;
        Ok(())
    }
}
