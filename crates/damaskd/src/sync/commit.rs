//! Commits of settings: compare-and-set on the head row, with one record for each write.
//!
//! The transaction is conditional on the table revisions of two rows: the head, so that one of
//! several concurrent writers wins, and the record of the write, so that a write is applied once
//! however often it is sent. When the answer of the transaction is lost, the record shows its
//! outcome. If there is no record yet, a cancelling record is written. The transaction, which
//! may still be in transit, then fails, so it is certain that nothing was changed.

use std::time::{
    Duration,
    Instant,
    SystemTime, //
};

use platform::{
    http::Fault,
    table::{
        Outcome,
        Revision,
        Table,
        Txn, //
    }, //
};
use settings::{
    Problem,
    Tree,
    check,
    check_transition, //
};
use thiserror::Error;

use super::store::{
    self,
    Change,
    Commit,
    LiveTree,
    Record, //
};

/// Timeout for resolving the outcome of a write whose answer was lost.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between attempts to resolve the outcome.
const RESOLVE_INTERVAL: Duration = Duration::from_millis(50);
/// Attempts, each on the newest revision, when the proposal has no base revision.
const MAX_ATTEMPTS: u32 = 8;

/// Changes to be committed, all or none.
#[derive(Clone, Debug)]
pub struct Proposal<'a> {
    /// Revision that the changes are based on; `None` for the newest.
    pub base: Option<u64>,
    /// Name of the operator.
    pub author: &'a str,
    /// Chosen by the writer; a repeat with the same id is applied once.
    pub write_id: &'a str,
    /// The changes.
    pub changes: &'a [Change],
    /// Highest revision that this instance knows to be accepted.
    pub known_revision: u64,
    /// Whether the writer has sent this write before without getting an answer.
    pub repeat: bool,
}

impl<'a> Proposal<'a> {
    /// Creates a proposal on the newest revision, sent for the first time.
    pub fn new(author: &'a str, write_id: &'a str, changes: &'a [Change]) -> Self {
        Self {
            base: None,
            author,
            write_id,
            changes,
            known_revision: 0,
            repeat: false,
        }
    }

    /// The error for a fault of the table before this attempt has sent its transaction.
    fn error_before_send(&self, fault: Fault) -> Error {
        if self.repeat {
            // An earlier attempt may have been applied.
            Error::Unknown(fault)
        } else {
            Error::NotApplied(fault)
        }
    }
}

/// Why changes were not accepted.
#[derive(Debug)]
#[derive(Error)]
pub enum Error {
    /// The resulting tree does not pass the checks.
    #[error("the changes do not pass the checks")]
    Refused(Vec<Problem>),
    /// The writer may not make these changes.
    #[error("{0}")]
    Forbidden(String),
    /// Another operator committed first.
    #[error("revision {base} is out of date: {author} made revision {revision}")]
    Conflict {
        /// Revision that the changes were based on.
        base: u64,
        /// Revision in the table.
        revision: u64,
        /// Operator who committed it.
        author: String,
    },
    /// The write id was used for other changes; holds the revision that they made.
    #[error("write id was used for other changes, which made revision {0}; choose a new one")]
    Reused(u64),
    /// The table has lost accepted revisions.
    #[error(
        "the table holds revision {table_revision}, older than revision {known_revision} in force \
         here; restore the table from its newest copy"
    )]
    Behind {
        /// Revision in the table.
        table_revision: u64,
        /// Revision in force at this instance.
        known_revision: u64,
    },
    /// The changes were not applied and cannot be applied later.
    #[error("nothing was changed: {0}")]
    NotApplied(Fault),
    /// The answers of the table were lost; the changes may have been applied.
    #[error("the changes may have been applied; ask again with the same write id: {0}")]
    Unknown(Fault),
}

/// Result of one attempt without an error.
enum Attempt {
    Accepted(Tree),
    /// Another writer committed first, or an earlier transaction of this write was applied.
    Conflict {
        base: u64,
    },
}

/// Checks and commits changes on top of a revision.
///
/// `allow` gets the newest tree and the resulting tree, and returns an error with the reason if
/// the writer may not make the changes. Returns the revision that the write made, and a tree of
/// that revision; after a repeat of an accepted write, the newest tree.
///
/// # Errors
///
/// See [`Error`]; all but [`Error::Unknown`] mean that nothing was changed.
pub async fn commit<T: Table>(
    table: &T,
    proposal: &Proposal<'_>,
    allow: impl Fn(&Tree, &Tree) -> Result<(), String>,
) -> Result<(u64, Tree), Error> {
    let to_error = |fault| proposal.error_before_send(fault);
    let mut attempts = 0;
    loop {
        // Read after the tree, so that a write contained in the tree has its record by then.
        let live = store::read_tree(table).await.map_err(to_error)?;
        let (record, record_revision) = store::read_record(table, proposal.write_id)
            .await
            .map_err(to_error)?;
        if let Some(revision) = accepted_revision(proposal, record.as_ref())? {
            return answer_repeat(table, revision).await;
        }
        check_base(table, proposal, &live.tree).await?;
        let next = store::apply(&live.tree, proposal.changes);
        allow(&live.tree, &next).map_err(Error::Forbidden)?;
        check(&next).map_err(Error::Refused)?;
        let problems = check_transition(&live.tree, &next);
        if !problems.is_empty() {
            return Err(Error::Refused(problems));
        }
        attempts += 1;
        match attempt(table, proposal, &live, next, record_revision).await? {
            Attempt::Accepted(tree) => return Ok((tree.revision, tree)),
            Attempt::Conflict { base } => {
                if proposal.base.is_some() || attempts == MAX_ATTEMPTS {
                    return answer_conflict(table, proposal, base).await;
                }
            }
        }
    }
}

/// The revision that the write made, if it was accepted already.
fn accepted_revision(
    proposal: &Proposal<'_>,
    record: Option<&Record>,
) -> Result<Option<u64>, Error> {
    match record {
        Some(Record::Accepted { revision, changes }) if *changes == digest(proposal.changes) => {
            Ok(Some(*revision))
        }
        Some(Record::Accepted { revision, .. }) => Err(Error::Reused(*revision)),
        Some(Record::Cancelled) | None => Ok(None),
    }
}

async fn check_base<T: Table>(
    table: &T,
    proposal: &Proposal<'_>,
    tree: &Tree,
) -> Result<(), Error> {
    if tree.revision < proposal.known_revision {
        return Err(Error::Behind {
            table_revision: tree.revision,
            known_revision: proposal.known_revision,
        });
    }
    match proposal.base {
        Some(base) if base != tree.revision => {
            Err(conflict_error(table, proposal, base, tree.revision).await)
        }
        _ => Ok(()),
    }
}

async fn attempt<T: Table>(
    table: &T,
    proposal: &Proposal<'_>,
    live: &LiveTree,
    next: Tree,
    record_revision: Revision,
) -> Result<Attempt, Error> {
    let commit = Commit {
        revision: next.revision,
        author: proposal.author.to_owned(),
        at_ms: unix_time_ms(),
        write_id: proposal.write_id.to_owned(),
        changes: proposal.changes.to_vec(),
    };
    let record = Record::Accepted {
        revision: commit.revision,
        changes: digest(proposal.changes),
    };
    let txn = store::transaction(&commit, &record, live.head_revision, record_revision);
    match table.transact(txn).await {
        Ok(Outcome::Applied(_)) => Ok(Attempt::Accepted(next)),
        Ok(Outcome::Conflict(_)) => Ok(Attempt::Conflict {
            base: live.tree.revision,
        }),
        Err(fault) if fault.may_have_applied() => {
            let cancellation = store::cancellation(proposal.write_id, record_revision);
            let found = resolve(table, &cancellation, fault).await?;
            if found == record {
                return Ok(Attempt::Accepted(next));
            }
            // A repeat of this write through another instance was applied first.
            Ok(Attempt::Conflict {
                base: live.tree.revision,
            })
        }
        Err(fault) => Err(Error::NotApplied(fault)),
    }
}

/// Finds the record of a transaction whose answer was lost, or cancels the transaction.
async fn resolve<T: Table>(table: &T, cancellation: &Txn, fault: Fault) -> Result<Record, Error> {
    let started = Instant::now();
    while started.elapsed() < RESOLVE_TIMEOUT {
        match table.transact(cancellation.clone()).await {
            Ok(Outcome::Applied(_)) => return Err(Error::NotApplied(fault)),
            Ok(Outcome::Conflict(rows)) => match rows.first().and_then(store::parse_record) {
                Some(record @ Record::Accepted { .. }) => return Ok(record),
                // An earlier cancellation whose own answer was lost.
                Some(Record::Cancelled) | None => return Err(Error::NotApplied(fault)),
            },
            Err(_) => tokio::time::sleep(RESOLVE_INTERVAL).await,
        }
    }
    Err(Error::Unknown(fault))
}

/// The answer to a write whose transaction failed because a row had changed.
async fn answer_conflict<T: Table>(
    table: &T,
    proposal: &Proposal<'_>,
    base: u64,
) -> Result<(u64, Tree), Error> {
    let (record, _) = store::read_record(table, proposal.write_id)
        .await
        .map_err(Error::Unknown)?;
    match accepted_revision(proposal, record.as_ref())? {
        Some(revision) => answer_repeat(table, revision).await,
        None => Err(conflict_error(table, proposal, base, base + 1).await),
    }
}

/// The answer to a write that was accepted before: its revision and the newest tree.
async fn answer_repeat<T: Table>(table: &T, revision: u64) -> Result<(u64, Tree), Error> {
    let live = store::read_tree(table).await.map_err(Error::Unknown)?;
    Ok((revision, live.tree))
}

/// The error that names the author of the conflicting `revision`.
async fn conflict_error<T: Table>(
    table: &T,
    proposal: &Proposal<'_>,
    base: u64,
    revision: u64,
) -> Error {
    match store::read_commit(table, revision).await {
        Ok(found) => Error::Conflict {
            base,
            revision,
            author: found.map(|commit| commit.author).unwrap_or_default(),
        },
        Err(fault) => proposal.error_before_send(fault),
    }
}

/// BLAKE3 of the changes as JSON, in hexadecimal.
fn digest(changes: &[Change]) -> String {
    let json = serde_json::to_vec(changes).unwrap_or_default();
    blake3::hash(&json).to_hex().to_string()
}

fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since_epoch| {
            u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
        })
}
