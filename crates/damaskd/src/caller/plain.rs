//! Requests to plain services, which are routed by path prefix.

use std::sync::Arc;

use endpoint::{
    Direct,
    Failure,
    Options,
    Target,
    Verdict, //
};
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Request,
    Response,
    StatusCode,
    header,
    request::Parts, //
};
use hyper::body::Incoming;
use policy::prefix::Chain;
use settings::RouteEntry;
use state::claim::Answer;
use telemetry::metrics::Sample;

use super::{
    Call,
    Code,
    Refusal,
    admit::{
        self,
        Demand, //
    },
    attempt::Attempts,
    body,
    choose::{
        self,
        Selection, //
    },
    freshness,
    idempotency,
    key,
    outgoing::Outgoing, //
};
use crate::{
    http::Body,
    node::Node, //
};

/// Headers of answers that are forwarded to the caller; all others are dropped.
const RETURNED_HEADERS: [HeaderName; 6] = [
    header::CACHE_CONTROL,
    header::CONTENT_TYPE,
    header::ETAG,
    header::LAST_MODIFIED,
    header::LOCATION,
    header::RETRY_AFTER,
];

/// Tokens charged for a request to a plain service.
const PLAIN_TOKENS: u64 = 1;
/// Maximum number of times that a request is sent again to an endpoint that deduplicates.
const MAX_DEDUPLICATED_RESENDS: u32 = 2;

/// A request to a plain service that passed the checks.
#[derive(Debug)]
pub struct Job {
    /// State of this instance.
    pub node: Arc<Node>,
    /// Context of the request.
    pub call: Call,
    /// Route that serves the request.
    pub route: Arc<RouteEntry>,
    /// The request that is sent to endpoints.
    pub outgoing: Outgoing,
    /// Name of the claim, if any; sent as idempotency key to endpoints that deduplicate.
    pub claim: Option<String>,
}

/// Serves a request to a plain service.
///
/// # Errors
///
/// The refusal that the caller gets.
pub async fn answer(
    node: &Arc<Node>,
    call: &Call,
    request: Request<&mut Incoming>,
) -> Result<Response<Body>, Refusal> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    let Some(route) = call.snapshot().plain_route(path).cloned() else {
        let message = format!("no route for {} {path}", parts.method);
        return Err(Refusal::not_run(Code::NoRoute, message));
    };
    freshness::check(node, &route)?;
    let workspace = authorize(call, &route, &parts)?;
    let claim = idempotency::claim_name(&route, &workspace, &parts.headers)?;
    let body = body::read(body, node).await?;
    // Repeated, since the body may have taken long to arrive.
    key::check(node, call, &route)?;
    let outgoing = Outgoing::new(&parts, body);
    key::check_leak(&parts.headers, &outgoing.caller_fields())?;
    let demand = Demand {
        workspace: workspace.clone(),
        route: route.clone(),
        class: route.class(),
        tokens: PLAIN_TOKENS,
        timeout: route.route.deadline,
    };
    let mut permit = admit::admit(node, call, demand).await?;
    let class = route.class();
    let job = Job {
        node: node.clone(),
        call: call.clone(),
        route,
        outgoing,
        claim,
    };
    let result = match job.claim {
        Some(_) => idempotency::run(job).await,
        None => job.send().await.map(|answer| respond(&answer)),
    };
    let response = result.inspect_err(|refusal| permit.record_refusal(refusal.verdict))?;
    permit.settle(PLAIN_TOKENS);
    node.metrics.record_request(Sample {
        workspace: &workspace,
        class: class.as_str(),
        outcome: "ok",
        first_token: Some(call.arrived_at.elapsed()),
        total: call.arrived_at.elapsed(),
        ..Sample::default()
    });
    Ok(response)
}

/// The workspace of the caller, or an empty name on open routes.
fn authorize(call: &Call, route: &RouteEntry, parts: &Parts) -> Result<Arc<str>, Refusal> {
    if route.route.open {
        return Ok("".into());
    }
    let caller = key::identify(&parts.headers, call.snapshot())?;
    if caller.team != route.team {
        let message = format!("team {} has no route for {}", caller.team, parts.uri.path());
        return Err(Refusal::not_run(Code::NoRoute, message));
    }
    Ok(caller.workspace)
}

/// The response to the caller for the answer of an endpoint.
pub fn respond(answer: &Answer) -> Response<Body> {
    let mut response = Response::new(Body::full(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &answer.headers {
        let name = HeaderName::try_from(name);
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

impl Job {
    /// Sends the request to one endpoint after another while it is safe to repeat.
    ///
    /// # Errors
    ///
    /// The refusal, with the combined verdict of all attempts.
    pub async fn send(&self) -> Result<Answer, Refusal> {
        let mut attempts = Attempts::new(&self.call, self.route.route.deadline);
        loop {
            attempts.check_deadline()?;
            let tried = attempts.tried();
            let selection = choose::choose(
                &self.node,
                &self.call,
                &self.route,
                &Chain::default(),
                tried,
            )
            .map_err(|refusal| attempts.with_verdict(refusal))?;
            let deduplicates = self.claim.is_some() && selection.entry.endpoint.deduplicates;
            let mut resends_left = if deduplicates {
                MAX_DEDUPLICATED_RESENDS
            } else {
                0
            };
            loop {
                let failure = match self.attempt(&mut attempts, &selection, deduplicates).await {
                    Ok(answer) => return Ok(answer),
                    Err(failure) => failure,
                };
                let not_run = failure.verdict == Verdict::NotRun;
                attempts.record_failure(&self.node, &selection, failure);
                if not_run || resends_left == 0 || attempts.time_left().is_zero() {
                    break;
                }
                resends_left -= 1;
            }
            let all_tried = attempts.tried().len() >= self.route.route.endpoints.len();
            if all_tried || !attempts.may_retry(&self.node, self.route.route.repeatable) {
                return Err(attempts.final_refusal());
            }
        }
    }

    async fn attempt(
        &self,
        attempts: &mut Attempts,
        selection: &Selection,
        deduplicates: bool,
    ) -> Result<Answer, Failure> {
        let target = Target {
            address: selection.entry.endpoint.address,
            echoes_id: selection.entry.endpoint.echoes_id,
        };
        let limits = &self.node.config.limits;
        let options = Options {
            connect_timeout: limits.connect_timeout,
            head_timeout: attempts.time_left(),
            max_idle: endpoint::pool::MAX_IDLE,
            reuse: self.route.route.repeatable,
        };
        let key = self.claim.as_deref().filter(|_| deduplicates);
        let request = self.outgoing.request(target, &attempts.begin(), key)?;
        let answer = self
            .node
            .pool
            .send(target, request, options, &Direct)
            .await?;
        let failure = Failure::error_status(target.address, &answer.head);
        if failure.verdict == Verdict::NotRun {
            return Err(failure);
        }
        let (head, body) = answer
            .collect(limits.max_body_bytes, attempts.time_left())
            .await?;
        selection.record_first_token(&self.node, &head.headers);
        Ok(Answer {
            status: head.status.as_u16(),
            headers: returned_headers(&head.headers),
            body: body.to_vec(),
        })
    }
}

fn returned_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let header_text = |name: &HeaderName| {
        let value = headers.get(name)?.to_str().ok()?;
        Some((name.to_string(), value.to_owned()))
    };
    RETURNED_HEADERS.iter().filter_map(header_text).collect()
}
