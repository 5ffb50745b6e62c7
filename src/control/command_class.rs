use crate::peer::TrafficClass;
use crate::raft::Priority;
use crate::schema::state::{command, Command};

/// How urgent a command is, on the way to the leader and in its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandClass {
    /// Online requests or operators wait for it.
    Online,
    /// New batch work.
    Bulk,
    /// Completes accepted work, for which the disk keeps a reserve.
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
