//! Gauges of the state of an instance.

use std::time::Duration;

use crate::{
    node::Node,
    protocol::Protocol, //
};

impl<P: Protocol> Node<P> {
    /// Updates the gauges from the current state.
    pub fn record_states(&self) {
        let metrics = &self.metrics;
        let version = self.catalog.load().as_ref().map_or(0, |c| c.version);
        metrics.set_state("catalog_version", "", version);
        for rollout in self.rollouts.load().iter() {
            metrics.set_state("weights_wanted", &rollout.model, rollout.version);
        }
        for (service, stage, per_mille) in self.exposure.stages() {
            metrics.set_state("rollout_stage", &service, stage);
            metrics.set_state("rollout_share_per_mille", &service, per_mille);
        }
        metrics.set_state("quarantined_segments", "", self.quarantine.len() as u64);
        metrics.set_state("body_bytes", "", self.ingress.bodies.held() as u64);
        let lease = self.lease.check(Duration::ZERO);
        metrics.set_state("lease_number", "", lease.map_or(0, |grant| grant.number));
        metrics.set_state("hub", "", u64::from(self.hub_rank().is_some()));
        metrics.set_state("instances", "", self.instance_count() as u64);
        let fleet = self.endpoints.fleet();
        let now = self.beliefs.now();
        let mut counts: Vec<(&str, [u64; 4])> = Vec::new();
        for endpoint in fleet.all() {
            let service = &*endpoint.registration.service;
            if counts.last().is_none_or(|(last, _)| *last != service) {
                counts.push((service, [0; 4]));
            }
            let health = self.health.find(&endpoint.registration.name);
            let is_usable = health.is_none_or(|health| {
                let view = health.view("", now);
                view.usable && view.reachable
            });
            let state = match () {
                () if endpoint.registration.leaving => 0,
                () if endpoint.is_loading() => 1,
                () if !is_usable => 2,
                () => 3,
            };
            if let Some((_, counts)) = counts.last_mut() {
                counts[state] += 1;
            }
        }
        let names = [
            "endpoints_leaving",
            "endpoints_loading",
            "endpoints_shunned",
            "endpoints_ready",
        ];
        for (service, counts) in counts {
            for (name, count) in names.iter().zip(counts) {
                metrics.set_state(name, service, count);
            }
        }
    }
}
