use crate::raft::{GroupStatus, Replica};
use crate::replication::{Member, MemberState, NoticeTable};

/// Time without a reply after which a voter is replaced, if a learner has caught up. It is far
/// above an election timeout, so that a process restart rarely counts as a lost replica, and below
/// the time in which a new host must have caught up.
const UNRESPONSIVE_AFTER_MS: u64 = 1_500;
/// Time without a reply after which a learner is replaced that has never replied while its host runs. Opening creates and syncs
/// several files, each of which takes hundreds of milliseconds on a slow disk.
const OPENING_TIMEOUT_MS: u64 = 5_000;
/// Number of entries that a learner may lack of those that it needs to count as caught up; they are sent within one
/// round trip.
const CAUGHT_UP_MAX_LAG: u64 = 64;

/// Determines the state of each replica from the leader's status and the notices of the hosts.
///
/// `is_admitted` is true if this leader admitted the replica with the given id on the host with the
/// given nonce.
pub(super) fn assess_members(
    status: &GroupStatus,
    notices: &NoticeTable,
    is_retired: impl Fn(&str) -> bool,
    is_admitted: impl Fn(u64, u64) -> bool,
    now: std::time::Instant,
) -> Vec<Member> {
    let assess = |replica: &Replica| {
        let is_leader = replica.id == status.replica_id;
        let follower = status.followers.iter().find(|follower| follower.id == replica.id);
        let (match_index, silence_ms) =
            follower.map_or((0, 0), |follower| (follower.match_index, follower.silent_ms));
        let notice = notices.get(&replica.peer_address);
        let fresh = notice.filter(|notice| notice.is_fresh(now));
        let is_opening = fresh
            .is_some_and(|notice| notice.replica_id == 0 && is_admitted(replica.id, notice.nonce));
        let is_data_lost =
            fresh.is_some_and(|notice| notice.replica_id != replica.id) && !is_opening;
        // A host tells that its replica is open before the replica replies to the leader.
        let is_joining = !replica.voter && match_index == 0 && fresh.is_some() && !is_data_lost;
        let silence_limit_ms = if is_joining { OPENING_TIMEOUT_MS } else { UNRESPONSIVE_AFTER_MS };
        let state = match notice {
            Some(notice) if is_retired(&notice.host_id) => MemberState::Retiring,
            _ if is_leader => MemberState::Healthy,
            _ if is_data_lost => MemberState::DataLost,
            _ if silence_ms > silence_limit_ms => MemberState::Unresponsive,
            _ => MemberState::Healthy,
        };
        Member {
            id: replica.id,
            zone: notice.map_or_else(|| replica.zone.clone(), |notice| notice.zone.clone()),
            is_voter: replica.voter,
            is_leader,
            is_caught_up: match_index + CAUGHT_UP_MAX_LAG >= status.catch_up_index,
            state,
        }
    };
    status.replicas.replicas.iter().map(assess).collect()
}
