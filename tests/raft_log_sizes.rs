//! Sizes of ranges of a log against sums over its entries.

use bytes::Bytes;
use damaskhoist::raft::{Entry, Log, Payload, SnapshotMeta};
use proptest::prelude::*;

/// What happens to a log; numbers choose a place in it, from its start to its end.
#[derive(Clone, Debug)]
enum Step {
    Push(usize),
    Truncate(u64),
    Compact(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..2_000_usize).prop_map(Step::Push),
        1 => any::<u64>().prop_map(Step::Truncate),
        1 => any::<u64>().prop_map(Step::Compact),
    ]
}

/// Sizes of the entries that are left, with their indexes.
fn sum(sizes: &[(u64, u64)], after_index: u64, through_index: u64) -> u64 {
    let within = sizes.iter().filter(|(index, _)| *index > after_index && *index <= through_index);
    within.map(|(_, bytes)| bytes).sum()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// Guards against sizes that are wrong after entries were replaced or compacted: a leader would send the history in place of
    /// a snapshot, or cut entries that followers need.
    #[test]
    fn sizes_are_those_of_the_entries(steps in prop::collection::vec(step(), 1..80)) {
        let mut log = Log::new(SnapshotMeta::default(), []);
        let mut sizes: Vec<(u64, u64)> = Vec::new();
        for step in steps {
            let (first, last) = (log.first_index(), log.last_index());
            match step {
                Step::Push(bytes) => {
                    let payload = Payload::Command(Bytes::from(vec![0; bytes]));
                    let entry = Entry { index: last + 1, term: 1, payload };
                    sizes.push((entry.index, entry.size_bytes() as u64));
                    log.push(entry);
                }
                Step::Truncate(place) if last >= first => {
                    let index = first + place % (last - first + 1);
                    log.truncate(index);
                    sizes.retain(|(it, _)| *it < index);
                }
                Step::Compact(place) if last >= first => {
                    let index = first + place % (last - first + 1);
                    log.compact(index);
                    sizes.retain(|(it, _)| *it > index);
                }
                Step::Truncate(_) | Step::Compact(_) => {}
            }
            let (first, last) = (log.first_index(), log.last_index());
            prop_assert_eq!(log.bytes(), sum(&sizes, 0, last));
            let middle = first - 1 + (last + 1 - first) / 2;
            prop_assert_eq!(log.bytes_between(0, middle), sum(&sizes, 0, middle));
            prop_assert_eq!(log.bytes_between(middle, last + 5), sum(&sizes, middle, last));
            let limit_bytes = log.bytes() / 3;
            let kept_after = log.index_before_bytes(last, limit_bytes);
            prop_assert!(sum(&sizes, kept_after, last) <= limit_bytes);
            let is_lowest = kept_after < first || sum(&sizes, kept_after - 1, last) > limit_bytes;
            prop_assert!(is_lowest, "{} of {}..={}", kept_after, first, last);
        }
    }
}
