//! Answers of our own: why a request is not served, and when to come back.

use crate::http_server;
use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode, header::RETRY_AFTER};
use std::time::Duration;

/// Time after which a caller should come back when an entry has just started.
const STARTING_RETRY: Duration = Duration::from_millis(300);

/// Time after which a caller should come back when no upstream is there.
const ABSENT_RETRY: Duration = Duration::from_millis(500);

/// Time after which a place becomes free with some likelihood; streams last one to two seconds.
const FULL_RETRY: Duration = Duration::from_millis(400);

/// Why an entry answers by itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// No configuration is known yet.
    Starting,
    /// No route is for this host and path.
    NoRoute,
    /// The request's head is larger than allowed.
    LargeHead,
    /// The request's body is larger than allowed.
    LargeBody,
    /// The request's body broke off.
    BrokenBody,
    /// The request's body did not come in time.
    SlowBody,
    /// No upstream of the service can take it.
    NoUpstream,
    /// Every upstream that could take it is full.
    Full,
    /// The adapter could not be brought in time.
    NoAdapter,
    /// Upstreams refused it, and no repeat is left.
    Refused,
    /// Time ran out before it was sent.
    Late,
    /// Time ran out after it was sent.
    Timeout,
    /// It may have run, and its answer is lost.
    Lost,
}

impl Reason {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::NoRoute => "no-route",
            Self::LargeHead => "large-head",
            Self::LargeBody => "large-body",
            Self::BrokenBody => "broken-body",
            Self::SlowBody => "slow-body",
            Self::NoUpstream => "no-upstream",
            Self::Full => "full",
            Self::NoAdapter => "no-adapter",
            Self::Refused => "refused",
            Self::Late => "late",
            Self::Timeout => "timeout",
            Self::Lost => "lost",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::LargeHead => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::LargeBody => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BrokenBody => StatusCode::BAD_REQUEST,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::Starting
            | Self::NoUpstream
            | Self::Full
            | Self::NoAdapter
            | Self::Refused
            | Self::Late => StatusCode::SERVICE_UNAVAILABLE,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::Lost => StatusCode::BAD_GATEWAY,
        }
    }

    fn retry(self) -> Option<Duration> {
        match self {
            Self::Starting => Some(STARTING_RETRY),
            Self::NoUpstream => Some(ABSENT_RETRY),
            Self::Full | Self::NoAdapter | Self::Refused => Some(FULL_RETRY),
            _ => None,
        }
    }
}

/// The answer for `reason`.
pub fn answer(reason: Reason) -> Response<Body> {
    let text = format!("{}\n", reason.as_str());
    let mut response = http_server::response(reason.status(), "text/plain", text);
    if let Some(retry) = reason.retry() {
        let seconds = format!("{:.3}", retry.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}
