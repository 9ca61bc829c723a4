//! The combined outcome of the attempts of one request.

use endpoint::{
    Failure,
    Fault,
    Verdict,
    attempt::Record, //
};

fn failure(verdict: Verdict, fault: Fault) -> Failure {
    Failure {
        address: ([127, 0, 0, 1], 1).into(),
        verdict,
        fault,
    }
}

#[test]
fn later_attempt_does_not_lower_the_verdict() {
    let mut record = Record::default();
    assert_eq!((record.begin(), record.verdict()), (1, Verdict::NotRun));
    record.add_failure(&"a".into(), failure(Verdict::MayHaveRun, Fault::Timeout));
    assert_eq!((record.begin(), record.runs()), (2, 1));
    let refused = Fault::Connect("refused".to_owned());
    record.add_failure(&"b".into(), failure(Verdict::NotRun, refused));
    assert_eq!((record.verdict(), record.runs()), (Verdict::MayHaveRun, 1));
    assert!(!record.has_reached_endpoint());
    assert_eq!(record.tried().len(), 2);
}

#[test]
fn truncated_answer_counts_as_one_run() {
    let mut record = Record::default();
    record.begin();
    record.add_run();
    record.add_truncation(&"a".into(), failure(Verdict::MayHaveRun, Fault::Empty));
    assert_eq!((record.runs(), record.verdict()), (1, Verdict::MayHaveRun));
    assert!(record.has_reached_endpoint());
    record.allow_all_but_last();
    assert_eq!(record.tried().len(), 1);
    record.allow_all();
    assert!(record.tried().is_empty());
}
