//! Outgoing TCP connections and their common socket options.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Async;
use async_std::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Time for which sent bytes may stay unacknowledged before the connection fails. It covers several
/// round trips between regions with a lost packet in each, and is shorter than callers' timeouts.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_000);
/// Idle time after which the kernel sends the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Connects with Nagle's algorithm disabled, so that small writes are not delayed.
///
/// # Errors
/// If no connection was established within `timeout`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    Ok(open(address, timeout).await?.into())
}

/// Connects to another host of the system. A TCP user timeout and keepalive probes make the
/// connection fail if the peer disappears without closing it.
///
/// # Errors
/// If no connection was established within `timeout` or a socket option can't be set.
pub async fn connect_to_peer(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = open(address, timeout).await?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    Ok(stream.into())
}

async fn open(address: SocketAddr, timeout: Duration) -> io::Result<std::net::TcpStream> {
    let connect = Async::<std::net::TcpStream>::connect(address);
    let stream = async_std::io::timeout(timeout, connect).await?.into_inner()?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
