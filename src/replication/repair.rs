use crate::replication::{Candidate, Member, MemberState};

/// A change of the replica set or of the leadership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RepairStep {
    /// Adds the host as a learner.
    Add(Candidate),
    /// Promotes the learner with this id to a voter.
    Promote(u64),
    /// Removes the replica with this id.
    Remove(u64),
    /// Transfers leadership, because the leader itself has to be removed.
    Transfer,
}

/// Decides the next change that brings a group to `target_voters` healthy voters.
///
/// A voter that has lost its data never votes again and is removed at once: until then it counts for the
/// quorum, and with its replacement beside it one more lost disk would leave none. Any other unhealthy
/// voter is removed only after its replacement has become a voter: a learner that has not caught up is
/// not promoted, so the replica set stays as it is, and a voter on a retiring host continues to vote
/// meanwhile. A voter is added or removed only if the responsive voters form a quorum of the new set,
/// which is necessary to commit the change.
pub fn plan_repair(
    members: &[Member],
    candidates: &[Candidate],
    target_voters: usize,
) -> Option<RepairStep> {
    let learners = || members.iter().filter(|member| !member.is_voter);
    if let Some(unhealthy) = learners().find(|member| member.state != MemberState::Healthy) {
        return Some(RepairStep::Remove(unhealthy.id));
    }
    let voters: Vec<&Member> = members.iter().filter(|member| member.is_voter).collect();
    let unhealthy: Vec<&&Member> =
        voters.iter().filter(|voter| voter.state != MemberState::Healthy).collect();
    let healthy = voters.len() - unhealthy.len();
    let responsive = voters.iter().filter(|voter| is_responsive(voter)).count();
    let lost = unhealthy.iter().find(|voter| voter.state == MemberState::DataLost);
    if let Some(lost) = lost.filter(|_| responsive >= quorum(voters.len() - 1)) {
        return Some(RepairStep::Remove(lost.id));
    }
    if let Some(ready) = learners().find(|member| member.is_caught_up) {
        if healthy < target_voters && responsive + 1 >= quorum(voters.len() + 1) {
            return Some(RepairStep::Promote(ready.id));
        }
    }
    if voters.len() > target_voters {
        if let Some(step) = plan_removal(&voters, &unhealthy) {
            return Some(step);
        }
    }
    if healthy + learners().count() >= target_voters {
        return None;
    }
    best_candidate(members, candidates).map(RepairStep::Add)
}

/// Removes one unhealthy voter; unresponsive ones go first, then those on retiring hosts.
fn plan_removal(voters: &[&Member], unhealthy: &[&&Member]) -> Option<RepairStep> {
    let removal_order = [MemberState::Unresponsive, MemberState::Retiring];
    let worst = removal_order
        .iter()
        .find_map(|state| unhealthy.iter().find(|voter| voter.state == *state))?;
    if worst.is_leader {
        return Some(RepairStep::Transfer);
    }
    let remaining = voters.iter().filter(|voter| voter.id != worst.id && is_responsive(voter));
    (remaining.count() >= quorum(voters.len() - 1)).then_some(RepairStep::Remove(worst.id))
}

/// True if the voter is expected to vote for a change; a voter on a retiring host still does.
fn is_responsive(member: &Member) -> bool {
    matches!(member.state, MemberState::Healthy | MemberState::Retiring)
}

/// Smallest majority of this number of voters.
fn quorum(voters: usize) -> usize {
    voters / 2 + 1
}

/// The candidate in the availability zone with the fewest healthy replicas; ties go to the lowest
/// peer address.
fn best_candidate(members: &[Member], candidates: &[Candidate]) -> Option<Candidate> {
    let healthy_in_zone = |zone: &str| {
        let healthy = members.iter().filter(|member| member.state == MemberState::Healthy);
        healthy.filter(|member| member.zone == zone).count()
    };
    let best = candidates
        .iter()
        .min_by_key(|candidate| (healthy_in_zone(&candidate.zone), &candidate.peer_address));
    best.cloned()
}
