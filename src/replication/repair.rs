use crate::replication::{Candidate, Member, MemberState};

/// The next change of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RepairStep {
    /// Adds the host as a learner.
    Add(Candidate),
    /// Makes a learner a voter.
    Promote(u64),
    /// Takes a replica out.
    Remove(u64),
    /// Hands leadership on, because the leader's own host is to be emptied.
    Transfer,
}

/// Decides the next change that brings a group to `target_voters` healthy voters.
///
/// A lost voter goes only when a learner that has caught up can take its place, and only while the
/// voters that stay have a healthy quorum, which the change needs to be committed. A voter that is
/// only to be emptied goes after its successor votes, so that the group bears a loss meanwhile.
pub fn plan_repair(
    members: &[Member],
    candidates: &[Candidate],
    target_voters: usize,
) -> Option<RepairStep> {
    let learners = || members.iter().filter(|member| !member.is_voter);
    if let Some(lost) = learners().find(|member| member.state != MemberState::Healthy) {
        return Some(RepairStep::Remove(lost.id));
    }
    let voters: Vec<&Member> = members.iter().filter(|member| member.is_voter).collect();
    let lost: Vec<&&Member> =
        voters.iter().filter(|voter| voter.state != MemberState::Healthy).collect();
    if let Some(ready) = learners().find(|member| member.is_caught_up) {
        let only_retiring = lost.iter().all(|voter| voter.state == MemberState::Retiring);
        if voters.len() < target_voters || !lost.is_empty() && only_retiring {
            return Some(RepairStep::Promote(ready.id));
        }
        if let Some(step) = replace(&voters, &lost) {
            return Some(step);
        }
    }
    if voters.len() > target_voters {
        if let Some(step) = replace(&voters, &lost) {
            return Some(step);
        }
    }
    let healthy = voters.len() - lost.len();
    if healthy + learners().count() >= target_voters {
        return None;
    }
    best_candidate(members, candidates).map(RepairStep::Add)
}

/// Takes out the lost voter, a replaced one before a retiring one.
fn replace(voters: &[&Member], lost: &[&&Member]) -> Option<RepairStep> {
    let order = [MemberState::Replaced, MemberState::Silent, MemberState::Retiring];
    let worst = order.iter().find_map(|state| lost.iter().find(|voter| voter.state == *state))?;
    if worst.is_leader {
        return Some(RepairStep::Transfer);
    }
    let rest = voters.iter().filter(|voter| voter.id != worst.id);
    let answering = rest
        .filter(|voter| matches!(voter.state, MemberState::Healthy | MemberState::Retiring))
        .count();
    let quorum = (voters.len() - 1) / 2 + 1;
    (answering >= quorum).then_some(RepairStep::Remove(worst.id))
}

/// The candidate of the zone with the fewest healthy replicas.
fn best_candidate(members: &[Member], candidates: &[Candidate]) -> Option<Candidate> {
    let in_zone = |zone: &str| {
        let healthy = members.iter().filter(|it| it.state == MemberState::Healthy);
        healthy.filter(|it| it.zone == zone).count()
    };
    let best = candidates.iter().min_by_key(|it| (in_zone(&it.zone), &it.peer_address));
    best.cloned()
}
