use crate::peer::TrafficClass;
use crate::raft::Priority;
use crate::schema::state::{command, Command};

/// Priority class of a command, both while it is sent to the leader and in the leader's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandClass {
    /// Commands that online requests or operators wait for.
    Online,
    /// Commands that create or start batch work.
    Bulk,
    /// Commands that complete accepted work. They may use the reserved disk space.
    Completion,
}

impl From<&Command> for CommandClass {
    fn from(command: &Command) -> Self {
        match command.command {
            Some(
                command::Command::AppendFile(_)
                | command::Command::CreateJob(_)
                | command::Command::LeaseItems(_),
            ) => Self::Bulk,
            Some(
                command::Command::FinishItems(_)
                | command::Command::RecordAnswer(_)
                | command::Command::Expire(_),
            ) => Self::Completion,
            _ => Self::Online,
        }
    }
}

impl From<CommandClass> for Priority {
    fn from(class: CommandClass) -> Self {
        match class {
            CommandClass::Online => Self::Online,
            CommandClass::Bulk => Self::Bulk,
            CommandClass::Completion => Self::Completion,
        }
    }
}

impl From<CommandClass> for TrafficClass {
    fn from(class: CommandClass) -> Self {
        match class {
            CommandClass::Online => Self::Online,
            CommandClass::Bulk | CommandClass::Completion => Self::Bulk,
        }
    }
}
