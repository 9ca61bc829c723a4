//! Endpoints of a table that was restored from an older copy.

use std::time::Duration;

use platform::table::{
    Change,
    Revision, //
};
use router::{
    endpoints::Endpoints,
    fleet::Registration,
    protocol::{
        Invalid,
        OperatorRow,
        RolloutOrder,
        RolloutState,
        Rows, //
    }, //
};

/// Endpoint rows of three bytes: incarnation, sequence, and whether the endpoint is leaving.
struct TestRows;

impl Rows for TestRows {
    const OPERATOR_PREFIX: &'static str = "op/";
    const ENDPOINT_PREFIX: &'static str = "e/";

    fn read_operator_row(_: &str, _: &[u8]) -> Result<OperatorRow, Invalid> {
        Ok(OperatorRow::Other)
    }

    fn read_endpoint_row(key: &str, value: &[u8]) -> Result<Registration, Invalid> {
        Ok(Registration {
            name: key.into(),
            incarnation: value[0].into(),
            sequence: value[1].into(),
            service: "s".into(),
            address: ([127, 0, 0, 1], 9).into(),
            domain: "d".into(),
            build: "".into(),
            slots: 1,
            leaving: value[2] > 0,
            weights: Vec::new(),
        })
    }

    fn rollout_status_key(service: &str) -> String {
        service.to_owned()
    }

    fn write_rollout_status(_: &RolloutOrder, _: RolloutState) -> Vec<u8> {
        Vec::new()
    }
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// The endpoints as an instance knows them.
#[derive(Default)]
struct Known(Endpoints);

impl Known {
    /// Applies a change of the row of endpoint `key`.
    fn apply(&self, key: &str, value: Option<[u8; 3]>, revision: (u64, u64), now: Duration) {
        let (era, number) = revision;
        let change = Change {
            key: key.to_owned(),
            value: value.map(Vec::from),
            revision: Revision { era, number },
        };
        self.0.apply::<TestRows>(&[change], now);
    }

    /// Names and sequences of the endpoints at `now`.
    fn list(&self, now: Duration) -> Vec<(String, u64)> {
        self.0.expire(now);
        let fleet = self.0.fleet();
        let registrations = fleet.all().iter().map(|endpoint| &endpoint.registration);
        registrations
            .map(|registration| (registration.name.to_string(), registration.sequence))
            .collect()
    }
}

#[test]
fn an_endpoint_that_left_does_not_return_with_an_older_copy() {
    let known = Known::default();
    known.apply("e/a", Some([1, 3, 0]), (1, 10), at(0));
    known.apply("e/a", None, (1, 20), at(1));
    known.apply("e/a", Some([1, 2, 0]), (2, 8), at(2));
    assert_eq!(known.list(at(6)), []);
    known.apply("e/a", None, (2, 12), at(6));
    assert_eq!(known.list(at(60)), []);
}

#[test]
fn a_row_written_after_the_restore_counts_at_once() {
    let known = Known::default();
    known.apply("e/a", Some([1, 3, 0]), (1, 10), at(0));
    known.apply("e/a", None, (1, 20), at(1));
    known.apply("e/a", Some([1, 3, 0]), (2, 10), at(2));
    assert_eq!(known.list(at(3)), []);
    known.apply("e/a", Some([1, 4, 0]), (2, 15), at(3));
    assert_eq!(known.list(at(3)), [("e/a".to_owned(), 4)]);
    // A later incarnation counts its rows anew.
    known.apply("e/a", Some([2, 0, 0]), (3, 9), at(4));
    assert_eq!(known.list(at(4)), [("e/a".to_owned(), 0)]);
}

#[test]
fn a_row_that_stays_in_the_copy_counts_in_the_end() {
    let known = Known::default();
    known.apply("e/a", Some([1, 3, 0]), (1, 10), at(0));
    known.apply("e/a", None, (1, 20), at(1));
    known.apply("e/a", Some([1, 3, 0]), (2, 10), at(2));
    assert_eq!(known.list(at(7)), [("e/a".to_owned(), 3)]);
}

#[test]
fn a_leaving_endpoint_stays_leaving_over_a_restore() {
    let known = Known::default();
    known.apply("e/a", Some([1, 3, 0]), (1, 10), at(0));
    known.apply("e/a", Some([1, 4, 1]), (1, 20), at(1));
    known.apply("e/a", Some([1, 3, 0]), (2, 10), at(2));
    assert_eq!(known.list(at(3)), [("e/a".to_owned(), 4)]);
    known.apply("e/a", None, (2, 12), at(3));
    assert_eq!(known.list(at(3)), []);
}

#[test]
fn an_endpoint_that_the_copy_lacks_stays_until_it_had_time_to_register() {
    for denied in [false, true] {
        let known = Known::default();
        known.apply("e/a", Some([1, 1, 0]), (1, 10), at(0));
        known.apply("e/b", Some([1, 1, 0]), (1, 11), at(0));
        known.0.set_witnessed_end(denied.then_some(at(2)));
        for key in ["e/a", "e/b"] {
            known.apply(key, None, (2, 8), at(2));
        }
        known.apply("e/a", Some([1, 2, 0]), (2, 9), at(4));
        assert_eq!(known.list(at(6)).len(), 2, "denied: {denied}");
        assert_eq!(known.list(at(7)), [("e/a".to_owned(), 2)]);
        // A deletion of the present era removes it at once.
        known.apply("e/a", None, (2, 12), at(8));
        assert_eq!(known.list(at(8)), []);
    }
}
