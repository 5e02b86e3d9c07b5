//! HTTP routes for callers: gateway discovery, text generation and plain services.

use crate::{
    admission::{self, AdmittedRequest, Rejection},
    bounded_body::{self, BodyError, BodySize},
    byte_budget::ByteBudget,
    discovery,
    gateway::Context,
    handler_state,
    holding::lock,
    http_server,
    openai::Interface,
    responses::{self, Outcome},
};
use bytes::Bytes;
use gotham::{
    handler::HandlerFuture,
    helpers::http::Body,
    middleware::state::StateMiddleware,
    pipeline::{single_middleware, single_pipeline},
    router::{
        Router,
        builder::{DefineSingleRoute, DrawRoutes, build_router},
    },
    state::{FromState, State, client_addr},
};
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, Uri, header};
use serde_json::json;
use std::{pin::Pin, sync::Arc};

handler_state!(GatewayState, Context);

/// Header with the lowest catalogue revision that the caller accepts.
const MIN_REVISION_HEADER: &str = "carobfield-min-revision";

/// Longest wait for the revision in [`MIN_REVISION_HEADER`].
const REVISION_WAIT: std::time::Duration = std::time::Duration::from_secs(2);

/// Builds the router of the callers' listener.
pub fn router(context: &Arc<Context>) -> Router {
    let middleware = StateMiddleware::new(GatewayState(Arc::clone(context)));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.get("/v1/entries").to(show_entries);
        route.get("/v1/models").to(show_models);
        route.post("/v1/completions").to(complete_text);
        route.post("/v1/chat/completions").to(complete_chat);
        let methods = vec![
            Method::GET,
            Method::HEAD,
            Method::POST,
            Method::PUT,
            Method::PATCH,
            Method::DELETE,
        ];
        route.request(methods, "/v1/services/*").to(call_service);
    })
}

/// Future of a handler, with its state and response.
type HandledFuture = Pin<Box<HandlerFuture>>;

/// What is known of a request before its body is read.
#[derive(Debug)]
pub struct RequestHead {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Identity of the caller: the credential's hash, or the address where there is none.
    pub caller: String,
}

fn request_head(state: &State) -> RequestHead {
    let headers = HeaderMap::borrow_from(state).clone();
    let address = client_addr(state)
        .map(|a| a.ip().to_string())
        .unwrap_or_default();
    let caller = admission::caller_identity(&headers, &address);
    RequestHead {
        method: Method::borrow_from(state).clone(),
        uri: Uri::borrow_from(state).clone(),
        headers,
        caller,
    }
}

fn show_entries(state: State) -> (State, Response<Body>) {
    let context = Arc::clone(&GatewayState::borrow_from(&state).0);
    let head = request_head(&state);
    let config = &context.config;
    let list = {
        let fleet = lock(&context.fleet);
        discovery::list_gateways(&fleet, &head.caller, &config.data_centre, config.max_age)
    };
    let mut response = http_server::json_response(StatusCode::OK, &list);
    responses::set_outcome(&mut response, Outcome::Complete);
    (state, response)
}

fn show_models(state: State) -> (State, Response<Body>) {
    let context = Arc::clone(&GatewayState::borrow_from(&state).0);
    let catalogue = context.catalogue.current();
    let data: Vec<_> = catalogue
        .adapters
        .iter()
        .flat_map(|(name, adapter)| {
            let model_entry = move |v: &u32| {
                json!({ "id": format!("{name}@{v}"), "object": "model", "created": 0, "owned_by": adapter.owner })
            };
            adapter.versions.iter().map(model_entry)
        })
        .collect();
    let list = json!({ "object": "list", "data": data });
    let mut response = http_server::json_response(StatusCode::OK, &list);
    responses::set_outcome(&mut response, Outcome::Complete);
    responses::set_revision(&mut response, catalogue.revision);
    (state, response)
}

fn complete_text(state: State) -> HandledFuture {
    handle(state, |context, head, body| {
        Box::pin(async move { admission::admit_text(&context, Interface::Text, &head, &body) })
    })
}

fn complete_chat(state: State) -> HandledFuture {
    handle(state, |context, head, body| {
        Box::pin(async move { admission::admit_text(&context, Interface::Chat, &head, &body) })
    })
}

fn call_service(state: State) -> HandledFuture {
    handle(state, |context, head, body| {
        Box::pin(async move { admission::admit_service(&context, &head, &body) })
    })
}

/// Future of an admission decision.
type AdmissionFuture = Pin<Box<dyn Future<Output = Result<AdmittedRequest, Rejection>> + Send>>;

fn handle(
    mut state: State,
    admit: fn(Arc<Context>, RequestHead, Bytes) -> AdmissionFuture,
) -> HandledFuture {
    Box::pin(async move {
        let context = Arc::clone(&GatewayState::borrow_from(&state).0);
        let open = context.open_request();
        let head = request_head(&state);
        let size = BodySize {
            limit: context.config.body_bytes,
            ..BodySize::default()
        };
        // Only the size of each body is limited here.
        let mut account = ByteBudget::new(usize::MAX).account();
        let mut body = Body::take_from(&mut state);
        let body = bounded_body::read(&mut body, size, &mut account).await;
        let response = match body {
            Ok(body) => match wait_for_min_revision(&context, &head).await {
                Ok(()) => match admit(Arc::clone(&context), head, body).await {
                    Ok(admitted) => responses::respond(context, admitted, open).await,
                    Err(rejection) => responses::reject(&rejection),
                },
                Err(rejection) => responses::reject(&rejection),
            },
            Err(BodyError::TooLarge | BodyError::NoMemory) => {
                reject_unread(&Rejection::too_large())
            }
            Err(BodyError::Broken) => reject_unread(&Rejection::invalid("body", "broke off")),
        };
        Ok((state, response))
    })
}

/// Rejects a request whose body was not read to its end. The server closes such a connection, so the caller must not use it
/// again.
fn reject_unread(rejection: &Rejection) -> Response<Body> {
    let mut response = responses::reject(rejection);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Waits for the revision that the caller has seen at another gateway.
async fn wait_for_min_revision(context: &Context, head: &RequestHead) -> Result<(), Rejection> {
    let Some(value) = head.headers.get(MIN_REVISION_HEADER) else {
        return Ok(());
    };
    let Some(revision) = value.to_str().ok().and_then(|v| v.parse().ok()) else {
        return Err(Rejection::invalid(
            MIN_REVISION_HEADER,
            "expected a whole number",
        ));
    };
    if context
        .catalogue
        .wait_for_revision(revision, REVISION_WAIT)
        .await
    {
        Ok(())
    } else {
        Err(Rejection::revision_unavailable())
    }
}
