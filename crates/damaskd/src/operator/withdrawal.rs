//! Emergency withdrawal of a key, in force at once even while the table is down.

use http::{
    Request,
    Response,
    StatusCode, //
};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use settings::Path;

use super::{
    Refusal,
    identity,
    read_json,
    settings::refusal, //
};
use crate::{
    http::{
        Body,
        json as answer_json, //
    },
    node::Node,
    sync::{
        commit::Error,
        store::Change,
        withdrawal, //
    }, //
};

/// Body of a request to withdraw a key.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Post {
    /// Path of the key's row.
    path: Path,
}

/// Refuses the key at this instance, sends the withdrawal to all members and stores it in the
/// table.
///
/// The answer lists the instances where the withdrawal is in force and whether it is stored.
/// Its status is 200 if it is in force at all members and stored, else 202.
///
/// # Errors
///
/// If the operator may not write the row, or it holds no key.
pub async fn post(node: &Node, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
    let operator = identity::identify(node, request.headers())?;
    let post: Post = read_json(node, request).await?;
    let settings = node.settings.load();
    let change = Change {
        path: post.path.clone(),
        value: None,
    };
    operator
        .authorize(&settings.tree, &[change])
        .map_err(|message| refusal(Error::Forbidden(message)))?;
    let Some(key) = withdrawal::key_at(&settings.tree, &post.path) else {
        let message = format!("no key stands at {}; see damaskctl key list", post.path);
        return Err(Refusal::new(StatusCode::NOT_FOUND, "no_key", message));
    };
    withdrawal::record(node, [key.digest]);
    let (announcement, persisted) = tokio::join!(
        node.peers.announce(),
        withdrawal::persist(node, &key.digest, operator.name()),
    );
    if persisted.is_ok() {
        // Otherwise peers would get the new revision only with their next read of the table.
        node.peers.replicate().await;
    }
    let complete = persisted.is_ok() && announcement.unreached.is_empty();
    let status = match complete {
        true => StatusCode::OK,
        false => StatusCode::ACCEPTED,
    };
    let body = json!({
        "path": post.path,
        "in_force": announcement.reached,
        "not_reached": announcement.unreached,
        "kept": persisted.is_ok(),
        "revision": persisted.as_ref().ok(),
        "reason": persisted.as_ref().err().map(ToString::to_string),
    });
    Ok(answer_json(status, &body))
}
