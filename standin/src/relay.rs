use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_std::channel::{bounded, Receiver};
use async_std::io;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::{AsyncReadExt, AsyncWriteExt, StreamExt};

/// Bytes of a connection that a narrow link sends before those of the next connection.
const NARROW_READ_BYTES: usize = 4 * 1024;

/// Reads of a connection that may be on the way at a time.
const DELAYED_READS: usize = 64;

/// What a [`Relay`] does with the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RelayMode {
    /// It passes them on.
    #[default]
    Pass,
    /// It passes them on after this time.
    Delay(Duration),
    /// It passes them on through a narrow link.
    Narrow {
        /// Time on the way.
        delay: Duration,
        /// Rate that all connections share, in each direction.
        bytes_per_s: u32,
    },
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
    /// When the bytes of each direction that were taken so far have left.
    busy_until: [Mutex<Option<Instant>>; 2],
}

impl Shared {
    fn mode(&self) -> RelayMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time after which these bytes have left, behind those of other connections.
    fn sending_time(&self, is_answer: bool, bytes: usize, bytes_per_s: u32) -> Duration {
        let busy_until = &self.busy_until[usize::from(is_answer)];
        let mut busy_until = busy_until.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let taken = Duration::from_secs_f64(bytes as f64 / f64::from(bytes_per_s));
        let until = busy_until.unwrap_or(now).max(now) + taken;
        *busy_until = Some(until);
        until - now
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
    to: TcpStream,
    shared: Arc<Shared>,
    ended: Arc<AtomicBool>,
    is_answer: bool,
) {
    let mut buffer = vec![0; 64 * 1024];
    let mut has_lost_bytes = false;
    let (sender, queue) = bounded(DELAYED_READS);
    let delivering = task::spawn(deliver(queue, to.clone()));
    loop {
        let limit = match shared.mode() {
            RelayMode::Narrow { .. } => NARROW_READ_BYTES,
            _ => buffer.len(),
        };
        let Ok(read) = from.read(&mut buffer[..limit]).await else { break };
        let mode = shared.mode();
        let drops = mode == RelayMode::Silent || mode == RelayMode::NoAnswers && is_answer;
        if read == 0 || ended.load(Ordering::SeqCst) || (has_lost_bytes && !drops) {
            break;
        }
        if drops {
            has_lost_bytes = true;
            continue;
        }
        let mut due = Instant::now();
        match mode {
            RelayMode::Delay(delay) => due += delay,
            RelayMode::Narrow { delay, bytes_per_s } => {
                task::sleep(shared.sending_time(is_answer, read, bytes_per_s)).await;
                due = Instant::now() + delay;
            }
            _ => {}
        }
        if sender.send((due, buffer[..read].to_vec())).await.is_err() {
            break;
        }
    }
    drop(sender);
    delivering.await;
    // The other side may have closed it already.
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}

/// Writes what was read once it is due.
async fn deliver(queue: Receiver<(Instant, Vec<u8>)>, mut to: TcpStream) {
    while let Ok((due, bytes)) = queue.recv().await {
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            task::sleep(wait).await;
        }
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
}
