//! Clients for the services of the platform: the transactional table, the
//! object store and the instance list.
//!
//! The table speaks the JSON form of the etcd v3 key-value protocol (range and
//! transactions only), the object store takes path-style S3 requests, and the
//! instance list is in the Prometheus HTTP service-discovery format. Each
//! service has a trait, so that tests and other platforms can implement it.

pub mod body;
pub mod http;
pub mod instances;
pub mod objects;
pub mod table;
