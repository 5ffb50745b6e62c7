//! Tests the assembly of streams whose chunks are late, duplicated, out of order or missing.

use damaskhoist::upstream::{Chunk, StreamAssembler, StreamFault};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::json;

#[path = "support/proptest_config.rs"]
mod proptest_config;

fn token_chunk(position: u64) -> Chunk {
    Chunk { position: Some(position), text: format!("t{position} "), ..Chunk::default() }
}

fn final_chunk(reason: &str, tokens: u64) -> Chunk {
    let usage = Some(json!({"completion_tokens": tokens}));
    Chunk { finish_reason: Some(reason.to_owned()), usage, ..Chunk::default() }
}

fn drain(assembler: &mut StreamAssembler) -> String {
    std::iter::from_fn(|| assembler.pop()).map(|chunk| chunk.text).collect()
}

fn expected(tokens: u64) -> String {
    (0..tokens).map(|position| token_chunk(position).text).collect()
}

/// Guards against a final chunk, which has no position, that fills the position of a late chunk.
#[test]
fn a_final_chunk_does_not_replace_a_late_chunk() {
    let mut assembler = StreamAssembler::default();
    for chunk in [token_chunk(0), token_chunk(2), final_chunk("stop", 3), token_chunk(1)] {
        assembler.push(chunk).unwrap();
    }
    assert_eq!(drain(&mut assembler), expected(3));
    assert_eq!(assembler.finish().unwrap().finish_reason.as_deref(), Some("stop"));
}

/// Guards against an incomplete answer that is reported as complete.
#[rstest]
#[case::no_reason(vec![token_chunk(0)], StreamFault::NoFinishReason)]
#[case::cancelled(
    vec![token_chunk(0), final_chunk("cancelled", 1)],
    StreamFault::Stopped("cancelled".into())
)]
#[case::gap(
    vec![token_chunk(0), token_chunk(2), final_chunk("stop", 3)],
    StreamFault::Missing(1)
)]
#[case::short(
    vec![token_chunk(0), final_chunk("stop", 3)],
    StreamFault::Short { counted: 3, sent: 1 }
)]
fn an_incomplete_stream_is_rejected(#[case] chunks: Vec<Chunk>, #[case] fault: StreamFault) {
    let mut assembler = StreamAssembler::default();
    for chunk in chunks {
        assembler.push(chunk).unwrap();
        drain(&mut assembler);
    }
    assert_eq!(assembler.finish(), Err(fault));
}

/// Guards against a resumed answer with a gap or duplicate from an engine that does not number its
/// chunks.
#[test]
fn unnumbered_chunks_cannot_resume_an_answer() {
    let plain = Chunk { text: "a".to_owned(), ..Chunk::default() };
    let mut assembler = StreamAssembler::default();
    assembler.push(plain.clone()).unwrap();
    drain(&mut assembler);
    assert!(!assembler.can_resume());

    let mut assembler = StreamAssembler::default();
    assembler.push(token_chunk(0)).unwrap();
    drain(&mut assembler);
    assert!(assembler.can_resume());
    assembler.restart();
    assert_eq!(assembler.push(plain), Err(StreamFault::NotNumbered));
}

/// Guards against a buffer that grows without limit while one chunk is missing.
#[test]
fn chunks_buffered_after_a_gap_are_bounded() {
    let mut assembler = StreamAssembler::default();
    let mut big = token_chunk(1);
    big.text = "x".repeat(2 << 20);
    assert_eq!(assembler.push(big), Err(StreamFault::Missing(0)));
    let mut assembler = StreamAssembler::default();
    let refused = (1..10_000).find(|position| assembler.push(token_chunk(*position)).is_err());
    assert_eq!(refused, Some(257));
}

proptest! {
    #![proptest_config(proptest_config::config())]

    /// Guards against gaps and duplicates in the text, for any order and repetition of chunks and
    /// any point at which the stream is resumed.
    #[test]
    fn emitted_text_is_a_prefix_of_the_answer(
        events in prop::collection::vec((0..12u64, prop::bool::weighted(0.1)), 0..120)
    ) {
        let mut assembler = StreamAssembler::default();
        let mut text = String::new();
        for (position, restarts) in events {
            if restarts {
                assembler.restart();
            }
            prop_assert!(assembler.push(token_chunk(position)).is_ok());
            text += &drain(&mut assembler);
            prop_assert_eq!(&text, &expected(assembler.next_position()));
        }
        assembler.push(final_chunk("stop", 12)).unwrap();
        prop_assert_eq!(assembler.finish().is_ok(), text == expected(12));
    }
}
