//! Fault switches that every stand-in has.

use std::time::Duration;

use http::{
    Request,
    Response,
    StatusCode, //
};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use crate::{
    engine,
    plain,
    server::{
        Body,
        full_answer,
        read_json, //
    }, //
};

/// The connection is cut, so that the caller receives no answer or only a part of it.
#[derive(Clone, Copy, Debug)]
#[derive(Error)]
#[error("connection cut")]
pub struct Disconnect;

/// Faults to inject. `POST /fault` replaces all switches; those that it omits are turned off.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Cut every connection before the request has any effect.
    pub down: bool,
    /// Delay before each request, in milliseconds.
    pub delay_ms: u64,
    /// Cut the connections of this many requests before their effect.
    pub lose_requests: u32,
    /// Cut the connections of this many requests after their effect.
    pub lose_answers: u32,
    /// Cut the connections of this many table transactions after their effect.
    pub lose_writes: u32,
    /// Cut the connections of this many table transactions before their effect.
    pub drop_writes: u32,
    /// Fault of an engine.
    pub engine: Option<Injection<engine::Fault>>,
    /// Fault of a plain service.
    pub plain: Option<Injection<plain::Fault>>,
}

/// A fault and the number of requests that it affects.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Injection<F> {
    /// The fault.
    pub what: F,
    /// Remaining number of requests that it affects; `None` for all.
    pub times: Option<u32>,
}

impl<F: Copy> Injection<F> {
    /// Fault for the next request, which it counts.
    fn next_fault(injection: &mut Option<Self>) -> Option<F> {
        let injection = injection.as_mut()?;
        match &mut injection.times {
            None => {}
            Some(0) => return None,
            Some(remaining) => *remaining -= 1,
        }
        Some(injection.what)
    }
}

/// The switches of one stand-in.
#[derive(Debug, Default)]
pub struct Faults {
    switches: Mutex<Switches>,
}

impl Faults {
    /// Sets all switches from the JSON body of a request.
    pub async fn set_from_request(&self, request: Request<Incoming>) -> Response<Body> {
        match read_json(request).await {
            Ok(switches) => {
                self.set(switches);
                full_answer(StatusCode::OK, "")
            }
            Err(response) => response,
        }
    }

    /// Sets all switches.
    pub fn set(&self, switches: Switches) {
        *self.switches.lock() = switches;
    }

    /// Applies the faults that come before the effect of a request.
    ///
    /// # Errors
    ///
    /// If the connection is to be cut.
    pub async fn before_request(&self) -> Result<(), Disconnect> {
        let switches = self.switches.lock().clone();
        if switches.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(switches.delay_ms)).await;
        }
        if switches.down || self.lose_request() {
            return Err(Disconnect);
        }
        Ok(())
    }

    fn lose_request(&self) -> bool {
        let mut switches = self.switches.lock();
        let is_lost = switches.lose_requests > 0;
        switches.lose_requests = switches.lose_requests.saturating_sub(1);
        is_lost
    }

    /// Fault of an engine for the next request, which it counts.
    pub fn next_engine_fault(&self) -> Option<engine::Fault> {
        Injection::next_fault(&mut self.switches.lock().engine)
    }

    /// Fault of a plain service for the next request, which it counts.
    pub fn next_plain_fault(&self) -> Option<plain::Fault> {
        Injection::next_fault(&mut self.switches.lock().plain)
    }

    /// Applies the faults that come after the effect of a request.
    ///
    /// # Errors
    ///
    /// If the connection is to be cut.
    pub fn after_request(&self) -> Result<(), Disconnect> {
        self.consume(|switches| &mut switches.lose_answers)
    }

    /// Applies the faults that come before the effect of a table transaction.
    ///
    /// # Errors
    ///
    /// If the connection is to be cut.
    pub fn before_write(&self) -> Result<(), Disconnect> {
        self.consume(|switches| &mut switches.drop_writes)
    }

    /// Applies the faults that come after the effect of a table transaction.
    ///
    /// # Errors
    ///
    /// If the connection is to be cut.
    pub fn after_write(&self) -> Result<(), Disconnect> {
        self.consume(|switches| &mut switches.lose_writes)
    }

    /// Cuts the connection if the counter that `counter` selects is not 0, and decrements it.
    fn consume(&self, counter: impl Fn(&mut Switches) -> &mut u32) -> Result<(), Disconnect> {
        let mut switches = self.switches.lock();
        let remaining = counter(&mut switches);
        if *remaining == 0 {
            return Ok(());
        }
        *remaining -= 1;
        Err(Disconnect)
    }
}
