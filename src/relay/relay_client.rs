use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use rand::seq::IndexedRandom;

use crate::gateway::{
    BodyChunk, CallTarget, SendError, StreamRequest, UpstreamAnswer, UpstreamHead,
};
use crate::peer::{CallError, PeerCaller, TrafficClass};
use crate::relay::relay_messages::headers_to_wire;
use crate::schema::peer::frame::Body;
use crate::schema::peer::{
    call, reply, Call, CloseRelayed, EntryHost, ReadRelayed, RelayedRequest, Reply, SentAt,
};

/// Weight of a host of this availability zone against one of another zone of the region. The hosts of the zone
/// that are not cut off may be few, and must not take the requests of all others alone.
const ZONE_WEIGHT: f32 = 3.0;
/// Weight of a host of another region, against one of another zone of this region.
const REMOTE_WEIGHT: f32 = 0.05;
/// Other hosts that are tried for one send.
const TRIED_HOSTS: usize = 2;
/// Time for an answer beyond that of the upstream: a round trip between regions.
const RELAY_MARGIN: Duration = Duration::from_millis(200);

/// Lists the entry hosts through which requests may be sent.
pub type RelayHosts = Box<dyn Fn() -> Vec<Arc<EntryHost>> + Send + Sync>;

/// Sends requests to upstreams through other entry hosts.
pub struct RelayClient {
    zone: String,
    region: String,
    caller: Arc<dyn PeerCaller>,
    hosts: RelayHosts,
    /// Requests in flight through each host, by peer address.
    in_flight: Arc<Mutex<HashMap<String, usize>>>,
}

/// The answer to a relayed request.
struct RelayedAnswer {
    head: UpstreamHead,
    exchange: RelayedExchange,
}

/// A request that another host works on; closed there when dropped before its end.
struct RelayedExchange {
    relay_id: u64,
    address: String,
    caller: Arc<dyn PeerCaller>,
    in_flight: Arc<Mutex<HashMap<String, usize>>>,
    read_timeout: Duration,
    has_ended: bool,
}

impl RelayClient {
    /// Sends requests of a host in this zone and region through those that `hosts` lists.
    pub fn open(zone: &str, region: &str, caller: Arc<dyn PeerCaller>, hosts: RelayHosts) -> Self {
        let (zone, region) = (zone.to_owned(), region.to_owned());
        Self { zone, region, caller, hosts, in_flight: Arc::default() }
    }

    /// Sends a request to an upstream through another host and waits for the head of its answer.
    ///
    /// # Errors
    /// As a direct send; [`SendError::NotSent`] or [`SendError::HeldUp`] if no other host takes it.
    pub async fn send(
        &self,
        target: CallTarget<'_>,
        request: &StreamRequest,
    ) -> Result<Box<dyn UpstreamAnswer>, SendError> {
        let mut tried: Vec<String> = Vec::new();
        let mut last = SendError::NotSent("no other host reaches the upstreams".to_owned());
        for _ in 0..TRIED_HOSTS {
            let Some(address) = self.choose_host(&tried) else { break };
            match self.send_through(&address, &target, request).await {
                Err(error @ (SendError::NotSent(_) | SendError::HeldUp(_))) => last = error,
                result => return result,
            }
            tried.push(address);
        }
        Err(last)
    }

    /// Chooses the less loaded of two hosts that are drawn at random, near ones more often. Hosts that lose
    /// their links at once would otherwise all choose the same one.
    fn choose_host(&self, tried: &[String]) -> Option<String> {
        let hosts = (self.hosts)();
        let usable: Vec<&Arc<EntryHost>> =
            hosts.iter().filter(|host| !tried.contains(&host.peer_address)).collect();
        let weight = |host: &&Arc<EntryHost>| match &host.zone {
            zone if *zone == self.zone => ZONE_WEIGHT,
            _ if host.region == self.region => 1.0,
            _ => REMOTE_WEIGHT,
        };
        let drawn = usable.choose_multiple_weighted(&mut rand::rng(), 2, weight).ok()?;
        let in_flight = lock(&self.in_flight);
        let least = drawn.min_by_key(|host| in_flight.get(&host.peer_address).copied());
        least.map(|host| host.peer_address.clone())
    }

    async fn send_through(
        &self,
        address: &str,
        target: &CallTarget<'_>,
        request: &StreamRequest,
    ) -> Result<Box<dyn UpstreamAnswer>, SendError> {
        let left = target.time_left()?;
        let mut exchange = RelayedExchange::begin(self, address, left + RELAY_MARGIN);
        let wire = RelayedRequest {
            relay_id: exchange.relay_id,
            upstream_id: target.upstream_id.to_owned(),
            deadline_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            last_event_id: target.last_event_id,
            is_repeatable: target.is_repeatable,
            request_id: request.request_id.clone(),
            host: request.host.clone(),
            method: request.method.clone(),
            target: request.target.clone(),
            headers: headers_to_wire(&request.headers),
            body: request.body.clone(),
            sent_at: Some(SentAt::now()),
        };
        log::info!(event = "request_sent_through", request = request.request_id.as_str(),
            host = address, upstream = target.upstream_id; "sending the request through another host");
        match exchange.call(call::Call::RelayedRequest(wire)).await? {
            reply::Reply::RelayedHead(head) => {
                let head = UpstreamHead::try_from(head)?;
                Ok(Box::new(RelayedAnswer { head, exchange }))
            }
            reply::Reply::RelayFailure(failure) => {
                exchange.has_ended = true;
                Err(failure.into())
            }
            // A host of an earlier build does not know the call.
            reply::Reply::Failure(failure) => {
                exchange.has_ended = true;
                Err(SendError::NotSent(failure.message))
            }
            _ => Err(SendError::Lost("the relay answered with another message".to_owned())),
        }
    }
}

impl RelayedExchange {
    fn begin(client: &RelayClient, address: &str, read_timeout: Duration) -> Self {
        *lock(&client.in_flight).entry(address.to_owned()).or_default() += 1;
        Self {
            relay_id: rand::random(),
            address: address.to_owned(),
            caller: client.caller.clone(),
            in_flight: client.in_flight.clone(),
            read_timeout,
            has_ended: false,
        }
    }

    async fn call(&self, call: call::Call) -> Result<reply::Reply, SendError> {
        let call = Call { call: Some(call), ..Call::default() };
        let class = TrafficClass::Online;
        let reply = self.caller.call(&self.address, class, call, self.read_timeout).await;
        match reply {
            Ok(Reply { reply: Some(reply) }) => Ok(reply),
            Ok(Reply { reply: None }) => Err(SendError::Lost("the relay's reply is empty".into())),
            Err(error @ (CallError::NotSent(_) | CallError::Overloaded)) => {
                Err(SendError::HeldUp(error.to_string()))
            }
            Err(error) => Err(SendError::Lost(error.to_string())),
        }
    }
}

impl Drop for RelayedExchange {
    fn drop(&mut self) {
        let mut in_flight = lock(&self.in_flight);
        if let Some(count) = in_flight.get_mut(&self.address) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.address);
            }
        }
        drop(in_flight);
        if !self.has_ended {
            let close = Body::CloseRelayed(CloseRelayed { relay_id: self.relay_id });
            self.caller.send(&self.address, TrafficClass::Online, close);
        }
    }
}

#[async_trait]
impl UpstreamAnswer for RelayedAnswer {
    fn head(&self) -> &UpstreamHead {
        &self.head
    }

    async fn next_chunk(&mut self) -> Result<BodyChunk, SendError> {
        if self.exchange.has_ended {
            return Ok(None);
        }
        let read = ReadRelayed { relay_id: self.exchange.relay_id };
        match self.exchange.call(call::Call::ReadRelayed(read)).await {
            Ok(reply::Reply::RelayedChunk(chunk)) if !chunk.data.is_empty() => Ok(Some(chunk.data)),
            Ok(reply::Reply::RelayedChunk(_)) => {
                self.exchange.has_ended = true;
                Ok(None)
            }
            Ok(reply::Reply::RelayFailure(failure)) => {
                self.exchange.has_ended = true;
                // The head was received, so the upstream ran the request whatever the relay says now.
                Err(SendError::Lost(failure.reason))
            }
            Ok(_) => Err(SendError::Lost("the relay answered with another message".to_owned())),
            Err(error) => Err(SendError::Lost(error.to_string())),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
