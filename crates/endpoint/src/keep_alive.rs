//! How long an endpoint keeps idle connections open.

use std::time::Duration;

use http::HeaderMap;

const KEEP_ALIVE: &str = "keep-alive";

/// Time for which a connection may be used once it is idle, if the answer on it states a time after
/// which the endpoint closes it (`Keep-Alive: timeout=5`).
///
/// It is half of that: the endpoint counts from an earlier moment than this side, and the next request
/// must arrive before it closes the connection.
pub(crate) fn usable(headers: &HeaderMap) -> Option<Duration> {
    let values = headers.get_all(KEEP_ALIVE).into_iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let stated = texts.flat_map(|text| text.split(',')).filter_map(timeout);
    stated.min().map(|stated| stated / 2)
}

fn timeout(parameter: &str) -> Option<Duration> {
    let (name, value) = parameter.split_once('=')?;
    if !name.trim().eq_ignore_ascii_case("timeout") {
        return None;
    }
    let seconds = value.trim().trim_matches('"').parse().ok()?;
    Some(Duration::from_secs(seconds))
}
