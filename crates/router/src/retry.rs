//! Retry budgets of services.

use std::sync::Arc;

use policy::retry_share::{
    Allowance,
    Budget, //
};
use state::sorted;

use crate::{
    node::Node,
    protocol::Protocol, //
};

impl<P: Protocol> Node<P> {
    /// Credits the retry budget of a service for the first attempt of a request.
    pub fn record_first_attempt(&self, service: &Arc<str>) {
        let allowance = self.allowance();
        self.with_budget(service, |budget| budget.earn(allowance));
    }

    /// Whether the retry budget of a service has a retry left.
    pub fn has_retry_left(&self, service: &Arc<str>) -> bool {
        let allowance = self.allowance();
        let instances = self.instance_count();
        self.with_budget(service, |budget| budget.has_left(allowance, instances))
    }

    /// Charges one retry to the retry budget of a service; returns `false` if none is left.
    pub fn try_charge_retry(&self, service: &Arc<str>) -> bool {
        let allowance = self.allowance();
        let instances = self.instance_count();
        self.with_budget(service, |budget| budget.spend(allowance, instances))
    }

    /// Charges one retry to the retry budget of a service, also if none is left.
    pub fn overcharge_retry(&self, service: &Arc<str>) {
        self.with_budget(service, Budget::overspend);
    }

    fn allowance(&self) -> Allowance {
        Allowance {
            ratio: self.config.bounds.retry_ratio,
            slack: self.config.bounds.retry_slack,
        }
    }

    fn with_budget<T>(&self, service: &Arc<str>, change: impl FnOnce(&mut Budget) -> T) -> T {
        change(sorted::entry(&mut self.retry_budgets.lock(), service))
    }
}
