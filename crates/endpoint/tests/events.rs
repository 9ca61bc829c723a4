//! Streams of events, cut at any byte.

use endpoint::events::Splitter;
use quickcheck::quickcheck;

fn stream(count: u64, newline: &str) -> Vec<u8> {
    let event = |id| format!("id: {id}{newline}data: text {id}{newline}{newline}");
    (1..=count).map(event).collect::<String>().into_bytes()
}

quickcheck! {
    fn events_do_not_depend_on_how_they_arrive(cuts: Vec<u8>, count: u8, carriage: bool) -> bool {
        let newline = if carriage { "\r\n" } else { "\n" };
        let bytes = stream(u64::from(count), newline);
        let mut rest = &bytes[..];
        let mut splitter = Splitter::default();
        let (mut ids, mut passed) = (Vec::new(), Vec::new());
        for cut in cuts.into_iter().map(usize::from).chain([usize::MAX]) {
            let (piece, after) = rest.split_at(cut.min(rest.len()));
            rest = after;
            splitter.push(piece);
            while let Some(event) = splitter.next_event() {
                ids.extend(event.id);
                passed.extend_from_slice(&event.bytes);
            }
        }
        let expected: Vec<u64> = (1..=u64::from(count)).collect();
        ids == expected && passed == bytes && !splitter.is_torn()
    }

    fn any_bytes_are_passed_on_or_torn(bytes: Vec<u8>) -> bool {
        let mut splitter = Splitter::default();
        splitter.push(&bytes);
        let mut passed = 0;
        while let Some(event) = splitter.next_event() {
            passed += event.bytes.len();
        }
        (passed == bytes.len()) != splitter.is_torn()
    }
}

#[test]
fn a_torn_event_is_held_back() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b");
    assert_eq!(splitter.next_event().and_then(|event| event.id), Some(1));
    assert_eq!(splitter.next_event(), None);
    assert!(splitter.is_torn());
}
