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

/// Timer of a connection, for the timeout of the next head.
///
/// hyper keeps the timeout with which the connection began. The timer goes on if the service
/// allows more by now.
pub struct Timer<S>(pub Arc<S>);

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
            service: self.0.clone(),
            began_at: Instant::now(),
            sleep: Box::pin(tokio::time::sleep_until(deadline.into())),
            is_last_read: false,
        })
    }
}

/// Wait for the next head.
struct Wait<S> {
    service: Arc<S>,
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
            if this.is_last_read {
                return Poll::Ready(());
            }
            let now = Instant::now();
            let mut deadline = this.began_at + this.service.head_timeout();
            if deadline <= now {
                this.is_last_read = true;
                deadline = now + LAST_READ_TIME;
            }
            this.sleep.as_mut().reset(deadline.into());
        }
    }
}
