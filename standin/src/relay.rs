use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::io;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::{AsyncReadExt, AsyncWriteExt, StreamExt};

/// What a [`Relay`] does with the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RelayMode {
    /// It passes them on.
    #[default]
    Pass,
    /// It passes them on after this time.
    Delay(Duration),
    /// It drops those of both directions.
    Silent,
    /// It drops those of the accepting side, so that requests arrive and answers do not.
    NoAnswers,
}

/// A TCP relay on the way to one address. Connections whose bytes it dropped end once it passes bytes on
/// again.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    mode: Mutex<RelayMode>,
    /// Replaced to end all open connections.
    open: Mutex<Arc<AtomicBool>>,
}

impl Shared {
    fn mode(&self) -> RelayMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Relay {
    /// Relays connections to `target` from a free port of loopback.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        Self::bind(([127, 0, 0, 1], 0).into(), target).await
    }

    /// Relays connections from one address to another.
    ///
    /// # Errors
    /// If the address can't be taken.
    pub async fn bind(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        task::spawn(accept(listener, target, shared.clone()));
        Ok(Self { address, shared })
    }

    /// Changes what it does from now on.
    pub fn set_mode(&self, mode: RelayMode) {
        *self.shared.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// Drops all bytes, or passes them on.
    pub fn set_silent(&self, silent: bool) {
        self.set_mode(if silent { RelayMode::Silent } else { RelayMode::Pass });
    }

    /// Ends all open connections; new ones work.
    pub fn reset(&self) {
        let mut open = self.shared.open.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *open).store(true, Ordering::SeqCst);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, shared: Arc<Shared>) {
    let mut incoming = listener.incoming();
    while let Some(Ok(from)) = incoming.next().await {
        let Ok(to) = TcpStream::connect(target).await else { continue };
        let ended = shared.open.lock().unwrap_or_else(PoisonError::into_inner).clone();
        task::spawn(forward(from.clone(), to.clone(), shared.clone(), ended.clone(), false));
        task::spawn(forward(to, from, shared.clone(), ended, true));
    }
}

/// A stream that lost bytes can't go on, so it ends once the relay forwards again.
async fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    shared: Arc<Shared>,
    ended: Arc<AtomicBool>,
    is_answer: bool,
) {
    let mut buffer = vec![0; 64 * 1024];
    let mut has_lost_bytes = false;
    while let Ok(read) = from.read(&mut buffer).await {
        let mode = shared.mode();
        let drops = mode == RelayMode::Silent || mode == RelayMode::NoAnswers && is_answer;
        if read == 0 || ended.load(Ordering::SeqCst) || (has_lost_bytes && !drops) {
            break;
        }
        if drops {
            has_lost_bytes = true;
            continue;
        }
        if let RelayMode::Delay(delay) = mode {
            task::sleep(delay).await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            break;
        }
    }
    // The other side may have closed it already.
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}
