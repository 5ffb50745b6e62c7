//! TCP listeners and outgoing connections, and their common socket options.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use async_io::Async;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use futures::AsyncReadExt;
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};

/// Time for which sent bytes may stay unacknowledged before the connection fails. It covers several
/// round trips between regions with a lost packet in each, and is shorter than callers' timeouts.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_000);
/// Idle time after which the kernel sends the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Connections that may wait to be accepted. When a host is replaced, or goes on after a pause, all others connect to it
/// within a fraction of a second; the kernel drops what is beyond, and it is tried again only after a second.
const ACCEPT_QUEUE: i32 = 4_096;

/// Longest time for which unread input is discarded after a response.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Most unread input that is discarded after a response.
const DISCARD_LIMIT_BYTES: u64 = 4 << 20;

/// Ends a connection whose peer may still be sending: closes the sending side, then discards input
/// until the peer closes its side or a limit is reached. If a socket closes with unread input, the
/// kernel resets the connection, and the peer may lose the response.
pub async fn close_after_response(stream: TcpStream) {
    // Both fail only if the peer has closed the connection, and then nothing is left to do.
    let _ = stream.shutdown(Shutdown::Write);
    let mut sink = futures::io::sink();
    let discard = futures::io::copy(stream.take(DISCARD_LIMIT_BYTES), &mut sink);
    let _ = timeout(DISCARD_TIMEOUT, discard).await;
}

/// Listens on an address, with a long queue of connections that wait to be accepted.
///
/// # Errors
/// If the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // A host that restarts finds connections of its last run.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_QUEUE)?;
    Ok(std::net::TcpListener::from(socket).into())
}

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
