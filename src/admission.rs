//! Validates callers' requests and turns them into jobs.

use crate::{
    caller_routes::RequestHead,
    catalogue::{Pool, PoolKind, ResolveError},
    clock::BootInstant,
    gateway::Context,
    ident::RequestId,
    openai::{self, Interface, RequestError, ResponseMetadata},
    poison,
    routing::Job,
    wire::Work,
};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use rapidhash::v3::rapidhash_v3;
use std::{sync::Arc, time::Duration};

/// Header with the key that identifies a request that may not be repeated.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Header that says whether a request may be repeated.
const REPEATABLE_HEADER: &str = "carobfield-repeatable";

/// Header with the caller's timeout, in milliseconds.
const TIMEOUT_HEADER: &str = "carobfield-timeout-ms";

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Path prefix before a service's name.
const SERVICE_PREFIX: &str = "/v1/services/";

/// Error response for a request that was not admitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// HTTP status.
    pub status: StatusCode,
    /// Error code, for programs.
    pub code: &'static str,
    /// Description, for people.
    pub message: String,
    /// When to retry, in seconds, where a retry can succeed.
    pub retry_after: Option<u64>,
}

impl Rejection {
    /// Returns the rejection of a malformed request.
    pub fn invalid(field: &str, message: &str) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            code: "invalid_request",
            message: format!("{field}: {message}"),
            retry_after: None,
        }
    }

    /// Returns the rejection of a body above the limit.
    pub fn too_large() -> Self {
        Self {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            code: "body_too_large",
            message: "the body is larger than allowed".to_owned(),
            retry_after: None,
        }
    }

    /// Returns the rejection where this gateway does not have the revision that the caller has seen.
    pub fn revision_unavailable() -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            code: "configuration_behind",
            message: "this entry does not have that revision yet".to_owned(),
            retry_after: Some(1),
        }
    }

    fn unknown(what: &str, name: &str) -> Self {
        Self {
            status: StatusCode::NOT_FOUND,
            code: "model_not_found",
            message: format!("the {what} `{name}` is not in the catalogue"),
            retry_after: None,
        }
    }

    fn not_ready() -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            code: "not_ready",
            message: "no catalogue is in force here yet".to_owned(),
            retry_after: Some(1),
        }
    }
}

impl From<RequestError> for Rejection {
    fn from(problem: RequestError) -> Self {
        Self::invalid(problem.field, &problem.message)
    }
}

/// Format of the response.
#[derive(Clone, Debug)]
pub enum ResponseFormat {
    /// Generated text in the `OpenAI` format.
    Text(ResponseMetadata),
    /// The service's own response, unchanged.
    Service,
}

/// An admitted request.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// Job to route.
    pub job: Job,
    /// Format of the response.
    pub format: ResponseFormat,
    /// Caller's name, for at-most-once records.
    pub caller: String,
    /// Key of a request that may not be repeated.
    pub key: Option<String>,
}

/// Identifies the caller by a hash of the credential, or by address where there is none.
pub fn caller_identity(headers: &HeaderMap, address: &str) -> String {
    match headers.get(http::header::AUTHORIZATION) {
        Some(value) => crate::digest::content_address(value.as_bytes()),
        None => format!("address:{address}"),
    }
}

/// Execution options from a request's headers.
#[derive(Debug)]
struct ExecutionOptions {
    deadline: BootInstant,
    repeatable: bool,
    key: Option<String>,
}

fn execution_options(
    context: &Context,
    headers: &HeaderMap,
    default: bool,
) -> Result<ExecutionOptions, Rejection> {
    let text = |name: &str| headers.get(name).map(|v| v.to_str().unwrap_or("\u{0}"));
    let repeatable = match text(REPEATABLE_HEADER) {
        None => default,
        Some("true") => true,
        Some("false") => false,
        Some(_) => {
            return Err(Rejection::invalid(
                REPEATABLE_HEADER,
                "expected true or false",
            ));
        }
    };
    let key = match text(IDEMPOTENCY_KEY_HEADER) {
        Some(k) if k.is_empty() || k.len() > MAX_KEY_BYTES || k == "\u{0}" => {
            return Err(Rejection::invalid(
                IDEMPOTENCY_KEY_HEADER,
                "expected 1 to 256 visible characters",
            ));
        }
        other => other.map(ToOwned::to_owned),
    };
    if !repeatable && key.is_none() {
        return Err(Rejection::invalid(
            IDEMPOTENCY_KEY_HEADER,
            "needed for a request that may not be repeated",
        ));
    }
    let limits = &context.config;
    let timeout = match text(TIMEOUT_HEADER) {
        None => limits.timeout,
        Some(text) => match text.parse::<u64>() {
            Ok(ms) if ms > 0 && ms <= limits.max_timeout => ms,
            _ => {
                let range = format!("expected 1 to {}", limits.max_timeout);
                return Err(Rejection::invalid(TIMEOUT_HEADER, &range));
            }
        },
    };
    let deadline = BootInstant::now() + Duration::from_millis(timeout);
    Ok(ExecutionOptions {
        deadline,
        repeatable,
        key: key.filter(|_| !repeatable),
    })
}

/// Admits a request for text.
///
/// # Errors
/// The request is malformed or names an unknown model.
pub fn admit_text(
    context: &Context,
    interface: Interface,
    head: &RequestHead,
    body: &[u8],
) -> Result<AdmittedRequest, Rejection> {
    let request = openai::parse(interface, body)?;
    let options = execution_options(context, &head.headers, true)?;
    let catalogue = context.catalogue.current();
    if catalogue.revision == 0 {
        return Err(Rejection::not_ready());
    }
    let (model, adapter) = catalogue.resolve(&request.model).map_err(|e| match e {
        ResolveError::UnknownAdapter => Rejection::unknown("adapter", &request.model),
        ResolveError::UnknownVersion => Rejection::unknown("version", &request.model),
    })?;
    let serving = |pool: &Pool| pool.kind == PoolKind::Engine && pool.base == adapter.base;
    let pools = catalogue.pools.iter().filter(|(_, p)| serving(p));
    let pools = pools.map(|(name, _)| name.clone()).collect();
    let id = RequestId::random();
    let model_name = model.to_string();
    let fingerprint = poison::fingerprint(&[
        head.caller.as_bytes(),
        model_name.as_bytes(),
        request.body.as_bytes(),
    ]);
    let metadata = ResponseMetadata {
        interface,
        id: id.to_string(),
        model: model_name,
        created: crate::clock::unix_ms() / 1_000,
    };
    let job = Job {
        id,
        pools,
        owner: Arc::clone(&adapter.owner),
        class: adapter.class,
        deadline: options.deadline,
        repeatable: options.repeatable,
        fingerprint,
        prefix: rapidhash_v3(request.prefix.as_bytes()),
        revision: catalogue.revision,
        stream: request.stream,
        work: Work::Generate {
            model: model.clone(),
            body: Arc::from(request.body),
            chat: interface == Interface::Chat,
        },
        model: Some(model),
    };
    Ok(AdmittedRequest {
        job,
        format: ResponseFormat::Text(metadata),
        caller: head.caller.clone(),
        key: options.key,
    })
}

/// Admits a request to a plain service.
///
/// # Errors
/// The service is not in the catalogue, or the headers are malformed.
pub fn admit_service(
    context: &Context,
    head: &RequestHead,
    body: &Bytes,
) -> Result<AdmittedRequest, Rejection> {
    let path = head.uri.path_and_query().map_or("", |p| p.as_str());
    let suffix = path.strip_prefix(SERVICE_PREFIX).unwrap_or("");
    let (name, path) = match suffix.find('/') {
        Some(at) => (&suffix[..at], &suffix[at..]),
        None => (suffix, "/"),
    };
    let catalogue = context.catalogue.current();
    if catalogue.revision == 0 {
        return Err(Rejection::not_ready());
    }
    let service = catalogue.services.get(name);
    let service = service.ok_or_else(|| Rejection::unknown("service", name))?;
    let read_only = matches!(head.method, Method::GET | Method::HEAD);
    let options = execution_options(context, &head.headers, read_only || service.repeatable)?;
    let content_type = head.headers.get(http::header::CONTENT_TYPE);
    let content_type = content_type
        .and_then(|v| v.to_str().ok())
        .unwrap_or("application/octet-stream");
    let fingerprint = poison::fingerprint(&[
        head.caller.as_bytes(),
        head.method.as_str().as_bytes(),
        path.as_bytes(),
        body,
    ]);
    let job = Job {
        id: RequestId::random(),
        pools: vec![service.pool.clone()],
        model: None,
        owner: Arc::from(name),
        class: service.class,
        deadline: options.deadline,
        repeatable: options.repeatable,
        fingerprint,
        prefix: 0,
        revision: catalogue.revision,
        stream: false,
        work: Work::Call {
            method: head.method.to_string(),
            path: path.to_owned(),
            content: content_type.to_owned(),
            body: body.to_vec(),
        },
    };
    Ok(AdmittedRequest {
        job,
        format: ResponseFormat::Service,
        caller: head.caller.clone(),
        key: options.key,
    })
}
