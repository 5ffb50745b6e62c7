use crate::gateway::{SendError, UpstreamHead, UpstreamNotice};
use crate::http::Headers;
use crate::schema::ledger::Header;
use crate::schema::peer::{RelayFailure, RelayFailureKind, RelayedHead, RelayedNotice};

pub(super) fn headers_to_wire(headers: &Headers) -> Vec<Header> {
    let fields = headers.iter();
    fields.map(|(name, value)| Header { name: name.to_owned(), value: value.to_owned() }).collect()
}

pub(super) fn headers_from_wire(wire: Vec<Header>) -> Headers {
    let mut headers = Headers::default();
    for Header { name, value } in wire {
        headers.push(name, value);
    }
    headers
}

impl From<&UpstreamNotice> for RelayedNotice {
    fn from(notice: &UpstreamNotice) -> Self {
        let UpstreamNotice { rate_limit, requests, is_leaving, slowdown_percent } = *notice;
        Self { rate_limit, requests, is_leaving, slowdown_percent }
    }
}

impl From<RelayedNotice> for UpstreamNotice {
    fn from(wire: RelayedNotice) -> Self {
        let RelayedNotice { rate_limit, requests, is_leaving, slowdown_percent } = wire;
        Self { rate_limit, requests, is_leaving, slowdown_percent }
    }
}

impl From<&UpstreamHead> for RelayedHead {
    fn from(head: &UpstreamHead) -> Self {
        Self {
            status: head.status.into(),
            headers: headers_to_wire(&head.headers),
            is_event_stream: head.is_event_stream,
            has_framing: head.has_framing,
            notice: Some((&head.notice).into()),
        }
    }
}

impl TryFrom<RelayedHead> for UpstreamHead {
    type Error = SendError;

    fn try_from(wire: RelayedHead) -> Result<Self, SendError> {
        let status = u16::try_from(wire.status);
        Ok(Self {
            status: status.map_err(|_| SendError::Lost("the status is not valid".to_owned()))?,
            headers: headers_from_wire(wire.headers),
            is_event_stream: wire.is_event_stream,
            has_framing: wire.has_framing,
            notice: wire.notice.unwrap_or_default().into(),
        })
    }
}

impl From<&SendError> for RelayFailure {
    fn from(error: &SendError) -> Self {
        let (kind, reason, status, notice) = match error {
            SendError::NotSent(reason) | SendError::HeldUp(reason) => {
                (RelayFailureKind::RelayNotSent, reason.clone(), 0, None)
            }
            SendError::NotRun { status, notice } => {
                (RelayFailureKind::RelayNotRun, String::new(), *status, Some(notice.into()))
            }
            SendError::Lost(reason) => (RelayFailureKind::RelayLost, reason.clone(), 0, None),
        };
        let was_held_up = matches!(error, SendError::HeldUp(_));
        Self { kind: kind.into(), reason, status: status.into(), notice, was_held_up }
    }
}

impl From<RelayFailure> for SendError {
    fn from(wire: RelayFailure) -> Self {
        match wire.kind() {
            RelayFailureKind::RelayNotSent if wire.was_held_up => Self::HeldUp(wire.reason),
            RelayFailureKind::RelayNotSent => Self::NotSent(wire.reason),
            RelayFailureKind::RelayNotRun => Self::NotRun {
                status: u16::try_from(wire.status).unwrap_or(0),
                notice: wire.notice.unwrap_or_default().into(),
            },
            // Whether the upstream ran it is not known.
            RelayFailureKind::RelayLost | RelayFailureKind::Unspecified => Self::Lost(wire.reason),
        }
    }
}
