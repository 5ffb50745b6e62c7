//! Heads of messages.

use damaskhoist::http::{encode_request, Headers, HttpError, RequestHead, ResponseHead};
use proptest::prelude::*;
use rstest::rstest;

/// Text with many of the characters that matter to the framing.
fn text() -> impl Strategy<Value = String> {
    let piece = prop_oneof![
        3 => "[a-z0-9/-]{1,6}",
        1 => Just("\r\n".to_owned()),
        1 => Just("\n".to_owned()),
        1 => Just("\r\n\r\nPOST /smuggled HTTP/1.1\r\nHost: h\r\n".to_owned()),
        1 => Just(" HTTP/1.1".to_owned()),
        1 => Just("\0".to_owned()),
        1 => Just(": ".to_owned()),
        1 => any::<char>().prop_map(String::from),
    ];
    prop::collection::vec(piece, 0..4).prop_map(|pieces| pieces.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against parts of a message that end its head early, so that the receiver reads a second message that nobody
    /// sent. An encoded request is one request with the parts that were meant, and its body ends where it should.
    #[test]
    fn an_encoded_request_is_one_request(
        method in prop_oneof![4 => Just("POST".to_owned()), 1 => text()],
        target in prop_oneof![1 => "/[a-z]{1,8}", 1 => text()],
        fields in prop::collection::vec((prop_oneof![2 => "[A-Za-z-]{1,8}", 1 => text()], text()), 0..4),
        framing in prop::option::of(prop_oneof![
            Just(("Transfer-Encoding", "chunked")), Just(("Content-Length", "7"))]),
        body in prop::collection::vec(any::<u8>(), 0..40),
    ) {
        let mut headers = Headers::default();
        for (name, value) in fields.iter().map(|(name, value)| (name.as_str(), value.as_str())).chain(framing) {
            headers.push(name, value);
        }
        let Ok(bytes) = encode_request(&method, &target, &headers, &body) else { return Ok(()) };
        let (head, length) = RequestHead::parse(&bytes).unwrap().expect("the head is whole");
        prop_assert_eq!(&head.method, &method);
        prop_assert_eq!(&head.target, &target);
        prop_assert_eq!(&bytes[length..], &body[..]);
        let expected_length = body.len().to_string();
        let mut lengths = head.headers.all("content-length");
        if method != "GET" || !body.is_empty() {
            prop_assert_eq!(lengths.next(), Some(expected_length.as_str()));
        }
        prop_assert_eq!(lengths.next(), None);
        prop_assert_eq!(head.headers.get("transfer-encoding"), None);
        for (name, value) in &fields {
            let is_framing = ["content-length", "transfer-encoding"].iter().any(|it| name.eq_ignore_ascii_case(it));
            let has_value = head.headers.all(name).any(|it| it == value.trim_matches([' ', '\t']));
            prop_assert!(is_framing || has_value, "{name:?}: {value:?}");
        }
    }
}

/// Guards against a faulty upstream's status that is passed on as an answer, or skipped as an interim response.
#[rstest]
fn a_status_outside_the_protocol_is_no_answer(#[values("000", "099", "600", "999")] status: &str) {
    let bytes = format!("HTTP/1.1 {status} \r\nContent-Length: 0\r\n\r\n");
    let parsed = ResponseHead::parse(bytes.as_bytes());
    assert!(matches!(parsed, Err(HttpError::Malformed(_))), "{parsed:?}");
}
