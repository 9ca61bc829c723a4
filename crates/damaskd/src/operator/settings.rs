//! Reads and changes settings.

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

/// Most changes of one write; the table bounds the size of a transaction besides.
const MAX_CHANGES: usize = 20_000;
/// Longest write id, in bytes.
const MAX_WRITE_ID_BYTES: usize = 64;
/// Commits shown when the request does not say how many.
const DEFAULT_COMMITS: usize = 20;
/// Most commits shown.
const MAX_COMMITS: usize = 1000;

/// Body of a change.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Post {
    /// Revision that the changes are based on; without one, the newest.
    #[serde(default)]
    base_revision: Option<u64>,
    /// Chosen by the client, so that it can ask again after a lost answer.
    write_id: String,
    changes: Vec<Change>,
    /// Check only.
    #[serde(default)]
    dry_run: bool,
    /// The client has sent this write before and got no answer.
    #[serde(default)]
    repeat: bool,
}

/// Answers with the rows of the tree in force here that the operator may read.
///
/// # Errors
///
/// If the operator is not known.
pub fn get(node: &Node, request: &Request<Incoming>) -> Result<Response<Body>, Refusal> {
    let operator = identity::identify(node, request.headers())?;
    let version = node.settings.load();
    let rows = version.tree.rows();
    let readable = rows.filter(|row| operator.may_read(&row.path)).cloned();
    let tree = Tree::new(version.tree.revision, readable);
    Ok(answer_json(StatusCode::OK, &tree))
}

/// Answers with the newest commits, `?last=REVISION&most=COUNT`; of each, the
/// changes that the operator may read.
///
/// # Errors
///
/// If the operator is not known or the table gives no answer.
pub async fn history(node: &Node, request: &Request<Incoming>) -> Result<Response<Body>, Refusal> {
    let operator = identity::identify(node, request.headers())?;
    let unread = |fault| refusal(Error::NotApplied(fault));
    let newest = store::revision(&node.table).await.map_err(unread)?;
    let last = number(request, "last")?.unwrap_or(newest).min(newest);
    let most = number(request, "most")?.map_or(DEFAULT_COMMITS, |most| {
        usize::try_from(most).map_or(MAX_COMMITS, |most| most.min(MAX_COMMITS))
    });
    let commits = store::recent(&node.table, last, most)
        .await
        .map_err(unread)?;
    let commits: Vec<Value> = commits.iter().map(|c| shown(&operator, c)).collect();
    Ok(answer_json(StatusCode::OK, &json!({"commits": commits})))
}

fn shown(operator: &Operator, commit: &Commit) -> Value {
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

fn number(request: &Request<Incoming>, name: &str) -> Result<Option<u64>, Refusal> {
    let query = request.uri().query().unwrap_or_default();
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, text)) = pairs.find(|(key, _)| *key == name) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(bad(format!("{name}={text:?} is no number"))),
    }
}

/// Changes settings: all of the changes or none.
///
/// # Errors
///
/// If the operator may not make them, they do not pass the checks, another
/// operator was first, or the table did not take them.
pub async fn post(node: &Node, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
    let operator = identity::identify(node, request.headers())?;
    let post: Post = read_json(node, request).await?;
    check_shape(&post)?;
    let version = node.settings.load();
    operator
        .authorize(&version.tree, &post.changes)
        .map_err(|message| refusal(Error::Forbidden(message)))?;
    if post.dry_run {
        return dry_run(&version.tree, &post);
    }
    // The commit reads the table's revision, so the view is as new as this.
    let asked = clock::now();
    let proposal = Proposal {
        base: post.base_revision,
        author: operator.name(),
        write_id: &post.write_id,
        changes: &post.changes,
        known: version.tree.revision,
        repeat: post.repeat,
    };
    let allow = |tree: &Tree, _: &Tree| operator.authorize(tree, &post.changes);
    let (revision, tree) = commit::commit(&node.table, &proposal, allow)
        .await
        .map_err(refusal)?;
    sync::adopt(node, tree);
    if node.settings.load().tree.revision >= revision {
        node.freshness.confirm(asked);
    }
    Ok(accepted(revision, node.peers.replicate().await))
}

/// A change is in force for good once a majority holds it; until then that is not claimed.
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

fn check_shape(post: &Post) -> Result<(), Refusal> {
    let id = post.write_id.as_bytes();
    let allowed = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if id.is_empty() || id.len() > MAX_WRITE_ID_BYTES || !id.iter().all(allowed) {
        return Err(bad(format!(
            "write_id must be 1 to {MAX_WRITE_ID_BYTES} of a-z A-Z 0-9 - _ ."
        )));
    }
    if post.changes.is_empty() || post.changes.len() > MAX_CHANGES {
        return Err(bad(format!("changes must be 1 to {MAX_CHANGES} in number")));
    }
    let mut paths: Vec<_> = post.changes.iter().map(|change| &change.path).collect();
    paths.sort();
    match paths.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(bad(format!("changes name {} twice", pair[0]))),
        None => Ok(()),
    }
}

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

fn bad(message: String) -> Refusal {
    Refusal::new(StatusCode::BAD_REQUEST, "bad_request", message)
}

/// The answer to a write that was not accepted; docs/OPERATIONS.md lists the codes.
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
