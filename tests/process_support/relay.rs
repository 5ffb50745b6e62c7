use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::{AsyncReadExt, AsyncWriteExt, StreamExt};

/// A TCP relay that can fall silent: it keeps its connections but forwards nothing.
pub struct Relay {
    pub address: SocketAddr,
    silent: Arc<AtomicBool>,
}

impl Relay {
    /// Forwards connections to `target`.
    pub async fn open(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
        let address = listener.local_addr().expect("it is bound");
        let silent = Arc::new(AtomicBool::new(false));
        let shared = silent.clone();
        task::spawn(async move {
            let mut incoming = listener.incoming();
            while let Some(Ok(from)) = incoming.next().await {
                let Ok(to) = TcpStream::connect(target).await else { continue };
                task::spawn(forward(from.clone(), to.clone(), shared.clone()));
                task::spawn(forward(to, from, shared.clone()));
            }
        });
        Self { address, silent }
    }

    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }
}

/// A stream that lost bytes can't go on, so it ends once the relay forwards again.
async fn forward(mut from: TcpStream, mut to: TcpStream, silent: Arc<AtomicBool>) {
    let mut buffer = vec![0; 64 * 1024];
    let mut has_lost_bytes = false;
    while let Ok(read) = from.read(&mut buffer).await {
        if read == 0 || (has_lost_bytes && !silent.load(Ordering::SeqCst)) {
            break;
        }
        if silent.load(Ordering::SeqCst) {
            has_lost_bytes = true;
            continue;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            break;
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}
