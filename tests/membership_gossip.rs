//! Fleets of tables in virtual time, with faults.

#[path = "support/fleet.rs"]
mod fleet;

use damaskhoist::membership::Status;
use fleet::{host_key, status, Fleet};

/// Guards against hosts that never learn of each other when they know only a seed.
#[test]
fn strangers_find_each_other() {
    let mut fleet = Fleet::strangers(12, 1);
    let took_ms = fleet.run_until(5_000, |table| table.store().iter().count() == 12);
    println!("joined in {took_ms:?} ms");
    assert!(took_ms.is_some());
    fleet.run(5_000);
    assert!(fleet.agrees());
}

/// Guards against a dead host that stays in the tables.
#[test]
fn dead_host_is_noticed() {
    let mut fleet = Fleet::new(100, 250, 2);
    fleet.kill(7);
    let took_ms =
        fleet.run_until(10_000, |table| status(table, &host_key(7)) == Some(Status::Dead));
    println!("dead everywhere after {took_ms:?} ms");
    assert!(took_ms.is_some());
}
