//! A leader and a follower far away, on a link that carries a limited number of bytes.

use std::collections::VecDeque;

use bytes::Bytes;
use damaskhoist::raft::{
    Action, Body, Entry, HardState, Log, Message, NodeConfig, Payload, RaftNode, RecoveredState,
    Replica, ReplicaSet, SnapshotMeta, Standing,
};

const ENTRY_BYTES: usize = 500;
const ENTRIES: u64 = 4_000;
/// One way, as between regions.
const DELAY_MS: u64 = 20;
const LINK_BYTES_PER_MS: usize = 1_000;
/// Bytes of a message without entries, about.
const MESSAGE_BYTES: usize = 50;
/// Interval of reads, each of which starts a round.
const READ_INTERVAL_MS: u64 = 10;
/// Time that the disk takes to read entries.
const FETCH_MS: u64 = 5;

fn entries() -> Vec<Entry> {
    let payload = Payload::Command(Bytes::from(vec![0; ENTRY_BYTES]));
    (1..=ENTRIES).map(|index| Entry { index, term: 1, payload: payload.clone() }).collect()
}

fn node(id: u64, log: &[Entry]) -> RaftNode {
    let config = NodeConfig {
        id,
        heartbeat_interval_ms: 100,
        election_timeout_ms: 450,
        append_bytes: 50_000,
        cache_bytes: 2_000,
        transfer_bytes_per_s: 1_000,
        min_snapshot_bytes: 1 << 20,
        lease_reads: false,
    };
    let replica =
        |id| Replica { id, peer_address: format!("r{id}"), zone: String::new(), voter: true };
    let replicas = ReplicaSet::new((1..=3).map(replica).collect());
    let snapshot = SnapshotMeta { replicas, ..Default::default() };
    let log = Log::new(snapshot.clone(), log.iter().cloned());
    let hard_state = HardState { term: 1, vote: None };
    RaftNode::new(
        config,
        RecoveredState { hard_state, standing: Standing::Member, snapshot, log },
        0,
        id,
    )
}

/// A message that waits to be sent, or is being sent.
struct Outgoing {
    message: Message,
    left_bytes: usize,
}

/// A link whose bytes are shared by two connections, one of which carries messages with entries and is overtaken by the
/// other one.
#[derive(Default)]
struct Link {
    entries: VecDeque<Outgoing>,
    other: VecDeque<Outgoing>,
    arriving: VecDeque<(u64, Message)>,
    sent_bytes: usize,
}

impl Link {
    fn send(&mut self, message: Message) {
        let entry_bytes: usize = match &message.body {
            Body::AppendRequest(request) => request.entries.iter().map(Entry::size_bytes).sum(),
            _ => 0,
        };
        let left_bytes = MESSAGE_BYTES + entry_bytes;
        self.sent_bytes += left_bytes;
        let connection = if entry_bytes > 0 { &mut self.entries } else { &mut self.other };
        connection.push_back(Outgoing { message, left_bytes });
    }

    fn tick(&mut self, now_ms: u64) {
        let mut connections = [&mut self.entries, &mut self.other];
        let busy = connections.iter().filter(|connection| !connection.is_empty()).count();
        for connection in &mut connections {
            let mut budget_bytes = LINK_BYTES_PER_MS / busy.max(1);
            while let Some(first) = connection.front_mut() {
                let bytes = budget_bytes.min(first.left_bytes);
                first.left_bytes -= bytes;
                budget_bytes -= bytes;
                if first.left_bytes > 0 {
                    break;
                }
                let sent = connection.pop_front().expect("it was there");
                self.arriving.push_back((now_ms + DELAY_MS, sent.message));
            }
        }
    }

    fn arrived(&mut self, now_ms: u64) -> Option<Message> {
        self.arriving.pop_front_if(|(arrives_ms, _)| *arrives_ms <= now_ms).map(|(_, it)| it)
    }
}

/// Runs a leader whose follower 2 lacks the last nine tenths of the log, with a read each few milliseconds. Returns the
/// bytes that were sent to the follower until it had the whole log.
fn catch_up(limit_ms: u64) -> Result<usize, String> {
    let log = entries();
    let mut leader = node(1, &log);
    let mut follower = node(2, &log[..ENTRIES as usize / 10]);
    let mut now_ms = leader.due_ms().expect("a follower campaigns");
    leader.tick(now_ms);
    for pre_vote in [true, false] {
        let body = Body::VoteReply { pre_vote, granted: true };
        leader.step(now_ms, Message { from: 3, to: 1, term: 2, body });
        persist(&mut leader, now_ms);
    }
    assert!(leader.is_leader());
    let (mut to_follower, mut to_leader) = (Link::default(), Link::default());
    let mut fetches: VecDeque<(u64, u64)> = VecDeque::new();
    let deadline_ms = now_ms + limit_ms;
    while follower.log().last_index() <= ENTRIES {
        if now_ms >= deadline_ms {
            let index = follower.log().last_index();
            return Err(format!("at entry {index} after {} bytes", to_follower.sent_bytes));
        }
        now_ms += 1;
        to_follower.tick(now_ms);
        to_leader.tick(now_ms);
        while let Some(message) = to_follower.arrived(now_ms) {
            follower.step(now_ms, message);
        }
        while let Some(message) = to_leader.arrived(now_ms) {
            leader.step(now_ms, message);
        }
        while let Some((_, first)) = fetches.pop_front_if(|(done_ms, _)| *done_ms <= now_ms) {
            let read = log.iter().skip(first as usize - 1).take(100).cloned().collect();
            leader.fetched(now_ms, 2, read);
        }
        leader.tick(now_ms);
        if now_ms.is_multiple_of(READ_INTERVAL_MS) {
            leader.read(now_ms, now_ms);
        }
        leader.flush_reads(now_ms);
        for action in persist(&mut leader, now_ms) {
            match action {
                Action::Send(message) if message.to == 2 => to_follower.send(message),
                Action::Send(Message {
                    to: 3, body: Body::AppendRequest(request), term, ..
                }) => {
                    let index = request.previous_index + request.entries.len() as u64;
                    let round = request.round;
                    let body = Body::AppendReply { accepted: true, index, round, settled: true };
                    leader.step(now_ms, Message { from: 3, to: 1, term, body });
                }
                Action::Fetch { to: 2, first_index } => {
                    fetches.push_back((now_ms + FETCH_MS, first_index));
                }
                Action::ReadChunk { .. } => return Err("a snapshot is sent".to_owned()),
                _ => {}
            }
        }
        leader.record_applied(leader.commit_index());
        for action in persist(&mut follower, now_ms) {
            if let Action::Send(message) = action {
                to_leader.send(message);
            }
        }
    }
    Ok(to_follower.sent_bytes)
}

/// Stores what a node asks to store; gives the other actions.
fn persist(node: &mut RaftNode, now_ms: u64) -> Vec<Action> {
    let mut others = Vec::new();
    for action in node.take_actions() {
        match action {
            Action::Persist { hard_state, entries } => {
                let last = entries.last().map(|entry| (entry.index, entry.term));
                node.persisted(now_ms, hard_state, last);
            }
            other => others.push(other),
        }
    }
    others
}

// Guards against a follower in another region that stays behind because the leader sends it the same entries again and
// again until the link is full.
#[test]
fn a_follower_behind_a_narrow_link_is_sent_each_entry_about_once() {
    let log_bytes = entries().iter().map(Entry::size_bytes).sum::<usize>();
    let sent_bytes = catch_up(20_000).unwrap();
    assert!(sent_bytes < 2 * log_bytes, "{sent_bytes} bytes for a log of {log_bytes}");
}
