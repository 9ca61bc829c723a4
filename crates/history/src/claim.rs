//! Checks that charges run at most once, and that refusals with the verdict `not_run` are true.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::Entry;

/// An event of a charge, as seen by a caller or a service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Event {
    /// A caller received an answer to a request for the charge.
    Answered {
        /// Identifier of the charge.
        charge: String,
        /// Body of the answer of the service.
        body: String,
    },
    /// A request of a caller was refused; the verdict covers only that request.
    Refused {
        /// Identifier of the charge.
        charge: String,
        /// `not_run`, `may_have_run` or `ran`.
        verdict: String,
    },
    /// A service ran the charge.
    Ran {
        /// Identifier of the charge.
        charge: String,
    },
}

/// Checks a complete history; `Ran` events may be at any position in it.
///
/// # Errors
///
/// Returns a description of the first violation.
pub fn check(entries: &[Entry<Event>]) -> Result<(), String> {
    let mut charges: Vec<&str> = entries.iter().map(|entry| charge(&entry.event)).collect();
    charges.sort_unstable();
    charges.dedup();
    charges.into_iter().try_for_each(|id| {
        let events = entries.iter().map(|entry| &entry.event);
        check_charge(id, events.filter(|event| charge(event) == id))
    })
}

fn charge(event: &Event) -> &str {
    match event {
        Event::Answered { charge, .. } | Event::Refused { charge, .. } | Event::Ran { charge } => {
            charge
        }
    }
}

fn check_charge<'a>(id: &str, events: impl Iterator<Item = &'a Event>) -> Result<(), String> {
    let mut runs = 0;
    let mut answers: Vec<&str> = Vec::new();
    let mut all_not_run = true;
    for event in events {
        match event {
            Event::Ran { .. } => runs += 1,
            Event::Answered { body, .. } => answers.push(body),
            Event::Refused { verdict, .. } => all_not_run &= verdict == "not_run",
        }
    }
    answers.dedup();
    if runs > 1 {
        return Err(format!("charge {id} ran {runs} times"));
    }
    if answers.len() > 1 {
        return Err(format!("charge {id} has different answers: {answers:?}"));
    }
    if !answers.is_empty() && runs == 0 {
        return Err(format!("charge {id} was answered but never ran"));
    }
    if answers.is_empty() && all_not_run && runs > 0 {
        return Err(format!(
            "charge {id} ran, but every refusal has the verdict not_run"
        ));
    }
    Ok(())
}
