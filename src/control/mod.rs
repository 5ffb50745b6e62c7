//! The control role: replicated groups with their state, and access to them from any host.

//mod control;
mod remote_state;

//pub(crate) use control::unix_ms;
//pub use control::Control;
pub use remote_state::RemoteState;
mod stub; pub use stub::Control; pub(crate) use stub::unix_ms;
