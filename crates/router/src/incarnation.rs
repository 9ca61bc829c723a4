//! Checks whether an endpoint has started again since it wrote its row.

use std::time::Duration;

use bytes::Bytes;
use endpoint::{
    Failure,
    Fault,
    Options,
    Target,
    Verdict, //
};
use http_body_util::Full;
use state::clock;

use crate::{
    fleet::Endpoint,
    node::Node,
    protocol::Protocol,
    relay::Dialer, //
};

/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Asks an engine whether it still is the incarnation that has written its row: it may have started
/// again under its name with another build, and its newer row may be on the way.
///
/// The report leaves its connection to the pool, which gives it to the next request.
///
/// # Errors
///
/// If it is another one, or does not say so to an instance that does not see the table. The request that
/// follows has not run.
pub async fn check<P: Protocol>(
    node: &Node<P>,
    endpoint: &Endpoint,
    options: Options,
) -> Result<(), Failure> {
    let registration = &endpoint.registration;
    // Endpoints that do not number their incarnations are known by their names alone.
    if registration.incarnation == 0 || endpoint.model().is_none() {
        return Ok(());
    }
    let target = Target {
        address: registration.address,
        echoes_id: true,
    };
    let request = P::report_request(&registration.name, registration.address);
    let request = request.map(|_| Full::new(Bytes::new()));
    let options = Options {
        head_timeout: options.head_timeout.min(REPORT_TIMEOUT),
        ..options
    };
    let not_run = |failure| Failure {
        verdict: Verdict::NotRun,
        ..failure
    };
    let dialer = Dialer { node, registration };
    let answer = node.pool.send(target, request, options, &dialer).await;
    let answer = answer.map_err(not_run)?;
    let report = answer.collect(MAX_REPORT_BYTES, REPORT_TIMEOUT).await;
    let (_, body) = report.map_err(not_run)?;
    let stated = P::read_report(&body)
        .ok()
        .and_then(|report| report.incarnation);
    let is_same = match stated {
        Some(incarnation) => incarnation == registration.incarnation,
        None => node.exchange.is_in_touch(clock::now()),
    };
    if is_same {
        return Ok(());
    }
    Err(Failure {
        address: target.address,
        verdict: Verdict::NotRun,
        fault: Fault::OtherIncarnation,
    })
}
