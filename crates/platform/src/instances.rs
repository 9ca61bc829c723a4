//! The platform's list of live and leaving instances and endpoints, which lags behind their state.
//!
//! The format is Prometheus HTTP service discovery: a JSON array of target
//! groups, each with `targets` and `labels`.

use std::{
    collections::BTreeMap,
    future::Future,
    net::SocketAddr, //
};

use bytes::Bytes;
use http::Method;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::value::RawValue;

use crate::http::{
    Client,
    Fault, //
};

/// One target group of the service-discovery format.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Group {
    /// Addresses. The platform gives one for each group: the peer plane of an instance, or the
    /// endpoint.
    pub targets: Vec<SocketAddr>,
    /// Labels: `name`, `role` (`instance` or `endpoint`) and `state` (`live` or `leaving`).
    pub labels: BTreeMap<String, String>,
}

/// Kind of the machine that a group describes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// An instance of the router.
    Instance,
    /// An endpoint.
    Endpoint,
}

/// One entry of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Name of the instance or endpoint.
    pub name: String,
    /// Whether this is an instance or an endpoint.
    pub role: Role,
    /// Peer-plane address of an instance, or address of an endpoint.
    pub address: SocketAddr,
    /// Whether it is about to shut down.
    pub leaving: bool,
}

/// The instance list.
pub trait Instances: Clone + Send + Sync + 'static {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Any [`Fault`].
    fn list(&self) -> impl Future<Output = Result<List, Fault>> + Send;
}

/// The whole list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct List {
    /// Entries of all groups that can be read.
    pub entries: Vec<Entry>,
    /// Why the first of the other groups cannot be read; `None` if there is none.
    pub unreadable: Option<String>,
}

/// Longest reason why a group cannot be read, in bytes. Reasons may quote the group.
const MAX_REASON_BYTES: usize = 200;

impl List {
    /// Decodes a list, each group on its own, so that an odd one does not fail the others.
    ///
    /// # Errors
    ///
    /// If the text is no JSON array.
    pub fn decode(text: &[u8]) -> serde_json::Result<Self> {
        let groups: Vec<&RawValue> = serde_json::from_slice(text)?;
        let mut list = Self::default();
        for group in groups {
            match serde_json::from_str(group.get()) {
                Ok(group) => list.entries.extend(parse_entry(group)),
                Err(error) if list.unreadable.is_none() => {
                    let mut reason = error.to_string();
                    reason.truncate(reason.floor_char_boundary(MAX_REASON_BYTES));
                    list.unreadable = Some(reason);
                }
                Err(_) => {}
            }
        }
        Ok(list)
    }
}

/// The instance list behind an HTTP address.
#[derive(Clone, Debug)]
pub struct Remote {
    address: SocketAddr,
    client: Client,
}

impl Remote {
    /// Creates a client for the list at `address`.
    pub fn new(address: SocketAddr, client: Client) -> Self {
        Self { address, client }
    }
}

impl Instances for Remote {
    async fn list(&self) -> Result<List, Fault> {
        let answer = self
            .client
            .call(Method::GET, self.address, "/instances", Bytes::new())
            .await?;
        List::decode(&answer.body).map_err(|error| Fault::Lost {
            address: self.address,
            reason: format!("unreadable list: {error}"),
        })
    }
}

/// Converts a group; one without a name or an address describes no instance or endpoint.
fn parse_entry(group: Group) -> Option<Entry> {
    let role = match group.labels.get("role").map(String::as_str) {
        Some("endpoint") => Role::Endpoint,
        _ => Role::Instance,
    };
    Some(Entry {
        name: group.labels.get("name")?.clone(),
        role,
        address: *group.targets.first()?,
        leaving: group
            .labels
            .get("state")
            .is_some_and(|state| state == "leaving"),
    })
}
