//! Metrics of the calls to the platform's table, which are rate-limited and billed.

use std::{
    sync::Arc,
    time::Duration, //
};

use platform::{
    http::Fault,
    table::{
        Changes,
        Outcome,
        Range,
        Reading,
        Revision,
        Row,
        Table,
        Txn,
        Watch,
        WatchFault, //
    }, //
};
use telemetry::metrics::Metrics;

/// A table that counts the calls to it in the metrics.
#[derive(Clone, Debug)]
pub struct Counted<T> {
    table: T,
    metrics: Arc<Metrics>,
}

impl<T> Counted<T> {
    /// Wraps `table`.
    pub fn new(table: T, metrics: Arc<Metrics>) -> Self {
        Self { table, metrics }
    }

    fn count<A>(&self, call: &'static str, answer: Result<A, Fault>) -> Result<A, Fault> {
        let outcome = match &answer {
            Ok(_) => "ok",
            Err(Fault::Refused { .. }) => "refused",
            Err(Fault::NotSent { .. }) => "not_sent",
            Err(_) => "lost",
        };
        self.metrics.count_table_call(call, outcome);
        answer
    }
}

impl<T: Table> Table for Counted<T> {
    async fn range(&self, prefix: &str) -> Result<Range, Fault> {
        self.count("range", self.table.range(prefix).await)
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, Fault> {
        self.count("get", self.table.get(key).await)
    }

    async fn read(&self, key: &str) -> Result<Reading, Fault> {
        self.count("get", self.table.read(key).await)
    }

    async fn transact(&self, txn: Txn) -> Result<Outcome, Fault> {
        self.count("transact", self.table.transact(txn).await)
    }
}

impl<T: Watch> Watch for Counted<T> {
    async fn changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, WatchFault> {
        let answer = self.table.changes(prefix, after, wait).await;
        match answer {
            Err(WatchFault::Fault(fault)) => Ok(self.count("changes", Err(fault))?),
            Err(WatchFault::Compacted(after)) => {
                self.metrics.count_table_call("changes", "compacted");
                Err(WatchFault::Compacted(after))
            }
            Err(WatchFault::Restored { after, era }) => {
                self.metrics.count_table_call("changes", "restored");
                Err(WatchFault::Restored { after, era })
            }
            Ok(changes) => Ok(self.count("changes", Ok(changes))?),
        }
    }
}
