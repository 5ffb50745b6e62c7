//! Conversions between the Raft types and the messages of the schema.

use prost::Message as _;

use crate::raft::{
    AppendRequest, Body, Entry, Message, Payload, Replica, ReplicaSet, SnapshotChunk, SnapshotMeta,
};
use crate::schema::peer;
use crate::schema::peer::raft_message::Body as WireBody;

/// A received message or stored record that does not follow the rules of the schema.
#[derive(Debug, thiserror::Error)]
#[error("malformed Raft message or record: {0}")]
pub struct MalformedError(pub &'static str);

impl From<&Replica> for peer::Replica {
    fn from(replica: &Replica) -> Self {
        Self {
            replica_id: replica.id,
            peer_address: replica.peer_address.clone(),
            zone: replica.zone.clone(),
            voter: replica.voter,
        }
    }
}

impl From<peer::Replica> for Replica {
    fn from(replica: peer::Replica) -> Self {
        let peer::Replica { replica_id, peer_address, zone, voter } = replica;
        Self { id: replica_id, peer_address, zone, voter }
    }
}

impl From<&ReplicaSet> for peer::ReplicaSet {
    fn from(set: &ReplicaSet) -> Self {
        let replicas = set.replicas.iter().map(Into::into).collect();
        Self { replicas, highest_replica_id: set.highest_id }
    }
}

impl From<peer::ReplicaSet> for ReplicaSet {
    fn from(set: peer::ReplicaSet) -> Self {
        let replicas = set.replicas.into_iter().map(Into::into).collect();
        Self { replicas, highest_id: set.highest_replica_id }
    }
}

impl From<&Entry> for peer::LogEntry {
    fn from(entry: &Entry) -> Self {
        let (kind, data) = match &entry.payload {
            Payload::Command(command) => (peer::EntryKind::Command, command.clone()),
            Payload::Empty => (peer::EntryKind::Empty, Default::default()),
            Payload::Replicas(set) => {
                (peer::EntryKind::ReplicaSet, peer::ReplicaSet::from(set).encode_to_vec().into())
            }
        };
        Self { index: entry.index, term: entry.term, kind: kind.into(), data }
    }
}

impl TryFrom<peer::LogEntry> for Entry {
    type Error = MalformedError;

    fn try_from(entry: peer::LogEntry) -> Result<Self, MalformedError> {
        let payload = match peer::EntryKind::try_from(entry.kind) {
            Ok(peer::EntryKind::Command) => Payload::Command(entry.data),
            Ok(peer::EntryKind::Empty) => Payload::Empty,
            Ok(peer::EntryKind::ReplicaSet) => {
                let set = peer::ReplicaSet::decode(entry.data);
                Payload::Replicas(set.map_err(|_| MalformedError("invalid replica set"))?.into())
            }
            Err(_) => return Err(MalformedError("unknown kind of entry")),
        };
        Ok(Self { index: entry.index, term: entry.term, payload })
    }
}

/// Converts a message of `group` to the schema; the sender's address is left empty.
pub fn message_to_wire(group: u32, message: &Message) -> peer::RaftMessage {
    let body = match &message.body {
        &Body::VoteRequest { pre_vote, last_index, last_term, transfer } => {
            WireBody::VoteRequest(peer::VoteRequest { pre_vote, last_index, last_term, transfer })
        }
        &Body::VoteReply { pre_vote, granted } => {
            WireBody::VoteReply(peer::VoteReply { pre_vote, granted })
        }
        Body::AppendRequest(request) => WireBody::AppendRequest(peer::AppendRequest {
            previous_index: request.previous_index,
            previous_term: request.previous_term,
            entries: request.entries.iter().map(Into::into).collect(),
            commit_index: request.commit_index,
            round: request.round,
        }),
        &Body::AppendReply { accepted, index, round, settled } => {
            WireBody::AppendReply(peer::AppendReply { accepted, index, round, settled })
        }
        Body::SnapshotChunk(chunk) => WireBody::SnapshotChunk(peer::SnapshotChunk {
            last_index: chunk.meta.last_index,
            last_term: chunk.meta.last_term,
            membership: peer::ReplicaSet::from(&chunk.meta.replicas).encode_to_vec().into(),
            offset_bytes: chunk.offset_bytes,
            data: chunk.data.clone(),
            last: chunk.last,
        }),
        &Body::SnapshotReply { last_index, received_bytes, done } => {
            WireBody::SnapshotReply(peer::SnapshotReply { last_index, received_bytes, done })
        }
        Body::TimeoutNow => WireBody::TimeoutNow(peer::TimeoutNow {}),
    };
    let Message { from, to, term, .. } = *message;
    peer::RaftMessage { group, from, to, term, body: Some(body), from_address: String::new() }
}

impl TryFrom<peer::RaftMessage> for Message {
    type Error = MalformedError;

    fn try_from(message: peer::RaftMessage) -> Result<Self, MalformedError> {
        let peer::RaftMessage { from, to, term, body, .. } = message;
        let body = body.ok_or(MalformedError("message without a body"))?.try_into()?;
        Ok(Self { from, to, term, body })
    }
}

impl TryFrom<WireBody> for Body {
    type Error = MalformedError;

    fn try_from(body: WireBody) -> Result<Self, MalformedError> {
        Ok(match body {
            WireBody::VoteRequest(request) => Self::VoteRequest {
                pre_vote: request.pre_vote,
                last_index: request.last_index,
                last_term: request.last_term,
                transfer: request.transfer,
            },
            WireBody::VoteReply(reply) => {
                Self::VoteReply { pre_vote: reply.pre_vote, granted: reply.granted }
            }
            WireBody::AppendRequest(request) => Self::AppendRequest(request.try_into()?),
            WireBody::AppendReply(reply) => Self::AppendReply {
                accepted: reply.accepted,
                index: reply.index,
                round: reply.round,
                settled: reply.settled,
            },
            WireBody::SnapshotChunk(chunk) => Self::SnapshotChunk(chunk.try_into()?),
            WireBody::SnapshotReply(reply) => Self::SnapshotReply {
                last_index: reply.last_index,
                received_bytes: reply.received_bytes,
                done: reply.done,
            },
            WireBody::TimeoutNow(_) => Self::TimeoutNow,
            WireBody::Formation(_) => return Err(MalformedError("formation in a formed group")),
        })
    }
}

impl TryFrom<peer::AppendRequest> for AppendRequest {
    type Error = MalformedError;

    fn try_from(request: peer::AppendRequest) -> Result<Self, MalformedError> {
        let mut entries = Vec::with_capacity(request.entries.len());
        for (entry, index) in request.entries.into_iter().zip(request.previous_index + 1..) {
            if entry.index != index {
                return Err(MalformedError("entry indexes are not consecutive"));
            }
            entries.push(entry.try_into()?);
        }
        Ok(Self {
            previous_index: request.previous_index,
            previous_term: request.previous_term,
            entries,
            commit_index: request.commit_index,
            round: request.round,
        })
    }
}

impl TryFrom<peer::SnapshotChunk> for SnapshotChunk {
    type Error = MalformedError;

    fn try_from(chunk: peer::SnapshotChunk) -> Result<Self, MalformedError> {
        let set = peer::ReplicaSet::decode(chunk.membership);
        let replicas = set.map_err(|_| MalformedError("invalid replica set"))?.into();
        let meta =
            SnapshotMeta { last_index: chunk.last_index, last_term: chunk.last_term, replicas };
        Ok(Self { meta, offset_bytes: chunk.offset_bytes, data: chunk.data, last: chunk.last })
    }
}
