//! The log on disk, with damage of all kinds.

mod raft_support;

use std::fs;
use std::path::Path;

use bytes::Bytes;
use damaskhoist::raft::{DiskLog, Entry, LogScan, LogStorage, Payload};
use raft_support::segment_files;
use rstest::rstest;

fn entry(index: u64, term: u64) -> Entry {
    let command = Bytes::from(format!("command {index} of term {term}"));
    Entry { index, term, payload: Payload::Command(command) }
}

fn entries(range: std::ops::Range<u64>, term: u64) -> Vec<Entry> {
    range.map(|index| entry(index, term)).collect()
}

/// Writes each batch as one record.
fn write(folder: &Path, segment_bytes: u64, batches: &[Vec<Entry>]) {
    let (mut log, _) = DiskLog::open(folder, segment_bytes, true).unwrap();
    for batch in batches {
        log.append(batch).unwrap();
        log.sync().unwrap();
    }
}

fn scan(folder: &Path) -> LogScan {
    DiskLog::open(folder, 1 << 20, true).unwrap().1
}

// Guards against a log that can't be opened, or keeps half a record, after a crash during a write.
#[test]
fn a_torn_tail_is_cut_wherever_it_is_torn() {
    let folder = tempfile::tempdir().unwrap();
    let batches = [entries(1..4, 1), entries(4..6, 1), entries(6..9, 2)];
    write(folder.path(), 1 << 20, &batches[..2]);
    let segment = segment_files(folder.path()).remove(0);
    let kept_bytes = fs::read(&segment).unwrap().len();
    write(folder.path(), 1 << 20, &batches[2..]);
    let whole = fs::read(&segment).unwrap();
    for torn in kept_bytes + 1..whole.len() {
        fs::write(&segment, &whole[..torn]).unwrap();
        let found = scan(folder.path());
        assert_eq!(found.entries, entries(1..6, 1), "torn at byte {torn}");
        assert!(found.damage.is_none());
        assert_eq!(found.torn_bytes, (torn - kept_bytes) as u64);
        assert_eq!(fs::read(&segment).unwrap().len(), kept_bytes);
    }
    write(folder.path(), 1 << 20, &[entries(6..7, 3)]);
    assert_eq!(scan(folder.path()).entries.len(), 6);
}

// Guards against entries that a process reads back from the page cache after a failed sync and
// counts as durable: the end of the log must be written again, to a new file, before it counts.
#[test]
fn the_last_segment_is_written_again_at_each_opening() {
    use std::os::unix::fs::MetadataExt;
    let folder = tempfile::tempdir().unwrap();
    let batches = [entries(1..4, 1), entries(4..6, 1), entries(6..9, 2)];
    write(folder.path(), 64, &batches);
    let inodes = |folder: &Path| -> Vec<u64> {
        segment_files(folder).iter().map(|path| fs::metadata(path).unwrap().ino()).collect()
    };
    let before = inodes(folder.path());
    let (mut log, scan) = DiskLog::open(folder.path(), 64, true).unwrap();
    assert_eq!(scan.entries, batches.concat());
    let after = inodes(folder.path());
    let (last, earlier) = (before.len() - 1, &before[..before.len() - 1]);
    assert_eq!(&after[..last], earlier, "earlier segments are durable already");
    assert_ne!(after[last], before[last]);
    log.append(&entries(9..10, 2)).unwrap();
    log.sync().unwrap();
    assert_eq!(scan_entries(folder.path()).last(), entries(9..10, 2).last());
}

fn scan_entries(folder: &Path) -> Vec<Entry> {
    scan(folder).entries
}

// Guards against damage before the tail that is cut silently, in any byte of a record, with the
// record that shows it in the same segment or in a later one.
#[rstest]
#[case::one_segment(1 << 20)]
#[case::many_segments(64)]
fn damage_before_the_tail_is_told(#[case] segment_bytes: u64) {
    let folder = tempfile::tempdir().unwrap();
    let batches = [entries(1..4, 1), entries(4..6, 1), entries(6..9, 2)];
    write(folder.path(), segment_bytes, &batches);
    for segment in segment_files(folder.path()) {
        let whole = fs::read(&segment).unwrap();
        for at in 0..whole.len() {
            let mut damaged = whole.clone();
            damaged[at] ^= 0x11;
            fs::write(&segment, &damaged).unwrap();
            let before = fs::read(&segment).unwrap();
            let (_, found) = DiskLog::open(folder.path(), segment_bytes, true).unwrap();
            let is_tail = found.entries.len() == 5;
            if is_tail {
                break;
            }
            assert_eq!(found.damage.expect("the damage is told").through, 8, "byte {at}");
            assert_eq!(fs::read(&segment).unwrap(), before, "nothing is cut");
        }
        fs::write(&segment, &whole).unwrap();
    }
}

// Guards against a lost file that looks like a shorter log.
#[test]
fn a_missing_segment_is_damage() {
    let folder = tempfile::tempdir().unwrap();
    let batches: Vec<_> = (1..6).map(|index| entries(index..index + 1, 1)).collect();
    write(folder.path(), 1, &batches);
    let segments = segment_files(folder.path());
    fs::remove_file(&segments[2]).unwrap();
    let found = scan(folder.path());
    assert_eq!(found.entries, entries(1..3, 1));
    assert_eq!(found.damage.unwrap().through, 5);
}

// Guards against damaged records that can't be looked into later, or that come back.
#[test]
fn damaged_files_are_kept_aside_until_the_repair() {
    let folder = tempfile::tempdir().unwrap();
    write(folder.path(), 64, &[entries(1..4, 1), entries(4..6, 1), entries(6..9, 2)]);
    let segment = segment_files(folder.path()).remove(1);
    let mut content = fs::read(&segment).unwrap();
    content[40] ^= 1;
    fs::write(&segment, content).unwrap();
    let (mut log, _) = DiskLog::open(folder.path(), 64, true).unwrap();
    log.quarantine_damaged().unwrap();
    log.append(&entries(4..7, 3)).unwrap();
    log.sync().unwrap();
    drop(log);
    let found = scan(folder.path());
    assert!(found.damage.is_none());
    assert_eq!(found.entries, [entries(1..4, 1), entries(4..7, 3)].concat());
    let aside = || {
        let files = fs::read_dir(folder.path()).unwrap();
        files
            .filter(|it| it.as_ref().unwrap().file_name().to_string_lossy().contains("damaged"))
            .count()
    };
    assert_eq!(aside(), 2);
    DiskLog::open(folder.path(), 64, true).unwrap().0.discard_quarantined().unwrap();
    assert_eq!(aside(), 0);
}

// Guards against replaced entries that come back after a restart, a read or a compaction.
#[test]
fn entries_are_replaced_and_compacted() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = DiskLog::open(folder.path(), 100, true).unwrap();
    for batch in [entries(1..6, 1), entries(3..5, 2), entries(5..9, 2), entries(9..20, 2)] {
        log.append(&batch).unwrap();
        log.sync().unwrap();
    }
    let expected = [entries(1..3, 1), entries(3..20, 2)].concat();
    assert_eq!(scan(folder.path()).entries, expected);
    assert_eq!(log.reader().read(2, usize::MAX).unwrap(), expected[1..]);
    assert_eq!(log.reader().read(4, 1).unwrap(), expected[3..4]);
    let before_bytes = log.data_bytes();
    log.compact(8).unwrap();
    assert!(log.data_bytes() < before_bytes);
    assert_eq!(log.reader().read(9, usize::MAX).unwrap(), expected[8..]);
    assert!(log.reader().read(1, usize::MAX).unwrap().is_empty());
    log.clear().unwrap();
    log.append(&entries(50..52, 4)).unwrap();
    log.sync().unwrap();
    assert_eq!(scan(folder.path()).entries, entries(50..52, 4));
}
