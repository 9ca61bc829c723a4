//! Model requests: chat and text completions, streamed or not.

use std::sync::Arc;

use bytes::Bytes;
use http::{
    Request,
    Response, //
};
use hyper::body::Incoming;
use policy::prefix::{
    Chain,
    Root, //
};
use serde_json::{
    Map,
    Value,
    json, //
};
use settings::{
    Class,
    RouteEntry, //
};

use super::{
    Call,
    Code,
    Refusal,
    admit::{
        self,
        Demand, //
    },
    answer,
    body,
    freshness,
    key,
    relay,
    source::Source, //
};
use crate::{
    http::Body,
    node::Node, //
};

/// Estimated bytes of prompt per token, used until an engine has counted the tokens.
const BYTES_PER_TOKEN: usize = 4;
/// Maximum number of answer tokens that is charged if the request does not set `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 1024;

/// Fields that may hold a key; they are not sent to engines.
const KEY_FIELDS: [&str; 4] = ["access_token", "api_key", "authorization", "user_key"];
/// Fields of the engine's interface that callers may not set.
const RESERVED_FIELDS: [&str; 4] = ["cache_salt", "kv_transfer_params", "priority", "request_id"];

/// Published protocol of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Api {
    /// Messages, `/v1/chat/completions`.
    Chat,
    /// One prompt, `/v1/completions`.
    Text,
}

impl Api {
    /// The path of requests from callers and to engines.
    pub fn path(self) -> &'static str {
        match self {
            Api::Chat => "/v1/chat/completions",
            Api::Text => "/v1/completions",
        }
    }

    /// The prompt as one text.
    fn prompt_text(self, fields: &Map<String, Value>) -> Result<String, Refusal> {
        match self {
            Api::Chat => {
                let Some(messages) = fields.get("messages").and_then(Value::as_array) else {
                    return Err(bad_request("field \"messages\" must be an array"));
                };
                messages_text(messages).ok_or_else(|| {
                    bad_request(
                        "each message must have a \"role\", and as \"content\" a string or parts \
                         of type \"text\"",
                    )
                })
            }
            Api::Text => {
                let prompt = fields.get("prompt").and_then(Value::as_str);
                prompt
                    .map(str::to_owned)
                    .ok_or_else(|| bad_request("field \"prompt\" must be a string"))
            }
        }
    }
}

/// A model request that passed the checks.
#[derive(Debug)]
pub struct Prompt {
    /// `<team>/<workspace>`, or empty on open routes.
    pub workspace: Arc<str>,
    /// Route that serves the request.
    pub route: Arc<RouteEntry>,
    /// Name of the model.
    pub model: String,
    /// Weights version that must produce the answer.
    pub version: String,
    /// Protocol of the request.
    pub api: Api,
    /// Body of the request as sent to engines. To resume a stream, only this body and the index of
    /// the next token are stored.
    pub body: Bytes,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Hashes of the prompt's blocks.
    pub chain: Chain,
    /// Prompt tokens plus the maximum number of answer tokens.
    pub tokens: u64,
}

impl Prompt {
    fn demand(&self) -> Demand {
        Demand {
            workspace: self.workspace.clone(),
            route: self.route.clone(),
            class: self.route.class(),
            tokens: self.tokens,
            timeout: self.route.route.deadline,
        }
    }
}

/// Serves a model request.
///
/// # Errors
///
/// The refusal that the caller gets.
pub async fn answer(
    node: &Arc<Node>,
    call: &Call,
    api: Api,
    request: Request<&mut Incoming>,
) -> Result<Response<Body>, Refusal> {
    let caller = match key::identify(request.headers(), call.snapshot()) {
        Ok(caller) => Some(caller),
        Err(refusal) if refusal.code == Code::KeyMissing => None,
        Err(refusal) => return Err(refusal),
    };
    let (parts, body) = request.into_parts();
    let body = body::read(body, node).await?;
    key::check_leak(&parts.headers, &[&body])?;
    let prompt = Arc::new(parse(call, caller.as_ref(), api, &body)?);
    if !prompt.route.route.repeatable && parts.headers.contains_key(endpoint::IDEMPOTENCY_KEY) {
        return Err(bad_request(
            "answers of models are not kept; send no Idempotency-Key to this route",
        ));
    }
    freshness::check(node, &prompt.route)?;
    key::check(node, call, &prompt.route)?;
    let mut permit = admit::admit(node, call, prompt.demand()).await?;
    let source = Source::start(node.clone(), call.clone(), prompt.clone())
        .await
        .inspect_err(|refusal| permit.record_refusal(refusal.verdict))?;
    permit.record_start();
    if prompt.stream {
        let node = node.clone();
        Ok(relay::stream(node, call.clone(), prompt, source, permit))
    } else {
        answer::collect(node, call, &prompt, source, permit).await
    }
}

fn bad_request(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Code::BadRequest, message)
}

fn parse(
    call: &Call,
    caller: Option<&key::Caller>,
    api: Api,
    body: &Bytes,
) -> Result<Prompt, Refusal> {
    let mut fields: Map<String, Value> = serde_json::from_slice(body)
        .map_err(|error| bad_request(format!("body is no JSON object: {error}")))?;
    let Some(model) = fields.get("model").and_then(Value::as_str) else {
        return Err(bad_request("field \"model\" must be a string"));
    };
    let model = model.to_owned();
    if fields.get("n").is_some_and(|n| n.as_u64() != Some(1)) {
        return Err(bad_request("field \"n\" must be 1 or left out"));
    }
    let text = api.prompt_text(&fields)?;
    let stream = fields
        .get("stream")
        .and_then(Value::as_bool)
        .unwrap_or(false);
    let max_tokens = fields.get("max_tokens").and_then(Value::as_u64);
    let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let team = caller.map(|caller| &*caller.team);
    let Some(route) = call.snapshot().model_route(team, &model) else {
        return Err(no_route(team, &model));
    };
    if text.is_empty() {
        return Err(bad_request(
            "the prompt is empty; send at least one message or text",
        ));
    }
    let workspace: Arc<str> = caller.map_or_else(|| "".into(), |caller| caller.workspace.clone());
    let version = call.snapshot().model(&model).map(|m| m.version.clone());
    let version = version.unwrap_or_default();
    let root = Root {
        workspace: &workspace,
        model: &model,
        adapter: "",
        version: &version,
    };
    let chain = Chain::new(&root, text.as_bytes());
    let salt = format!("{:016x}", root.hash());
    rewrite(&mut fields, &salt, route.class());
    let body = serde_json::to_vec(&fields).map_err(|error| bad_request(error.to_string()))?;
    Ok(Prompt {
        workspace,
        route: route.clone(),
        model,
        version,
        api,
        body: body.into(),
        stream,
        chain,
        tokens: ((text.len() / BYTES_PER_TOKEN) as u64).saturating_add(max_tokens),
    })
}

/// Removes the fields that callers may not send to engines and sets those that only this system
/// may set.
fn rewrite(fields: &mut Map<String, Value>, salt: &str, class: Class) {
    for name in KEY_FIELDS.iter().chain(&RESERVED_FIELDS) {
        fields.remove(*name);
    }
    fields.insert("stream".to_owned(), json!(true));
    fields.insert("stream_options".to_owned(), json!({"include_usage": true}));
    fields.insert("cache_salt".to_owned(), json!(salt));
    fields.insert("priority".to_owned(), json!(priority(class)));
}

fn no_route(team: Option<&str>, model: &str) -> Refusal {
    match team {
        Some(team) => Refusal::not_run(
            Code::NoRoute,
            format!("team {team} has no route for model {model:?}"),
        ),
        None => Refusal::not_run(
            Code::KeyMissing,
            "no key; send \"Authorization: Bearer <key>\"",
        ),
    }
}

/// Roles and contents of the messages in order, as one text.
fn messages_text(messages: &[Value]) -> Option<String> {
    let mut text = String::new();
    for message in messages {
        text.push_str(message.get("role")?.as_str()?);
        text.push('\n');
        push_content(&mut text, message.get("content")?)?;
        text.push('\n');
    }
    Some(text)
}

/// Appends a content: a string, or a non-empty array of parts of type `text`.
fn push_content(text: &mut String, content: &Value) -> Option<()> {
    if let Some(string) = content.as_str() {
        text.push_str(string);
        return Some(());
    }
    let parts = content.as_array().filter(|parts| !parts.is_empty())?;
    for part in parts {
        if part.get("type")?.as_str()? != "text" {
            return None;
        }
        text.push_str(part.get("text")?.as_str()?);
    }
    Some(())
}

/// The priority field of the engine's interface; lower numbers run first, as in vLLM.
fn priority(class: Class) -> i32 {
    match class {
        Class::Urgent => 0,
        Class::Normal => 10,
        Class::MayWait => 20,
    }
}
