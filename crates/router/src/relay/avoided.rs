//! Instances that are asked for relayed connections only if no others are left.

use std::{
    sync::Arc,
    time::Duration, //
};

use parking_lot::Mutex;
use state::clock;

/// An instance that is avoided for some time.
#[derive(Debug)]
struct Entry {
    /// Hash of the instance's name.
    instance: u32,
    /// The only service for which it is avoided; `None` if it is for all.
    service: Option<Arc<str>>,
    until: Duration,
}

/// Instances that are asked only if no others are left.
#[derive(Debug, Default)]
pub struct Avoided(Mutex<Vec<Entry>>);

impl Avoided {
    /// Avoids the instance whose name has this hash.
    pub(super) fn add(&self, instance: u32, service: Option<&Arc<str>>, time: Duration) {
        let now = clock::now();
        let mut entries = self.0.lock();
        entries.retain(|entry| {
            entry.until > now && (entry.instance != instance || entry.service.as_ref() != service)
        });
        entries.push(Entry {
            instance,
            service: service.cloned(),
            until: now + time,
        });
    }

    /// Whether an instance is avoided for a service.
    pub(super) fn contains(&self, instance: u32, service: &str) -> bool {
        let now = clock::now();
        let entries = self.0.lock();
        entries.iter().any(|entry| {
            let is_for = entry
                .service
                .as_deref()
                .is_none_or(|known| known == service);
            entry.instance == instance && is_for && entry.until > now
        })
    }
}
