//! The control role: the replicated state on the control hosts, and access to it from any host.

mod command_class;
mod control_role;
mod remote_state;
mod status;

pub(crate) use command_class::CommandClass;
pub use control_role::Control;
pub(crate) use control_role::{unix_ms, PeerTransport};
pub use remote_state::RemoteState;
