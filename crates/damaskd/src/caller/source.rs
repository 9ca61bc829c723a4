//! A stream of chunks that is resumed when an engine fails.
//!
//! The stream resumes at another engine with the same weights version, from the
//! index of the next token. Nothing of the answer is stored for that: the body of
//! the request and one index suffice.

use std::{
    sync::Arc,
    time::Instant, //
};

use bytes::Bytes;
use endpoint::{
    Direct,
    Failure,
    Fault,
    Options,
    REQUEST_ID,
    RESUME_FROM,
    Target,
    Verdict,
    WEIGHTS_VERSION,
    chat::{
        Chunk,
        Usage, //
    },
    stream::Reader, //
};
use http::{
    HeaderMap,
    Request, //
};
use http_body_util::Full;

use super::{
    Call,
    Code,
    Refusal,
    attempt::Attempts,
    choose::{
        self,
        Selection, //
    },
    model::Prompt, //
};
use crate::node::Node;

/// Maximum number of times that one stream is resumed.
const MAX_RESUMES: u32 = 8;

/// Chunks of one request in order, from one engine after another.
#[derive(Debug)]
pub struct Source {
    node: Arc<Node>,
    call: Call,
    prompt: Arc<Prompt>,
    attempts: Attempts,
    resumes: u32,
    /// Index of the next token, from which a resumed stream must start.
    position: u64,
    /// First chunk of the current engine, until it is returned.
    first: Option<Chunk>,
    /// # Invariants
    ///
    /// `None` while no engine is running the request.
    current: Option<(Selection, Reader)>,
}

impl Source {
    /// Sends the request and waits for the first chunk; tries further endpoints while the request
    /// cannot have run, or if the route allows requests to be repeated.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets.
    pub async fn start(node: Arc<Node>, call: Call, prompt: Arc<Prompt>) -> Result<Self, Refusal> {
        let mut source = Self {
            attempts: Attempts::new(&call, prompt.route.route.deadline),
            node,
            call,
            prompt,
            resumes: 0,
            position: 0,
            first: None,
            current: None,
        };
        loop {
            source.attempts.check_deadline()?;
            let selection = source.choose()?;
            if source.attempt(selection).await {
                return Ok(source);
            }
            let tried = source.attempts.tried().len();
            let all_tried = tried >= source.prompt.route.route.endpoints.len();
            let repeatable = source.prompt.route.route.repeatable;
            if all_tried || !source.attempts.may_retry(&source.node, repeatable) {
                return Err(source.attempts.final_refusal());
            }
        }
    }

    /// The next chunk, or `None` after the last one of a complete stream.
    ///
    /// # Errors
    ///
    /// When the stream cannot be completed.
    pub async fn next(&mut self) -> Result<Option<Chunk>, Refusal> {
        if let Some(chunk) = self.first.take() {
            return Ok(Some(chunk));
        }
        let Some((selection, mut reader)) = self.current.take() else {
            return Ok(None);
        };
        let failure = match reader.next(self.node.config.limits.stall_timeout).await {
            Ok(Some(chunk)) => {
                self.position = reader.position();
                self.current = Some((selection, reader));
                return Ok(Some(chunk));
            }
            Ok(None) => {
                reader.finish();
                return Ok(None);
            }
            Err(failure) => failure,
        };
        let is_complete = reader.is_complete();
        self.position = reader.position();
        self.attempts
            .record_failure(&self.node, &selection, failure);
        // Closes the connection, which cancels the request at the engine.
        drop((selection, reader));
        if is_complete {
            return Ok(None);
        }
        self.resume().await
    }

    /// Updates the estimate of the engine from the usage at the end of an answer.
    pub fn record_usage(&self, usage: &Usage) {
        if let Some((selection, _)) = &self.current {
            selection.record_usage(&self.node, usage);
        }
    }

    async fn resume(&mut self) -> Result<Option<Chunk>, Refusal> {
        while self.prompt.route.route.repeatable && self.resumes < MAX_RESUMES {
            self.resumes += 1;
            let deadline = Instant::now() + self.prompt.route.route.deadline;
            self.attempts.set_deadline(deadline);
            let Ok(selection) = self.choose_for_resume() else {
                break;
            };
            if self.attempt(selection).await {
                return Ok(self.first.take());
            }
        }
        Err(self.stream_broken())
    }

    /// Chooses an engine that has not failed yet, else any but the last one, else any.
    fn choose_for_resume(&mut self) -> Result<Selection, Refusal> {
        if let Ok(selection) = self.choose() {
            return Ok(selection);
        }
        self.attempts.allow_all_but_last();
        if let Ok(selection) = self.choose() {
            return Ok(selection);
        }
        self.attempts.allow_all();
        self.choose()
    }

    fn choose(&self) -> Result<Selection, Refusal> {
        let prompt = &self.prompt;
        let tried = self.attempts.tried();
        choose::choose(&self.node, &self.call, &prompt.route, &prompt.chain, tried)
            .map_err(|refusal| self.attempts.with_verdict(refusal))
    }

    /// The refusal for a stream that began and cannot be completed.
    fn stream_broken(&self) -> Refusal {
        let refusal = self.attempts.final_refusal();
        Refusal {
            code: Code::StreamBroken,
            message: format!("the stream is not complete: {}", refusal.message),
            ..refusal
        }
    }

    /// Sends the request to one engine; returns whether it began to answer.
    async fn attempt(&mut self, selection: Selection) -> bool {
        let id = self.attempts.begin();
        match self.send(&selection, &id).await {
            Ok((reader, first)) => {
                self.position = reader.position();
                self.first = Some(first);
                self.current = Some((selection, reader));
                true
            }
            Err(failure) => {
                self.attempts
                    .record_failure(&self.node, &selection, failure);
                false
            }
        }
    }

    /// Returns the reader of the answer and its first chunk, which proves that the engine is
    /// running the request.
    async fn send(&self, selection: &Selection, id: &str) -> Result<(Reader, Chunk), Failure> {
        let target = Target {
            address: selection.entry.endpoint.address,
            echoes_id: selection.entry.endpoint.echoes_id,
        };
        let options = Options {
            connect_timeout: self.node.config.limits.connect_timeout,
            head_timeout: self.attempts.time_left(),
            max_idle: endpoint::pool::MAX_IDLE,
            reuse: self.prompt.route.route.repeatable,
        };
        let request = self.request(target, id)?;
        let answer = self
            .node
            .pool
            .send(target, request, options, &Direct)
            .await?;
        if !answer.head.status.is_success() {
            return Err(Failure::error_status(target.address, &answer.head));
        }
        let headers = answer.head.headers.clone();
        self.check_weights(target, &headers)?;
        let mut reader = Reader::with_lease(target.address, answer, self.position);
        let fail = |fault| Failure {
            address: target.address,
            verdict: Verdict::MayHaveRun,
            fault,
        };
        let first = reader.next(self.attempts.time_left()).await?;
        let first = first.ok_or_else(|| fail(Fault::Empty))?;
        selection.record_first_token(&self.node, &headers);
        Ok((reader, first))
    }

    fn check_weights(&self, target: Target, headers: &HeaderMap) -> Result<(), Failure> {
        let got = header_text(headers, WEIGHTS_VERSION);
        let expected = &self.prompt.version;
        if expected.is_empty() || got.as_ref() == Some(expected) {
            return Ok(());
        }
        Err(Failure {
            address: target.address,
            verdict: Verdict::MayHaveRun,
            fault: Fault::WeightsMismatch {
                expected: expected.clone(),
                got,
            },
        })
    }

    /// Builds the request from scratch, so that no header of the caller reaches an engine.
    fn request(&self, target: Target, id: &str) -> Result<Request<Full<Bytes>>, Failure> {
        let prompt = &self.prompt;
        let mut builder = Request::post(prompt.api.path())
            .header(http::header::HOST, target.address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID, id)
            .header(WEIGHTS_VERSION, &prompt.version);
        if self.position > 0 {
            builder = builder.header(RESUME_FROM, self.position);
        }
        builder
            .body(Full::new(prompt.body.clone()))
            .map_err(|error| Failure {
                address: target.address,
                verdict: Verdict::NotRun,
                fault: Fault::Connect(error.to_string()),
            })
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}
