//! Places a stream at another endpoint while the present one still serves it.

use std::{
    sync::Arc,
    time::Duration, //
};

use endpoint::{
    Failure,
    Fault,
    Options,
    Verdict, //
};
use http::StatusCode;
use http_body_util::Full;

use super::{
    Attempts,
    MIN_TIME_LEFT,
    Placed,
    options, //
};
use crate::{
    choose::{
        self,
        Selection, //
    },
    node::Node,
    protocol::{
        Protocol,
        Rejection,
        Reservation, //
    },
    quarantine,
    request::Call, //
};

/// Endpoints that are asked for room before the stream stays for a while.
const MAX_ASKED: usize = 3;
/// Timeout of a request for room.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which the stream arrives where room is reserved.
const RESERVATION_TIME: Duration = Duration::from_secs(1);
/// Maximum size of the response, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 10;

impl Attempts {
    /// Chooses another endpoint that can go on with a stream, and has it reserve room or connects to
    /// it, while `present` still serves the stream. The next attempt goes there, and a retry is charged
    /// for it.
    ///
    /// # Errors
    ///
    /// Why there is none now.
    pub async fn place_ahead<P: Protocol>(
        &mut self,
        node: &Node<P>,
        call: &Call,
        present: &Arc<str>,
    ) -> Result<(), String> {
        let no_retry = || Err("no retry is left".to_owned());
        if call.time_left() < MIN_TIME_LEFT || !node.has_retry_left(&call.service) {
            return no_retry();
        }
        // It might wait elsewhere until the stop ends, though the present endpoint would go on in time.
        if max_reservation(call).is_none() && node.is_stopping() {
            return Err("this instance stops, and no room is reserved".to_owned());
        }
        let excluded = vec![present.clone()];
        let placed = self.find_room(node, call, excluded).await?;
        if !node.try_charge_retry(&call.service) {
            return no_retry();
        }
        self.placed = Some(placed);
        Ok(())
    }

    /// Chooses an endpoint that is none of `excluded` and has not failed the request, and has it reserve
    /// room or connects to it.
    ///
    /// # Errors
    ///
    /// Why there is none now.
    pub(super) async fn find_room<P: Protocol>(
        &self,
        node: &Node<P>,
        call: &Call,
        mut excluded: Vec<Arc<str>>,
    ) -> Result<Placed, String> {
        let trial = quarantine::check(node, call).await;
        let trial = trial.map_err(|refusal| refusal.message)?;
        excluded.extend(self.excluded(node, call));
        let mut asked = 0;
        loop {
            let selection = choose::choose(node, call, &excluded, true).await;
            let selection = selection.map_err(|refusal| refusal.message)?;
            asked += 1;
            let failure = match reserve(node, call, &selection).await {
                Ok(reservation) => {
                    return Ok(Placed {
                        selection,
                        trial,
                        reservation,
                    });
                }
                Err(failure) => failure,
            };
            if failure.fault.is_unconnected() {
                selection.record_unreachable(node, &failure.fault);
            }
            if asked == MAX_ASKED {
                return Err(failure.to_string());
            }
            excluded.push(selection.endpoint.registration.name.clone());
        }
    }
}

/// Has the endpoint reserve room for the call, and returns the id of the reservation. One that reserves
/// none is only connected to anew, since an idle connection may be silent.
async fn reserve<P: Protocol>(
    node: &Node<P>,
    call: &Call,
    selection: &Selection,
) -> Result<Option<String>, Failure> {
    let target = selection.target();
    let dialer = selection.dialer(node);
    let options = options(node, call);
    let connect = async || node.pool.connect(target, options, &dialer).await;
    let (Some(ttl), Some(size)) = (max_reservation(call), call.head.size) else {
        return connect().await.map(|()| None);
    };
    let reservation = Reservation {
        endpoint: &selection.endpoint.registration.name,
        tokens: size.prompt.saturating_add(size.max_answer),
        ttl: ttl.min(RESERVATION_TIME),
    };
    let request = P::reservation_request(&reservation, target.address).map(Full::new);
    let options = Options {
        head_timeout: options.head_timeout.min(RESERVE_TIMEOUT),
        ..options
    };
    let answer = node.pool.send(target, request, options, &dialer).await?;
    let status = answer.head.status;
    let reply = P::read_reply(&answer.head, reservation.endpoint);
    let (_, body) = answer.collect(MAX_RESPONSE_BYTES, RESERVE_TIMEOUT).await?;
    match status {
        StatusCode::OK => Ok(P::read_reservation(&body)),
        StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED | StatusCode::NOT_IMPLEMENTED => {
            connect().await.map(|()| None)
        }
        _ if reply.rejection == Some(Rejection::EndpointMismatch) => Err(Failure {
            address: target.address,
            verdict: Verdict::NotRun,
            fault: Fault::OtherIncarnation,
        }),
        _ => Err(Failure {
            address: target.address,
            verdict: Verdict::NotRun,
            fault: Fault::ErrorStatus(status.as_u16()),
        }),
    }
}

/// Longest time for which the engines of the call's service reserve room, if they do.
fn max_reservation(call: &Call) -> Option<Duration> {
    let service = call.catalog.service(&call.service)?;
    service.engine?.max_reservation
}
