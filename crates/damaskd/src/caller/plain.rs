//! Plain services behind a path prefix.

use std::sync::Arc;

use endpoint::{
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
        Chosen, //
    },
    fresh,
    key,
    once,
    outgoing::Outgoing, //
};
use crate::{
    http::Body,
    node::Node, //
};

/// Headers of the answer that the caller gets; all others are dropped.
const RETURNED: [HeaderName; 6] = [
    header::CACHE_CONTROL,
    header::CONTENT_TYPE,
    header::ETAG,
    header::LAST_MODIFIED,
    header::LOCATION,
    header::RETRY_AFTER,
];

/// Tokens charged for a request to a plain service.
const PLAIN_TOKENS: u64 = 1;
/// Times that a request is sent again to an endpoint that runs it only once.
const MAX_DEDUPLICATED_RESENDS: u32 = 2;

/// A request to a plain service that passed the checks.
#[derive(Debug)]
pub struct Job {
    /// The instance.
    pub node: Arc<Node>,
    /// The request.
    pub call: Call,
    /// The route that serves it.
    pub route: Arc<RouteEntry>,
    /// What endpoints get of it.
    pub outgoing: Outgoing,
    /// Name of its claim, which endpoints that deduplicate get as a key.
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
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    let Some(route) = call.snapshot().plain_route(path).cloned() else {
        let message = format!("no route for {} {path}", parts.method);
        return Err(Refusal::not_run(Code::NoRoute, message));
    };
    fresh::check(node, &route)?;
    let workspace = authorize(call, &route, &parts)?;
    let claim = once::name(&route, &workspace, &parts.headers)?;
    let body = body::read(body, &node.config.limits).await?;
    // Again: the body may have taken long to arrive.
    key::check(node, call, &route)?;
    let outgoing = Outgoing::new(&parts, body);
    key::stays_out(&parts.headers, &outgoing.visible())?;
    let demand = Demand {
        workspace: workspace.clone(),
        route: route.clone(),
        class: route.class(),
        tokens: PLAIN_TOKENS,
        deadline: route.route.deadline,
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
        Some(_) => once::run(job).await,
        None => job.send().await.map(|answer| respond(&answer)),
    };
    let response = result.inspect_err(|refusal| permit.hold(refusal.verdict))?;
    permit.settle(PLAIN_TOKENS);
    node.metrics.record_request(Sample {
        workspace: &workspace,
        class: class.as_str(),
        outcome: "ok",
        first_token: Some(call.arrived.elapsed()),
        total: call.arrived.elapsed(),
        ..Sample::default()
    });
    Ok(response)
}

/// The workspace, or nothing on open routes.
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

/// The caller's response to an answer of an endpoint.
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
    /// Sends the request to one endpoint after another, as far as that is safe.
    ///
    /// # Errors
    ///
    /// The refusal, with the verdict of all attempts together.
    pub async fn send(&self) -> Result<Answer, Refusal> {
        let mut attempts = Attempts::new(&self.call, self.route.route.deadline);
        loop {
            attempts.in_time()?;
            let tried = attempts.tried();
            let chosen = choose::choose(
                &self.node,
                &self.call,
                &self.route,
                &Chain::default(),
                tried,
            )
            .map_err(|refusal| attempts.refuse(refusal))?;
            let once = self.claim.is_some() && chosen.entry.endpoint.deduplicates;
            let mut resends = if once { MAX_DEDUPLICATED_RESENDS } else { 0 };
            loop {
                let failure = match self.attempt(&mut attempts, &chosen, once).await {
                    Ok(answer) => return Ok(answer),
                    Err(failure) => failure,
                };
                let unsent = failure.verdict == Verdict::NotRun;
                attempts.fail(&self.node, &chosen, failure);
                if unsent || resends == 0 || attempts.remaining().is_zero() {
                    break;
                }
                resends -= 1;
            }
            let last = attempts.tried().len() >= self.route.route.endpoints.len();
            if last || !attempts.may_go_on(&self.node, self.route.route.repeatable) {
                return Err(attempts.give_up());
            }
        }
    }

    async fn attempt(
        &self,
        attempts: &mut Attempts,
        chosen: &Chosen,
        once: bool,
    ) -> Result<Answer, Failure> {
        let target = Target {
            address: chosen.entry.endpoint.address,
            echoes_id: chosen.entry.endpoint.echoes_id,
        };
        let limits = &self.node.config.limits;
        let options = Options {
            connect_timeout: limits.connect_timeout,
            head_timeout: attempts.remaining(),
            max_idle: endpoint::pool::MAX_IDLE,
            reuse: self.route.route.repeatable,
        };
        let key = self.claim.as_deref().filter(|_| once);
        let request = self.outgoing.request(target, &attempts.begin(), key)?;
        let answer = self.node.pool.send(target, request, options).await?;
        let refused = Failure::refused(target.address, &answer.head);
        if refused.verdict == Verdict::NotRun {
            return Err(refused);
        }
        let (head, body) = answer
            .collect(limits.max_body_bytes, attempts.remaining())
            .await?;
        chosen.began(&self.node, &head.headers);
        Ok(Answer {
            status: head.status.as_u16(),
            headers: returned(&head.headers),
            body: body.to_vec(),
        })
    }
}

fn returned(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |name: &HeaderName| {
        let value = headers.get(name)?.to_str().ok()?;
        Some((name.to_string(), value.to_owned()))
    };
    RETURNED.iter().filter_map(text).collect()
}
