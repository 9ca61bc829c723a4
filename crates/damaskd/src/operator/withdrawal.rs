//! Withdraws a key at once, also while the table is down.

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

/// Body of a withdrawal.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Post {
    /// Path of the key.
    path: Path,
}

/// Refuses the key here, tells the peers and keeps the withdrawal in the table.
///
/// The answer says at which instances it is in force and whether it is kept:
/// 200 when it is in force at all members and kept, else 202.
///
/// # Errors
///
/// If the operator may not write the key or there is none at the path.
pub async fn post(node: &Node, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
    let operator = identity::identify(node, request.headers())?;
    let post: Post = read_json(node, request).await?;
    let version = node.settings.load();
    let change = Change {
        path: post.path.clone(),
        value: None,
    };
    operator
        .authorize(&version.tree, &[change])
        .map_err(|message| refusal(Error::Forbidden(message)))?;
    let Some(key) = withdrawal::key_at(&version.tree, &post.path) else {
        let message = format!("no key stands at {}; see damaskctl key list", post.path);
        return Err(Refusal::new(StatusCode::NOT_FOUND, "no_key", message));
    };
    withdrawal::hear(node, [key.digest]);
    let (told, kept) = tokio::join!(
        node.peers.announce(),
        withdrawal::keep(node, &key.digest, operator.name()),
    );
    if kept.is_ok() {
        // Peers need not wait for their next look at the table.
        node.peers.replicate().await;
    }
    let whole = kept.is_ok() && told.unreached.is_empty();
    let status = match whole {
        true => StatusCode::OK,
        false => StatusCode::ACCEPTED,
    };
    let body = json!({
        "path": post.path,
        "in_force": told.reached,
        "not_reached": told.unreached,
        "kept": kept.is_ok(),
        "revision": kept.as_ref().ok(),
        "reason": kept.as_ref().err().map(ToString::to_string),
    });
    Ok(answer_json(status, &body))
}
