//! A stream of chunks that outlives the engines it comes from.
//!
//! When an engine is lost, the stream goes on from another with the same
//! weights version, at the index of the next token. Nothing of the answer is
//! kept for that: the request's body and one index are enough.

use std::{
    sync::Arc,
    time::Instant, //
};

use bytes::Bytes;
use endpoint::{
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
        Chosen, //
    },
    model::Prompt, //
};
use crate::node::Node;

/// Most engines that one stream may lose.
const MAX_RESUMES: u32 = 8;

/// The chunks of one request in order, from one engine after another.
#[derive(Debug)]
pub struct Source {
    node: Arc<Node>,
    call: Call,
    prompt: Arc<Prompt>,
    attempts: Attempts,
    resumes: u32,
    /// Index of the next token, and what a resume asks for.
    position: u64,
    first: Option<Chunk>,
    /// # Invariants
    ///
    /// `None` while no engine works on the request.
    current: Option<(Chosen, Reader)>,
}

impl Source {
    /// Sends the request and waits for the first chunk; tries others while nothing may have
    /// run, or while the route says that requests may be repeated.
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
            source.attempts.in_time()?;
            let chosen = source.choose()?;
            if source.attempt(chosen).await {
                return Ok(source);
            }
            let tried = source.attempts.tried().len();
            let last = tried >= source.prompt.route.route.endpoints.len();
            let repeatable = source.prompt.route.route.repeatable;
            if last || !source.attempts.may_go_on(&source.node, repeatable) {
                return Err(source.attempts.give_up());
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
        let Some((chosen, mut reader)) = self.current.take() else {
            return Ok(None);
        };
        let failure = match reader.next(self.node.config.limits.stall_timeout).await {
            Ok(Some(chunk)) => {
                self.position = reader.position();
                self.current = Some((chosen, reader));
                return Ok(Some(chunk));
            }
            Ok(None) => {
                reader.finish();
                return Ok(None);
            }
            Err(failure) => failure,
        };
        let complete = reader.is_complete();
        self.position = reader.position();
        self.attempts.fail(&self.node, &chosen, failure);
        // Closes the connection, which cancels whatever the engine still does.
        drop((chosen, reader));
        if complete {
            return Ok(None);
        }
        self.resume().await
    }

    /// Learns from the usage at the end of an answer.
    pub fn used(&self, usage: &Usage) {
        if let Some((chosen, _)) = &self.current {
            chosen.used(&self.node, usage);
        }
    }

    async fn resume(&mut self) -> Result<Option<Chunk>, Refusal> {
        while self.prompt.route.route.repeatable && self.resumes < MAX_RESUMES {
            self.resumes += 1;
            let until = Instant::now() + self.prompt.route.route.deadline;
            self.attempts.extend(until);
            let Ok(chosen) = self.choose_again() else {
                break;
            };
            if self.attempt(chosen).await {
                return Ok(self.first.take());
            }
        }
        Err(self.broken())
    }

    /// An engine that has not failed yet, else any but the last, else any.
    fn choose_again(&mut self) -> Result<Chosen, Refusal> {
        if let Ok(chosen) = self.choose() {
            return Ok(chosen);
        }
        self.attempts.forgive();
        if let Ok(chosen) = self.choose() {
            return Ok(chosen);
        }
        self.attempts.forgive_all();
        self.choose()
    }

    fn choose(&self) -> Result<Chosen, Refusal> {
        let prompt = &self.prompt;
        let tried = self.attempts.tried();
        choose::choose(&self.node, &self.call, &prompt.route, &prompt.chain, tried)
            .map_err(|refusal| self.attempts.refuse(refusal))
    }

    /// A stream that began and cannot be completed.
    fn broken(&self) -> Refusal {
        let refusal = self.attempts.give_up();
        Refusal {
            code: Code::StreamBroken,
            message: format!("the stream is not complete: {}", refusal.message),
            ..refusal
        }
    }

    /// Whether the engine began to answer.
    async fn attempt(&mut self, chosen: Chosen) -> bool {
        let id = self.attempts.begin();
        match self.send(&chosen, &id).await {
            Ok((reader, first)) => {
                self.position = reader.position();
                self.first = Some(first);
                self.current = Some((chosen, reader));
                true
            }
            Err(failure) => {
                self.attempts.fail(&self.node, &chosen, failure);
                false
            }
        }
    }

    /// The answer and its first chunk, which proves that the engine works on the request.
    async fn send(&self, chosen: &Chosen, id: &str) -> Result<(Reader, Chunk), Failure> {
        let target = Target {
            address: chosen.entry.endpoint.address,
            echoes_id: chosen.entry.endpoint.echoes_id,
        };
        let options = Options {
            connect_timeout: self.node.config.limits.connect_timeout,
            head_timeout: self.attempts.remaining(),
            max_idle: endpoint::pool::MAX_IDLE,
            reuse: self.prompt.route.route.repeatable,
        };
        let request = self.request(target, id)?;
        let answer = self.node.pool.send(target, request, options).await?;
        if !answer.head.status.is_success() {
            return Err(Failure::refused(target.address, &answer.head));
        }
        let headers = answer.head.headers.clone();
        self.check_weights(target, &headers)?;
        let mut reader = Reader::with_lease(target.address, answer, self.position);
        let fail = |fault| Failure {
            address: target.address,
            verdict: Verdict::MayHaveRun,
            fault,
        };
        let first = reader.next(self.attempts.remaining()).await?;
        let first = first.ok_or_else(|| fail(Fault::Empty))?;
        chosen.began(&self.node, &headers);
        Ok((reader, first))
    }

    fn check_weights(&self, target: Target, headers: &HeaderMap) -> Result<(), Failure> {
        let got = text(headers, WEIGHTS_VERSION);
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

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}
