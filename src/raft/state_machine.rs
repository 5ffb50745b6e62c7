use std::io;

use bytes::Bytes;

/// Writes a captured state.
pub type SavedState = Box<dyn FnOnce(&mut dyn io::Write) -> io::Result<()> + Send>;

/// State that a group replicates. All replicas apply the same commands in the same order.
pub trait StateMachine: Send + Sync {
    /// Applies the committed command at `index` and gives its encoded outcome.
    ///
    /// Must depend on nothing but the state and the command.
    fn apply(&self, index: u64, command: &[u8]) -> Bytes;

    /// Writes the whole state, as of the last applied command.
    fn save(&self, target: &mut dyn io::Write) -> io::Result<()>;

    /// Captures the state as of the last applied command, to be written by another thread while
    /// further commands are applied.
    ///
    /// No command is applied during the call. By default it encodes the whole state into memory; a
    /// machine with a large state should give a cheap view of it instead.
    fn capture(&self) -> io::Result<SavedState> {
        let mut state = Vec::new();
        self.save(&mut state)?;
        Ok(Box::new(move |target| target.write_all(&state)))
    }

    /// Replaces the whole state by one that [`StateMachine::save`] wrote.
    fn restore(&self, source: &mut dyn io::Read) -> io::Result<()>;
}
