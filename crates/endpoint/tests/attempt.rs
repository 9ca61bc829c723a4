//! What the attempts of one request say together.

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
fn no_later_attempt_makes_an_earlier_one_unsent() {
    let mut record = Record::default();
    assert_eq!((record.begin(), record.verdict()), (1, Verdict::NotRun));
    record.failed(&"a".into(), failure(Verdict::MayHaveRun, Fault::Timeout));
    assert_eq!((record.begin(), record.runs()), (2, 1));
    let refused = Fault::Connect("refused".to_owned());
    record.failed(&"b".into(), failure(Verdict::NotRun, refused));
    assert_eq!((record.verdict(), record.runs()), (Verdict::MayHaveRun, 1));
    assert!(!record.has_arrived());
    assert_eq!(record.tried().len(), 2);
}

#[test]
fn an_answer_that_breaks_off_is_one_run() {
    let mut record = Record::default();
    record.begin();
    record.ran();
    record.broke_off(&"a".into(), failure(Verdict::MayHaveRun, Fault::Empty));
    assert_eq!((record.runs(), record.verdict()), (1, Verdict::MayHaveRun));
    assert!(record.has_arrived());
    record.forgive();
    assert_eq!(record.tried().len(), 1);
    record.forgive_all();
    assert!(record.tried().is_empty());
}
