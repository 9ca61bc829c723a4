//! Requests that read and change settings.

use http::{
    Request,
    Response,
    StatusCode, //
};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::{
    Value,
    json, //
};
use settings::Tree;
use state::clock;

use super::{
    Refusal,
    identity::{
        self,
        Operator, //
    },
    read_json, //
};
use crate::{
    http::{
        Body,
        json as answer_json, //
    },
    node::Node,
    peer::Replication,
    sync::{
        self,
        commit::{
            self,
            Error,
            Proposal, //
        },
        store::{
            self,
            Change,
            Commit, //
        }, //
    }, //
};

/// Maximum number of changes in one write; the table also bounds the size of a transaction.
const MAX_CHANGES: usize = 20_000;
/// Maximum length of a write id, in bytes.
const MAX_WRITE_ID_BYTES: usize = 64;
/// Number of commits in an answer if the request does not give one.
const DEFAULT_COMMITS: usize = 20;
/// Maximum number of commits in an answer.
const MAX_COMMITS: usize = 1000;

/// Body of a request that changes settings.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Post {
    /// Revision that the changes are based on; `None` for the newest.
    #[serde(default)]
    base_revision: Option<u64>,
    /// Chosen by the client, so that it can repeat the request after a lost answer.
    write_id: String,
    changes: Vec<Change>,
    /// Whether to check the changes only.
    #[serde(default)]
    dry_run: bool,
    /// Whether the client has sent this write before without getting an answer.
    #[serde(default)]
    repeat: bool,
}

/// Answers with the rows of the tree in force that the operator may read.
///
/// # Errors
///
/// If the operator is not known.
pub fn get(node: &Node, request: &Request<Incoming>) -> Result<Response<Body>, Refusal> {
    let operator = identity::identify(node, request.headers())?;
    let settings = node.settings.load();
    let rows = settings.tree.rows();
    let readable = rows.filter(|row| operator.may_read(&row.path)).cloned();
    let tree = Tree::new(settings.tree.revision, readable);
    Ok(answer_json(StatusCode::OK, &tree))
}

/// Answers with the newest commits, at most `most`, up to revision `last`; both are optional
/// query parameters. Of each commit, only the changes that the operator may read are included.
///
/// # Errors
///
/// If the operator is not known, a parameter is not a number, or the table does not answer.
pub async fn history(node: &Node, request: &Request<Incoming>) -> Result<Response<Body>, Refusal> {
    let operator = identity::identify(node, request.headers())?;
    let to_refusal = |fault| refusal(Error::NotApplied(fault));
    let newest = store::read_revision(&node.table)
        .await
        .map_err(to_refusal)?;
    let last = query_number(request, "last")?.unwrap_or(newest).min(newest);
    let limit = query_number(request, "most")?.map_or(DEFAULT_COMMITS, |limit| {
        usize::try_from(limit).map_or(MAX_COMMITS, |limit| limit.min(MAX_COMMITS))
    });
    let commits = store::read_commits(&node.table, last, limit)
        .await
        .map_err(to_refusal)?;
    let commits: Vec<Value> = commits
        .iter()
        .map(|commit| visible_commit(&operator, commit))
        .collect();
    Ok(answer_json(StatusCode::OK, &json!({"commits": commits})))
}

/// The commit as JSON, with the changes that the operator may read.
fn visible_commit(operator: &Operator, commit: &Commit) -> Value {
    let changes: Vec<&Change> = commit
        .changes
        .iter()
        .filter(|change| operator.may_read(&change.path))
        .collect();
    json!({
        "revision": commit.revision,
        "author": commit.author,
        "at_ms": commit.at_ms,
        "write_id": commit.write_id,
        "changes": changes,
    })
}

/// The value of the query parameter `name`; `None` if it is missing.
fn query_number(request: &Request<Incoming>, name: &str) -> Result<Option<u64>, Refusal> {
    let query = request.uri().query().unwrap_or_default();
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, text)) = pairs.find(|(key, _)| *key == name) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(bad_request(format!("{name}={text:?} is no number"))),
    }
}

/// Commits all of the changes or none.
///
/// # Errors
///
/// If the operator may not make the changes, they do not pass the checks, another operator
/// committed first, or the table did not apply them or its answer was lost.
pub async fn post(node: &Node, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
    let operator = identity::identify(node, request.headers())?;
    let post: Post = read_json(node, request).await?;
    check_post(&post)?;
    let settings = node.settings.load();
    operator
        .authorize(&settings.tree, &post.changes)
        .map_err(|message| refusal(Error::Forbidden(message)))?;
    if post.dry_run {
        return dry_run(&settings.tree, &post);
    }
    // The commit reads the table's revision after this time, so the view is current as of it.
    let requested_at = clock::now();
    let proposal = Proposal {
        base: post.base_revision,
        author: operator.name(),
        write_id: &post.write_id,
        changes: &post.changes,
        known_revision: settings.tree.revision,
        repeat: post.repeat,
    };
    let allow = |tree: &Tree, _: &Tree| operator.authorize(tree, &post.changes);
    let (revision, tree) = commit::commit(&node.table, &proposal, allow)
        .await
        .map_err(refusal)?;
    sync::adopt(node, tree);
    if node.settings.load().tree.revision >= revision {
        node.freshness.confirm(requested_at);
    }
    Ok(accepted(revision, node.peers.replicate().await))
}

/// The answer to an accepted write: 200 if a majority of members holds the revision, else 202.
///
/// Only a majority ensures that the change stays in force, so it is not confirmed before.
fn accepted(revision: u64, replication: Replication) -> Response<Body> {
    let status = match replication.is_majority() {
        true => StatusCode::OK,
        false => StatusCode::ACCEPTED,
    };
    let body = json!({
        "revision": revision,
        "confirmed": replication.is_majority(),
        "holders": replication.holders,
        "members": replication.members,
    });
    answer_json(status, &body)
}

fn check_post(post: &Post) -> Result<(), Refusal> {
    let id = post.write_id.as_bytes();
    let is_allowed = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if id.is_empty() || id.len() > MAX_WRITE_ID_BYTES || !id.iter().all(is_allowed) {
        return Err(bad_request(format!(
            "write_id must be 1 to {MAX_WRITE_ID_BYTES} of a-z A-Z 0-9 - _ ."
        )));
    }
    if post.changes.is_empty() || post.changes.len() > MAX_CHANGES {
        return Err(bad_request(format!(
            "changes must be 1 to {MAX_CHANGES} in number"
        )));
    }
    let mut paths: Vec<_> = post.changes.iter().map(|change| &change.path).collect();
    paths.sort();
    match paths.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(bad_request(format!("changes name {} twice", pair[0]))),
        None => Ok(()),
    }
}

/// Checks the changes against the tree in force without committing them.
fn dry_run(tree: &Tree, post: &Post) -> Result<Response<Body>, Refusal> {
    let next = store::apply(tree, &post.changes);
    let mut problems = settings::check(&next).err().unwrap_or_default();
    problems.extend(settings::check_transition(tree, &next));
    if !problems.is_empty() {
        return Err(refusal(Error::Refused(problems)));
    }
    let body = json!({"dry_run": true, "revision": tree.revision});
    Ok(answer_json(StatusCode::OK, &body))
}

fn bad_request(message: String) -> Refusal {
    Refusal::new(StatusCode::BAD_REQUEST, "bad_request", message)
}

/// The refusal for an error of a commit; docs/OPERATIONS.md lists the codes.
pub fn refusal(error: Error) -> Refusal {
    let message = error.to_string();
    let (status, code) = match &error {
        Error::Refused(_) => (StatusCode::UNPROCESSABLE_ENTITY, "refused"),
        Error::Forbidden(_) => (StatusCode::FORBIDDEN, "forbidden"),
        Error::Conflict { .. } => (StatusCode::CONFLICT, "conflict"),
        Error::Reused(_) => (StatusCode::CONFLICT, "write_id_reused"),
        Error::Behind { .. } => (StatusCode::CONFLICT, "table_behind"),
        Error::NotApplied(_) => (StatusCode::SERVICE_UNAVAILABLE, "not_applied"),
        Error::Unknown(_) => (StatusCode::GATEWAY_TIMEOUT, "unknown"),
    };
    let mut refusal = Refusal::new(status, code, message);
    let details = &mut refusal.body["error"];
    match error {
        Error::Refused(problems) => details["problems"] = json!(problems),
        Error::Conflict {
            base,
            revision,
            author,
        } => {
            details["base_revision"] = json!(base);
            details["revision"] = json!(revision);
            details["author"] = json!(author);
        }
        _ => {}
    }
    refusal
}
