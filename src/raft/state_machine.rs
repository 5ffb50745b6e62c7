use std::io;

use bytes::Bytes;

/// State that a group replicates. All replicas apply the same commands in the same order.
pub trait StateMachine: Send + Sync {
    /// Applies the committed command at `index` and gives its encoded outcome.
    ///
    /// Must depend on nothing but the state and the command.
    fn apply(&self, index: u64, command: &[u8]) -> Bytes;

    /// Writes the whole state, as of the last applied command.
    ///
    /// Runs on a thread of its own. No command is applied between the call and the first write, and
    /// from then on commands are applied again; so the machine fixes what it saves before it writes,
    /// and should do that fast.
    fn save(&self, target: &mut dyn io::Write) -> io::Result<()>;

    /// Replaces the whole state by one that [`StateMachine::save`] wrote.
    fn restore(&self, source: &mut dyn io::Read) -> io::Result<()>;
}
