//! Order of the planners of one cell.

/// Who placed a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rank {
    /// The planner of the cell.
    First,
    /// The instance that stands in for the planner while it does not answer.
    Second,
}

impl Rank {
    /// Name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "planner",
            Self::Second => "second",
        }
    }
}
