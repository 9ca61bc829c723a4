//! How a rollout begins, after what the rollout before it has left.

use std::sync::Arc;

use policy::exposure::Stage;

use super::row::Row;

/// What a new order begins with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Begin {
    pub(super) stage: Stage,
    /// Versions that the ordered one replaces.
    pub(super) base: Vec<Arc<str>>,
    /// Versions of earlier orders that must not be used any more.
    pub(super) denied: Vec<Arc<str>>,
}

impl Begin {
    /// What an order to `to` begins with, after the rollout of the `previous` row; `registered` are the
    /// versions of the service's endpoints.
    ///
    /// A version that an unfinished or rolled back rollout should have replaced is known to serve, and
    /// needs no trial, as does the only one that there is.
    pub(super) fn new(previous: Option<&Row>, to: &str, registered: &[Arc<str>]) -> Self {
        let mut denied = previous.map_or_else(Vec::new, |row| left_out(row, registered));
        denied.retain(|build| **build != *to);
        denied.sort();
        denied.dedup();
        let is_replaced = |build: &&Arc<str>| ***build != *to && !denied.contains(build);
        let base: Vec<_> = registered.iter().filter(is_replaced).cloned().collect();
        let is_proven = previous.is_some_and(|row| !row.is_closed && row.is_base(to));
        Self {
            stage: if is_proven || base.is_empty() {
                Stage::Done
            } else {
                Stage::Sample
            },
            base,
            denied,
        }
    }
}

/// Versions that are out of use after the rollout of a row.
fn left_out(row: &Row, registered: &[Arc<str>]) -> Vec<Arc<str>> {
    let mut denied = row.denied.clone();
    match row.stage {
        // Without an order, operators may have gone back to a replaced version in the meantime.
        Stage::Done if row.is_closed && registered.contains(&row.to) => {
            denied.extend(row.base.iter().cloned());
        }
        // Both versions serve; the new one decides which of them go on.
        Stage::Done => {}
        Stage::Sample | Stage::Shift { .. } | Stage::RolledBack => denied.push(row.to.clone()),
    }
    denied
}
