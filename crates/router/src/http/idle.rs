//! When idle connections are closed.

use std::{
    fmt,
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use hyper::rt;

use super::{
    LAST_READ_TIME,
    Service, //
};
use crate::ingress::Connection;

/// Timer of a connection, for the timeout of the next head.
///
/// hyper keeps the timeout with which the connection began. The timer goes on if the service
/// allows more by now, or the connection is in use: a head that has begun and an answer that is not
/// written have bounds of their own.
pub struct Timer<S> {
    /// The service of the plane.
    pub service: Arc<S>,
    /// The connection.
    pub connection: Arc<Connection>,
}

impl<S> fmt::Debug for Timer<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Timer").finish_non_exhaustive()
    }
}

impl<S: Service> rt::Timer for Timer<S> {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn rt::Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn rt::Sleep>> {
        Box::pin(Wait {
            service: self.service.clone(),
            connection: self.connection.clone(),
            began_at: Instant::now(),
            sleep: Box::pin(tokio::time::sleep_until(deadline.into())),
            is_last_read: false,
        })
    }
}

/// Wait for the next head.
struct Wait<S> {
    service: Arc<S>,
    connection: Arc<Connection>,
    began_at: Instant,
    sleep: Pin<Box<tokio::time::Sleep>>,
    /// Whether the deadline has passed, and only a head that has arrived is waited for. An instance
    /// that was held up may see the end of its timers before what arrived in the meantime.
    is_last_read: bool,
}

impl<S: Service> rt::Sleep for Wait<S> {}

impl<S: Service> Future for Wait<S> {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let this = self.get_mut();
        loop {
            ready!(this.sleep.as_mut().poll(cx));
            let now = Instant::now();
            if this.connection.is_in_use() {
                this.began_at = now;
                this.is_last_read = false;
            } else if this.is_last_read {
                return Poll::Ready(());
            }
            let mut deadline = this.began_at + this.service.head_timeout();
            if deadline <= now {
                this.is_last_read = true;
                deadline = now + LAST_READ_TIME;
            }
            this.sleep.as_mut().reset(deadline.into());
        }
    }
}
