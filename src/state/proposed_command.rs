use prost::Message;

use crate::schema::state as wire;
use crate::state::command::Command;
use crate::state::refusal::Refusal;

/// A decoded log entry: a command with the timestamp of its proposal.
#[derive(Debug)]
pub(crate) struct ProposedCommand {
    /// Empty for none.
    pub(crate) command_id: String,
    /// Checksum of the command without its id and timestamp, the same for a retry; 0 without an id.
    pub(crate) checksum: u32,
    pub(crate) proposed_at_unix_ms: u64,
    /// A command that cannot be decoded is refused, in the same way on all replicas.
    pub(crate) command: Result<Command, Refusal>,
}

impl ProposedCommand {
    pub(crate) fn decode(encoded: &[u8]) -> Self {
        match wire::Command::decode(encoded) {
            Ok(message) => Self::from_message(message, encoded),
            Err(error) => Self {
                command_id: String::new(),
                checksum: 0,
                proposed_at_unix_ms: 0,
                command: Err(Refusal::invalid(format!("command does not decode: {error}"))),
            },
        }
    }

    fn from_message(message: wire::Command, encoded: &[u8]) -> Self {
        let wire::Command { command_id, proposed_at_unix_ms, command } = message;
        let envelope = wire::Command { command_id, proposed_at_unix_ms, command: None };
        let body = encoded.get(envelope.encoded_len()..).unwrap_or_default();
        let checksum = match envelope.command_id.is_empty() {
            true => 0,
            false => crc32fast::hash(body),
        };
        let command = command
            .ok_or_else(|| Refusal::invalid("the command is empty or of an unknown kind"))
            .and_then(Command::try_from);
        Self { command_id: envelope.command_id, checksum, proposed_at_unix_ms, command }
    }
}
