//! TCP connections with the options that all of them have.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Async;
use async_std::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Time for which sent bytes may stay unacknowledged before a connection counts as dead. Several
/// round trips between regions with a lost packet in each, and below the time that callers wait.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_000);
/// Silence after which the other side of an idle connection is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Connects without delaying small writes.
///
/// # Errors
/// If no connection came about within `timeout`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    Ok(open(address, timeout).await?.into())
}

/// Connects to another host of the system. The connection fails if the other side vanishes without
/// closing it.
///
/// # Errors
/// If no connection came about within `timeout`.
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
