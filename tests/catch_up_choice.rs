//! What a follower gets that lacks much of the log: entries, the newest snapshot, or a new one.

use damaskhoist::raft::{CatchUpSizes, SnapshotSize};
use rstest::rstest;

const MIN_BYTES: u64 = 1 << 20;
const MB: u64 = 1_000_000;

fn sizes(missing_bytes: u64, snapshot: Option<SnapshotSize>, tail_bytes: u64) -> CatchUpSizes {
    CatchUpSizes { missing_bytes, snapshot, tail_bytes, min_bytes: MIN_BYTES }
}

/// A snapshot of a state that is replaced all the time: 20 MB of entries left it as large as before.
fn replaced(file_bytes: u64) -> SnapshotSize {
    SnapshotSize::saved(file_bytes, 2 * file_bytes, file_bytes, 20 * MB)
}

/// A snapshot of a state that keeps half of what is applied, compressed.
fn kept(file_bytes: u64) -> SnapshotSize {
    SnapshotSize::saved(file_bytes, 2 * file_bytes, 0, 2 * file_bytes)
}

/// Guards against a history that is sent to an empty replica although the state is small, and against a snapshot that is
/// sent although the entries are as small.
#[rstest]
#[case::no_snapshot(sizes(30 * MB, None, 30 * MB), false)]
#[case::long_history(sizes(28 * MB, Some(replaced(2 * MB)), 5 * MB), true)]
#[case::few_entries(sizes(MIN_BYTES, Some(replaced(10_000)), MIN_BYTES), false)]
#[case::history_as_large_as_the_state(sizes(9 * MB, Some(replaced(8 * MB)), MB), false)]
#[case::state_that_has_doubled(sizes(9 * MB, Some(kept(4 * MB)), 9 * MB), false)]
#[case::state_that_compresses(sizes(30 * MB, Some(kept(8 * MB)), 14 * MB), true)]
fn a_snapshot_is_preferred_where_it_is_much_smaller(
    #[case] sizes: CatchUpSizes,
    #[case] is_preferred: bool,
) {
    assert_eq!(sizes.prefers_snapshot(), is_preferred);
}

/// Guards against a small snapshot that is followed by a long log, and against one that is saved anew for each replica.
#[rstest]
#[case::long_log(sizes(28 * MB, Some(replaced(2 * MB)), 5 * MB), true)]
#[case::short_log(sizes(28 * MB, Some(replaced(8 * MB)), 3 * MB), false)]
#[case::small_state(sizes(3 * MB, Some(replaced(10_000)), MIN_BYTES), false)]
fn a_snapshot_is_saved_anew_before_a_long_log(
    #[case] sizes: CatchUpSizes,
    #[case] is_outdated: bool,
) {
    assert_eq!(sizes.is_snapshot_outdated(), is_outdated);
}

/// Guards against a leader that starts again and expects no growth: the snapshot that it saves could exceed the entries.
#[test]
fn all_that_is_applied_counts_as_kept_until_the_growth_is_known() {
    let restored = SnapshotSize::restored(4 * MB, 8 * MB);
    assert_eq!(restored.expected_file_bytes(2 * MB), 5 * MB);
    assert_eq!(SnapshotSize::restored(4 * MB, 0).expected_file_bytes(2 * MB), 6 * MB);
}
