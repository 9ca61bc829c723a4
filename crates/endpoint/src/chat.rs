//! The fields of the chat-completions messages that the router reads.
//!
//! Source: the published OpenAI chat-completions reference; `cache_salt` and
//! `priority` are the published extensions of vLLM, `token_index` is an
//! extension of this project.

use serde::{
    Deserialize,
    Serialize, //
};

/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// Text that a chunk adds to a message.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[expect(missing_docs, reason = "fields are those of the published protocol")]
pub struct Delta {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// One choice of a chunk; the router asks for exactly one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[expect(missing_docs, reason = "fields are those of the published protocol")]
pub struct Choice {
    pub index: u32,
    /// Set in chat completions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// Set in text completions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    pub finish_reason: Option<String>,
}

impl Choice {
    /// The text that the choice adds to the answer, in either protocol.
    pub fn text(&self) -> Option<&str> {
        let delta = self.delta.as_ref();
        let content = delta.and_then(|delta| delta.content.as_deref());
        content.or(self.text.as_deref())
    }
}

/// Prompt tokens by origin.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[expect(missing_docs, reason = "fields are those of the published protocol")]
pub struct PromptDetails {
    #[serde(default)]
    pub cached_tokens: u64,
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[expect(missing_docs, reason = "fields are those of the published protocol")]
pub struct Usage {
    pub prompt_tokens: u64,
    pub completion_tokens: u64,
    pub total_tokens: u64,
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[expect(missing_docs, reason = "fields are those of the published protocol")]
pub struct Chunk {
    pub id: String,
    pub object: String,
    pub created: u64,
    pub model: String,
    pub choices: Vec<Choice>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// Index of the token in the answer, from 0; absent in chunks without a token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_index: Option<u64>,
}

impl Chunk {
    /// Whether any choice carries text of the answer.
    pub fn has_text(&self) -> bool {
        let choices = self.choices.iter();
        choices
            .filter_map(Choice::text)
            .any(|text| !text.is_empty())
    }
}

/// The answer to a request without streaming.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[expect(missing_docs, reason = "fields are those of the published protocol")]
pub struct Completion {
    pub id: String,
    pub object: String,
    pub created: u64,
    pub model: String,
    pub choices: Vec<CompletionChoice>,
    pub usage: Usage,
}

/// One choice of a [`Completion`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[expect(missing_docs, reason = "fields are those of the published protocol")]
pub struct CompletionChoice {
    pub index: u32,
    /// Set in chat completions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    /// Set in text completions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    pub finish_reason: String,
}

/// A message of a conversation.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[expect(missing_docs, reason = "fields are those of the published protocol")]
pub struct Message {
    pub role: String,
    pub content: String,
}
