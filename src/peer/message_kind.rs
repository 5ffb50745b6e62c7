use crate::schema::peer::frame::Body;
use crate::schema::peer::{call, reply, ControlSync, Frame};

/// Kind of a message between hosts, for the traffic counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Messages of the replicas of a group.
    Raft,
    /// Sync calls of entry and control hosts.
    SyncCall,
    /// Replies to sync calls that carry batch items.
    Assignments,
    /// Replies to sync calls with the load of other hosts.
    LoadReply,
    /// Replies to sync calls with changed upstreams or entry hosts.
    DirectoryReply,
    /// All other replies to sync calls.
    SyncReply,
    /// Commands to the replicated state or the ledger.
    Command,
    /// Reads of the replicated state or the ledger, and their answers.
    Query,
    /// Batch items that entry hosts return unfinished.
    ItemReturn,
    /// Notices of control hosts about their replicas.
    ControlNotice,
    /// Gossip of the membership.
    Gossip,
    /// Slot reports, grants and notices.
    Slots,
    /// Origins of streams, and questions for them.
    StreamOrigins,
    /// Requests that a host sends through another one, and what they check of their links.
    Relayed,
    /// Everything else.
    Other,
}

impl MessageKind {
    /// Number of kinds.
    pub const COUNT: usize = Self::ALL.len();

    /// All kinds, in the order of their indexes.
    pub const ALL: [Self; 15] = [
        Self::Raft,
        Self::SyncCall,
        Self::Assignments,
        Self::LoadReply,
        Self::DirectoryReply,
        Self::SyncReply,
        Self::Command,
        Self::Query,
        Self::ItemReturn,
        Self::ControlNotice,
        Self::Gossip,
        Self::Slots,
        Self::StreamOrigins,
        Self::Relayed,
        Self::Other,
    ];

    /// Kind of a frame.
    pub fn of(frame: &Frame) -> Self {
        match &frame.body {
            Some(Body::Raft(_)) => Self::Raft,
            Some(Body::Gossip(_)) => Self::Gossip,
            Some(Body::ControlNotice(_) | Body::Admission(_)) => Self::ControlNotice,
            Some(Body::SlotNotice(_) | Body::SlotPressure(_)) => Self::Slots,
            Some(Body::StreamOrigins(_)) => Self::StreamOrigins,
            Some(Body::CloseRelayed(_)) => Self::Relayed,
            Some(Body::Call(call)) => call.call.as_ref().map_or(Self::Other, Self::of_call),
            Some(Body::Reply(reply)) => reply.reply.as_ref().map_or(Self::Other, Self::of_reply),
            Some(Body::Hello(_)) | None => Self::Other,
        }
    }

    /// Name of the kind in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Raft => "raft",
            Self::SyncCall => "sync_call",
            Self::Assignments => "assignments",
            Self::LoadReply => "load_reply",
            Self::DirectoryReply => "directory_reply",
            Self::SyncReply => "sync_reply",
            Self::Command => "command",
            Self::Query => "query",
            Self::ItemReturn => "item_return",
            Self::ControlNotice => "control_notice",
            Self::Gossip => "gossip",
            Self::Slots => "slots",
            Self::StreamOrigins => "stream_origins",
            Self::Relayed => "relayed",
            Self::Other => "other",
        }
    }

    fn of_call(call: &call::Call) -> Self {
        match call {
            call::Call::EntrySync(_) => Self::SyncCall,
            call::Call::Command(_) | call::Call::LedgerCommand(_) => Self::Command,
            call::Call::Query(_) | call::Call::LedgerQuery(_) => Self::Query,
            call::Call::ReturnItem(_) => Self::ItemReturn,
            call::Call::SlotReport(_) => Self::Slots,
            call::Call::FindStreamOrigin(_) => Self::StreamOrigins,
            call::Call::CheckUpstreams(_)
            | call::Call::RelayedRequest(_)
            | call::Call::ReadRelayed(_) => Self::Relayed,
            _ => Self::Other,
        }
    }

    fn of_reply(reply: &reply::Reply) -> Self {
        match reply {
            reply::Reply::ControlSync(sync) => Self::of_sync_reply(sync),
            reply::Reply::QueryAnswer(_) | reply::Reply::LedgerAnswer(_) => Self::Query,
            reply::Reply::Outcome(_) | reply::Reply::LedgerOutcome(_) => Self::Command,
            reply::Reply::SlotGrant(_) => Self::Slots,
            reply::Reply::FoundStreamOrigin(_) => Self::StreamOrigins,
            reply::Reply::ReachedUpstreams(_)
            | reply::Reply::RelayedHead(_)
            | reply::Reply::RelayedChunk(_)
            | reply::Reply::RelayFailure(_) => Self::Relayed,
            _ => Self::Other,
        }
    }

    fn of_sync_reply(sync: &ControlSync) -> Self {
        match sync {
            _ if !sync.assignments.is_empty() => Self::Assignments,
            _ if !sync.uses.is_empty() => Self::LoadReply,
            _ if !sync.upstreams.is_empty() || !sync.changed_entries.is_empty() => {
                Self::DirectoryReply
            }
            _ => Self::SyncReply,
        }
    }
}
