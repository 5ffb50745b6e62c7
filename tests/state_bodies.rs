//! Bodies on disk: restarts, damage and faults of the disk.

mod state_support;

use std::fs;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;

use damaskhoist::raft::StateMachine;
use damaskhoist::schema::state::{ItemEnd, ItemState};
use damaskhoist::state::{BodyStore, DiskBodies, MemoryBodies};
use rstest::rstest;
use state_support::Replica;

/// Small, so that a few bodies fill several segments.
const SEGMENT_BYTES: u64 = 300;

fn open(folder: &Path) -> Replica {
    Replica::open_on(Arc::new(DiskBodies::open_with(folder, SEGMENT_BYTES).unwrap()))
}

fn run_job(replica: &Replica, job_id: &str) {
    replica.create_job("ana", job_id, 20);
    for item in replica.lease(20) {
        replica.finish(&item, ItemEnd::Succeeded);
    }
}

fn assert_results(replica: &Replica, job_id: &str) {
    let items = replica.items(job_id);
    assert_eq!(items.len(), 20);
    for item in items {
        assert_eq!(item.state(), ItemState::ItemSucceeded);
        assert_eq!(item.body, format!("result of {job_id}-{}", item.item));
    }
}

/// Guards against a crash losing bodies of the snapshot or piling up those after it.
#[test]
fn a_restart_keeps_the_bodies_of_the_snapshot_and_no_others() {
    let folder = tempfile::tempdir().unwrap();
    let replica = open(folder.path());
    run_job(&replica, "job-1");
    let mut snapshot = Vec::new();
    replica.state.save(&mut snapshot).unwrap();
    let files_before = fs::read_dir(folder.path()).unwrap().count();
    run_job(&replica, "job-2");
    drop(replica);

    let replica = open(folder.path());
    replica.state.restore(&mut &snapshot[..]).unwrap();
    assert!(fs::read_dir(folder.path()).unwrap().count() <= files_before);
    assert_results(&replica, "job-1");
    run_job(&replica, "job-2");
    assert_results(&replica, "job-2");
}

/// Changes the state once the snapshot that it takes has begun.
struct ActsOnFirstWrite<F> {
    action: Option<F>,
    written: Vec<u8>,
}

impl<F: FnOnce()> Write for ActsOnFirstWrite<F> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(action) = self.action.take() {
            action();
        }
        self.written.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a snapshot that mixes two moments when the state is replaced or moves on before
/// it is written.
#[rstest]
#[case::moved_on(false)]
#[case::replaced(true)]
fn a_snapshot_holds_the_moment_of_its_capture(#[case] is_replaced: bool) {
    let folder = tempfile::tempdir().unwrap();
    let replica = open(folder.path());
    let mut empty = Vec::new();
    replica.state.save(&mut empty).unwrap();
    run_job(&replica, "job-1");
    let mut target = ActsOnFirstWrite {
        action: Some(|| {
            run_job(&replica, "job-2");
            if is_replaced {
                replica.state.restore(&mut &empty[..]).unwrap();
            }
        }),
        written: Vec::new(),
    };
    replica.state.save(&mut target).unwrap();
    assert!(target.action.is_none(), "nothing was written");
    let snapshot = target.written;

    let other = Replica::open();
    other.state.restore(&mut &snapshot[..]).unwrap();
    assert_results(&other, "job-1");
    assert_eq!(
        other.create_job("ana", "job-2", 20),
        Replica::open().create_job("ana", "job-2", 20)
    );
}

/// Guards against a damaged body being handed out as a result.
#[test]
fn a_damaged_body_is_an_error() {
    let folder = tempfile::tempdir().unwrap();
    let bodies = DiskBodies::open(folder.path()).unwrap();
    let long = "a line that compresses. ".repeat(1_000);
    let places = [bodies.append(b"short"), bodies.append(long.as_bytes())];
    assert_eq!(bodies.read(places[0]).unwrap(), "short");
    assert_eq!(bodies.read(places[1]).unwrap(), long);
    assert!(bodies.stored_bytes() < long.len() as u64 / 2);

    let path = fs::read_dir(folder.path()).unwrap().next().unwrap().unwrap().path();
    let mut content = fs::read(&path).unwrap();
    for place in places {
        content[place.offset_bytes as usize + 9] ^= 1;
    }
    fs::write(&path, content).unwrap();
    for place in places {
        assert!(bodies.read(place).is_err());
    }
}

/// Guards against lost results when the disk takes no more writes, and against a silent fault.
#[test]
fn bodies_stay_in_memory_when_the_disk_fails() {
    let folder = tempfile::tempdir().unwrap();
    let bodies = Arc::new(DiskBodies::open_with(folder.path(), SEGMENT_BYTES).unwrap());
    let replica = Replica::open_on(bodies.clone());
    replica.create_job("ana", "job-1", 20);
    fs::remove_dir_all(folder.path()).unwrap();
    for item in replica.lease(20) {
        replica.finish(&item, ItemEnd::Succeeded);
    }
    assert!(bodies.fault().is_some());
    assert_results(&replica, "job-1");
}

/// Guards against files that stay although nothing in them is in use.
#[test]
fn a_segment_without_bodies_in_use_is_deleted() {
    let folder = tempfile::tempdir().unwrap();
    let bodies = DiskBodies::open_with(folder.path(), SEGMENT_BYTES).unwrap();
    let places: Vec<_> = (0..100).map(|_| bodies.append(&[7; 100])).collect();
    assert!(fs::read_dir(folder.path()).unwrap().count() > 40);
    for place in places {
        bodies.release(place);
    }
    assert!(fs::read_dir(folder.path()).unwrap().count() <= 1);
    drop(bodies);
    let bodies = DiskBodies::open(folder.path()).unwrap();
    bodies.append(b"first body without a restore");
    assert_eq!(fs::read_dir(folder.path()).unwrap().count(), 1);
}

/// Guards against a state made from half a snapshot or from altered records.
#[rstest]
#[case::truncated(|snapshot: &mut Vec<u8>| snapshot.truncate(snapshot.len() - 1))]
#[case::altered(|snapshot: &mut Vec<u8>| snapshot[60] ^= 1)]
#[case::empty(|snapshot: &mut Vec<u8>| snapshot.clear())]
fn a_damaged_snapshot_is_refused(#[case] damage: fn(&mut Vec<u8>)) {
    let replica = Replica::open();
    run_job(&replica, "job-1");
    let mut snapshot = Vec::new();
    replica.state.save(&mut snapshot).unwrap();
    damage(&mut snapshot);
    let other = Replica::open_on(Arc::new(MemoryBodies::open()));
    assert!(other.state.restore(&mut &snapshot[..]).is_err());
    run_job(&other, "job-2");
    assert_results(&other, "job-2");
}
