//! Checks that no request is accepted that is sent with a withdrawn key more than a bound
//! after the withdrawal was acknowledged.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::Entry;

/// An event of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Event {
    /// The withdrawal was acknowledged to the operator.
    Withdrawn,
    /// The sending of a request to an instance began.
    Sent {
        /// Identifier of the request.
        request: u64,
        /// Name of the instance.
        instance: String,
    },
    /// The request ran.
    Accepted {
        /// Identifier of the request.
        request: u64,
    },
    /// The request was refused because the key is withdrawn.
    Refused {
        /// Identifier of the request.
        request: u64,
    },
}

/// A request that ran although its key should have been refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// Identifier of the request.
    pub request: u64,
    /// Instance that ran it.
    pub instance: String,
    /// Time from the withdrawal, or from the first refusal by the instance, until the request
    /// was sent.
    pub delay: Duration,
}

/// Returns the requests that were sent more than `bound` after the withdrawal and ran.
pub fn check(entries: &[Entry<Event>], bound: Duration) -> Vec<Violation> {
    let withdrawn = entries.iter().find(|e| e.event == Event::Withdrawn);
    let Some(withdrawn) = withdrawn.map(|entry| entry.at_us) else {
        return Vec::new();
    };
    let ran = |request: u64| {
        let accepted = Event::Accepted { request };
        entries.iter().any(|entry| entry.event == accepted)
    };
    let violation = |entry: &Entry<Event>| {
        let Event::Sent { request, instance } = &entry.event else {
            return None;
        };
        let delay = Duration::from_micros(entry.at_us.saturating_sub(withdrawn));
        (delay > bound && ran(*request)).then(|| Violation {
            request: *request,
            instance: instance.clone(),
            delay,
        })
    };
    entries.iter().filter_map(violation).collect()
}

/// Returns the requests that ran at an instance that had refused the key before they were sent.
pub fn check_after_refusal(entries: &[Entry<Event>]) -> Vec<Violation> {
    let sent = |id: u64| {
        entries.iter().find_map(|entry| match &entry.event {
            Event::Sent { request, instance } if *request == id => {
                Some((entry.at_us, instance.as_str()))
            }
            _ => None,
        })
    };
    // Time of the first refusal by each instance.
    let mut refused: Vec<(&str, u64)> = Vec::new();
    let mut violations = Vec::new();
    for entry in entries {
        match entry.event {
            Event::Refused { request } => {
                if let Some((_, instance)) = sent(request)
                    && !refused.iter().any(|(name, _)| *name == instance)
                {
                    refused.push((instance, entry.at_us));
                }
            }
            Event::Accepted { request } => {
                let Some((sent_us, instance)) = sent(request) else {
                    continue;
                };
                let refusal = refused.iter().find(|(name, _)| *name == instance);
                if let Some((_, at_us)) = refusal.filter(|(_, at_us)| *at_us < sent_us) {
                    violations.push(Violation {
                        request,
                        instance: instance.to_owned(),
                        delay: Duration::from_micros(sent_us - at_us),
                    });
                }
            }
            Event::Withdrawn | Event::Sent { .. } => {}
        }
    }
    violations
}
