//! Datagrams about rollouts of services' versions.

use platform::table::Revision;
use policy::exposure::{
    Evidence,
    Stage, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// What one instance has seen of a rollout since the order.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RolloutReport {
    /// Name of the service.
    pub service: String,
    /// Version that the order names.
    pub to: String,
    /// Revision of the order that was acted on; a version may be ordered again after another one.
    pub order: Option<Revision>,
    /// Hash of the instance's name.
    pub instance: u32,
    /// The instance's incarnation; its counts begin anew with each.
    pub incarnation: u64,
    /// Counts of some routes since the order.
    pub evidence: Evidence,
    /// Stage that the instance knows of.
    pub stage: Option<Stage>,
    /// Whether it knows that streams do not go on at the replaced versions.
    pub is_closed: bool,
    /// Number of its requests in progress at endpoints of the replaced versions.
    pub in_flight: u32,
    /// Whether it sends nothing to the ordered version any more, since this is bad.
    pub is_bad: bool,
}

/// Word from the instance that controls a rollout.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RolloutNotice {
    /// Name of the service.
    pub service: String,
    /// Version that the order names.
    pub to: String,
    /// Revision of the order that was acted on.
    pub order: Option<Revision>,
    /// Fencing number of the sender's lease.
    pub number: u64,
    /// Whether the ordered version is bad and gets no more requests.
    pub is_bad: bool,
}
