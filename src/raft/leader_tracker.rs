use std::time::{Duration, Instant};

use crate::raft::LeaderBelief;
use crate::schema::peer::{CallFailure, FailureKind};

/// Shortest time for which a host that did not serve a call as the leader is passed over; a redirect back to it within
/// that time would tell nothing new.
const MIN_PASS_OVER_TIME: Duration = Duration::from_millis(50);
/// Longest such time: about an election timeout, after which there is another leader or the same one still leads.
const MAX_PASS_OVER_TIME: Duration = Duration::from_millis(500);
/// Time after which a term that nobody names any more stops ruling out earlier ones: a group that was formed anew
/// starts at term 1.
const TERM_LIFETIME: Duration = Duration::from_secs(10);

/// The leader to call, from what hosts say and from how calls end.
///
/// A belief of an older term never replaces one of a newer term. A host that did not answer is asked no more until it
/// says itself that it leads, or is named in a newer term, or as much time has passed as it took from the call, so
/// that it uses up no more than half of a caller's time.
#[derive(Clone, Debug, Default)]
pub struct LeaderTracker {
    leader: Option<LeaderBelief>,
    /// Highest term of which a leader was named, and when it was named last.
    highest_term: Option<(u64, Instant)>,
    passed_over: Vec<PassedOver>,
}

/// A host that is not asked, though others may name it.
#[derive(Clone, Debug)]
struct PassedOver {
    address: String,
    /// Terms up to this one in which it does not count as the leader.
    term: u64,
    since: Instant,
    until: Instant,
}

impl LeaderTracker {
    /// The leader to call, if one is known.
    pub fn leader(&self) -> Option<&LeaderBelief> {
        self.leader.as_ref()
    }

    /// True if a newer term than `term` is known. An unknown term, 0, can't be judged.
    pub fn is_outdated(&self, term: u64, now: Instant) -> bool {
        let highest = self.highest_term.filter(|(_, at)| now < *at + TERM_LIFETIME);
        term != 0 && highest.is_some_and(|(highest, _)| term < highest)
    }

    /// Address to call next: the leader or, while none can be called, one of the hosts that run replicas, which are
    /// taken in turn. The other control hosts, which may know the leader, follow while all of these are passed over.
    pub fn target(
        &self,
        replicas: &[String],
        control_hosts: &[String],
        turn: usize,
        now: Instant,
    ) -> Option<String> {
        if let Some(leader) = &self.leader {
            return Some(leader.address.clone());
        }
        for hosts in [replicas, control_hosts] {
            let open: Vec<&String> =
                hosts.iter().filter(|address| !self.is_passed_over(address, now)).collect();
            if let Some(index) = turn.checked_rem(open.len()) {
                return Some(open[index].clone());
            }
        }
        let index = turn.checked_rem(control_hosts.len())?;
        Some(control_hosts[index].clone())
    }

    fn is_passed_over(&self, address: &str, now: Instant) -> bool {
        self.passed_over.iter().any(|passed| passed.address == address && now < passed.until)
    }

    /// Takes note of what a host says; true if it is the leader to call from now on.
    pub fn hear(&mut self, belief: &LeaderBelief, now: Instant) -> bool {
        if self.is_outdated(belief.term, now) || self.rules_out(belief, now) {
            return false;
        }
        let highest = self.highest_term.filter(|(_, at)| now < *at + TERM_LIFETIME);
        let is_new_term = highest.is_none_or(|(highest, _)| belief.term > highest);
        if belief.term > 0 {
            let heard = self.highest_term.filter(|(term, _)| *term == belief.term);
            let at = heard.map_or(belief.heard_at, |(_, at)| at.max(belief.heard_at));
            self.highest_term = Some((belief.term, at));
        }
        // A term that nobody named before tells of an election after the answer of a leader whose term is unknown.
        let is_elected_since =
            |leader: &LeaderBelief| leader.term == 0 && is_new_term && belief.term > 0;
        let holds = |leader: &LeaderBelief| !belief.replaces(leader) && !is_elected_since(leader);
        if self.leader.as_ref().is_some_and(holds) {
            return false;
        }
        self.passed_over.retain(|passed| passed.address != belief.address);
        self.leader = Some(belief.clone());
        true
    }

    /// Replaces the belief by the best one of these.
    pub fn choose<'a>(
        &mut self,
        beliefs: impl IntoIterator<Item = &'a LeaderBelief>,
        now: Instant,
    ) {
        self.leader = None;
        for belief in beliefs {
            self.hear(belief, now);
        }
    }

    /// Takes note of a failure that a host answered after `time`; true if it names a leader that can be called.
    pub fn record_failure(
        &mut self,
        source: &str,
        failure: &CallFailure,
        time: Duration,
        now: Instant,
    ) -> bool {
        if matches!(failure.kind(), FailureKind::Refused | FailureKind::Overloaded) {
            return false;
        }
        self.pass_over(source, failure.leader_term, time, now);
        let address = failure.leader_address.as_str();
        if address.is_empty() || address == source {
            return false;
        }
        let named = LeaderBelief {
            address: address.to_owned(),
            term: failure.leader_term,
            source: source.to_owned(),
            heard_at: now,
        };
        self.hear(&named, now)
    }

    /// Takes note of a host that served a call, sent at `asked`, as the leader of `term`, which is 0 if it is unknown.
    pub fn record_answer(&mut self, source: &str, term: u64, asked: Instant, now: Instant) {
        let known = self.leader.as_ref().filter(|leader| leader.address == source);
        let is_late = self.leader.as_ref().is_some_and(|leader| leader.heard_at > asked);
        if known.is_none() && is_late {
            return;
        }
        let served = LeaderBelief {
            address: source.to_owned(),
            term: known.map_or(term, |leader| leader.term),
            source: source.to_owned(),
            heard_at: now,
        };
        self.hear(&served, now);
    }

    /// Takes note of a call, sent at `asked`, that a host did not answer. A leader that spoke since is not passed over.
    pub fn record_no_answer(&mut self, address: &str, asked: Instant, now: Instant) {
        let leader = self.leader.as_ref().filter(|leader| leader.address == address);
        if leader.is_some_and(|leader| leader.is_direct() && leader.heard_at > asked) {
            return;
        }
        self.pass_over(address, 0, now.saturating_duration_since(asked), now);
    }

    /// Passes a host over that did not serve a call as the leader, after `time`. `term` is the term in which it said
    /// so; 0 if it said nothing.
    pub fn pass_over(&mut self, address: &str, term: u64, time: Duration, now: Instant) {
        let leader = self.leader.take_if(|leader| leader.address == address);
        let believed = leader.map_or(0, |leader| leader.term);
        let known = self.highest_term.map_or(0, |(highest, _)| highest);
        let term = [term, believed, known].into_iter().max().unwrap_or_default();
        let until = now + time.clamp(MIN_PASS_OVER_TIME, MAX_PASS_OVER_TIME);
        self.passed_over.retain(|passed| passed.address != address && now < passed.until);
        let address = address.to_owned();
        self.passed_over.push(PassedOver { address, term, since: now, until });
    }

    /// True if the host that is believed to lead did not serve a call since.
    fn rules_out(&self, belief: &LeaderBelief, now: Instant) -> bool {
        self.passed_over.iter().any(|passed| {
            let is_newer =
                belief.term > passed.term || belief.is_direct() && belief.heard_at > passed.since;
            passed.address == belief.address && now < passed.until && !is_newer
        })
    }
}
