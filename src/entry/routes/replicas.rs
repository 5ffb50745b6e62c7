use async_trait::async_trait;
use serde::Deserialize;
use serde_json::json;
use tide::Response;

use crate::admission::Refusal;
use crate::entry::caller_request::{invalid_request, CallerRequest};
use crate::entry::route::RouteHandler;
use crate::entry::routes::json::json_response;
use crate::schema::peer::{change_replicas, ChangeReplicas as Change, Replica};
use crate::serving::control_unavailable;
use crate::telemetry::Span;

/// `POST /v1/admin/replicas`: adds a learner, promotes a learner to a voter, or removes a replica.
pub struct ChangeReplicas;

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum ReplicaChangeBody {
    AddLearner(NewReplica),
    Promote(u64),
    Remove(u64),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NewReplica {
    replica_id: u64,
    peer_address: String,
    zone: String,
}

impl From<ReplicaChangeBody> for change_replicas::Change {
    fn from(body: ReplicaChangeBody) -> Self {
        match body {
            ReplicaChangeBody::AddLearner(replica) => Self::AddLearner(Replica {
                replica_id: replica.replica_id,
                peer_address: replica.peer_address,
                zone: replica.zone,
                voter: false,
            }),
            ReplicaChangeBody::Promote(replica_id) => Self::Promote(replica_id),
            ReplicaChangeBody::Remove(replica_id) => Self::Remove(replica_id),
        }
    }
}

#[async_trait]
impl RouteHandler for ChangeReplicas {
    fn name(&self) -> &'static str {
        "change_replicas"
    }

    async fn handle(&self, mut request: CallerRequest, _span: Span) -> Result<Response, Refusal> {
        request.authorize_operator()?;
        let bytes = request.body().await?;
        let body: ReplicaChangeBody = serde_json::from_slice(&bytes)
            .map_err(|error| invalid_request(format!("the change is not valid: {error}")))?;
        let change = Change { change: Some(body.into()) };
        request.shared().state.change_replicas(change).await.map_err(control_unavailable)?;
        Ok(json_response(&json!({"done": true})))
    }
}
