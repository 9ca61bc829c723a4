//! Polls for conditions with a timeout.

use std::{
    future::Future,
    time::{
        Duration,
        Instant, //
    }, //
};

use anyhow::bail;

/// Timeout of any wait; far beyond what a loaded machine needs.
pub const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `condition` until it returns a value.
///
/// # Errors
///
/// If it returns none within [`TIMEOUT`]; the error names `goal`.
pub async fn until<T, F, Fut>(goal: &str, mut condition: F) -> anyhow::Result<T>
where
    F: FnMut() -> Fut,
    Fut: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return Ok(value);
        }
        if start.elapsed() > TIMEOUT {
            bail!("{goal}: not within {TIMEOUT:?}");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
