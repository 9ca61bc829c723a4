//! Guards against datagrams of any content: lengths beyond the datagram, cut and random bytes, and
//! numbers that are not finite. Decoding must neither fail hard nor reserve memory for what a length
//! promises.

use quickcheck::quickcheck;
use router::{
    message::{
        Deltas,
        Destination,
        Digest,
        Grant,
        GrantRequest,
        LimitRequest,
        Message,
        PlacementRequest,
        PlacementResponse,
        Reasons, //
    },
    mirror::State, //
};
use settings::Class;

const MAGIC: &[u8] = b"dmk4";
/// Number of variants of [`Message`], and one more.
const VARIANTS: u8 = 13;

/// A length of about 2^63.
const HUGE: [u8; 10] = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x00];

fn decode(body: &[u8]) -> Result<Message, String> {
    let datagram = [MAGIC, body].concat();
    Message::decode(&datagram).map_err(|invalid| invalid.to_string())
}

#[test]
fn lengths_beyond_a_datagram_are_refused() {
    for variant in 0..VARIANTS {
        for zeros in 0..24 {
            let mut body = vec![variant];
            body.extend(vec![0; zeros]);
            body.extend(HUGE.repeat(4));
            // Some fields are numbers, which may be as large.
            if let Err(reason) = decode(&body) {
                assert!(!reason.is_empty() && reason.len() <= 200);
            }
        }
    }
}

#[test]
fn odd_numbers_are_passed_on_as_they_are() {
    for number in [f32::NAN, f32::INFINITY, -1.0, f32::MAX] {
        let messages = [
            Message::Grant(Grant {
                id: 1,
                ahead: number,
                wait_ms: Some(u32::MAX),
            }),
            Message::GrantRequest(GrantRequest {
                id: 1,
                workspace: "w".repeat(1_000),
                units: number,
                ahead: number,
                urgent: true,
            }),
            Message::LimitRequest(LimitRequest {
                id: u32::MAX,
                endpoint: String::new(),
                limit: f64::from(number),
                age_ms: u32::MAX,
                urgent: false,
            }),
            Message::PlacementRequest(PlacementRequest {
                id: 1,
                service: "s".to_owned(),
                model: None,
                class: Class::Urgent,
                objective_ms: u32::MAX,
                levels: vec![(u64::MAX, number); 100],
                tail: number,
                tried: Vec::new(),
                must_go: true,
                pace: Some([number; 3]),
            }),
            Message::PlacementResponse(PlacementResponse {
                id: 1,
                to: Destination::RetryAfter(u32::MAX),
                ticket: u64::MAX,
                source: None,
                save_to: None,
                reasons: Reasons {
                    hits: number,
                    missed: number,
                    fetched: number,
                    wait: number,
                },
                pace: [number; 3],
            }),
            Message::Digest(Digest {
                view_age_ms: u32::MAX,
                table_ms: Some(u64::MAX),
                lenient_ms: u32::MAX,
                ..Digest::default()
            }),
        ];
        for message in messages {
            let bytes = message.encode().map(|bytes| Message::decode(&bytes));
            assert!(matches!(bytes, Some(Ok(_))), "{message:?}");
        }
    }
}

quickcheck! {
    fn random_datagrams_are_decoded_or_refused(variant: u8, body: Vec<u8>) -> bool {
        let body = [&[variant % VARIANTS][..], &body].concat();
        decode(&body).map_or_else(|reason| !reason.is_empty(), |_| true)
    }

    fn random_states_and_changes_of_peers_are_decoded_or_refused(bytes: Vec<u8>) -> bool {
        // Both results are allowed for changes; a panic is not.
        let _ = postcard::from_bytes::<Deltas>(&bytes);
        serde_json::from_slice::<State>(&bytes).is_err()
    }
}
