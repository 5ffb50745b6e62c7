use std::io;

use bytes::Bytes;

/// Replicated state of a group. All replicas apply the same commands in the same order.
pub trait StateMachine: Send + Sync {
    /// Applies the committed command at `index` and returns its encoded outcome.
    ///
    /// Must be deterministic: the result may depend only on the state and the command.
    fn apply(&self, index: u64, command: &[u8]) -> Bytes;

    /// Writes a snapshot of the whole state, as of the last applied command.
    ///
    /// Runs on a separate thread. No command is applied between the call and the first write to
    /// `target`, or its first flush; from then on commands are applied again. Implementations
    /// therefore capture the state before, and should do so quickly and without the disk.
    fn save(&self, target: &mut dyn io::Write) -> io::Result<()>;

    /// Replaces the whole state with one written by [`StateMachine::save`].
    fn restore(&self, source: &mut dyn io::Read) -> io::Result<()>;
}
