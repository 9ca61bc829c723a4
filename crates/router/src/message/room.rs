//! What instances tell each other of brittle endpoints.

use serde::{
    Deserialize,
    Serialize, //
};

/// Asks for one request to a brittle endpoint.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RoomRequest {
    /// Correlation id, repeated in the response.
    pub id: u32,
    /// What the sender has in flight there, with the request.
    pub report: RoomReport,
}

/// What an instance has in flight at a brittle endpoint.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RoomReport {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Requests of the sender in flight there.
    pub held: u32,
    /// Number of requests that the endpoint runs at once.
    pub slots: u32,
    /// Rejections in a second that the endpoint can take.
    pub tolerance: f64,
    /// Whether the endpoint has just rejected a request of the sender.
    pub is_rejected: bool,
}

/// A service whose endpoints are brittle.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct BrittleService {
    /// Name of the service.
    pub service: String,
    /// Rejections in a second that each endpoint can take.
    pub tolerance: f64,
    /// Age of the latest statement, in milliseconds.
    pub age_ms: u32,
}
