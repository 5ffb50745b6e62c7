//! Rules of a single `RaftNode` that random failures seldom reach.

use bytes::Bytes;
use damaskhoist::raft::{
    Action, AppendRequest, Body, ElectionEvent, Entry, HardState, Log, Message, NodeConfig,
    Payload, RaftNode, RecoveredState, Replica, ReplicaChange, ReplicaSet, SnapshotChunk,
    SnapshotMeta, Standing,
};
use rstest::rstest;

fn entries(terms: &[u64]) -> Vec<Entry> {
    let command = || Payload::Command(Bytes::from_static(b"c"));
    (1..).zip(terms).map(|(index, &term)| Entry { index, term, payload: command() }).collect()
}

fn replicas(count: u64) -> ReplicaSet {
    let replica =
        |id| Replica { id, peer_address: format!("r{id}"), zone: String::new(), voter: true };
    ReplicaSet::new((1..=count).map(replica).collect())
}

fn node(standing: Standing, terms: &[u64]) -> RaftNode {
    node_with(standing, terms, false, 0)
}

fn node_with(standing: Standing, terms: &[u64], lease_reads: bool, started_ms: u64) -> RaftNode {
    let config = NodeConfig {
        id: 1,
        heartbeat_interval_ms: 100,
        election_timeout_ms: 600,
        append_bytes: 1000,
        cache_bytes: 1000,
        transfer_bytes_per_s: 1000,
        min_snapshot_bytes: 1 << 20,
        lease_reads,
    };
    let snapshot = SnapshotMeta { replicas: replicas(3), ..Default::default() };
    let log = Log::new(snapshot.clone(), entries(terms));
    let hard_state = HardState { term: terms.last().copied().unwrap_or(0), vote: None };
    RaftNode::new(config, RecoveredState { hard_state, standing, snapshot, log }, started_ms, 1)
}

fn message(from: u64, term: u64, body: Body) -> Message {
    Message { from, to: 1, term, body }
}

fn append(terms: &[u64], commit_index: u64, term: u64) -> Message {
    let body = AppendRequest {
        previous_index: 0,
        previous_term: 0,
        entries: entries(terms),
        commit_index,
        round: 1,
    };
    message(2, term, Body::AppendRequest(body))
}

/// Stores what the node asks to store; gives the other actions.
fn persist(node: &mut RaftNode, now_ms: u64) -> Vec<Action> {
    let mut others = Vec::new();
    loop {
        let actions = node.take_actions();
        if actions.is_empty() {
            return others;
        }
        for action in actions {
            match action {
                Action::Persist { hard_state, entries } => {
                    let last = entries.last().map(|entry| (entry.index, entry.term));
                    node.persisted(now_ms, hard_state, last);
                }
                other => others.push(other),
            }
        }
    }
}

/// Makes the node the leader of the term after its last one.
fn elect(node: &mut RaftNode) -> u64 {
    let now_ms = node.due_ms().unwrap();
    let term = node.hard_state().term + 1;
    node.tick(now_ms);
    node.step(now_ms, message(2, term, Body::VoteReply { pre_vote: true, granted: true }));
    persist(node, now_ms);
    node.step(now_ms, message(2, term, Body::VoteReply { pre_vote: false, granted: true }));
    persist(node, now_ms);
    assert!(node.is_leader());
    now_ms
}

fn reply(term: u64, index: u64, round: u64) -> Message {
    message(2, term, Body::AppendReply { accepted: true, index, round, settled: true })
}

// Guards against an entry of an earlier term that counts as committed and is replaced later.
#[test]
fn entries_of_earlier_terms_are_committed_only_with_one_of_the_own_term() {
    let mut node = node(Standing::Member, &[1, 2]);
    let now_ms = elect(&mut node);
    node.step(now_ms, reply(3, 2, 1));
    assert_eq!(node.commit_index(), 0);
    node.step(now_ms, reply(3, 3, 1));
    assert_eq!(node.commit_index(), 3);
}

// Guards against a vote that is told before it is on the disk, and given twice after a crash.
#[test]
fn a_vote_is_sent_after_it_is_on_the_disk() {
    let mut node = node(Standing::Member, &[1]);
    let request =
        Body::VoteRequest { pre_vote: false, last_index: 1, last_term: 1, transfer: false };
    node.step(5_000, message(2, 2, request));
    let sends = |actions: &[Action]| actions.iter().any(|it| matches!(it, Action::Send(_)));
    assert!(!sends(&node.take_actions()));
    node.persisted(5_000, Some(HardState { term: 2, vote: Some(2) }), None);
    assert!(sends(&node.take_actions()));
}

// Guards against a replica that votes without what it may have acknowledged: one that lost records
// must have them all again, one that joins must have the leader's log, and a voter with an empty
// disk never votes.
#[rstest]
#[case::too_short(Standing::Repairing { through: 5 }, append(&[1, 1, 2], 3, 2), false)]
#[case::not_committed(Standing::Repairing { through: 3 }, append(&[1, 1, 1], 2, 2), false)]
#[case::repaired(Standing::Repairing { through: 3 }, append(&[1, 1, 2], 3, 2), true)]
#[case::empty_disk_of_a_voter(Standing::Joining, append(&[1, 1, 2], 3, 2), false)]
fn a_replica_votes_only_with_all_that_it_acknowledged(
    #[case] standing: Standing,
    #[case] append: Message,
    #[case] settles: bool,
) {
    let mut node = node(standing, &[]);
    node.step(0, append);
    let actions = persist(&mut node, 0);
    assert_eq!(actions.contains(&Action::RecordMembership), settles);
    let request =
        Body::VoteRequest { pre_vote: false, last_index: 9, last_term: 9, transfer: true };
    node.step(10, message(3, 9, request));
    let granted = persist(&mut node, 10).iter().any(|action| {
        matches!(action, Action::Send(Message { body: Body::VoteReply { granted: true, .. }, .. }))
    });
    assert!(!granted, "the vote comes only after the standing is on the disk");
}

// Guards against an old lease that still holds after a restart: the replica may have promised its
// leader just before not to vote.
#[test]
fn a_restarted_replica_waits_before_it_votes() {
    let mut node = node_with(Standing::Member, &[1], false, 5_000);
    let request =
        || Body::VoteRequest { pre_vote: false, last_index: 1, last_term: 1, transfer: false };
    node.step(5_599, message(2, 2, request()));
    assert_eq!(node.hard_state().vote, None);
    node.step(5_600, message(2, 2, request()));
    assert_eq!(node.hard_state().vote, Some(2));
}

// Guards against a read that is confirmed by an answer to a question from before the read, when
// another leader may have committed something in between.
#[test]
fn a_read_needs_an_answer_to_a_later_question() {
    let mut node = node(Standing::Member, &[1]);
    let now_ms = elect(&mut node);
    let confirms = |actions: &[Action]| {
        actions.iter().any(|action| matches!(action, Action::ReadConfirmed { id: 7, .. }))
    };
    assert!(node.read(now_ms, 7));
    node.step(now_ms, reply(2, 2, 1));
    assert!(!confirms(&persist(&mut node, now_ms)));
    node.flush_reads(now_ms);
    node.step(now_ms, reply(2, 2, 2));
    assert!(confirms(&persist(&mut node, now_ms)));
}

// Guards against a lease read after a follower was told to take over: it gets votes despite the
// lease, even when the message arrives after the transfer was given up.
#[test]
fn a_transfer_ends_the_lease_for_good() {
    let mut node = node_with(Standing::Member, &[1], true, 0);
    let now_ms = elect(&mut node);
    node.step(now_ms, reply(2, 2, 1));
    let confirms = |node: &mut RaftNode, id| {
        assert!(node.read(now_ms, id));
        let actions = persist(node, now_ms);
        actions.iter().any(|action| matches!(action, Action::ReadConfirmed { .. }))
    };
    assert!(confirms(&mut node, 1));
    node.transfer_leadership(now_ms, 2).unwrap();
    assert!(!confirms(&mut node, 2));
}

// Guards against a handover that leaves the group without a leader: the successor wrote its vote for longer than
// the leader took no commands, and its log was too old for a vote once it asked for them.
#[rstest]
#[case::successor_writes_its_vote(false, false)]
#[case::successor_goes_on_to_follow(true, true)]
fn a_leader_appends_nothing_while_its_successor_may_campaign(
    #[case] answers: bool,
    #[case] accepts: bool,
) {
    let mut node = node(Standing::Member, &[1]);
    let begun_ms = elect(&mut node);
    node.step(begun_ms, reply(2, 2, 1));
    node.transfer_leadership(begun_ms, 2).unwrap();
    let accepts_at = |node: &mut RaftNode, end_ms: u64| {
        let from_ms = node.due_ms().unwrap();
        for now_ms in (from_ms..=end_ms).step_by(10) {
            node.tick(now_ms);
            for action in persist(node, now_ms) {
                let Action::Send(Message { to, body: Body::AppendRequest(sent), .. }) = action
                else {
                    continue;
                };
                if to == 3 || answers {
                    let body = reply(2, 2, sent.round).body;
                    node.step(now_ms, Message { from: to, to: 1, term: 2, body });
                }
            }
        }
        assert!(node.is_leader());
        node.propose(vec![Payload::Empty]).is_some()
    };
    // The election timeout is 600 ms, and the successor may write for twice as long.
    assert_eq!(accepts_at(&mut node, begun_ms + 700), accepts);
    assert_eq!(accepts_at(&mut node, begun_ms + 1_100), accepts);
    node.record_applied(node.commit_index());
    assert!(accepts_at(&mut node, begun_ms + 1_300));
}

// Guards against elections that late messages of a leader that is gone put off again and again.
#[test]
fn a_late_message_of_an_earlier_round_is_no_contact_to_the_leader() {
    let mut node = node(Standing::Member, &[1]);
    node.step(100, append(&[1], 1, 2));
    persist(&mut node, 101);
    let due_ms = node.due_ms();
    node.step(600, append(&[1], 1, 2));
    assert_eq!(node.due_ms(), due_ms);
    let body = Body::VoteRequest { pre_vote: true, last_index: 1, last_term: 1, transfer: false };
    node.step(750, message(3, 3, body));
    let reply = Body::VoteReply { pre_vote: true, granted: true };
    let expected = Action::Send(Message { from: 1, to: 3, term: 3, body: reply });
    assert!(persist(&mut node, 750).contains(&expected), "the leader is silent for 650 ms");
}

// Guards against a new leader that counts entries of an earlier leader as its own: it would commit
// entries that no other replica has.
#[test]
fn entries_of_an_earlier_leader_are_not_acknowledged_to_the_next_one() {
    let mut node = node(Standing::Member, &[]);
    node.step(0, append(&[1, 1, 1], 0, 1));
    // The writes are still under way when the next leader sends its first heartbeat.
    let body = AppendRequest {
        previous_index: 0,
        previous_term: 0,
        entries: Vec::new(),
        commit_index: 0,
        round: 1,
    };
    node.step(700, message(3, 2, Body::AppendRequest(body)));
    node.take_actions();
    node.persisted(710, Some(HardState { term: 1, vote: None }), Some((3, 1)));
    node.persisted(720, Some(HardState { term: 2, vote: None }), None);
    let acknowledged = node.take_actions().into_iter().filter_map(|action| match action {
        Action::Send(Message {
            to: 3, body: Body::AppendReply { accepted, index, .. }, ..
        }) => Some((accepted, index)),
        _ => None,
    });
    let acknowledged: Vec<_> = acknowledged.collect();
    assert_eq!(
        acknowledged,
        [(true, 0), (true, 0)],
        "entries that the leader did not send were acknowledged"
    );
}

fn heartbeat_reply(from: u64, term: u64, round: u64) -> Message {
    let body = Body::AppendReply { accepted: true, index: 1, round, settled: true };
    message(from, term, body)
}

// Guards against a leader that holds its own standstill against its followers: their answers wait
// to be read, and each new leader with as much work would be given up in the same way.
#[test]
fn a_leader_that_stood_still_waits_for_one_more_round() {
    let mut node = node(Standing::Member, &[1]);
    let elected_ms = elect(&mut node);
    node.tick(elected_ms + 700);
    assert!(node.is_leader(), "given up before the answers were read");
    let rounds =
        persist(&mut node, elected_ms + 700).into_iter().filter_map(|action| match action {
            Action::Send(Message { body: Body::AppendRequest(request), .. }) => Some(request.round),
            _ => None,
        });
    assert_eq!(rounds.max(), Some(2), "no new round was sent");
    node.step(elected_ms + 710, heartbeat_reply(3, 2, 2));
    node.tick(elected_ms + 1_250);
    assert!(node.is_leader());
    assert_eq!(node.confirmed_age_ms(elected_ms + 1_250), Some(550));
}

// Guards against a leader without a quorum that stays for longer than one more election timeout,
// because it stands still again and again.
#[test]
fn a_leader_that_stands_still_again_gives_up() {
    let mut node = node(Standing::Member, &[1]);
    let elected_ms = elect(&mut node);
    node.tick(elected_ms + 700);
    assert!(node.is_leader());
    node.tick(elected_ms + 1_000);
    assert!(node.is_leader());
    node.tick(elected_ms + 1_300);
    assert!(!node.is_leader(), "more than one election timeout longer");
}

// Guards against reads under a lease that a standstill extends: another leader may be elected.
#[test]
fn a_standstill_extends_no_lease() {
    let mut node = node_with(Standing::Member, &[1], true, 0);
    let elected_ms = elect(&mut node);
    node.step(elected_ms + 10, heartbeat_reply(2, 2, 1));
    let confirms = |node: &mut RaftNode, now_ms, id| {
        node.read(now_ms, id);
        let actions = persist(node, now_ms);
        actions.iter().any(|action| matches!(action, Action::ReadConfirmed { .. }))
    };
    assert!(confirms(&mut node, elected_ms + 20, 1));
    node.tick(elected_ms + 700);
    assert!(!confirms(&mut node, elected_ms + 700, 2));
}

// Guards against a follower that asks for votes because it did not run while its leader's
// heartbeats arrived, and that then never campaigns although its leader is gone.
#[test]
fn a_follower_that_stood_still_reads_before_it_campaigns() {
    let campaigns = |node: &mut RaftNode, now_ms| {
        node.tick(now_ms);
        persist(node, now_ms).iter().any(|action| {
            let is_vote = |body: &Body| matches!(body, Body::VoteRequest { .. });
            matches!(action, Action::Send(message) if is_vote(&message.body))
        })
    };
    let mut node = node(Standing::Member, &[1]);
    node.step(100, append(&[1], 0, 2));
    persist(&mut node, 101);
    let due_ms = node.due_ms().unwrap();
    assert!(!campaigns(&mut node, due_ms + 500), "campaigns before it has read what arrived");
    let extended_ms = node.due_ms().unwrap();
    assert!(extended_ms <= due_ms + 500 + 600, "waits for more than an election timeout");
    assert!(campaigns(&mut node, extended_ms + 500), "never campaigns");
}

// Guards against elections that wait once more after each slow write of a vote, as if the replica
// had stood still.
#[test]
fn a_follower_whose_vote_was_written_slowly_did_not_stand_still() {
    let mut node = node(Standing::Member, &[1]);
    node.step(100, append(&[1], 0, 2));
    assert_eq!(node.due_ms(), None, "a term is being written");
    persist(&mut node, 3_000);
    node.tick(3_000);
    let requests = node.take_actions().into_iter().filter(|action| {
        matches!(action, Action::Send(Message { body: Body::VoteRequest { .. }, .. }))
    });
    assert_eq!(requests.count(), 2, "the election timer was over when the term was written");
}

// Guards against elections that never end while the disk of a voter is slow: candidates that grant
// each other pre-votes for newer terms void the votes that are being written for them.
#[rstest]
#[case::a_vote_is_being_written(&[2], &[], 0, false)]
#[case::nothing_is_known_of_the_others(&[], &[], 0, true)]
#[case::the_vote_was_refused(&[2], &[2], 0, true)]
#[case::waited_long(&[2], &[], 3_000, true)]
fn a_candidate_whose_votes_are_being_written_grants_no_pre_votes(
    #[case] writing: &[u64],
    #[case] refused_by: &[u64],
    #[case] waited_ms: u64,
    #[case] grants: bool,
) {
    let mut node = node(Standing::Member, &[1]);
    let now_ms = node.due_ms().unwrap();
    let reply = |from, pre_vote, granted| message(from, 2, Body::VoteReply { pre_vote, granted });
    node.tick(now_ms);
    node.step(now_ms, reply(2, true, true));
    persist(&mut node, now_ms);
    // The candidate asks again whether it would be elected; the campaign goes on.
    let retried_ms = node.due_ms().unwrap();
    node.tick(retried_ms);
    for &from in writing {
        node.step(retried_ms, reply(from, true, false));
    }
    for &from in refused_by {
        node.step(retried_ms, reply(from, false, false));
    }
    let asked_ms = retried_ms + waited_ms;
    let body = Body::VoteRequest { pre_vote: true, last_index: 9, last_term: 1, transfer: false };
    node.step(asked_ms, message(3, 3, body));
    let granted = persist(&mut node, asked_ms).iter().any(|action| {
        let is_grant = |body: &Body| *body == Body::VoteReply { pre_vote: true, granted: true };
        matches!(action, Action::Send(message) if is_grant(&message.body))
    });
    assert_eq!(granted, grants);
}

// Guards against calls that fail with no leader known, because one follower missed heartbeats while
// its leader leads on; and against one that names a leader that is gone for good.
#[test]
fn a_follower_names_its_leader_until_a_quorum_does_not_hear_it() {
    let start = || {
        let mut node = node(Standing::Member, &[1]);
        node.step(100, append(&[1], 0, 2));
        persist(&mut node, 101);
        node.tick(node.due_ms().unwrap());
        assert_eq!(node.leader_id(), Some(2), "one replica alone missed heartbeats");
        node
    };
    let mut node = start();
    node.step(1_000, message(3, 3, Body::VoteReply { pre_vote: true, granted: true }));
    assert_eq!(node.leader_id(), None, "a quorum does not hear the leader");
    let mut cut_off = start();
    while cut_off.due_ms().unwrap() < 100 + 4 * 600 {
        cut_off.tick(cut_off.due_ms().unwrap());
    }
    cut_off.tick(cut_off.due_ms().unwrap());
    assert_eq!(cut_off.leader_id(), None, "the replica is cut off");
}

/// Guards against a replica that never campaigns and sends callers to a lost leader for good.
#[rstest]
fn a_replica_without_a_vote_names_no_leader_that_is_gone(
    #[values(Standing::Joining, Standing::Repairing { through: 9 })] standing: Standing,
) {
    let mut node = node(standing, &[]);
    node.step(10, append(&[1], 0, 1));
    persist(&mut node, 10);
    assert_eq!(node.leader_id(), Some(2));
    let forgets_ms = node.due_ms().expect("a timer runs");
    assert!(forgets_ms <= 10 + 4 * 600, "{forgets_ms}");
    node.tick(forgets_ms - 1);
    assert_eq!(node.leader_id(), Some(2), "it may only be slow");
    node.tick(forgets_ms);
    assert_eq!((node.leader_id(), node.due_ms()), (None, None));
    node.step(forgets_ms + 1, append(&[1], 0, 2));
    assert_eq!(node.leader_id(), Some(2));
}

/// Guards against a replica that catches up a second and a half late, because the first chunk of its snapshot was lost on a
/// connection to the process that had its address before.
#[test]
fn a_lost_first_chunk_of_a_snapshot_is_soon_sent_again() {
    let mut node = node(Standing::Member, &[1; 5]);
    let now_ms = elect(&mut node);
    let term = node.hard_state().term;
    let meta = SnapshotMeta { last_index: 5, last_term: 1, replicas: replicas(3) };
    node.snapshot_saved(meta.clone(), 5);
    node.step(now_ms, rejection(term, 0, 1));
    let reads = |actions: &[Action]| {
        let is_read = |action: &&Action| matches!(action, Action::ReadChunk { to: 2, .. });
        actions.iter().filter(is_read).count()
    };
    assert_eq!(reads(&persist(&mut node, now_ms)), 1);
    let data = vec![0; 10].into();
    node.chunk_read(now_ms, 2, SnapshotChunk { meta, offset_bytes: 0, data, last: false });
    persist(&mut node, now_ms);
    node.tick(now_ms + 200);
    assert_eq!(reads(&persist(&mut node, now_ms + 200)), 0, "it may be on its way");
    node.tick(now_ms + 400);
    assert_eq!(reads(&persist(&mut node, now_ms + 400)), 1);
}

/// An answer of follower 2, whose log matches up to `index` at most.
fn rejection(term: u64, index: u64, round: u64) -> Message {
    message(2, term, Body::AppendReply { accepted: false, index, round, settled: true })
}

/// The first indexes of the entries that the node reads from the disk for follower 2.
fn fetches(actions: &[Action]) -> Vec<u64> {
    let first = |action: &Action| match action {
        Action::Fetch { to: 2, first_index } => Some(*first_index),
        _ => None,
    };
    actions.iter().filter_map(first).collect()
}

/// A leader whose log is only on the disk, but for its newest entries.
fn leader_with_trimmed_cache() -> (RaftNode, u64, u64) {
    let mut node = node(Standing::Member, &[1; 200]);
    let now_ms = elect(&mut node);
    let term = node.hard_state().term;
    node.step(
        now_ms,
        message(3, term, Body::AppendReply { accepted: true, index: 201, round: 1, settled: true }),
    );
    node.record_applied(201);
    persist(&mut node, now_ms);
    (node, term, now_ms)
}

// Guards against several answers of a follower that lags behind, each of which has the leader read the same entries.
#[test]
fn rejections_that_say_the_same_are_answered_with_one_fetch() {
    let (mut node, term, now_ms) = leader_with_trimmed_cache();
    let mut actions = Vec::new();
    for round in 1..=3 {
        node.step(now_ms, rejection(term, 9, round));
        actions.extend(persist(&mut node, now_ms));
    }
    assert_eq!(fetches(&actions), [10]);
}

// Guards against a late result of an earlier fetch that has the leader send a snapshot instead of the log.
#[test]
fn a_late_result_of_an_earlier_fetch_starts_no_snapshot() {
    let (mut node, term, now_ms) = leader_with_trimmed_cache();
    node.step(now_ms, rejection(term, 19, 1));
    node.step(now_ms, rejection(term, 9, 1));
    assert_eq!(fetches(&persist(&mut node, now_ms)), [20, 10]);
    let log = entries(&[1; 200]);
    node.fetched(now_ms, 2, log[19..29].to_vec());
    assert!(persist(&mut node, now_ms).is_empty(), "a result of an earlier fetch is used");
    node.fetched(now_ms, 2, log[9..19].to_vec());
    assert_eq!(sent_entries(&persist(&mut node, now_ms)), [10]);
}

// Guards against an answer to entries in flight that arrives during a fetch and has the leader send a snapshot.
#[test]
fn an_answer_that_arrives_during_a_fetch_starts_no_snapshot() {
    let (mut node, term, now_ms) = leader_with_trimmed_cache();
    node.step(now_ms, rejection(term, 9, 1));
    assert_eq!(fetches(&persist(&mut node, now_ms)), [10]);
    node.step(now_ms, reply(term, 50, 1));
    node.fetched(now_ms, 2, entries(&[1; 200])[9..19].to_vec());
    let actions = persist(&mut node, now_ms);
    assert_eq!(fetches(&actions), [51], "{actions:?}");
}

// Guards against late rejections, one for each heartbeat and read round in flight, that each have the leader send the same
// entries again to a follower far away.
#[test]
fn rejections_from_before_a_probe_do_not_repeat_it() {
    let mut node = node(Standing::Member, &[1; 9]);
    let now_ms = elect(&mut node);
    let term = node.hard_state().term;
    let mut actions = Vec::new();
    for round in 1..=5 {
        node.read(now_ms, round);
        node.flush_reads(now_ms);
        node.step(now_ms, rejection(term, 4, round));
        actions.extend(persist(&mut node, now_ms));
        let body = Body::AppendReply { accepted: true, index: 10, round: round + 1, settled: true };
        node.step(now_ms, message(3, term, body));
        actions.extend(persist(&mut node, now_ms));
    }
    assert_eq!(sent_entries(&actions), [5]);
}

// Guards against a follower that gets no entries any more after those of a probe were lost.
#[test]
fn a_lost_probe_is_sent_again() {
    let mut node = node(Standing::Member, &[1; 9]);
    let now_ms = elect(&mut node);
    let term = node.hard_state().term;
    node.step(now_ms, rejection(term, 4, 1));
    persist(&mut node, now_ms);
    let later_ms = now_ms + 500;
    node.tick(later_ms);
    persist(&mut node, later_ms);
    node.step(later_ms, rejection(term, 4, 2));
    assert_eq!(sent_entries(&persist(&mut node, later_ms)), [5]);
}

/// The first indexes of the requests with entries to follower 2.
fn sent_entries(actions: &[Action]) -> Vec<u64> {
    let first = |action: &Action| match action {
        Action::Send(Message { to: 2, body: Body::AppendRequest(request), .. }) => {
            request.entries.first().map(|entry| entry.index)
        }
        _ => None,
    };
    actions.iter().filter_map(first).collect()
}

// Guards against voters that let the next candidate campaign right after a slow disk has written their
// vote: the replica that they elect gets no answer, as they are in a newer term.
#[test]
fn a_voter_refuses_other_pre_votes_right_after_its_vote() {
    let ask = |from, term, pre_vote| {
        let body = Body::VoteRequest { pre_vote, last_index: 0, last_term: 0, transfer: false };
        message(from, term, body)
    };
    let granted = |actions: &[Action], to| {
        actions.iter().find_map(|action| match action {
            Action::Send(Message {
                to: receiver, body: Body::VoteReply { granted, .. }, ..
            }) => (*receiver == to).then_some(*granted),
            _ => None,
        })
    };
    let mut node = node(Standing::Member, &[]);
    node.step(700, ask(2, 1, false));
    // The disk takes two seconds.
    assert_eq!(granted(&persist(&mut node, 2_700), 2), Some(true));
    node.step(2_705, ask(3, 2, true));
    assert_eq!(granted(&node.take_actions(), 3), Some(false), "replica 2 may lead by now");
    node.step(2_950, ask(3, 2, true));
    assert_eq!(granted(&node.take_actions(), 3), Some(true), "replica 2 does not lead");
}

// Guards against the end of a leadership whose cause the log doesn't show: voters that don't
// answer, or a replica that did not run itself.
#[test]
fn the_end_of_a_leadership_tells_who_answered_and_how_late_the_replica_ran() {
    let mut node = node(Standing::Member, &[1]);
    let elected_ms = elect(&mut node);
    node.tick(elected_ms + 400);
    node.step(elected_ms + 410, heartbeat_reply(2, 2, 1));
    let refused = Body::AppendReply { accepted: false, index: 0, round: 0, settled: true };
    node.step(elected_ms + 420, message(3, 5, refused));
    let ends = node.take_actions().into_iter().filter_map(|action| match action {
        Action::Report(ElectionEvent::LeadershipEnds {
            run_delay_ms,
            round,
            answered_rounds,
            ..
        }) => Some((run_delay_ms, round, answered_rounds)),
        _ => None,
    });
    let expected = (300, 2, vec![(2, 1), (3, 0)]);
    assert_eq!(ends.collect::<Vec<_>>(), [expected]);
}

// Guards against heartbeats that wait for seconds behind the entries that a follower far away has to catch up on.
#[test]
fn entries_in_flight_are_bounded_in_bytes() {
    let mut node = node(Standing::Member, &[1; 9]);
    let now_ms = elect(&mut node);
    let term = node.hard_state().term;
    node.step(now_ms, reply(term, 10, 1));
    persist(&mut node, now_ms);
    let command = Payload::Command(Bytes::from(vec![0; 900]));
    let mut actions = Vec::new();
    for _ in 0..50 {
        node.propose(vec![command.clone()]);
        node.replicate_all(now_ms);
        actions.extend(persist(&mut node, now_ms));
    }
    // A full request has 1,000 bytes here, and eight of them may be in flight.
    assert_eq!(sent_entries(&actions), [11, 12, 13, 14, 15, 16, 17, 18, 19]);
    node.step(now_ms, reply(term, 12, 1));
    assert_eq!(sent_entries(&persist(&mut node, now_ms)), [20, 21]);
}

// Guards against a leader that spends its processor time on a round of heartbeats for each read.
#[test]
fn reads_that_come_one_after_the_other_share_rounds() {
    let mut node = node(Standing::Member, &[1]);
    let elected_ms = elect(&mut node);
    let term = node.hard_state().term;
    let mut rounds = std::collections::BTreeSet::new();
    let mut confirmed = 0;
    for now_ms in elected_ms + 1..=elected_ms + 300 {
        node.tick(now_ms);
        node.read(now_ms, now_ms);
        node.flush_reads(now_ms);
        for action in persist(&mut node, now_ms) {
            match action {
                Action::Send(Message { to: 2, body: Body::AppendRequest(request), .. }) => {
                    rounds.insert(request.round);
                    let index = request.previous_index + request.entries.len() as u64;
                    let round = request.round;
                    let body = Body::AppendReply { accepted: true, index, round, settled: true };
                    node.step(now_ms, message(2, term, body));
                }
                Action::ReadConfirmed { .. } => confirmed += 1,
                _ => {}
            }
        }
    }
    assert!(rounds.len() <= 3 * 16 + 1, "{} rounds in three heartbeat intervals", rounds.len());
    assert!(confirmed >= 290, "{confirmed} of 300 reads were confirmed");
}

/// Guards against a learner that never votes though it keeps up, as more entries are on their way to it than it may lack;
/// and against one that votes while it is far behind.
#[rstest]
#[case::entries_that_have_just_come(0, true)]
#[case::entries_that_should_have_arrived(800, false)]
fn a_learner_may_lack_what_came_within_an_election_timeout(
    #[case] age_ms: u64,
    #[case] is_promoted: bool,
) {
    let mut node = node(Standing::Member, &[1]);
    let begun_ms = elect(&mut node);
    let term = node.hard_state().term;
    let confirm = |node: &mut RaftNode, now_ms| {
        let index = node.log().last_index();
        node.step(now_ms, reply(term, index, 1_000));
        persist(node, now_ms);
    };
    confirm(&mut node, begun_ms);
    let learner = Replica { id: 4, peer_address: "r4".into(), zone: String::new(), voter: false };
    node.change_replicas(begun_ms, &ReplicaChange::AddLearner(learner)).unwrap();
    persist(&mut node, begun_ms);
    confirm(&mut node, begun_ms);
    let index = node.log().last_index();
    let body = Body::AppendReply { accepted: true, index, round: 1, settled: true };
    node.step(begun_ms, message(4, term, body));
    let mut now_ms = begun_ms;
    let run_until = |node: &mut RaftNode, now_ms: &mut u64, until_ms| {
        while *now_ms < until_ms {
            *now_ms += 50;
            node.tick(*now_ms);
            confirm(node, *now_ms);
        }
    };
    run_until(&mut node, &mut now_ms, begun_ms + 1_000);
    node.propose(vec![Payload::Command(Bytes::from_static(b"c")); 2_000]).unwrap();
    persist(&mut node, now_ms);
    let came_ms = now_ms;
    run_until(&mut node, &mut now_ms, came_ms + age_ms);
    let promoted = node.change_replicas(now_ms, &ReplicaChange::Promote(4));
    assert_eq!(promoted.is_ok(), is_promoted, "{promoted:?}");
}
