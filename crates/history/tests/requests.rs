//! The checkers of claims and streams detect histories with violations.

use history::{
    Entry,
    claim::{
        self,
        Event, //
    },
    stream::{
        self,
        Transcript, //
    }, //
};

fn answered(body: &str) -> Event {
    Event::Answered {
        charge: "c".to_owned(),
        body: body.to_owned(),
    }
}

fn refused(verdict: &str) -> Event {
    Event::Refused {
        charge: "c".to_owned(),
        verdict: verdict.to_owned(),
    }
}

fn ran() -> Event {
    Event::Ran {
        charge: "c".to_owned(),
    }
}

#[test]
fn invalid_claim_histories_are_detected() {
    let cases = [
        (vec![ran(), answered("1")], true),
        (vec![refused("not_run"), ran(), answered("1")], true),
        (vec![refused("may_have_run"), ran()], true),
        (vec![refused("may_have_run")], true),
        (vec![ran(), answered("1"), answered("1")], true),
        (vec![ran(), answered("1"), ran()], false),
        (vec![ran(), answered("1"), answered("2")], false),
        (vec![answered("1")], false),
        (vec![refused("not_run"), ran()], false),
        (vec![refused("not_run"), refused("not_run"), ran()], false),
    ];
    for (events, is_valid) in cases {
        let entries: Vec<Entry<Event>> = events
            .into_iter()
            .map(|event| Entry { at_us: 0, event })
            .collect();
        assert_eq!(claim::check(&entries).is_ok(), is_valid, "{entries:?}");
    }
}

#[test]
fn invalid_streams_are_detected() {
    let words = |text: &str| -> Vec<String> { text.split(' ').map(str::to_owned).collect() };
    let expected = words("a b c");
    let complete = Transcript {
        indexes: vec![0, 1, 2],
        tokens: expected.clone(),
        counted: Some(3),
        done: true,
        error: false,
    };
    let partial = Transcript {
        indexes: vec![0, 1],
        tokens: words("a b"),
        counted: None,
        done: false,
        error: true,
    };
    let cases = [
        (complete.clone(), true),
        (partial.clone(), true),
        (
            Transcript {
                error: false,
                ..partial.clone()
            },
            false,
        ),
        (
            Transcript {
                done: true,
                error: false,
                counted: Some(2),
                ..partial.clone()
            },
            false,
        ),
        (
            Transcript {
                indexes: vec![0, 2],
                ..partial.clone()
            },
            false,
        ),
        (
            Transcript {
                indexes: vec![0, 0],
                ..partial.clone()
            },
            false,
        ),
        (
            Transcript {
                tokens: words("a c"),
                ..partial
            },
            false,
        ),
        (
            Transcript {
                counted: Some(2),
                ..complete.clone()
            },
            false,
        ),
        (
            Transcript {
                error: true,
                ..complete
            },
            false,
        ),
        (Transcript::default(), false),
    ];
    for (transcript, is_valid) in cases {
        assert_eq!(
            stream::check(&expected, &transcript).is_ok(),
            is_valid,
            "{transcript:?}"
        );
    }
}
