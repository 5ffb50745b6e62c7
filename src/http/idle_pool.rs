use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Maximum number of idle connections per upstream.
const IDLE_LIMIT_PER_UPSTREAM: usize = 32;

/// Pool of idle connections, by upstream.
#[derive(Debug, Default)]
pub struct IdlePool {
    connections: Mutex<HashMap<String, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    expires_at: Instant,
}

impl IdlePool {
    /// Adds an idle connection that expires after `max_idle`. Closes it if the pool of the upstream
    /// is full.
    pub fn put(&self, upstream: &str, connection: Connection, max_idle: Duration) {
        let now = Instant::now();
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = connections.entry(upstream.to_owned()).or_default();
        connections.retain(|idle| idle.expires_at > now);
        if connections.len() < IDLE_LIMIT_PER_UPSTREAM {
            connections.push(IdleConnection {
                connection,
                idle_since: now,
                expires_at: now + max_idle,
            });
        }
    }

    /// Removes and returns the most recently used connection that is reusable, has not expired and
    /// has been idle for at most `max_idle`.
    pub fn take(&self, upstream: &str, max_idle: Duration) -> Option<Connection> {
        let now = Instant::now();
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = connections.get_mut(upstream)?;
        while let Some(idle) = connections.pop() {
            if idle.expires_at > now
                && now - idle.idle_since <= max_idle
                && idle.connection.is_reusable()
            {
                return Some(idle.connection);
            }
        }
        None
    }

    /// True if an idle connection is kept that has not expired and has been idle for at most `max_idle`.
    pub fn has(&self, upstream: &str, max_idle: Duration) -> bool {
        let now = Instant::now();
        let connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        // The last one was used last.
        connections
            .get(upstream)
            .and_then(|connections| connections.last())
            .is_some_and(|idle| idle.expires_at > now && now - idle.idle_since <= max_idle)
    }

    /// Closes the connections of upstreams for which `is_known` is false.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.retain(|upstream, _| is_known(upstream));
    }
}
