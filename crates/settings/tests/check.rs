//! Tests of the settings checks: each rule, and random malformed trees and paths with a fixed
//! seed.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use quickcheck::{
    Arbitrary,
    Gen,
    QuickCheck, //
};
use serde_json::{
    Value,
    json, //
};
use settings::{
    Digest,
    MAX_PATH_BYTES,
    MAX_ROW_BYTES,
    MAX_ROWS,
    Path,
    Problem,
    Row,
    Tree,
    check,
    check_transition, //
};

const SEED: u64 = 0xda3a_5c11;

fn row(path: &str, value: Value) -> Row {
    Row {
        path: path.parse().unwrap(),
        value,
    }
}

fn digest(key: &str) -> Value {
    json!(Digest::of(key.as_bytes()))
}

/// The rows of a valid tree, one of each kind.
fn valid_rows() -> Vec<Row> {
    let endpoint = json!({"kind": "model", "address": "10.0.0.1:80", "domain": "d"});
    vec![
        row("/fleet/endpoints/e", endpoint),
        row("/fleet/models/m", json!({"version": "1"})),
        row(
            "/operators/o",
            json!({"digest": digest("o"), "subtree": "/teams/t"}),
        ),
        row(
            "/teams/t/keys/k",
            json!({"workspace": "w", "digest": digest("k")}),
        ),
        row("/teams/t/routes/r", route(json!("/svc"), 1000)),
        row("/teams/t/workspaces/w", json!({"rate": 1, "burst": 1})),
    ]
}

fn route(prefix: Value, deadline_ms: u64) -> Value {
    let kind = json!({"plain": {"prefix": prefix}});
    json!({"kind": kind, "endpoints": ["e"], "deadline_ms": deadline_ms})
}

/// Checks the valid tree with `changed` rows added.
fn problems(changed: Vec<Row>) -> Vec<Problem> {
    check(&Tree::new(1, valid_rows().into_iter().chain(changed)))
        .err()
        .unwrap_or_default()
}

#[test]
fn each_rule_names_the_path_and_the_remedy() {
    let subtree = |text: &str| json!({"digest": digest("x"), "subtree": text});
    let key = |name: &str| json!({"workspace": "w", "digest": digest(name)});
    let endpoints = |list: Value| json!({"kind": {"model": {"model": "m"}}, "endpoints": list});
    let cases = [
        ("/teams/t", json!({}), "no setting has this path"),
        ("/teams/t/keys/l", key("k"), "another key has this digest"),
        ("/teams/t/keys/l", key("o"), "another key has this digest"),
        ("/teams/u/keys/l", key("u"), "create it first"),
        (
            "/teams/t/keys/l",
            json!({"workspace": "w", "digest": "00"}),
            "length",
        ),
        ("/operators/p", subtree("/"), "subtree"),
        ("/operators/p", subtree("teams/t"), "subtree"),
        ("/operators/p", subtree("/operators"), "subtree"),
        ("/operators/p", subtree("/teams/../operators"), "subtree"),
        ("/teams/t/routes/s", route(json!("/svc"), 1), "is taken by"),
        (
            "/teams/t/routes/s",
            route(json!("/v1/x"), 1),
            "must not start with",
        ),
        (
            "/teams/t/routes/s",
            route(json!("/a/../b"), 1),
            "must not start with",
        ),
        (
            "/teams/t/routes/s",
            route(json!("/a?b"), 1),
            "must not start with",
        ),
        ("/teams/t/routes/s", route(json!("/a"), 0), "deadline_ms"),
        (
            "/teams/t/routes/s",
            route(json!("/a"), u64::MAX),
            "deadline_ms",
        ),
        (
            "/teams/t/routes/s",
            endpoints(json!([])),
            "name at least one",
        ),
        (
            "/teams/t/routes/s",
            endpoints(json!(["f"])),
            "create it first",
        ),
        (
            "/teams/t/workspaces/v",
            json!({"rate": 1, "burst": 1, "weight": 0}),
            "weight",
        ),
        (
            "/teams/t/workspaces/v",
            json!({"rate": u64::MAX, "burst": 1}),
            "at most",
        ),
        (
            "/teams/t/workspaces/v",
            json!({"rate": -1, "burst": 1}),
            "integer `-1`",
        ),
        (
            "/teams/t/workspaces/v",
            json!({"rate": 1, "burst": 1, "x": 1}),
            "unknown field",
        ),
        (
            "/fleet/endpoints/f",
            json!({"kind": "plain", "address": "10.0.0.1:80", "domain": "d", "slots": 0}),
            "slots",
        ),
        (
            "/fleet/models/n",
            json!({"version": "v".repeat(MAX_ROW_BYTES)}),
            "bytes; at most",
        ),
    ];
    assert_eq!(problems(Vec::new()), Vec::new());
    for (path, value, expected) in cases {
        let found = problems(vec![row(path, value.clone())]);
        let is_expected = |p: &Problem| p.path == path && p.message.contains(expected);
        assert!(found.iter().any(is_expected), "{path} {value}: {found:?}");
    }
}

#[test]
fn a_tree_with_too_many_rows_is_refused() {
    let value = json!({"version": "1"});
    let rows = (0..=MAX_ROWS).map(|n| row(&format!("/fleet/models/m{n}"), value.clone()));
    let found = check(&Tree::new(1, rows)).unwrap_err();
    assert!(
        found
            .iter()
            .any(|p| p.path == "/" && p.message.contains("rows"))
    );
}

#[test]
fn a_withdrawn_key_stays_withdrawn() {
    let key = |withdrawn| json!({"workspace": "w", "digest": digest("k"), "withdrawn": withdrawn});
    let tree = |path: &str, withdrawn| Tree::new(1, [row(path, key(withdrawn))]);
    let old = tree("/teams/t/keys/k", true);
    assert_eq!(check_transition(&old, &old), Vec::new());
    for path in ["/teams/t/keys/k", "/teams/t/keys/other"] {
        let found = check_transition(&old, &tree(path, false));
        assert_eq!(found.len(), 1);
        assert_eq!(found[0].path, path);
    }
}

#[test]
fn a_tree_sorts_its_rows_and_keeps_the_last_row_of_each_path() {
    let text = r#"{"revision": 3, "rows": [
        {"path": "/b", "value": 1}, {"path": "/a", "value": 2}, {"path": "/b", "value": 3}]}"#;
    let tree: Tree = serde_json::from_str(text).unwrap();
    let rows = [row("/a", json!(2)), row("/b", json!(3))];
    assert_eq!(tree.rows().cloned().collect::<Vec<_>>(), rows);
    assert_eq!(tree.get(&"/b".parse().unwrap()), Some(&json!(3)));
}

#[test]
fn routes_are_found_by_team_and_by_longest_prefix() {
    let model =
        |open: bool| json!({"kind": {"model": {"model": "m"}}, "endpoints": ["e"], "open": open});
    let rows = valid_rows().into_iter().chain([
        row("/teams/a/routes/private", model(false)),
        row("/teams/b/routes/open", model(true)),
        row("/teams/t/routes/own", model(false)),
        row("/teams/t/routes/long", route(json!("/svc/deep"), 1)),
    ]);
    let snapshot = check(&Tree::new(1, rows)).unwrap();
    let model_cases = [
        (Some("t"), "m", Some("t/own")),
        (Some("a"), "m", Some("a/private")),
        (Some("z"), "m", Some("b/open")),
        (None, "m", Some("b/open")),
        (Some("t"), "n", None),
    ];
    for (team, model, expected) in model_cases {
        let found = snapshot.model_route(team, model).map(|r| &*r.name);
        assert_eq!(found, expected, "{team:?} {model}");
    }
    let plain_cases = [
        ("/svc", Some("t/r")),
        ("/svc/", Some("t/r")),
        ("/svc/x/y", Some("t/r")),
        ("/svc?q=/a", Some("t/r")),
        ("/svc/deep/er", Some("t/long")),
        ("/svc/deeper", Some("t/r")),
        ("/svcx", None),
        ("/", None),
        ("", None),
    ];
    for (path, expected) in plain_cases {
        let found = snapshot.plain_route(path).map(|r| &*r.name);
        assert_eq!(found, expected, "{path}");
    }
}

/// A random JSON value built from words that settings use.
#[derive(Clone, Debug)]
struct RandomJson(Value);

const WORDS: [&str; 16] = [
    "workspace",
    "digest",
    "kind",
    "plain",
    "model",
    "prefix",
    "endpoints",
    "rate",
    "burst",
    "deadline_ms",
    "subtree",
    "e",
    "w",
    "/svc",
    "address",
    "\u{0}\u{202e}/../",
];

impl Arbitrary for RandomJson {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(random_json(g, 3))
    }
}

fn random_json(g: &mut Gen, depth: usize) -> Value {
    let word = |g: &mut Gen| (*g.choose(&WORDS).unwrap()).to_owned();
    match u8::arbitrary(g) % if depth == 0 { 5 } else { 7 } {
        0 => Value::Null,
        1 => json!(bool::arbitrary(g)),
        2 => json!(*g.choose(&[0.0, -1.0, 1e308, 0.5, 7.0]).unwrap()),
        3 => json!(u64::arbitrary(g)),
        4 => json!(word(g)),
        5 => (0..4).map(|_| random_json(g, depth - 1)).collect(),
        _ => {
            let fields = (0..4).map(|_| (word(g), random_json(g, depth - 1)));
            Value::Object(fields.collect())
        }
    }
}

/// Replaces a whole document, or one field of it, with a random value.
fn corrupt(value: &Value, field: usize, replacement: &RandomJson, whole: bool) -> Value {
    let mut corrupted = value.clone();
    match corrupted.as_object_mut().filter(|_| !whole) {
        Some(fields) => {
            let name = fields.keys().nth(field % fields.len()).unwrap().clone();
            fields.insert(name, replacement.0.clone());
            corrupted
        }
        None => replacement.0.clone(),
    }
}

#[test]
fn malformed_trees_are_checked_without_a_panic() {
    fn property(row: usize, field: usize, replacement: RandomJson, whole: bool) -> bool {
        let mut rows = valid_rows();
        let index = row % rows.len();
        rows[index].value = corrupt(&rows[index].value, field, &replacement, whole);
        let tree = Tree::new(1, rows);
        match check(&tree) {
            Ok(snapshot) => snapshot.revision == 1,
            Err(problems) => problems.iter().all(|p| p.path.starts_with('/')),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, SEED))
        .tests(5000)
        .quickcheck(property as fn(usize, usize, RandomJson, bool) -> bool);
}

#[test]
fn a_path_that_parses_keeps_its_text_and_has_only_safe_segments() {
    fn property(pieces: Vec<u8>) -> bool {
        const PIECES: [&str; 12] = [
            "/",
            "a",
            "teams",
            "..",
            ".",
            "-",
            "_",
            "A",
            " ",
            "\u{e9}",
            "\0",
            "operators",
        ];
        let text: String = pieces
            .iter()
            .map(|piece| PIECES[usize::from(*piece) % PIECES.len()])
            .collect();
        let Ok(path) = text.parse::<Path>() else {
            return true;
        };
        let safe = |s: &str| !s.is_empty() && s != "." && s != ".." && s.is_ascii();
        path.as_str() == text
            && text.len() <= MAX_PATH_BYTES
            && path.segments().all(safe)
            && path.is_under("/")
            && path.is_under(&text)
            && !path.is_under(&format!("{text}x"))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, SEED))
        .tests(20_000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
