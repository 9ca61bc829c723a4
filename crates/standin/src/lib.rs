//! Development only: stand-ins for the platform's services and for endpoints.
//!
//! Each stand-in speaks the published protocol of the service that it replaces and
//! has fault switches under `POST /fault`. The product does not depend on this package.

pub mod engine;
pub mod fault;
pub mod instances;
pub mod objects;
pub mod plain;
pub mod server;
pub mod table;
