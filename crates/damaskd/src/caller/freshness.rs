//! Refuses requests to routes that require a key while the settings may be out of date.

use std::time::Duration;

use settings::RouteEntry;

use super::{
    Code,
    Refusal, //
};
use crate::node::Node;

/// Retry delay at an instance whose settings are stale.
const STALE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Checks that the settings are new enough for `route`; open routes need no key.
///
/// # Errors
///
/// If the settings are stale; the message names the other instances.
pub fn check(node: &Node, route: &RouteEntry) -> Result<(), Refusal> {
    if route.route.open || !node.is_stale() {
        return Ok(());
    }
    let members = node.members.all();
    let others: Vec<String> = members
        .iter()
        .filter(|m| m.name != node.config.name && !m.leaving)
        .map(|m| m.caller.to_string())
        .collect();
    let message = format!(
        "this instance is cut off and cannot tell whether keys are still in force; use {}",
        match others.is_empty() {
            true => "another instance".to_owned(),
            false => others.join(" or "),
        }
    );
    Err(Refusal::not_run(Code::Stale, message).retry_after(STALE_RETRY_DELAY))
}
