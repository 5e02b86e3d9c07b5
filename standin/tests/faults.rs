//! Poison requests, platform outages and overload.

use carobfield_standin::{
    checks,
    client::{self, CompletionRequest, ReplyOutcome},
    engine::EngineFaults,
    harness::{Deployment, Role},
    layout::Layout,
    object_api::ObjectFaults,
    process_tests,
    run_log::LogKind,
    traffic::Traffic,
};
use std::time::{Duration, Instant};

process_tests!(
    poison_request,
    object_api_outage,
    goodput_holds_under_overload,
    engines_serve_during_outage_with_restarts,
    claim_before_outage_survives_restart,
    request_survives_refusals_after_crash,
    restarting_engine_leaves_retry_budget,
);

fn simple_request(caller: u64, n: u64) -> CompletionRequest {
    CompletionRequest {
        model: format!("adapter-{}@1", (caller + n) % 6),
        prompt: format!("nonce {caller}/{n}"),
        stream: n.is_multiple_of(2),
        ..CompletionRequest::default()
    }
}

mod case {
    use super::{
        CompletionRequest, Deployment, Duration, EngineFaults, Instant, Layout, LogKind,
        ObjectFaults, ReplyOutcome, Role, Traffic, checks, client, simple_request,
    };

    pub(super) async fn poison_request() {
        let d = Deployment::start(Layout {
            engines: 5,
            open_engines: 2,
            ..Layout::default()
        })
        .await;
        let faults = EngineFaults {
            crash_on: String::from("crash-me"),
            ..EngineFaults::default()
        };
        for n in 0..5 {
            d.post(d.engine(n), "/fault", &faults).await;
        }
        let traffic = Traffic::start(&d.gateways(), 6, simple_request);
        traffic.wait_for_more(&d, 60).await;
        let poison = CompletionRequest {
            prompt: String::from("crash-me"),
            ..CompletionRequest::default()
        };
        for n in 0..9 {
            let started = Instant::now();
            let reply = d.complete(n % 3, &poison).await;
            assert_ne!(reply.outcome, ReplyOutcome::Complete, "{reply:?}");
            if n > 0 {
                assert_eq!(
                    (reply.status, reply.outcome),
                    (422, ReplyOutcome::NotRun),
                    "{reply:?}"
                );
                assert!(
                    started.elapsed() < Duration::from_secs(1),
                    "{:?}",
                    started.elapsed()
                );
            }
        }
        traffic.wait_for_more(&d, 60).await;
        let samples = traffic.finish().await;
        let log = d.all_logs().await;
        let crashes = log.iter().filter(|e| e.kind == LogKind::Crash).count();
        assert!((1..=2).contains(&crashes), "{crashes} engines crashed");
        let bad = checks::incomplete(&samples);
        let unexpected: Vec<_> = bad
            .iter()
            .filter(|s| !s.request.stream || s.reply.outcome != ReplyOutcome::Unknown)
            .collect();
        assert!(
            unexpected.is_empty(),
            "only streams on a crashed engine may end early: {unexpected:?}"
        );
        assert_eq!(checks::evictions_in_flight(&log), []);
    }

    /// A repeatable request is retried after a crash even if every engine refuses it for a while.
    pub(super) async fn request_survives_refusals_after_crash() {
        let d = Deployment::start(Layout {
            engines: 4,
            open_engines: 0,
            services: 0,
            ..Layout::default()
        })
        .await;
        let warm = d.complete(0, &simple_request(0, 1)).await;
        assert_eq!(warm.outcome, ReplyOutcome::Complete, "{warm:?}");
        let long = CompletionRequest {
            model: String::from("adapter-1@1"),
            tokens: 200,
            ..CompletionRequest::default()
        };
        let refuse = EngineFaults {
            refuse: 2,
            ..EngineFaults::default()
        };
        let restarts = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            for n in 0..4 {
                d.post(d.engine(n), "/fault", &refuse).await;
                d.post(d.engine(n), "/restart", &()).await;
            }
        };
        let (reply, ()) = tokio::join!(d.complete(0, &long), restarts);
        assert_eq!(reply.outcome, ReplyOutcome::Complete, "{reply:?}");
    }

    /// Requests that a restarting engine refuses leave retry budget for the request that its restart interrupted.
    pub(super) async fn restarting_engine_leaves_retry_budget() {
        let d = Deployment::start(Layout {
            engines: 2,
            open_engines: 0,
            services: 0,
            ..Layout::default()
        })
        .await;
        let short = CompletionRequest {
            model: String::from("adapter-1@1"),
            ..CompletionRequest::default()
        };
        let warm = d.complete(0, &short).await;
        assert_eq!(warm.outcome, ReplyOutcome::Complete, "{warm:?}");
        let long = CompletionRequest {
            tokens: 200,
            ..short.clone()
        };
        let restart_and_refusals = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            let engine = warm.headers["carobfield-upstream"]
                .to_str()
                .expect("a name");
            let n = engine.trim_start_matches("engine-").parse();
            d.post(d.engine(n.expect("a number")), "/restart", &())
                .await;
            let mut requests = Vec::new();
            for _ in 0..20 {
                let (http, gateway, request) = (d.client.clone(), d.gateway(0), short.clone());
                requests.push(tokio::spawn(async move {
                    client::complete(&http, gateway, &request).await
                }));
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            for task in requests {
                let reply = task.await.expect("the request task does not panic");
                assert_eq!(reply.outcome, ReplyOutcome::Complete, "{reply:?}");
            }
        };
        let (reply, ()) = tokio::join!(d.complete(0, &long), restart_and_refusals);
        assert_eq!(reply.outcome, ReplyOutcome::Complete, "{reply:?}");
    }

    pub(super) async fn object_api_outage() {
        let layout = Layout {
            slots: 2,
            ..Layout::default()
        };
        let d = Deployment::start(layout).await;
        let traffic = Traffic::start(&d.gateways(), 8, simple_request);
        traffic.wait_for_more(&d, 100).await;
        // Long enough for the stable sets to be written.
        tokio::time::sleep(Duration::from_secs(7)).await;
        let down = ObjectFaults {
            outage: true,
            ..ObjectFaults::default()
        };
        d.post(d.objects(), "/fault", &down).await;
        let first = traffic.len();
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let before = traffic.len();
            tokio::time::sleep(Duration::from_secs(2)).await;
            assert!(
                traffic.len() > before,
                "requests are served throughout the outage"
            );
        }
        d.post(d.objects(), "/fault", &ObjectFaults::default())
            .await;
        traffic.wait_for_more(&d, 100).await;
        let samples = traffic.finish().await;
        let log = d.all_logs().await;
        assert_eq!(checks::evictions_in_flight(&log), []);
        let bad = checks::incomplete(&samples[first..]);
        assert!(
            bad.is_empty(),
            "{} of {}: {:?}",
            bad.len(),
            samples.len() - first,
            bad.first()
        );
    }

    pub(super) async fn engines_serve_during_outage_with_restarts() {
        let layout = Layout {
            engines: 2,
            open_engines: 0,
            services: 0,
            ..Layout::default()
        };
        let mut d = Deployment::start(layout).await;
        let down = ObjectFaults {
            outage: true,
            ..ObjectFaults::default()
        };
        d.post(d.objects(), "/fault", &down).await;
        for n in 0..3 {
            d.kill(Role::Gateway, n);
            d.start_role(Role::Gateway, n);
            d.wait_gateway(n).await;
        }
        for n in 0..3 {
            d.kill(Role::Dispatcher, n);
            d.start_role(Role::Dispatcher, n);
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
        let mut served = 0;
        for n in 0..6 {
            let reply = d
                .complete(
                    n % 3,
                    &CompletionRequest {
                        timeout: 5_000,
                        ..simple_request(1, u64::from(n))
                    },
                )
                .await;
            served += u32::from(reply.outcome == ReplyOutcome::Complete);
        }
        assert_eq!(
            served, 6,
            "requests are served with every dispatcher restarted during the outage"
        );
    }

    /// Peers learn of a claim before they next poll the fleet records, and pass it on to the claimer's restarted
    /// process.
    pub(super) async fn claim_before_outage_survives_restart() {
        let layout = Layout {
            engines: 1,
            open_engines: 0,
            services: 0,
            ..Layout::default()
        };
        let mut d = Deployment::start(layout).await;
        let first = d.holder("engine-0").await.expect("a holder");
        d.kill(Role::Dispatcher, first);
        let claimer = loop {
            match d.holder("engine-0").await {
                Some(n) => break n,
                None => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        };
        let down = ObjectFaults {
            outage: true,
            ..ObjectFaults::default()
        };
        d.post(d.objects(), "/fault", &down).await;
        // Until the claimer has notified its peers, only the object API knows of the claim.
        let other = (0..3).find(|n| ![first, claimer].contains(n));
        let other = other.expect("three dispatchers");
        d.wait_for("the other dispatcher to learn of the claim", || async {
            d.generation(other, "engine-0").await == 2_000
        })
        .await;
        d.kill(Role::Dispatcher, claimer);
        d.start_role(Role::Dispatcher, claimer);
        d.wait_for("the claimer to resume its claim", || async {
            d.held(claimer).await == ["engine-0"]
        })
        .await;
    }

    /// Measures `callers` callers over `window`: completed requests per second, and refusals per request.
    async fn goodput(d: &Deployment, callers: u64, window: Duration) -> (f64, f64) {
        let short_deadline = |caller: u64, n: u64| CompletionRequest {
            timeout: 2_000,
            ..simple_request(caller, n)
        };
        let traffic = Traffic::start(&d.gateways(), callers, short_deadline);
        tokio::time::sleep(Duration::from_secs(2)).await;
        let first = traffic.len();
        tokio::time::sleep(window).await;
        let samples = traffic.samples();
        let served = checks::count(&samples[first..], ReplyOutcome::Complete);
        let all = traffic.finish().await;
        let refusals: usize = all.iter().map(|s| s.refusals.len()).sum();
        (
            served as f64 / window.as_secs_f64(),
            refusals as f64 / all.len() as f64,
        )
    }

    pub(super) async fn goodput_holds_under_overload() {
        let layout = Layout {
            engines: 2,
            open_engines: 0,
            slots: 6,
            batch: 4,
            services: 0,
            ..Layout::default()
        };
        let d = Deployment::start(layout).await;
        let window = Duration::from_secs(6);
        let (peak, _) = goodput(&d, 10, window).await;
        let (over, _) = goodput(&d, 60, window).await;
        assert!(
            over >= 0.9 * peak,
            "{over:.1} a second at overload, {peak:.1} at the peak"
        );
        let mut attempts = 0;
        let mut requests = 0;
        for n in 0..3 {
            let log = d.log(Role::Gateway, n);
            attempts += log.matches("routing: chosen").count();
            requests += log
                .lines()
                .filter(|l| l.contains("chosen") && l.contains("attempt=1 "))
                .count();
        }
        let retries = attempts - requests;
        assert!(
            retries * 10 <= requests,
            "{retries} retries of {requests} requests"
        );
    }
}
