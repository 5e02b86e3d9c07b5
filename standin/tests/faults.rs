//! Poison requests, outages of the platform, and overload.

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
    outage_of_the_object_api,
    overload_keeps_its_goodput,
    engines_work_through_an_outage_with_restarts,
    a_claim_just_before_an_outage_outlives_a_restart,
    a_request_outlives_refusals_after_a_crash,
    a_restarting_engine_uses_up_no_retries,
);

fn plain(caller: u64, n: u64) -> CompletionRequest {
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
        ObjectFaults, ReplyOutcome, Role, Traffic, checks, client, plain,
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
        let traffic = Traffic::start(&d.gateways(), 6, plain);
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
        assert!((1..=2).contains(&crashes), "{crashes} engines lost");
        let bad = checks::incomplete(&samples);
        let wrong: Vec<_> = bad
            .iter()
            .filter(|s| !s.request.stream || s.reply.outcome != ReplyOutcome::Unknown)
            .collect();
        assert!(
            wrong.is_empty(),
            "only streams on a crashed engine may end early: {wrong:?}"
        );
        assert_eq!(checks::evictions_in_flight(&log), []);
    }

    /// A repeatable request is run again after a crash, although every engine refuses it for a while.
    pub(super) async fn a_request_outlives_refusals_after_a_crash() {
        let d = Deployment::start(Layout {
            engines: 4,
            open_engines: 0,
            services: 0,
            ..Layout::default()
        })
        .await;
        let warm = d.complete(0, &plain(0, 1)).await;
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
        let crash = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            for n in 0..4 {
                d.post(d.engine(n), "/fault", &refuse).await;
                d.post(d.engine(n), "/restart", &()).await;
            }
        };
        let (reply, ()) = tokio::join!(d.complete(0, &long), crash);
        assert_eq!(reply.outcome, ReplyOutcome::Complete, "{reply:?}");
    }

    /// Requests that a restarting engine refuses leave a retry to the one that it lost.
    pub(super) async fn a_restarting_engine_uses_up_no_retries() {
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
        let others = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            let engine = warm.headers["carobfield-upstream"]
                .to_str()
                .expect("a name");
            let n = engine.trim_start_matches("engine-").parse();
            d.post(d.engine(n.expect("a number")), "/restart", &())
                .await;
            let mut asked = Vec::new();
            for _ in 0..20 {
                let (http, gateway, ask) = (d.client.clone(), d.gateway(0), short.clone());
                asked.push(tokio::spawn(async move {
                    client::complete(&http, gateway, &ask).await
                }));
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            for task in asked {
                let reply = task.await.expect("the caller ends");
                assert_eq!(reply.outcome, ReplyOutcome::Complete, "{reply:?}");
            }
        };
        let (reply, ()) = tokio::join!(d.complete(0, &long), others);
        assert_eq!(reply.outcome, ReplyOutcome::Complete, "{reply:?}");
    }

    pub(super) async fn outage_of_the_object_api() {
        let layout = Layout {
            slots: 2,
            ..Layout::default()
        };
        let d = Deployment::start(layout).await;
        let traffic = Traffic::start(&d.gateways(), 8, plain);
        traffic.wait_for_more(&d, 100).await;
        // Long enough for the stable sets to be written.
        tokio::time::sleep(Duration::from_secs(7)).await;
        let down = ObjectFaults {
            outage: true,
            ..ObjectFaults::default()
        };
        d.post(d.objects(), "/fault", &down).await;
        let from = traffic.len();
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let before = traffic.len();
            tokio::time::sleep(Duration::from_secs(2)).await;
            assert!(
                traffic.len() > before,
                "requests are served all through the outage"
            );
        }
        d.post(d.objects(), "/fault", &ObjectFaults::default())
            .await;
        traffic.wait_for_more(&d, 100).await;
        let samples = traffic.finish().await;
        let log = d.all_logs().await;
        assert_eq!(checks::evictions_in_flight(&log), []);
        let bad = checks::incomplete(&samples[from..]);
        assert!(
            bad.is_empty(),
            "{} of {}: {:?}",
            bad.len(),
            samples.len() - from,
            bad.first()
        );
    }

    pub(super) async fn engines_work_through_an_outage_with_restarts() {
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
                        ..plain(1, u64::from(n))
                    },
                )
                .await;
            served += u32::from(reply.outcome == ReplyOutcome::Complete);
        }
        assert_eq!(
            served, 6,
            "requests are served with every dispatcher restarted in the outage"
        );
    }

    /// Other dispatchers know of a claim before they next read the fleet, and tell the claimer's next process.
    pub(super) async fn a_claim_just_before_an_outage_outlives_a_restart() {
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
        // A claimer that is killed before its word has left is known to the object API alone.
        let other = (0..3).find(|n| ![first, claimer].contains(n));
        let other = other.expect("three dispatchers");
        d.wait_for("the other dispatcher to know of the claim", || async {
            d.generation(other, "engine-0").await == 2_000
        })
        .await;
        d.kill(Role::Dispatcher, claimer);
        d.start_role(Role::Dispatcher, claimer);
        d.wait_for("the claimer to go on", || async {
            d.held(claimer).await == ["engine-0"]
        })
        .await;
    }

    /// Answers a second of `callers` callers within `window`.
    async fn goodput(d: &Deployment, callers: u64, window: Duration) -> (f64, f64) {
        let hurried = |caller: u64, n: u64| CompletionRequest {
            timeout: 2_000,
            ..plain(caller, n)
        };
        let traffic = Traffic::start(&d.gateways(), callers, hurried);
        tokio::time::sleep(Duration::from_secs(2)).await;
        let from = traffic.len();
        tokio::time::sleep(window).await;
        let within = traffic.samples();
        let served = checks::count(&within[from..], ReplyOutcome::Complete);
        let all = traffic.finish().await;
        let tries: usize = all.iter().map(|s| s.refusals.len()).sum();
        (
            served as f64 / window.as_secs_f64(),
            tries as f64 / all.len() as f64,
        )
    }

    pub(super) async fn overload_keeps_its_goodput() {
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
