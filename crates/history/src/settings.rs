//! Checks that settings commits are linearizable, are answered truthfully, come into force in
//! time and never revert.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use todc_utils::{
    linearizability::{
        WGLChecker,
        history::{
            Action,
            History, //
        }, //
    },
    specifications::Specification, //
};

use crate::Entry;

/// An event seen by an operator or an observer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Event {
    /// A writer sends changes based on a revision.
    Proposed {
        /// Index of the writer, which has at most one write open at a time.
        writer: usize,
        /// Identifier of the write.
        write_id: String,
        /// Revision that the changes are based on.
        base: u64,
    },
    /// The writer receives the answer to its changes.
    Answered {
        /// Index of the writer.
        writer: usize,
        /// Answer to the write.
        answer: Answer,
    },
    /// An instance reports its revision in force, in reply to an earlier query.
    Observed {
        /// Name of the instance.
        instance: String,
        /// Incarnation of the instance.
        incarnation: u64,
        /// Revision in force.
        revision: u64,
        /// Time of the query, in microseconds of the recorder's clock.
        asked_us: u64,
    },
}

/// Answer to a write.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Answer {
    /// Accepted as this revision.
    Accepted(u64),
    /// Nothing was changed, because the table had a newer revision by `author`.
    Conflict {
        /// Revision in the table.
        revision: u64,
        /// Author of that revision, according to the answer.
        author: String,
    },
    /// Nothing was changed.
    NotApplied,
    /// It is unknown whether the write was applied.
    Unknown,
}

/// An accepted write, as recorded by the table.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Commit {
    /// Revision that the write created.
    pub revision: u64,
    /// Author of the write.
    pub author: String,
    /// Identifier of the write.
    pub write_id: String,
}

/// A write with its final answer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Operation {
    base: u64,
    author: String,
    answer: Answer,
}

/// The head of the tree: its revision and the author of that revision.
struct Head;

impl Specification for Head {
    type State = (u64, String);
    type Operation = Operation;

    fn init() -> Self::State {
        (0, String::new())
    }

    fn apply(operation: &Operation, state: &Self::State) -> (bool, Self::State) {
        let (head, author) = state;
        match &operation.answer {
            Answer::Accepted(revision) => {
                let next = (*revision, operation.author.clone());
                (*head == operation.base && *revision == head + 1, next)
            }
            Answer::Conflict {
                revision,
                author: reported_author,
            } => {
                let is_consistent =
                    revision == head && *revision != operation.base && reported_author == author;
                (is_consistent, state.clone())
            }
            Answer::NotApplied | Answer::Unknown => (true, state.clone()),
        }
    }
}

/// Checks that commits behave as one compare-and-set register, that every
/// answer agrees with `commits`, as recorded by the table, and that none is applied twice.
///
/// `authors` maps the index of a writer to its name in `commits` and in conflicts.
///
/// # Errors
///
/// Returns a description of the first violation.
pub fn check_commits(
    entries: &[Entry<Event>],
    authors: &[String],
    commits: &[Commit],
) -> Result<(), String> {
    for (revision, commit) in (1..).zip(commits) {
        if commit.revision != revision {
            return Err(format!("revision {revision} is missing from the history"));
        }
    }
    let mut by_write: BTreeMap<&str, &Commit> = BTreeMap::new();
    for commit in commits {
        if by_write.insert(&commit.write_id, commit).is_some() {
            return Err(format!("write {} was applied twice", commit.write_id));
        }
    }
    let actions = actions(entries, authors, &by_write)?;
    if actions.is_empty() || WGLChecker::<Head>::is_linearizable(History::from_actions(actions)) {
        return Ok(());
    }
    Err("the commits are not linearizable".to_owned())
}

type Step = (usize, Action<Operation>);

/// The calls and responses of all writes that had an effect or observed one.
///
/// All other writes are valid at any position and would only widen the search.
fn actions(
    entries: &[Entry<Event>],
    authors: &[String],
    commits: &BTreeMap<&str, &Commit>,
) -> Result<Vec<Step>, String> {
    let mut actions: Vec<(usize, Step)> = Vec::new();
    let mut open: BTreeMap<usize, (usize, &str, u64)> = BTreeMap::new();
    for (position, entry) in entries.iter().enumerate() {
        match &entry.event {
            Event::Proposed {
                writer,
                write_id,
                base,
            } => {
                open.insert(*writer, (position, write_id, *base));
            }
            Event::Answered { writer, answer } => {
                let Some((called, write_id, base)) = open.remove(writer) else {
                    return Err(format!("writer {writer} has no open write"));
                };
                let found = commits.get(write_id).map(|commit| commit.revision);
                let resolved = resolve(write_id, answer, found)?;
                if resolved == Answer::NotApplied {
                    continue;
                }
                // A write with an unknown outcome may have taken effect at any later time.
                let ended = match answer {
                    Answer::Unknown => entries.len() + called,
                    _ => position,
                };
                let operation = operation(base, &authors[*writer], resolved);
                // Each write is a process of its own, since it may overlap the next one of its
                // writer.
                actions.push((called, (called, Action::Call(operation.clone()))));
                actions.push((ended, (called, Action::Response(operation))));
            }
            Event::Observed { .. } => {}
        }
    }
    if let Some((_, write_id, _)) = open.values().next() {
        return Err(format!("write {write_id} got no answer"));
    }
    actions.sort_by_key(|(position, _)| *position);
    Ok(actions.into_iter().map(|(_, step)| step).collect())
}

fn operation(base: u64, author: &str, answer: Answer) -> Operation {
    Operation {
        base,
        author: author.to_owned(),
        answer,
    }
}

/// Checks an answer against the revision `found` in the table, and returns the real answer.
fn resolve(write_id: &str, answer: &Answer, found: Option<u64>) -> Result<Answer, String> {
    match (answer, found) {
        (Answer::Accepted(revision), Some(found)) if *revision == found => Ok(answer.clone()),
        (Answer::Accepted(revision), found) => Err(format!(
            "write {write_id} was answered as revision {revision}, the table has {found:?}"
        )),
        (Answer::Unknown, Some(found)) => Ok(Answer::Accepted(found)),
        (Answer::Unknown, None) => Ok(Answer::NotApplied),
        (_, Some(found)) => Err(format!(
            "write {write_id} was answered with {answer:?}, yet made revision {found}"
        )),
        (_, None) => Ok(answer.clone()),
    }
}

/// Checks that the revision of an instance never falls within one incarnation.
///
/// # Errors
///
/// Returns the instance and the revisions.
pub fn check_monotone(entries: &[Entry<Event>]) -> Result<(), String> {
    check_non_decreasing(entries, |instance, incarnation| {
        (instance.to_owned(), incarnation)
    })
}

/// Checks that the revision of an instance never falls, not even across restarts.
///
/// # Errors
///
/// Returns the instance and the revisions.
pub fn check_monotone_across_restarts(entries: &[Entry<Event>]) -> Result<(), String> {
    check_non_decreasing(entries, |instance, _| (instance.to_owned(), 0))
}

fn check_non_decreasing(
    entries: &[Entry<Event>],
    key: impl Fn(&str, u64) -> (String, u64),
) -> Result<(), String> {
    let mut highest: BTreeMap<(String, u64), u64> = BTreeMap::new();
    for entry in entries {
        let Event::Observed {
            instance,
            incarnation,
            revision,
            ..
        } = &entry.event
        else {
            continue;
        };
        let highest = highest.entry(key(instance, *incarnation)).or_default();
        if revision < highest {
            return Err(format!(
                "revision of {instance} fell from {highest} to {revision}"
            ));
        }
        *highest = *revision;
    }
    Ok(())
}

/// Checks that no instance has an older revision in force more than `bound_us` after a newer one
/// was accepted.
///
/// # Errors
///
/// Returns the instance and the revisions.
pub fn check_in_force(entries: &[Entry<Event>], bound_us: u64) -> Result<(), String> {
    let accepted: Vec<(u64, u64)> = entries
        .iter()
        .filter_map(|entry| match entry.event {
            Event::Answered {
                answer: Answer::Accepted(revision),
                ..
            } => Some((entry.at_us, revision)),
            _ => None,
        })
        .collect();
    for entry in entries {
        let Event::Observed {
            instance,
            revision,
            asked_us,
            ..
        } = &entry.event
        else {
            continue;
        };
        let required = accepted
            .iter()
            .filter(|(at_us, _)| at_us + bound_us < *asked_us)
            .map(|(_, revision)| *revision)
            .max();
        if required.is_some_and(|required| *revision < required) {
            return Err(format!(
                "{instance} has revision {revision}, but {required:?} was accepted over {bound_us} us before"
            ));
        }
    }
    Ok(())
}
