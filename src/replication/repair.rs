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
/// A lost voter goes after its successor votes: a successor that has not caught up is refused and
/// changes nothing, and a voter that is only to be emptied still counts meanwhile. Each change is made
/// only if the voters that answer are a quorum afterwards, which the change needs to be committed.
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
    let healthy = voters.len() - lost.len();
    let answering = voters.iter().filter(|voter| answers(voter)).count();
    if let Some(ready) = learners().find(|member| member.is_caught_up) {
        if healthy < target_voters && answering + 1 >= quorum(voters.len() + 1) {
            return Some(RepairStep::Promote(ready.id));
        }
    }
    if voters.len() > target_voters {
        if let Some(step) = remove_worst(&voters, &lost) {
            return Some(step);
        }
    }
    if healthy + learners().count() >= target_voters {
        return None;
    }
    best_candidate(members, candidates).map(RepairStep::Add)
}

/// Takes out the lost voter, a replaced one before a retiring one.
fn remove_worst(voters: &[&Member], lost: &[&&Member]) -> Option<RepairStep> {
    let order = [MemberState::Replaced, MemberState::Silent, MemberState::Retiring];
    let worst = order.iter().find_map(|state| lost.iter().find(|voter| voter.state == *state))?;
    if worst.is_leader {
        return Some(RepairStep::Transfer);
    }
    let rest = voters.iter().filter(|voter| voter.id != worst.id && answers(voter));
    (rest.count() >= quorum(voters.len() - 1)).then_some(RepairStep::Remove(worst.id))
}

fn answers(member: &Member) -> bool {
    matches!(member.state, MemberState::Healthy | MemberState::Retiring)
}

fn quorum(voters: usize) -> usize {
    voters / 2 + 1
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
