use std::convert::Infallible;

use async_std::channel::{bounded, Receiver, Sender};

/// A condition that is raised once and that many tasks can wait for.
#[derive(Clone)]
pub(crate) struct Signal {
    sender: Sender<Infallible>,
    receiver: Receiver<Infallible>,
}

impl Signal {
    pub(crate) fn new() -> Self {
        let (sender, receiver) = bounded(1);
        Self { sender, receiver }
    }

    pub(crate) fn raise(&self) {
        self.sender.close();
    }

    pub(crate) fn is_raised(&self) -> bool {
        self.sender.is_closed()
    }

    pub(crate) async fn wait(&self) {
        // Nothing is ever sent, so receiving ends only when the channel closes.
        let _ = self.receiver.recv().await;
    }
}
