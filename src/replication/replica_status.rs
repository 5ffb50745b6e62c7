use crate::raft::{GroupStatus, Replica};
use crate::replication::{Member, MemberState, NoticeBoard};

/// Silence after which a voter is replaced, if a learner is ready. Far above an election timeout, so
/// that a restart of a process is rarely taken for a loss; below the time in which a new host must
/// have caught up.
const REPLACE_SILENCE_MS: u64 = 1_500;
/// Entries that a learner may lack to count as caught up; they are sent within one round trip.
const CAUGHT_UP_ENTRIES: u64 = 64;

/// Judges the replicas of a group from its leader's view and the notices of the hosts.
pub(super) fn members(
    status: &GroupStatus,
    board: &NoticeBoard,
    retired: impl Fn(&str) -> bool,
    is_admitted: impl Fn(u64, u64) -> bool,
    now: std::time::Instant,
) -> Vec<Member> {
    let judge = |replica: &Replica| {
        let is_leader = replica.id == status.replica_id;
        let follower = status.followers.iter().find(|follower| follower.0 == replica.id);
        let (match_index, silence_ms) =
            follower.map_or((0, 0), |follower| (follower.1, follower.2));
        let notice = board.at(&replica.peer_address);
        let is_other = notice.is_some_and(|it| {
            let is_own = it.replica_id == replica.id;
            let is_opening = it.replica_id == 0 && is_admitted(replica.id, it.nonce);
            it.is_fresh(now) && !is_own && !is_opening
        });
        let state = match notice {
            Some(notice) if retired(&notice.host_id) => MemberState::Retiring,
            _ if is_leader => MemberState::Healthy,
            _ if is_other => MemberState::Replaced,
            _ if silence_ms > REPLACE_SILENCE_MS => MemberState::Silent,
            _ => MemberState::Healthy,
        };
        Member {
            id: replica.id,
            zone: notice.map_or_else(|| replica.zone.clone(), |notice| notice.zone.clone()),
            is_voter: replica.voter,
            is_leader,
            is_caught_up: match_index + CAUGHT_UP_ENTRIES >= status.last_index,
            state,
        }
    };
    status.replicas.replicas.iter().map(judge).collect()
}
