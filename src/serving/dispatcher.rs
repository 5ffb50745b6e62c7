use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::admission::{Refusal, RefusalKind};
use crate::routing::{Balancer, Fleet, RequestView, SlotPermit};
use crate::serving::{EngineRequest, RunningAnswer};
use crate::telemetry::{Counters, Span};
use crate::upstream::{EngineStream, UpstreamCall, UpstreamConnector};

use super::attempt::AttemptFailure;

/// Sends requests to upstreams that the balancer picks.
#[derive(Clone)]
pub struct Dispatcher {
    shared: Arc<Shared>,
}

struct Shared {
    fleet: Arc<Fleet>,
    balancer: Box<dyn Balancer>,
    connector: Box<dyn UpstreamConnector>,
    counters: Counters,
}

impl Dispatcher {
    /// A dispatcher over the fleet.
    pub fn open(
        fleet: Arc<Fleet>,
        balancer: Box<dyn Balancer>,
        connector: Box<dyn UpstreamConnector>,
        counters: Counters,
    ) -> Self {
        Self { shared: Arc::new(Shared { fleet, balancer, connector, counters }) }
    }

    /// The upstreams that requests may go to.
    pub fn fleet(&self) -> &Fleet {
        &self.shared.fleet
    }

    /// Calls upstreams.
    pub fn connector(&self) -> &dyn UpstreamConnector {
        &*self.shared.connector
    }

    /// Counters of attempts.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Starts a request and waits until an upstream begins its answer.
    pub async fn start(
        &self,
        request: EngineRequest,
        span: &Span,
    ) -> Result<RunningAnswer, Refusal> {
        RunningAnswer::start(self.clone(), request, span).await
    }

    /// Takes a slot at the upstream that fits best.
    pub fn acquire(
        &self,
        request: &EngineRequest,
        excluded: &[String],
    ) -> Result<SlotPermit, Refusal> {
        self.acquire_for(&request.view(excluded))
    }

    pub(super) fn acquire_for(&self, view: &RequestView<'_>) -> Result<SlotPermit, Refusal> {
        let snapshot = self.shared.fleet.load();
        let candidates = snapshot.candidates(view);
        if candidates.is_empty() {
            return Err(unknown_target(view));
        }
        // Another thread may take the last slot between the choice and the acquisition.
        for _ in 0..candidates.len() {
            let choice = self.shared.balancer.choose(view, candidates, rand::random());
            let Some(index) = choice else { break };
            if let Some(permit) = candidates[index].acquire(view.class) {
                return Ok(permit);
            }
        }
        let message = "all slots of the upstreams are in use";
        Err(Refusal::not_run(RefusalKind::Overloaded, message))
    }

    /// Opens a stream at the upstream of `permit`, from the given position of the answer on.
    /// Waits at most `timeout` for the head of the answer.
    pub async fn open_stream(
        &self,
        request: &EngineRequest,
        permit: &SlotPermit,
        position: u64,
        timeout: Duration,
    ) -> Result<EngineStream, AttemptFailure> {
        let position = position.to_string();
        let headers = [
            ("content-type", "application/json"),
            ("x-request-id", request.request_id.as_str()),
            ("traceparent", request.traceparent.as_str()),
            ("x-resume-position", position.as_str()),
        ];
        let headers = if position == "0" { &headers[..3] } else { &headers[..] };
        let call = UpstreamCall {
            address: &permit.upstream().record.address,
            method: "POST",
            path: &request.path,
            headers,
            body: &request.body,
            repeatable: request.repeatable,
            timeout,
        };
        let response = self.shared.connector.open(call).await?;
        if response.status != 200 {
            return Err(AttemptFailure::status(response.status));
        }
        Ok(EngineStream::new(response))
    }
}

/// Time until `deadline`, zero when it has passed.
pub(super) fn time_left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

fn unknown_target(request: &RequestView<'_>) -> Refusal {
    if request.service.is_empty() {
        let message = format!("no upstream serves model `{}`", request.model);
        return Refusal::not_run(RefusalKind::UnknownModel, message);
    }
    let message = format!("no upstream belongs to service `{}`", request.service);
    Refusal::not_run(RefusalKind::UnknownService, message)
}
