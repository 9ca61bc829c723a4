//! One request as the engine runs it, and the events of its answer.

use bytes::Bytes;
use endpoint::{
    REQUEST_ID,
    RESUME_FROM,
    chat::{
        Choice,
        Chunk,
        Delta,
        PromptDetails,
        Usage, //
    }, //
};
use http::{
    HeaderMap,
    HeaderValue, //
};
use hyper::body::Frame;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::cache::{
    self,
    BLOCK_BYTES, //
};

/// Bytes of prompt that count as one token.
pub(super) const BYTES_PER_TOKEN: usize = 4;
/// Tokens in an answer to a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// A request as the engine runs it. Token indexes count from the first token of the whole answer.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) request_id: String,
    /// True for a chat completion, false for a text completion.
    pub(super) is_chat: bool,
    pub(super) model: String,
    /// Seed of the generated words: a hash of the prompt and the weights version.
    pub(super) seed: u64,
    pub(super) prompt_tokens: u64,
    pub(super) cached_tokens: u64,
    /// Hashes of the whole blocks of the prompt, each covering all blocks before it.
    pub(super) prefix_hashes: Vec<u64>,
    /// Size of the rest of the prompt after its whole blocks, as a fraction of a block.
    pub(super) partial_block: f64,
    /// Lower values are computed first.
    pub(super) priority: i64,
    /// Index of the first token to send; not 0 if a stream is resumed.
    pub(super) first_token: u64,
    /// Number of tokens in the whole answer.
    pub(super) token_count: u64,
}

impl Job {
    /// Reads a request. The generated tokens depend only on the prompt and the weights `version`.
    pub(super) fn new(headers: &HeaderMap, body: &Value, version: &str) -> Self {
        let salt = body.get("cache_salt").and_then(Value::as_str).unwrap_or("");
        let completion_prompt = body.get("prompt").and_then(Value::as_str);
        let prompt = match completion_prompt {
            Some(text) => text.to_owned(),
            None => body.get("messages").map(prompt_text).unwrap_or_default(),
        };
        let prompt_tokens = (prompt.len() / BYTES_PER_TOKEN) as u64;
        let version_hash = xxh3_64_with_seed(version.as_bytes(), 0);
        let header = |name| {
            headers
                .get(name)
                .and_then(|v: &HeaderValue| v.to_str().ok())
        };
        let max_tokens = body.get("max_tokens").and_then(Value::as_u64);
        Self {
            is_chat: true,
            request_id: header(REQUEST_ID).unwrap_or_default().to_owned(),
            model: body
                .get("model")
                .and_then(Value::as_str)
                .unwrap_or_default()
                .to_owned(),
            seed: xxh3_64_with_seed(prompt.as_bytes(), version_hash),
            prompt_tokens,
            cached_tokens: 0,
            prefix_hashes: cache::prefix_hashes(salt, prompt.as_bytes()),
            partial_block: (prompt.len() % BLOCK_BYTES) as f64 / BLOCK_BYTES as f64,
            priority: body.get("priority").and_then(Value::as_i64).unwrap_or(0),
            first_token: header(RESUME_FROM)
                .and_then(|v| v.parse().ok())
                .unwrap_or(0),
            token_count: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        }
    }

    /// Event with the token at `index`.
    pub(super) fn token_event(&self, index: u64) -> Frame<Bytes> {
        let word = xxh3_64_with_seed(&index.to_le_bytes(), self.seed) % 10_000;
        self.chunk_event(Some(index), Some(format!("w{word} ")), None, None)
    }

    /// Event with the finish reason and the usage, after the last token.
    pub(super) fn final_event(&self) -> Frame<Bytes> {
        let usage = Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.token_count,
            total_tokens: self.prompt_tokens + self.token_count,
            prompt_tokens_details: PromptDetails {
                cached_tokens: self.cached_tokens,
            },
        };
        self.chunk_event(None, None, Some("stop".to_owned()), Some(usage))
    }

    fn chunk_event(
        &self,
        token_index: Option<u64>,
        content: Option<String>,
        finish_reason: Option<String>,
        usage: Option<Usage>,
    ) -> Frame<Bytes> {
        let delta = Delta {
            role: None,
            content: content.clone(),
        };
        let chunk = Chunk {
            id: self.request_id.clone(),
            object: if self.is_chat {
                "chat.completion.chunk".to_owned()
            } else {
                "text_completion".to_owned()
            },
            created: 0,
            model: self.model.clone(),
            choices: vec![Choice {
                index: 0,
                delta: self.is_chat.then_some(delta),
                text: (!self.is_chat).then(|| content.unwrap_or_default()),
                finish_reason,
            }],
            usage,
            token_index,
        };
        sse_event(&serde_json::to_string(&chunk).unwrap_or_default())
    }
}

/// Server-sent event with this data.
pub(super) fn sse_event(data: &str) -> Frame<Bytes> {
    Frame::data(Bytes::from(format!("data: {data}\n\n")))
}

/// Roles and contents of all messages in order, as one text.
fn prompt_text(messages: &Value) -> String {
    let mut text = String::new();
    for message in messages.as_array().into_iter().flatten() {
        for field in ["role", "content"] {
            text.push_str(message.get(field).and_then(Value::as_str).unwrap_or(""));
            text.push('\n');
        }
    }
    text
}
