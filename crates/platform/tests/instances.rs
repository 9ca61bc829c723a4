//! Guards against a list that cannot be read as a whole, again and again, for one odd group in it.

use platform::instances::List;
use quickcheck::quickcheck;

const SOUND: [&str; 2] = [
    r#"{"targets": ["10.0.0.1:80"], "labels": {"name": "a", "role": "instance"}}"#,
    r#"{"targets": ["10.0.0.2:80"], "labels": {"name": "b", "role": "endpoint", "state": "leaving"}}"#,
];

fn odd_groups() -> Vec<String> {
    let mut groups: Vec<String> = [
        r#"{"targets": ["10.0.0.3:99999"], "labels": {"name": "c"}}"#,
        r#"{"targets": [1e400], "labels": {"name": "c"}}"#,
        r#"{"targets": ["10.0.0.3:80"], "labels": {"name": 7}}"#,
        r#"{"targets": "10.0.0.3:80"}"#,
        "null",
        "1e999",
        "[]",
        "{}",
    ]
    .map(str::to_owned)
    .into();
    for levels in [127, 128, 100_000] {
        let nested = format!("{}{}", "[".repeat(levels), "]".repeat(levels));
        groups.push(nested.clone());
        groups.push(format!("{{\"targets\": {nested}, \"labels\": {{}}}}"));
    }
    let long = "x".repeat(100_000);
    groups.push(format!("{{\"targets\": [\"{long}\"], \"labels\": {{}}}}"));
    groups
}

#[test]
fn odd_groups_fail_no_others() {
    let names = |list: &List| -> Vec<String> {
        let names = list.entries.iter().map(|entry| entry.name.clone());
        names.collect()
    };
    for odd in odd_groups() {
        let list = format!("[{}, {odd}, {}]", SOUND[0], SOUND[1]);
        let list = List::decode(list.as_bytes()).unwrap();
        assert_eq!(names(&list), ["a", "b"]);
        assert!(list.entries[1].leaving);
        let reason = list.unreadable.unwrap();
        assert!(!reason.is_empty() && reason.len() <= 200, "{reason}");
    }
    let sound = format!("[{}, {}]", SOUND[0], SOUND[1]);
    assert_eq!(List::decode(sound.as_bytes()).unwrap().unreadable, None);
    for no_list in ["{}", "", "7", "[", "null"] {
        assert!(List::decode(no_list.as_bytes()).is_err(), "{no_list}");
    }
}

quickcheck! {
    fn random_lists_are_decoded_or_refused(text: Vec<u8>) -> bool {
        List::decode(&text).is_ok_and(|list| list.entries.is_empty()) || List::decode(&text).is_err()
    }
}
