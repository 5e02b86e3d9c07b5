//! When a request is refused with "not run", no upstream has run it.

use carobfield_standin::{
    checks,
    client::{CompletionRequest, ReplyOutcome},
    engine::EngineFaults,
    harness::{Deployment, Role},
    layout::Layout,
    process_tests,
    traffic::Traffic,
};

process_tests!(
    kills_at_each_hop,
    deadlines_and_overload,
    engine_refusals_and_failed_loads
);

fn small() -> Layout {
    Layout {
        engines: 2,
        open_engines: 1,
        slots: 2,
        batch: 4,
        services: 0,
        ..Layout::default()
    }
}

/// Requests that mostly can't be met in time.
fn hurried(caller: u64, n: u64) -> CompletionRequest {
    CompletionRequest {
        model: format!("adapter-{}@1", (caller + n) % 8),
        prompt: format!("nonce {caller}/{n}"),
        tokens: 20,
        timeout: 150 + (caller * 37 + n * 61) % 600,
        stream: n.is_multiple_of(2),
        ..CompletionRequest::default()
    }
}

mod case {
    use super::{
        CompletionRequest, Deployment, EngineFaults, ReplyOutcome, Role, Traffic, checks, hurried,
        small,
    };

    pub(super) async fn kills_at_each_hop() {
        let mut d = Deployment::start(small()).await;
        let traffic = Traffic::start(&d.gateways(), 10, |caller, n| CompletionRequest {
            timeout: 3_000,
            ..hurried(caller, n)
        });
        for round in 0..2 {
            for role in [Role::Dispatcher, Role::Gateway] {
                traffic.wait_for_more(&d, 40).await;
                d.kill(role, round);
                traffic.wait_for_more(&d, 20).await;
                d.start_role(role, round);
            }
        }
        let samples = traffic.finish().await;
        let log = d.all_logs().await;
        let lies = checks::false_refusals(&samples, &log);
        assert!(lies.is_empty(), "{:?}", lies.first());
    }

    pub(super) async fn deadlines_and_overload() {
        let d = Deployment::start(small()).await;
        let traffic = Traffic::start(&d.gateways(), 60, hurried);
        traffic.wait_for_more(&d, 600).await;
        let samples = traffic.finish().await;
        let log = d.all_logs().await;
        let lies = checks::false_refusals(&samples, &log);
        assert!(lies.is_empty(), "{:?}", lies.first());
        let refused = checks::refusals(&samples);
        assert!(refused.len() > 50, "the run must refuse: {}", refused.len());
        for reply in refused {
            assert!(reply.number("retry-after").is_some(), "{reply:?}");
        }
        assert!(checks::wrong_replies(&samples).is_empty());
    }

    pub(super) async fn engine_refusals_and_failed_loads() {
        let d = Deployment::start(small()).await;
        let faults = EngineFaults {
            refuse: 60,
            load_fail: 10,
            fail_models: vec![String::from("adapter-3@1")],
            ..EngineFaults::default()
        };
        for n in 0..2 {
            d.post(d.engine(n), "/fault", &faults).await;
        }
        let patient = |caller: u64, n: u64| CompletionRequest {
            timeout: 4_000,
            ..hurried(caller, n)
        };
        let traffic = Traffic::start(&d.gateways(), 8, patient);
        traffic.wait_for_more(&d, 200).await;
        let samples = traffic.finish().await;
        let log = d.all_logs().await;
        let lies = checks::false_refusals(&samples, &log);
        assert!(lies.is_empty(), "{:?}", lies.first());
        let mut always = samples.iter().filter(|s| s.request.model == "adapter-3@1");
        assert!(
            always
                .clone()
                .all(|s| s.reply.outcome == ReplyOutcome::NotRun),
            "{:?}",
            always.next_back()
        );
        let last = samples
            .iter()
            .rev()
            .filter(|s| s.request.model != "adapter-3@1")
            .take(20);
        assert!(
            last.clone()
                .all(|s| s.reply.outcome == ReplyOutcome::Complete),
            "{:?}",
            last.last()
        );
    }
}
