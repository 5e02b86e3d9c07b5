//! Error responses of the entry itself: the reason, and when to retry.

use crate::http_server;
use gotham::helpers::http::Body;
use http::{
    HeaderValue, Response, StatusCode,
    header::{RETRY_AFTER, WWW_AUTHENTICATE},
};
use std::time::Duration;

/// `Retry-After` of an entry that has no configuration yet.
const STARTING_RETRY: Duration = Duration::from_millis(300);

/// `Retry-After` when no upstream is available.
const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(500);

/// `Retry-After` when all upstreams are full; streams last one to two seconds, so a slot is likely to become free.
const FULL_RETRY: Duration = Duration::from_millis(400);

/// `Retry-After` when the bodies of other requests take up the memory for them; uploads last a few seconds.
const NO_MEMORY_RETRY: Duration = Duration::from_secs(1);

/// `Retry-After` of an entry that can't tell yet whether a route or a key is unknown or newer than its configuration; it reads
/// the store again, or hears from an entry that does, within this time.
const UNCERTAIN_RETRY: Duration = Duration::from_secs(1);

/// Authentication scheme that a response with status 401 names.
const SCHEME: HeaderValue = HeaderValue::from_static("Bearer");

/// Reason for an error response of the entry itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No configuration is known yet.
    Starting,
    /// No route matches the host and path.
    NoRoute,
    /// Like [`Self::NoRoute`], but a newer configuration may have a route.
    UncertainRoute,
    /// No customer has the request's key, or it has none that can be read.
    UnknownKey,
    /// Like [`Self::UnknownKey`], but a newer configuration may have the key.
    UncertainKey,
    /// The request head exceeds the limit.
    LargeHead,
    /// The request body exceeds the limit.
    LargeBody,
    /// Bodies of other requests take up the memory of this entry.
    NoMemory,
    /// The connection broke before the request body was complete.
    BrokenBody,
    /// The request body was not received before the deadline.
    SlowBody,
    /// The prompt is larger than the memory of the service's engines.
    LargePrompt,
    /// No upstream of the service can take the request.
    NoUpstream,
    /// The stream that is to go on began at a build that no upstream of the service has.
    NoSameBuild,
    /// It is not known at which build the stream that is to go on began, and there are several.
    UnknownBeginning,
    /// Every suitable upstream is full.
    Full,
    /// The adapter can't be loaded in time; a later request could be served after this long.
    NoAdapter(Duration),
    /// Prompts that arrived earlier keep every suitable engine busy for this long.
    Backlog(Duration),
    /// Upstreams that could serve it take no more requests for this long.
    Limited(Duration),
    /// The customer's quota has room for the request after this long.
    QuotaExceeded(Duration),
    /// The request crashed upstreams; refused for this long.
    Poison(Duration),
    /// Upstreams refused the request, and no retry is left.
    Refused,
    /// The entry is shutting down, and the response may not end before the process does.
    Stopping,
    /// The deadline passed before the request was sent.
    DeadlineExpired,
    /// The deadline passed after the request was sent.
    Timeout,
    /// The request may have run, but its response was lost.
    ResponseLost,
}

impl RefusalReason {
    /// Returns the name used in logs, metrics and response bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::NoRoute => "no-route",
            Self::UncertainRoute => "uncertain-route",
            Self::UnknownKey => "unknown-key",
            Self::UncertainKey => "uncertain-key",
            Self::LargeHead => "large-head",
            Self::LargeBody => "large-body",
            Self::NoMemory => "no-memory",
            Self::BrokenBody => "broken-body",
            Self::SlowBody => "slow-body",
            Self::LargePrompt => "large-prompt",
            Self::NoUpstream => "no-upstream",
            Self::NoSameBuild => "no-same-build",
            Self::UnknownBeginning => "unknown-beginning",
            Self::Full => "full",
            Self::NoAdapter(_) => "no-adapter",
            Self::Backlog(_) => "backlog",
            Self::Limited(_) => "limited",
            Self::QuotaExceeded(_) => "quota",
            Self::Poison(_) => "poison",
            Self::Refused => "refused",
            Self::Stopping => "stopping",
            Self::DeadlineExpired => "late",
            Self::Timeout => "timeout",
            Self::ResponseLost => "lost",
        }
    }

    /// Returns whether the request's body was not read to its end.
    pub fn leaves_body(self) -> bool {
        matches!(
            self,
            Self::UnknownKey
                | Self::UncertainKey
                | Self::QuotaExceeded(_)
                | Self::LargeBody
                | Self::NoMemory
                | Self::BrokenBody
                | Self::SlowBody
        )
    }

    fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::LargeHead => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::LargeBody => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BrokenBody => StatusCode::BAD_REQUEST,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::QuotaExceeded(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::Starting
            | Self::UncertainRoute
            | Self::UncertainKey
            | Self::NoMemory
            | Self::LargePrompt
            | Self::NoUpstream
            | Self::NoSameBuild
            | Self::UnknownBeginning
            | Self::Full
            | Self::NoAdapter(_)
            | Self::Backlog(_)
            | Self::Limited(_)
            | Self::Poison(_)
            | Self::Refused
            | Self::Stopping
            | Self::DeadlineExpired => StatusCode::SERVICE_UNAVAILABLE,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::ResponseLost => StatusCode::BAD_GATEWAY,
        }
    }

    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Starting => Some(STARTING_RETRY),
            Self::UncertainRoute | Self::UncertainKey => Some(UNCERTAIN_RETRY),
            Self::NoMemory => Some(NO_MEMORY_RETRY),
            Self::NoUpstream => Some(NO_UPSTREAM_RETRY),
            Self::Full | Self::Refused => Some(FULL_RETRY),
            // Any other entry takes it now.
            Self::Stopping => Some(Duration::ZERO),
            Self::NoAdapter(left) => Some(left.max(FULL_RETRY)),
            Self::Backlog(left)
            | Self::Limited(left)
            | Self::QuotaExceeded(left)
            | Self::Poison(left) => Some(left),
            _ => None,
        }
    }
}

/// Builds the error response for `reason`.
pub fn response(reason: RefusalReason) -> Response<Body> {
    let text = format!("{}\n", reason.as_str());
    let mut response = http_server::response(reason.status(), "text/plain", text);
    if reason == RefusalReason::UnknownKey {
        response.headers_mut().insert(WWW_AUTHENTICATE, SCHEME);
    }
    if let Some(retry) = reason.retry_after() {
        // Rounded up, so that no caller returns too early.
        let millis = retry.as_micros().div_ceil(1_000);
        let seconds = format!("{}.{:03}", millis / 1_000, millis % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}
