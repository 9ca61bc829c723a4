//! HTTP client of a caller, and parser of streamed answers.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use anyhow::Context;
use bytes::Bytes;
use http::{
    Method,
    Request,
    StatusCode, //
};
use http_body_util::Full;
use platform::http::{
    Answer,
    Client, //
};
use serde_json::{
    Value,
    json, //
};

/// Timeout of any request; far beyond what a loaded machine needs.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A caller, with or without a key.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    key: Option<String>,
}

/// A complete event stream of a chat completion.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stream {
    /// Text of the chunks, in order of arrival.
    pub tokens: Vec<String>,
    /// Token indexes of the chunks, in order of arrival.
    pub indexes: Vec<u64>,
    /// Usage in the last chunk that has one.
    pub usage: Value,
    /// Whether the stream has a `[DONE]` event.
    pub done: bool,
    /// Data of the error event, if any.
    pub error: Option<Value>,
}

impl Caller {
    /// Creates a caller that sends `key` as its bearer token.
    pub fn new(key: Option<&str>) -> Self {
        Self {
            client: Client::new(REQUEST_TIMEOUT),
            key: key.map(str::to_owned),
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// If no complete answer arrives.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &str,
    ) -> anyhow::Result<Answer> {
        self.send_with_headers(method, address, path, body, &[])
            .await
    }

    /// Sends a request with additional headers and reads the whole answer.
    ///
    /// # Errors
    ///
    /// If no complete answer arrives.
    pub async fn send_with_headers(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> anyhow::Result<Answer> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        if let Some(key) = &self.key {
            builder = builder.header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(Bytes::from(body.to_owned())))?;
        Ok(self.client.send(address, request).await?)
    }

    /// Sends a `GET` request and parses the answer as JSON.
    ///
    /// # Errors
    ///
    /// If no complete answer arrives or its body is not JSON.
    pub async fn get_json(&self, address: SocketAddr, path: &str) -> anyhow::Result<Value> {
        let answer = self.send(Method::GET, address, path, "").await?;
        parse_json(&answer)
    }

    /// Requests a streamed chat completion and reads it to its end.
    ///
    /// # Errors
    ///
    /// If the status is not 200, with the body in the error; if the stream is malformed.
    pub async fn chat(
        &self,
        address: SocketAddr,
        model: &str,
        prompt: &str,
        max_tokens: u64,
    ) -> anyhow::Result<Stream> {
        let body = chat_body(model, prompt, max_tokens, true);
        let path = "/v1/chat/completions";
        let answer = self.send(Method::POST, address, path, &body).await?;
        let text = String::from_utf8(answer.body.to_vec())?;
        anyhow::ensure!(answer.status == StatusCode::OK, "{}: {text}", answer.status);
        Stream::parse(&text)
    }
}

/// Body of a chat request with one user message.
pub fn chat_body(model: &str, prompt: &str, max_tokens: u64, stream: bool) -> String {
    json!({
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
    .to_string()
}

/// Parses the body of an answer as JSON.
///
/// # Errors
///
/// If the body is not JSON; the error holds the body.
pub fn parse_json(answer: &Answer) -> anyhow::Result<Value> {
    serde_json::from_slice(&answer.body)
        .with_context(|| format!("not JSON: {:?}", String::from_utf8_lossy(&answer.body)))
}

impl Stream {
    /// Parses the text of an event stream.
    ///
    /// # Errors
    ///
    /// If an event has no data or its data is not JSON.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let mut stream = Self::default();
        for event in text.split("\n\n").filter(|event| !event.is_empty()) {
            stream.add_event(event)?;
        }
        Ok(stream)
    }

    fn add_event(&mut self, event: &str) -> anyhow::Result<()> {
        let data = event.lines().find_map(|line| line.strip_prefix("data: "));
        let data = data.with_context(|| format!("event without data: {event:?}"))?;
        if data == "[DONE]" {
            self.done = true;
            return Ok(());
        }
        let value: Value = serde_json::from_str(data)?;
        if value.get("error").is_some() {
            self.error = Some(value);
            return Ok(());
        }
        if let Some(content) = value["choices"][0]["delta"]["content"].as_str() {
            self.tokens.push(content.to_owned());
        }
        if let Some(index) = value["token_index"].as_u64() {
            self.indexes.push(index);
        }
        if value.get("usage").is_some_and(Value::is_object) {
            self.usage = value["usage"].clone();
        }
        Ok(())
    }
}
