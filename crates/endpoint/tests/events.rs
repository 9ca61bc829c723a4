//! Splits event streams that arrive in chunks of arbitrary size.

use endpoint::events::Splitter;
use quickcheck::quickcheck;

fn stream(count: u64, newline: &str) -> Vec<u8> {
    let event = |id| format!("id: {id}{newline}data: text {id}{newline}{newline}");
    (1..=count).map(event).collect::<String>().into_bytes()
}

quickcheck! {
    fn events_are_independent_of_chunk_boundaries(cuts: Vec<u8>, count: u8, crlf: bool) -> bool {
        let newline = if crlf { "\r\n" } else { "\n" };
        let bytes = stream(u64::from(count), newline);
        let mut rest = &bytes[..];
        let mut splitter = Splitter::default();
        let (mut ids, mut returned) = (Vec::new(), Vec::new());
        for cut in cuts.into_iter().map(usize::from).chain([usize::MAX]) {
            let (chunk, remaining) = rest.split_at(cut.min(rest.len()));
            rest = remaining;
            splitter.push(chunk);
            while let Some(event) = splitter.next_event() {
                ids.extend(event.id);
                returned.extend_from_slice(&event.bytes);
            }
        }
        let expected: Vec<u64> = (1..=u64::from(count)).collect();
        ids == expected && returned == bytes && !splitter.has_partial_event()
    }

    fn all_bytes_are_returned_or_left_partial(bytes: Vec<u8>) -> bool {
        let mut splitter = Splitter::default();
        splitter.push(&bytes);
        let mut returned = 0;
        while let Some(event) = splitter.next_event() {
            returned += event.bytes.len();
        }
        (returned == bytes.len()) != splitter.has_partial_event()
    }
}

#[test]
fn partial_event_is_not_returned() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b");
    assert_eq!(splitter.next_event().and_then(|event| event.id), Some(1));
    assert_eq!(splitter.next_event(), None);
    assert!(splitter.has_partial_event());
}
