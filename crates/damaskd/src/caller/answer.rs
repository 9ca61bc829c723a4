//! Collects a stream into one complete answer for callers that do not stream.

use endpoint::{
    REQUEST_ID,
    chat::{
        Chunk,
        Completion,
        CompletionChoice,
        Message,
        Usage, //
    }, //
};
use http::{
    HeaderValue,
    Response,
    StatusCode, //
};

use super::{
    Call,
    Refusal,
    admit::Permit,
    model::{
        Api,
        Prompt, //
    },
    relay,
    source::Source, //
};
use crate::{
    http::{
        Body,
        json, //
    },
    node::Node, //
};

/// Contents of the chunks received so far.
#[derive(Debug, Default)]
struct Accumulator {
    content: String,
    finish_reason: String,
    /// Set once the source has ended without an error, since the usage precedes that end.
    usage: Usage,
    created: u64,
}

impl Accumulator {
    fn add(&mut self, chunk: Chunk) {
        self.created = chunk.created;
        if let Some(usage) = chunk.usage {
            self.usage = usage;
        }
        for choice in chunk.choices {
            self.content.push_str(choice.text().unwrap_or_default());
            if let Some(reason) = choice.finish_reason {
                self.finish_reason = reason;
            }
        }
    }

    fn into_completion(self, call: &Call, prompt: &Prompt) -> Completion {
        let mut choice = CompletionChoice {
            index: 0,
            message: None,
            text: None,
            finish_reason: self.finish_reason,
        };
        let object = match prompt.api {
            Api::Chat => {
                choice.message = Some(Message {
                    role: "assistant".to_owned(),
                    content: self.content,
                });
                "chat.completion"
            }
            Api::Text => {
                choice.text = Some(self.content);
                "text_completion"
            }
        };
        Completion {
            id: call.id.clone(),
            object: object.to_owned(),
            created: self.created,
            model: prompt.model.clone(),
            choices: vec![choice],
            usage: self.usage,
        }
    }
}

/// Reads the stream to its end and answers with the complete text.
///
/// # Errors
///
/// If the stream cannot be completed; the caller then gets none of it.
pub async fn collect(
    node: &Node,
    call: &Call,
    prompt: &Prompt,
    mut source: Source,
    mut permit: Permit,
) -> Result<Response<Body>, Refusal> {
    let first_token = call.arrived_at.elapsed();
    let mut accumulator = Accumulator::default();
    while let Some(chunk) = source.next().await? {
        if let Some(usage) = &chunk.usage {
            source.record_usage(usage);
        }
        accumulator.add(chunk);
    }
    permit.settle(accumulator.usage.total_tokens);
    relay::record_request(node, call, prompt, &permit, "ok", first_token);
    let mut response = json(StatusCode::OK, &accumulator.into_completion(call, prompt));
    if let Ok(id) = HeaderValue::from_str(&call.id) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    Ok(response)
}
