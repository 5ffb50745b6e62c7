use std::time::Duration;

use crate::gateway::upstream::monotonic_ms;
use crate::gateway::{
    ChoiceInput, Distance, GatewayFleet, Placement, RouteIndex, RoutesState, StreamConnector,
    Upstream, ZoneLoad,
};
use crate::schema::explain::{
    DistanceShare, PlacementReport, PlacementVerdict, ServicePlacement, UpstreamPlacement,
};
use crate::schema::routes::{Route, RouteKind};
use crate::teams::QuotaRegistry;

/// A request that is not sent: what would become of it?
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuestion<'a> {
    /// Host name of the request.
    pub host: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// Team of the caller; empty for none.
    pub team: &'a str,
}

/// What a host knows when it answers such a question. The answer rests on the very decisions by which requests are placed;
/// it takes nothing out of a quota and changes no state.
pub(super) struct PlacementView<'a> {
    pub(super) host_id: &'a str,
    pub(super) zone: &'a str,
    pub(super) region: &'a str,
    pub(super) routes: &'a RouteIndex,
    pub(super) routes_state: &'a RoutesState,
    pub(super) fleet: &'a GatewayFleet,
    pub(super) quotas: &'a QuotaRegistry,
    pub(super) connector: &'a dyn StreamConnector,
}

impl PlacementView<'_> {
    /// Answers a question.
    pub(super) fn answer(&self, question: &PlacementQuestion<'_>) -> PlacementReport {
        let mut report = PlacementReport {
            host_id: self.host_id.to_owned(),
            zone: self.zone.to_owned(),
            routes_version: self.routes.version() as u32,
            routes_age_ms: self.routes_state.age.map(millis),
            team: question.team.to_owned(),
            load_age_ms: self.fleet.leader_silence().map(millis),
            ..PlacementReport::default()
        };
        let Some(route) = self.routes.find(question.host, question.path) else {
            let refusal = self.routes_state.missing_route();
            return rejected(report, &refusal.reason, refusal.retry_after);
        };
        report.route = route.name.clone();
        if !self.routes.teams().is_empty() && !route.anonymous {
            let Some(member) = self.routes.teams().named(question.team) else {
                return rejected(report, "the route needs a team, and none has this name", None);
            };
            if let Some(quota) = member.quota {
                let now_ms = monotonic_ms();
                report.admitted_millionths = Some(quota.pace_millionths() as u32);
                report.quota_age_ms = self.quotas.leader_silence(now_ms).map(millis);
            }
        }
        if route.kind() == RouteKind::Batch {
            report.verdict = PlacementVerdict::GivenToLeader.into();
            report.reason = "the leader accepts batch jobs and places their items".to_owned();
        }
        let total: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
        for share in route.shares.iter().filter(|share| share.weight > 0) {
            let percent = u64::from(share.weight) * 100 / total.max(1);
            report.services.push(self.service(route, &share.service, percent as u32));
        }
        if route.kind() == RouteKind::Batch {
            return report;
        }
        let mut upstreams = report.services.iter().flat_map(|service| &service.upstreams);
        if upstreams.any(|upstream| upstream.excluded.is_empty()) {
            report.verdict = PlacementVerdict::Sent.into();
            return report;
        }
        rejected(report, "no upstream can accept the request now", None)
    }

    fn service(&self, route: &Route, service: &str, share_percent: u32) -> ServicePlacement {
        let upstreams = self.fleet.load();
        let may_repeat = route.resumable || route.kind() == RouteKind::Repeatable;
        let has_connection = |id: &str| self.connector.has_connection(id, may_repeat);
        let input = ChoiceInput {
            route,
            zone: self.zone,
            region: self.region,
            prefix: None,
            origin: None,
            tried: &[],
            now_ms: monotonic_ms(),
            allow_full: false,
            adaptive: match self.fleet.is_adaptive() {
                true => Some(&has_connection),
                false => None,
            },
        };
        let placement = Placement::of(&upstreams, service, &input);
        let weights = placement.candidates.iter().filter_map(|(_, verdict)| verdict.ok());
        let total: f32 = weights.sum();
        let upstreams = placement.candidates.iter().map(|(upstream, verdict)| {
            let share = verdict.map_or(0.0, |weight| f64::from(weight / total) * 100.0);
            let excluded = verdict.err().map_or_else(String::new, |reason| reason.to_string());
            upstream_placement(upstream, share, excluded, has_connection(&upstream.upstream_id))
        });
        let distances = [
            (Distance::Zone, placement.loads.zone),
            (Distance::Region, placement.loads.region),
            (Distance::Remote, placement.loads.remote),
        ];
        let distances = distances.map(|(distance, ZoneLoad { slots, online })| DistanceShare {
            distance: format!("{distance:?}").to_lowercase(),
            weight: placement.shares.of_distance(distance).into(),
            slots: slots as u32,
            online: online as u32,
        });
        ServicePlacement {
            service: service.to_owned(),
            share_percent,
            distances: distances.into(),
            upstreams: upstreams.collect(),
        }
    }
}

fn upstream_placement(
    upstream: &Upstream,
    share_percent: f64,
    excluded: String,
    has_connection: bool,
) -> UpstreamPlacement {
    UpstreamPlacement {
        upstream_id: upstream.upstream_id.clone(),
        zone: upstream.zone.clone(),
        share_percent,
        excluded,
        slots: upstream.slots,
        online: upstream.online_requests(),
        in_use: upstream.in_use(),
        slowdown_percent: (upstream.slowdown() * 100.0).round() as u32,
        has_connection,
    }
}

fn rejected(
    mut report: PlacementReport,
    reason: &str,
    retry_after: Option<Duration>,
) -> PlacementReport {
    report.verdict = PlacementVerdict::Rejected.into();
    report.reason = reason.to_owned();
    report.retry_after_ms = retry_after.map_or(0, millis);
    report
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
