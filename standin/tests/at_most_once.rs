//! A request that is not repeatable runs at most once.

use bytes::Bytes;
use carobfield_standin::{
    checks,
    client::{self, CompletionRequest, Reply, ReplyOutcome},
    harness::{Deployment, Role},
    layout::Layout,
    object_api::ObjectFaults,
    process_tests,
    service::ServiceFaults,
};
use http::Method;
use std::{net::SocketAddr, time::Duration};

process_tests!(
    one_key_at_three_gateways,
    kills_around_the_claim,
    claim_written_but_response_lost,
    object_api_down,
    model_response_is_replayed,
    service_loses_its_response,
);

fn services_layout() -> Layout {
    Layout {
        engines: 1,
        services: 2,
        work_ms: 150,
        ..Layout::default()
    }
}

/// Posts a ledger entry, which is not repeatable.
async fn post_entry(
    client: &carobfield::http_client::HttpClient,
    at: SocketAddr,
    key: &str,
) -> Reply {
    let body = Bytes::from(format!("entry {key}"));
    let headers = [("idempotency-key", key), ("carobfield-timeout-ms", "8000")];
    client::send(
        client,
        at,
        &Method::POST,
        "/v1/services/status/ledger",
        &headers,
        body,
    )
    .await
}

mod case {
    use super::{
        Bytes, CompletionRequest, Deployment, Duration, Layout, Method, ObjectFaults, ReplyOutcome,
        Role, ServiceFaults, checks, client, post_entry, services_layout,
    };

    /// Asserts that no ledger entry ran twice and returns the number of entries that ran.
    async fn assert_no_entry_ran_twice(d: &Deployment) -> usize {
        let mut log = d.service_log(0).await;
        log.extend(d.service_log(1).await);
        log.retain(|e| e.model.contains("ledger"));
        let runs = checks::runs_by_body(&log);
        let twice: Vec<_> = runs.iter().filter(|(_, n)| **n > 1).collect();
        assert!(twice.is_empty(), "{twice:?}");
        runs.len()
    }

    pub(super) async fn one_key_at_three_gateways() {
        let d = Deployment::start(services_layout()).await;
        for n in 0..12 {
            let key = format!("badge-{n}");
            let (a, b, c) = tokio::join!(
                post_entry(&d.client, d.gateway(0), &key),
                post_entry(&d.client, d.gateway(1), &key),
                post_entry(&d.client, d.gateway(2), &key),
            );
            let outcomes = [a.outcome, b.outcome, c.outcome];
            assert!(outcomes.contains(&ReplyOutcome::Complete), "{outcomes:?}");
            assert!(
                !outcomes.contains(&ReplyOutcome::NotRun),
                "a key that ran is never reported as not run"
            );
        }
        assert_eq!(assert_no_entry_ran_twice(&d).await, 12);
    }

    pub(super) async fn kills_around_the_claim() {
        let mut d = Deployment::start(services_layout()).await;
        let delays = [0, 1, 3, 5, 8, 20, 60, 120, 160, 200];
        for (round, delay) in delays.into_iter().enumerate() {
            let key = format!("kill-{round}");
            let role = if round % 2 == 0 {
                Role::Gateway
            } else {
                Role::Dispatcher
            };
            let victim = if role == Role::Gateway {
                Some(0)
            } else {
                d.holder("status-0").await
            };
            let (client, at, first) = (d.client.clone(), d.gateway(0), key.clone());
            let sent = tokio::spawn(async move { post_entry(&client, at, &first).await });
            tokio::time::sleep(Duration::from_millis(delay)).await;
            if let Some(n) = victim {
                d.kill(role, n);
            }
            let outcome = sent.await.expect("the request task does not panic").outcome;
            let retried = post_entry(&d.client, d.gateway(1), &key).await;
            let ran = checks::runs_by_body(&d.all_logs().await);
            if retried.outcome == ReplyOutcome::NotRun {
                // The claim was released, so the first request can't have completed.
                assert_ne!(outcome, ReplyOutcome::Complete, "{retried:?}");
            }
            assert!(ran.values().all(|n| *n <= 1), "{ran:?}");
            if let Some(n) = victim {
                d.start_role(role, n);
                d.wait_gateway(0).await;
            }
        }
        assert_no_entry_ran_twice(&d).await;
    }

    pub(super) async fn claim_written_but_response_lost() {
        let d = Deployment::start(services_layout()).await;
        for n in 0..6 {
            let faults = ObjectFaults {
                lose_writes: 1 + n % 3,
                lose_prefix: String::from("claims/"),
                ..ObjectFaults::default()
            };
            d.post(d.objects(), "/fault", &faults).await;
            let key = format!("lost-{n}");
            let first = post_entry(&d.client, d.gateway(0), &key).await;
            let second = post_entry(&d.client, d.gateway(1), &key).await;
            assert_eq!(first.outcome, ReplyOutcome::Complete, "{first:?}");
            assert!(
                matches!(
                    second.outcome,
                    ReplyOutcome::Complete | ReplyOutcome::Unknown
                ),
                "{second:?}"
            );
            d.post(d.objects(), "/fault", &ObjectFaults::default())
                .await;
        }
        assert_eq!(assert_no_entry_ran_twice(&d).await, 6);
    }

    pub(super) async fn object_api_down() {
        let d = Deployment::start(services_layout()).await;
        let down = ObjectFaults {
            outage: true,
            ..ObjectFaults::default()
        };
        d.post(d.objects(), "/fault", &down).await;
        let refused = post_entry(&d.client, d.gateway(0), "down").await;
        assert_eq!(refused.outcome, ReplyOutcome::NotRun, "{refused:?}");
        assert!(refused.number("retry-after").is_some(), "{refused:?}");
        let path = "/v1/services/status/permits/1";
        let at = d.gateway(0);
        let read = client::send(&d.client, at, &Method::GET, path, &[], Bytes::new()).await;
        assert_eq!(
            read.outcome,
            ReplyOutcome::Complete,
            "a repeatable request needs no claim: {read:?}"
        );
        d.post(d.objects(), "/fault", &ObjectFaults::default())
            .await;
        let after = post_entry(&d.client, d.gateway(0), "down").await;
        assert_eq!(after.outcome, ReplyOutcome::Complete, "{after:?}");
        assert_eq!(assert_no_entry_ran_twice(&d).await, 1);
    }

    pub(super) async fn model_response_is_replayed() {
        let layout = Layout {
            engines: 1,
            services: 0,
            ..Layout::default()
        };
        let d = Deployment::start(layout).await;
        let request = CompletionRequest {
            key: Some(String::from("notice-7")),
            ..CompletionRequest::default()
        };
        let first = d.complete(0, &request).await;
        assert_eq!(first.outcome, ReplyOutcome::Complete, "{first:?}");
        let again = d.complete(2, &request).await;
        assert_eq!(again.outcome, ReplyOutcome::Complete, "{again:?}");
        assert_eq!(again.header("carobfield-replayed"), "true");
        assert!(again.text.contains(&first.text), "{again:?}");
        let other = CompletionRequest {
            prompt: String::from("another"),
            ..request
        };
        let reused = d.complete(1, &other).await;
        assert_eq!(
            (reused.status, reused.outcome),
            (422, ReplyOutcome::NotRun),
            "{reused:?}"
        );
        assert_eq!(checks::started(&d.all_logs().await).len(), 1);
    }

    pub(super) async fn service_loses_its_response() {
        let d = Deployment::start(services_layout()).await;
        for n in 0..2 {
            let faults = ServiceFaults {
                lose: 5,
                ..ServiceFaults::default()
            };
            d.post(d.service(n), "/fault", &faults).await;
        }
        for n in 0..4 {
            let key = format!("response-{n}");
            let first = post_entry(&d.client, d.gateway(0), &key).await;
            assert_eq!(first.outcome, ReplyOutcome::Unknown, "{first:?}");
            let second = post_entry(&d.client, d.gateway(1), &key).await;
            assert_eq!(second.outcome, ReplyOutcome::Unknown, "{second:?}");
        }
        assert_eq!(assert_no_entry_ran_twice(&d).await, 4);
    }
}
