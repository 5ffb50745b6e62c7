use std::fmt;

/// Reason why a call to a peer returned no reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The call was never sent, so the peer cannot have acted on it.
    NotSent(String),
    /// The call was sent but no reply arrived; the peer may have acted on it.
    Lost(String),
    /// The call was never sent, because the peer serves fewer calls than this host has for it.
    Overloaded,
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(formatter, "call not sent: {reason}"),
            Self::Lost(reason) => write!(formatter, "no reply: {reason}"),
            Self::Overloaded => formatter.write_str("call not sent: the peer is overloaded"),
        }
    }
}

impl std::error::Error for CallError {}
