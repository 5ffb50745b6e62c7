//! Pieces of a stream as engines may send them: late, doubled, out of order, or not at all.

use damaskhoist::upstream::{Chunk, StreamAssembler, StreamFault};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::json;

#[path = "support/proptest_config.rs"]
mod proptest_config;

fn token(position: u64) -> Chunk {
    Chunk { position: Some(position), text: format!("t{position} "), ..Chunk::default() }
}

fn last(reason: &str, tokens: u64) -> Chunk {
    let usage = Some(json!({"completion_tokens": tokens}));
    Chunk { finish_reason: Some(reason.to_owned()), usage, ..Chunk::default() }
}

fn drain(assembler: &mut StreamAssembler) -> String {
    std::iter::from_fn(|| assembler.pop()).map(|chunk| chunk.text).collect()
}

fn expected(tokens: u64) -> String {
    (0..tokens).map(|position| token(position).text).collect()
}

/// Guards against a last piece that takes the place of a late one.
#[test]
fn a_last_piece_before_a_late_one_takes_no_position() {
    let mut assembler = StreamAssembler::default();
    for chunk in [token(0), token(2), last("stop", 3), token(1)] {
        assembler.push(chunk).unwrap();
    }
    assert_eq!(drain(&mut assembler), expected(3));
    assert_eq!(assembler.finish().unwrap().finish_reason.as_deref(), Some("stop"));
}

/// Guards against a short answer that looks whole.
#[rstest]
#[case::no_reason(vec![token(0)], StreamFault::NoFinishReason)]
#[case::cancelled(vec![token(0), last("cancelled", 1)], StreamFault::Stopped("cancelled".into()))]
#[case::gap(vec![token(0), token(2), last("stop", 3)], StreamFault::Missing(1))]
#[case::short(vec![token(0), last("stop", 3)], StreamFault::Short { counted: 3, sent: 1 })]
fn a_stream_that_is_not_whole_is_no_answer(#[case] chunks: Vec<Chunk>, #[case] fault: StreamFault) {
    let mut assembler = StreamAssembler::default();
    for chunk in chunks {
        assembler.push(chunk).unwrap();
        drain(&mut assembler);
    }
    assert_eq!(assembler.finish(), Err(fault));
}

/// Guards against a resumed answer with a gap or a repeat from an engine without numbers.
#[test]
fn pieces_without_numbers_cannot_continue_an_answer() {
    let plain = Chunk { text: "a".to_owned(), ..Chunk::default() };
    let mut assembler = StreamAssembler::default();
    assembler.push(plain.clone()).unwrap();
    drain(&mut assembler);
    assert!(!assembler.can_resume());

    let mut assembler = StreamAssembler::default();
    assembler.push(token(0)).unwrap();
    drain(&mut assembler);
    assert!(assembler.can_resume());
    assembler.restart();
    assert_eq!(assembler.push(plain), Err(StreamFault::NotNumbered));
}

/// Guards against a buffer that grows while one piece is missing.
#[test]
fn pieces_after_a_gap_are_bounded() {
    let mut assembler = StreamAssembler::default();
    let mut big = token(1);
    big.text = "x".repeat(2 << 20);
    assert_eq!(assembler.push(big), Err(StreamFault::Missing(0)));
    let mut assembler = StreamAssembler::default();
    let refused = (1..10_000).find(|position| assembler.push(token(*position)).is_err());
    assert_eq!(refused, Some(257));
}

proptest! {
    #![proptest_config(proptest_config::config())]

    /// Guards against a gap or a repeat, whatever pieces come how often and in which order, and
    /// wherever the stream is resumed.
    #[test]
    fn what_is_handed_on_is_a_prefix_of_the_answer(
        events in prop::collection::vec((0..12u64, prop::bool::weighted(0.1)), 0..120)
    ) {
        let mut assembler = StreamAssembler::default();
        let mut text = String::new();
        for (position, restarts) in events {
            if restarts {
                assembler.restart();
            }
            prop_assert!(assembler.push(token(position)).is_ok());
            text += &drain(&mut assembler);
            prop_assert_eq!(&text, &expected(assembler.next_position()));
        }
        assembler.push(last("stop", 12)).unwrap();
        prop_assert_eq!(assembler.finish().is_ok(), text == expected(12));
    }
}
