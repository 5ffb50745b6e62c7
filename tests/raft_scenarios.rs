//! Failures in a fixed order, with network, disks and clock in memory, each for many seeds.

mod raft_sim;

use damaskhoist::raft::{Replica, ReplicaChange, Standing};
use raft_sim::{Sim, Step};

const SEEDS: std::ops::Range<u64> = 0..50;

fn replica(id: u64) -> Replica {
    Replica { id, peer_address: format!("r{id}"), zone: String::new(), voter: true }
}

fn propose_many(sim: &mut Sim, count: usize) {
    for _ in 0..count {
        let leader = sim.wait_for_leader();
        sim.propose(leader);
        sim.run(30);
    }
}

/// Makes a change at whoever leads, and waits for it.
fn change(sim: &mut Sim, change: &ReplicaChange) {
    for _ in 0..200 {
        sim.wait_for_leader();
        if sim.change(change) {
            sim.run(300);
            return;
        }
        sim.run(50);
    }
    panic!("{change:?} was not accepted");
}

// Guards against elections that an isolated voter forces on the others when it returns.
#[test]
fn an_isolated_voter_returns_without_disturbing() {
    for seed in SEEDS {
        let mut sim = Sim::new(3, seed, false);
        let leader = sim.wait_for_leader();
        propose_many(&mut sim, 3);
        let isolated = leader % 3 + 1;
        sim.isolate(isolated);
        sim.run(60_000);
        propose_many(&mut sim, 3);
        // Late messages alone may have cost the leader its only other voter before.
        let leader = sim.wait_for_leader();
        let term = sim.node(leader).hard_state().term;
        sim.heal();
        sim.run(3_000);
        assert_eq!(sim.leader(), Some(leader), "seed {seed}");
        assert_eq!(sim.node(leader).hard_state().term, term, "seed {seed}");
        assert_eq!(sim.node(isolated).commit_index(), sim.node(leader).commit_index());
        sim.finish();
    }
}

// Guards against a leader that goes on alone, and answers reads, while the others have a new one.
#[test]
fn an_isolated_leader_steps_down() {
    for seed in SEEDS {
        let mut sim = Sim::new(3, seed, true);
        let leader = sim.wait_for_leader();
        propose_many(&mut sim, 3);
        sim.isolate(leader);
        sim.run(450);
        assert!(!sim.node(leader).is_leader(), "seed {seed}");
        sim.read(leader);
        propose_many(&mut sim, 3);
        sim.finish();
    }
}

// Guards against loss when a replacement has just become a voter and a second host fails for good.
#[test]
fn a_second_loss_right_after_a_repair_loses_nothing() {
    for seed in SEEDS {
        let mut sim = Sim::new(3, seed, false);
        let first = sim.wait_for_leader();
        propose_many(&mut sim, 10);
        let lost = first % 3 + 1;
        sim.lose_disk(lost);
        propose_many(&mut sim, 5);
        change(&mut sim, &ReplicaChange::Remove(lost));
        sim.step(&Step::AddLearner);
        sim.run(1_000);
        change(&mut sim, &ReplicaChange::Promote(4));
        let leader = sim.wait_for_leader();
        assert!(sim.node(leader).replicas().is_voter(4), "seed {seed}");
        sim.lose_disk(leader);
        propose_many(&mut sim, 5);
        assert_ne!(sim.node(leader).standing(), Standing::Member, "seed {seed}");
        change(&mut sim, &ReplicaChange::Remove(leader));
        sim.finish();
    }
}

// Guards against a learner that counts before it has the log, and ids that are used again.
#[test]
fn changes_that_endanger_the_group_are_refused() {
    let mut sim = Sim::new(3, 1, false);
    let leader = sim.wait_for_leader();
    propose_many(&mut sim, 3);
    assert!(!sim.change(&ReplicaChange::AddLearner(replica(2))), "id 2 is in use");
    assert!(sim.change(&ReplicaChange::AddLearner(replica(9))));
    assert!(!sim.change(&ReplicaChange::Remove(2)), "one change at a time");
    sim.run(500);
    assert!(!sim.change(&ReplicaChange::Promote(9)), "replica 9 was never heard of");
    assert!(sim.change(&ReplicaChange::Remove(9)));
    sim.run(500);
    assert!(!sim.change(&ReplicaChange::AddLearner(replica(9))), "id 9 was used");
    assert_eq!(sim.leader(), Some(leader));
}

// Guards against a group that is without a leader for 2 s or more after the loss of its leader.
#[test]
fn a_lost_leader_is_replaced_within_two_seconds() {
    let mut slowest_ms = 0;
    for seed in 0..300 {
        let mut sim = Sim::with_timeout(3, seed, false, 600);
        let leader = sim.wait_for_leader();
        propose_many(&mut sim, 3);
        sim.crash(leader, 0);
        let lost_ms = sim.now_ms();
        while sim.leader().is_none() {
            sim.run(10);
        }
        slowest_ms = slowest_ms.max(sim.now_ms() - lost_ms);
    }
    println!("slowest of 300 elections: {slowest_ms} ms");
    assert!(slowest_ms < 2_000, "{slowest_ms} ms without a leader");
}

// Guards against candidates whose campaign ends before their own vote, or that of a voter, is synced.
#[test]
fn a_lost_leader_is_replaced_although_a_sync_takes_long() {
    let mut too_late = Vec::new();
    for sync_ms in [50, 100, 200, 500, 1_000] {
        // Two rounds, each with a timer, the sync of the candidate and two syncs of a voter.
        let bound_ms = 2 * (900 + 3 * sync_ms) + 1_000;
        for seed in SEEDS {
            let mut sim = Sim::with_timeout(3, seed, false, 600);
            let leader = sim.wait_for_leader();
            propose_many(&mut sim, 3);
            for id in 1..=3 {
                sim.slow_disk(id, sync_ms);
            }
            sim.crash(leader, 0);
            let lost_ms = sim.now_ms();
            while sim.leader().is_none() && sim.now_ms() < lost_ms + 30_000 {
                sim.run(10);
            }
            let took_ms = sim.now_ms() - lost_ms;
            if took_ms > bound_ms {
                too_late.push((sync_ms, seed, took_ms));
            }
        }
    }
    assert!(too_late.is_empty(), "sync, seed and time without a leader in ms: {too_late:?}");
}

// Guards against a candidate whose new terms void the vote that a voter with a slow disk is writing.
#[test]
fn a_candidate_waits_for_a_voter_whose_syncs_are_slow() {
    let mut too_late = Vec::new();
    for seed in SEEDS {
        let mut sim = Sim::with_timeout(3, seed, false, 600);
        let leader = sim.wait_for_leader();
        propose_many(&mut sim, 3);
        sim.slow_disk(leader % 3 + 1, 2_000);
        sim.crash(leader, 0);
        let lost_ms = sim.now_ms();
        while sim.leader().is_none() && sim.now_ms() < lost_ms + 30_000 {
            sim.run(10);
        }
        // Two rounds, each with a timer and two syncs of the voter.
        let took_ms = sim.now_ms() - lost_ms;
        if took_ms > 2 * (900 + 2 * 2_000) {
            too_late.push((seed, took_ms));
        }
    }
    assert!(too_late.is_empty(), "seed and time without a leader in ms: {too_late:?}");
}

// Guards against leadership that moves to and fro between replicas whose disks are equally slow.
#[test]
fn a_group_whose_disks_are_all_slow_keeps_its_leader() {
    for seed in SEEDS {
        let mut sim = Sim::with_timeout(3, seed, false, 600);
        let leader = sim.wait_for_leader();
        propose_many(&mut sim, 3);
        let term = sim.node(leader).hard_state().term;
        for id in 1..=3 {
            sim.slow_disk(id, 2_500);
        }
        for _ in 0..600 {
            sim.propose(leader);
            sim.run(50);
        }
        assert_eq!(sim.leader(), Some(leader), "seed {seed}");
        assert_eq!(sim.node(leader).hard_state().term, term, "seed {seed}");
        sim.finish();
    }
}

// Guards against a voter that keeps the others from electing, or raises terms in vain, while its disk
// hangs, and against one that deposes the new leader when the disk answers.
#[test]
fn a_voter_whose_disk_hangs_disturbs_no_election() {
    for seed in SEEDS {
        let mut sim = Sim::with_timeout(5, seed, false, 600);
        let leader = sim.wait_for_leader();
        propose_many(&mut sim, 3);
        let hung = leader % 5 + 1;
        sim.hang_disk(hung);
        sim.propose(leader);
        sim.run(2_000);
        sim.crash(leader, 0);
        let lost_ms = sim.now_ms();
        while sim.leader().is_none() {
            sim.run(10);
        }
        assert!(sim.now_ms() - lost_ms < 2_000, "seed {seed}");
        let next = sim.wait_for_leader();
        let term = sim.node(next).hard_state().term;
        sim.run(10_000);
        sim.calm();
        sim.run(3_000);
        assert_eq!(sim.node(next).hard_state().term, term, "seed {seed}");
        assert!(sim.node(next).is_leader(), "seed {seed}");
        sim.finish();
    }
}

// Guards against a follower that is never sent anything again, because its window was full when the
// entries after it were compacted.
#[test]
fn a_follower_that_was_away_for_many_entries_catches_up() {
    for seed in SEEDS {
        let mut sim = Sim::new(3, seed, false);
        let leader = sim.wait_for_leader();
        propose_many(&mut sim, 3);
        sim.crash(leader % 3 + 1, 0);
        for _ in 0..200 {
            sim.propose(leader);
            sim.run(5);
        }
        sim.run(300);
        sim.snapshot(leader, 0);
        sim.finish();
    }
}

// Guards against a snapshot transfer that takes more than its share of the link, or that never ends
// while commands go on.
#[test]
fn a_snapshot_is_sent_at_its_rate_while_commands_go_on() {
    let mut sim = Sim::new(3, 3, false);
    let leader = sim.wait_for_leader();
    let away = leader % 3 + 1;
    sim.crash(away, 0);
    // At 8 bytes each the state has 4,000 bytes, and the rate is 10,000 bytes per second.
    for _ in 0..50 {
        for _ in 0..10 {
            sim.propose(leader);
        }
        sim.run(30);
    }
    sim.snapshot(leader, 0);
    let started_ms = sim.now_ms();
    sim.restart(away);
    while sim.node(away).commit_index() < 500 {
        assert!(sim.now_ms() < started_ms + 20_000, "the snapshot did not arrive");
        propose_many(&mut sim, 1);
    }
    let took_ms = sim.now_ms() - started_ms;
    assert!(took_ms >= 350, "4,000 bytes in {took_ms} ms are over the rate");
    sim.finish();
}
