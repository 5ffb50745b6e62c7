//! Guards against repairs of the replica set that lose the quorum or never finish.

use damaskhoist::replication::{plan_repair, Candidate, Member, MemberState, RepairStep};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

fn voter(id: u64, state: MemberState) -> Member {
    let (is_voter, is_leader) = (true, id == 1);
    Member { id, zone: format!("zone-{id}"), is_voter, is_leader, is_caught_up: true, state }
}

fn learner(id: u64, is_caught_up: bool) -> Member {
    Member { is_voter: false, is_caught_up, ..voter(id, MemberState::Healthy) }
}

fn candidate(peer_address: &str, zone: &str) -> Candidate {
    Candidate { peer_address: peer_address.to_owned(), zone: zone.to_owned() }
}

use MemberState::{DataLost, Healthy, Retiring, Unresponsive};

fn has_quorum(members: &[Member]) -> bool {
    let voters = || members.iter().filter(|it| it.is_voter);
    let responsive = voters().filter(|it| matches!(it.state, Healthy | Retiring));
    responsive.count() > voters().count() / 2
}

/// Guards against repair steps for a group in which all voters are healthy.
#[test]
fn a_healthy_group_needs_no_repair() {
    let members = [voter(1, Healthy), voter(2, Healthy), voter(3, Healthy)];
    assert_eq!(plan_repair(&members, &[candidate("a", "zone-4")], 3), None);
}

/// Guards against a voter that stopped replying and stays in the replica set.
#[test]
fn an_unresponsive_voter_is_replaced_in_three_steps() {
    let unhealthy = [voter(1, Healthy), voter(2, Healthy), voter(3, Unresponsive)];
    let candidates = [candidate("a", "zone-3")];
    let add = RepairStep::Add(candidates[0].clone());
    assert_eq!(plan_repair(&unhealthy, &candidates, 3), Some(add));
    let mut members = unhealthy.to_vec();
    members.push(learner(4, false));
    assert_eq!(plan_repair(&members, &candidates, 3), None);
    members[3].is_caught_up = true;
    assert_eq!(plan_repair(&members, &[], 3), Some(RepairStep::Promote(4)));
    members[3].is_voter = true;
    assert_eq!(plan_repair(&members, &[], 3), Some(RepairStep::Remove(3)));
}

/// Guards against a voter that lost its data and stays in the replica set.
#[test]
fn a_voter_without_its_data_is_replaced_in_three_steps() {
    let mut members = vec![voter(1, Healthy), voter(2, Healthy), voter(3, DataLost)];
    let candidates = [candidate("a", "zone-3")];
    assert_eq!(plan_repair(&members, &candidates, 3), Some(RepairStep::Remove(3)));
    members.pop();
    let add = RepairStep::Add(candidates[0].clone());
    assert_eq!(plan_repair(&members, &candidates, 3), Some(add));
    members.push(learner(4, false));
    assert_eq!(plan_repair(&members, &candidates, 3), None);
    members[2].is_caught_up = true;
    assert_eq!(plan_repair(&members, &[], 3), Some(RepairStep::Promote(4)));
}

/// Guards against a group that has no quorum for good because a second disk is lost right after the replacement for the
/// first one has become a voter.
#[rstest]
#[case(3, 3)]
#[case(5, 5)]
fn a_disk_that_is_lost_after_a_promotion_leaves_a_quorum(
    #[case] voters: u64,
    #[case] target: usize,
) {
    let mut members: Vec<Member> = (1..=voters).map(|id| voter(id, Healthy)).collect();
    members[1].state = DataLost;
    let mut candidates = vec![candidate("a", "zone-2")];
    while let Some(step) = plan_repair(&members, &candidates, target) {
        match step {
            RepairStep::Add(_) => {
                candidates.clear();
                members.push(learner(voters + 1, true));
            }
            RepairStep::Promote(id) => {
                members.iter_mut().find(|it| it.id == id).unwrap().is_voter = true;
                let healthy = members.iter().filter(|it| it.is_voter && it.state == Healthy);
                let left = healthy.count() - 1;
                assert!(left > members.len() / 2, "{left} of {}", members.len());
            }
            RepairStep::Remove(id) => members.retain(|it| it.id != id),
            RepairStep::Transfer => panic!("the leader is healthy"),
        }
    }
    assert_eq!(members.iter().filter(|it| it.state == Healthy).count(), target);
}

/// Guards against a change that can't be committed: two of three voters are unhealthy, so the
/// leader would wait for ever for a quorum, and promoting the learner would enlarge the quorum.
#[test]
fn no_step_is_planned_without_a_responsive_quorum() {
    let members = [voter(1, Healthy), voter(2, Unresponsive), voter(3, DataLost), learner(4, true)];
    assert_eq!(plan_repair(&members, &[], 3), None);
}

/// Guards against a group that shrinks to two voters while a host is being retired: a partition of
/// one more host then stopped the group for six seconds.
#[test]
fn a_retiring_voter_is_removed_after_its_replacement_is_promoted() {
    let mut members =
        vec![voter(1, Healthy), voter(2, Retiring), voter(3, Healthy), learner(4, true)];
    assert_eq!(plan_repair(&members, &[], 3), Some(RepairStep::Promote(4)));
    members[3].is_voter = true;
    assert_eq!(plan_repair(&members, &[], 3), Some(RepairStep::Remove(2)));
}

/// Guards against a leader that removes itself.
#[test]
fn a_retiring_leader_transfers_leadership() {
    let members = [voter(1, Retiring), voter(2, Healthy), voter(3, Healthy), voter(4, Healthy)];
    assert_eq!(plan_repair(&members, &[], 3), Some(RepairStep::Transfer));
}

/// Guards against a group that keeps its three founding voters although it must tolerate the loss
/// of two, and against a new replica in a zone that already has one.
#[test]
fn a_group_grows_to_its_target_in_other_zones() {
    let members = [voter(1, Healthy), voter(2, Healthy), voter(3, Healthy)];
    let candidates = [candidate("a", "zone-1"), candidate("b", "zone-9")];
    let step = plan_repair(&members, &candidates, 5);
    assert_eq!(step, Some(RepairStep::Add(candidates[1].clone())));
}

/// Guards against repairs that never finish or lose the quorum: from random states in which a
/// quorum is responsive, the steps reach the target number of healthy voters, and after each
/// promotion and removal the responsive voters are a quorum.
#[test]
fn random_groups_reach_their_target() {
    for seed in 0..500 {
        let mut random = StdRng::seed_from_u64(seed);
        let states = [Healthy, Healthy, Healthy, Unresponsive, DataLost, Retiring];
        let mut members = vec![voter(1, Healthy)];
        for id in 2..=random.random_range(3..=5) {
            members.push(voter(id, states[random.random_range(0..states.len())]));
        }
        let lost_count =
            members.iter().filter(|it| matches!(it.state, Unresponsive | DataLost)).count();
        if lost_count > (members.len() - 1) / 2 {
            continue;
        }
        let mut next_id = 10;
        let mut candidates: Vec<Candidate> =
            (0..8).map(|n| candidate(&format!("h{n}"), "z")).collect();
        for step in 0.. {
            assert!(step < 40, "seed {seed}: repair does not finish");
            match plan_repair(&members, &candidates, 3) {
                None => break,
                Some(RepairStep::Add(candidate)) => {
                    candidates.retain(|it| *it != candidate);
                    members.push(learner(next_id, true));
                    next_id += 1;
                }
                Some(RepairStep::Promote(id)) => {
                    members.iter_mut().find(|it| it.id == id).unwrap().is_voter = true;
                    assert!(has_quorum(&members), "seed {seed}");
                }
                Some(RepairStep::Remove(id)) => {
                    members.retain(|it| it.id != id);
                    let voters = members.iter().filter(|it| it.is_voter);
                    let responsive =
                        voters.clone().filter(|it| matches!(it.state, Healthy | Retiring));
                    assert!(responsive.count() > voters.count() / 2, "seed {seed}");
                }
                Some(RepairStep::Transfer) => panic!("seed {seed}: transfer from a healthy leader"),
            }
        }
        let voters: Vec<_> = members.iter().filter(|it| it.is_voter).collect();
        assert!(voters.len() >= 3, "seed {seed}: {members:?}");
        assert!(voters.iter().filter(|it| it.state == Healthy).count() >= 3, "seed {seed}");
    }
}
