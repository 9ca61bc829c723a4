//! HTTP requests to an instance.

use std::time::Duration;

use anyhow::{
    Context,
    anyhow, //
};
use bytes::Bytes;
use http::{
    Method,
    Request,
    StatusCode, //
};
use http_body_util::Full;
use platform::http::{
    Client,
    Fault, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    Value,
    json, //
};
use settings::{
    Path,
    Tree, //
};

use crate::{
    args::{
        KEY_VARIABLE,
        Target,
        Write, //
    },
    exit::{
        Exit,
        Failure,
        Result, //
    }, //
};

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of times to send a write whose outcome stays unknown.
const MAX_ATTEMPTS: u32 = 4;
/// Delay between these attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
const SETTINGS_PATH: &str = "/operator/v1/settings";

/// Write or removal of one settings row.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Change {
    /// Path of the row.
    pub path: Path,
    /// New document; `None` removes the row.
    pub value: Option<Value>,
}

/// An accepted write.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Accepted {
    /// Revision that the write created.
    pub revision: u64,
    /// Whether a majority of the instances holds the revision, so that any later majority
    /// includes an instance that knows it.
    #[serde(default)]
    pub confirmed: bool,
}

/// A successful answer with a JSON body.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// JSON body.
    pub document: Value,
}

/// Fetches the JSON document at `path` with `GET`.
///
/// # Errors
///
/// Fails like [`send`].
pub async fn get(target: &Target, path: &str) -> Result<Value> {
    Ok(send(target, Method::GET, path, String::new())
        .await?
        .document)
}

/// Fetches the settings that the operator may read.
///
/// # Errors
///
/// Fails if there is no answer or it cannot be parsed.
pub async fn get_tree(target: &Target) -> Result<Tree> {
    let document = get(target, SETTINGS_PATH).await?;
    let tree = serde_json::from_value(document);
    Ok(tree.with_context(|| format!("{}: cannot parse the settings", target.address))?)
}

/// Sends a request and reads its JSON answer.
///
/// # Errors
///
/// Fails if there is no answer, if the answer is not JSON, or if its status is not a success.
/// The error names the address and the remedy.
pub async fn send(target: &Target, method: Method, path: &str, body: String) -> Result<Answer> {
    let address = target.address;
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    if let Some(key) = &target.key {
        builder = builder.header("authorization", format!("Bearer {key}"));
    }
    let request = builder
        .body(Full::new(Bytes::from(body)))
        .with_context(|| format!("{KEY_VARIABLE} is not a valid HTTP header value"))?;
    let result = Client::new(REQUEST_TIMEOUT).send(address, request).await;
    let answer = result.map_err(|fault| Failure::new(exit_of(&fault), no_answer(fault)))?;
    let text = String::from_utf8_lossy(&answer.body);
    let document: Value = serde_json::from_str(&text).with_context(|| {
        format!(
            "{address}: the answer is not JSON; check that the address is of the right plane: \
             {text:?}"
        )
    })?;
    if !answer.status.is_success() {
        return Err(refusal(target, &document));
    }
    Ok(Answer {
        status: answer.status,
        document,
    })
}

fn exit_of(fault: &Fault) -> Exit {
    match fault.may_have_applied() {
        true => Exit::Unknown,
        false => Exit::NotDone,
    }
}

fn no_answer(fault: Fault) -> anyhow::Error {
    anyhow!(fault).context("no answer; give the address of a live instance by --address")
}

fn refusal(target: &Target, document: &Value) -> Failure {
    let error = &document["error"];
    let code = error["code"].as_str().unwrap_or_default();
    let mut text = error["message"].as_str().unwrap_or("refused").to_owned();
    for problem in error["problems"].as_array().into_iter().flatten() {
        let path = problem["path"].as_str().unwrap_or_default();
        let message = problem["message"].as_str().unwrap_or_default();
        text.push_str(&format!("\n  {path}: {message}"));
    }
    let remedy = match code {
        "operator_unknown" | "key_missing" => format!("\n  set {KEY_VARIABLE} to your key"),
        "conflict" => "\n  look at settings history and diff, then try again".to_owned(),
        "not_applied" => "\n  the platform's table does not answer; try again later".to_owned(),
        _ => String::new(),
    };
    let exit = match code {
        "conflict" => Exit::Conflict,
        "unknown" | "not_ready" => Exit::Unknown,
        _ => Exit::NotDone,
    };
    Failure::new(exit, anyhow!("{}: {text}{remedy}", target.address))
}

/// Writes changes to the settings. If the outcome of a write is unknown, it is sent again with
/// the same id.
///
/// # Errors
///
/// Fails if the changes are refused, or if the outcome is still unknown after the last attempt.
pub async fn write_changes(target: &Target, changes: &[Change], write: &Write) -> Result<Accepted> {
    let write_id = format!("{:032x}", rand::random::<u128>());
    let mut attempts = 0;
    loop {
        let body = json!({
            "base_revision": write.base_revision,
            "write_id": write_id,
            "changes": changes,
            "dry_run": write.dry_run,
            "repeat": attempts > 0,
        });
        attempts += 1;
        match send(target, Method::POST, SETTINGS_PATH, body.to_string()).await {
            Ok(answer) => {
                let accepted = serde_json::from_value(answer.document);
                return Ok(accepted.context("cannot parse the answer to the write")?);
            }
            Err(failure) if failure.exit == Exit::Unknown && attempts < MAX_ATTEMPTS => {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            // Only this attempt is known to have had no effect, for example because the instance
            // can no longer be reached; an earlier one may have been applied.
            Err(failure) if attempts > 1 && failure.exit == Exit::NotDone => {
                return Err(Failure::new(Exit::Unknown, failure.error));
            }
            Err(failure) => return Err(failure),
        }
    }
}
