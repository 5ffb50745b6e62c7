use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Connections kept for each upstream.
const KEPT_LIMIT: usize = 32;

/// Connections between two calls, by the upstream that they lead to.
#[derive(Debug, Default)]
pub struct IdlePool {
    kept: Mutex<HashMap<String, Vec<Kept>>>,
}

#[derive(Debug)]
struct Kept {
    connection: Connection,
    since: Instant,
    until: Instant,
}

impl IdlePool {
    /// Keeps a connection for `age` at most.
    pub fn put(&self, upstream: &str, connection: Connection, age: Duration) {
        let now = Instant::now();
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = kept.entry(upstream.to_owned()).or_default();
        kept.retain(|it| it.until > now);
        if kept.len() < KEPT_LIMIT {
            kept.push(Kept { connection, since: now, until: now + age });
        }
    }

    /// Takes the connection that was used last, if it is still quiet and no older than `age`.
    pub fn take(&self, upstream: &str, age: Duration) -> Option<Connection> {
        let now = Instant::now();
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = kept.get_mut(upstream)?;
        while let Some(it) = kept.pop() {
            if it.until > now && now - it.since <= age && it.connection.is_quiet() {
                return Some(it.connection);
            }
        }
        None
    }

    /// Closes the connections of upstreams that are not in the list.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.retain(|upstream, _| is_known(upstream));
    }
}
