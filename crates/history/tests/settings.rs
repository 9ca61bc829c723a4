//! Each checker of settings accepts a valid history and rejects an invalid one.

use history::{
    Entry,
    settings::{
        Answer,
        Commit,
        Event,
        check_commits,
        check_in_force,
        check_monotone,
        check_monotone_across_restarts, //
    }, //
};

fn entries<E>(events: impl IntoIterator<Item = E>) -> Vec<Entry<E>> {
    (1u64..)
        .zip(events)
        .map(|(at, event)| Entry {
            at_us: at * 10,
            event,
        })
        .collect()
}

fn propose(writer: usize, id: &str, base: u64) -> Event {
    Event::Proposed {
        writer,
        write_id: id.to_owned(),
        base,
    }
}

fn answer(writer: usize, answer: Answer) -> Event {
    Event::Answered { writer, answer }
}

fn conflict(revision: u64, author: &str) -> Answer {
    Answer::Conflict {
        revision,
        author: author.to_owned(),
    }
}

fn recorded_commits(writes: &[(&str, &str)]) -> Vec<Commit> {
    (1u64..)
        .zip(writes)
        .map(|(revision, (author, id))| Commit {
            revision,
            author: (*author).to_owned(),
            write_id: (*id).to_owned(),
        })
        .collect()
}

fn check_history(events: Vec<Event>, writes: &[(&str, &str)]) -> Result<(), String> {
    let authors = ["a".to_owned(), "b".to_owned()];
    check_commits(&entries(events), &authors, &recorded_commits(writes))
}

#[test]
fn a_linearizable_race_passes() {
    let events = vec![
        propose(0, "x", 0),
        propose(1, "y", 0),
        answer(1, conflict(1, "a")),
        answer(0, Answer::Accepted(1)),
        propose(1, "z", 1),
        answer(1, Answer::Unknown),
        propose(1, "v", 2),
        answer(1, Answer::Accepted(3)),
    ];
    let writes = [("a", "x"), ("b", "z"), ("b", "v")];
    assert_eq!(check_history(events, &writes), Ok(()));
}

#[test]
fn invalid_commits_are_rejected() {
    type Case<'a> = (&'a str, Vec<Event>, &'a [(&'a str, &'a str)]);
    let cases: [Case<'_>; 6] = [
        (
            "not linearizable",
            vec![
                propose(0, "x", 0),
                answer(0, Answer::Accepted(1)),
                // The conflict names a revision that did not exist yet.
                propose(1, "y", 1),
                answer(1, conflict(2, "a")),
                propose(0, "z", 1),
                answer(0, Answer::Accepted(2)),
            ],
            &[("a", "x"), ("a", "z")],
        ),
        (
            "not linearizable",
            vec![
                propose(0, "x", 0),
                propose(1, "y", 0),
                answer(0, Answer::Accepted(1)),
                // Both were accepted on top of revision 0, so the first change was lost.
                answer(1, Answer::Accepted(2)),
            ],
            &[("a", "x"), ("b", "y")],
        ),
        (
            "not linearizable",
            vec![
                propose(0, "x", 0),
                propose(1, "y", 0),
                answer(0, Answer::Accepted(1)),
                // The conflict names the wrong author.
                answer(1, conflict(1, "b")),
            ],
            &[("a", "x")],
        ),
        (
            "the table has None",
            vec![propose(0, "x", 0), answer(0, Answer::Accepted(1))],
            &[],
        ),
        (
            "yet made revision 1",
            vec![propose(0, "x", 0), answer(0, Answer::NotApplied)],
            &[("a", "x")],
        ),
        (
            "applied twice",
            vec![propose(0, "x", 0), answer(0, Answer::Accepted(1))],
            &[("a", "x"), ("a", "x")],
        ),
    ];
    for (expected, events, writes) in cases {
        let error = check_history(events, writes).unwrap_err();
        assert!(error.contains(expected), "{expected}: {error}");
    }
}

fn observe(incarnation: u64, revision: u64, asked_us: u64) -> Event {
    Event::Observed {
        instance: "i".to_owned(),
        incarnation,
        revision,
        asked_us,
    }
}

#[test]
fn a_falling_revision_is_rejected() {
    let falls = entries([observe(1, 2, 0), observe(1, 1, 0)]);
    assert!(check_monotone(&falls).is_err());
    let falls_at_restart = entries([observe(1, 2, 0), observe(2, 1, 0)]);
    assert_eq!(check_monotone(&falls_at_restart), Ok(()));
    assert!(check_monotone_across_restarts(&falls_at_restart).is_err());
}

#[test]
fn a_revision_in_force_too_late_is_rejected() {
    // Accepted at 20, observed by queries at 25 and 125.
    let history = |late: u64| {
        entries([
            propose(0, "x", 0),
            answer(0, Answer::Accepted(1)),
            observe(1, 0, 25),
            observe(1, late, 125),
        ])
    };
    assert_eq!(check_in_force(&history(1), 100), Ok(()));
    assert!(check_in_force(&history(0), 100).is_err());
}
