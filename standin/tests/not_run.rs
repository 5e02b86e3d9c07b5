//! A request refused with "not run" has not been run by any upstream.

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

fn small_layout() -> Layout {
    Layout {
        engines: 2,
        open_engines: 1,
        slots: 2,
        batch: 4,
        services: 0,
        ..Layout::default()
    }
}

/// Returns requests most of which can't be served before their deadlines.
fn short_deadline(caller: u64, n: u64) -> CompletionRequest {
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
        CompletionRequest, Deployment, EngineFaults, ReplyOutcome, Role, Traffic, checks,
        short_deadline, small_layout,
    };

    pub(super) async fn kills_at_each_hop() {
        let mut d = Deployment::start(small_layout()).await;
        let traffic = Traffic::start(&d.gateways(), 10, |caller, n| CompletionRequest {
            timeout: 3_000,
            ..short_deadline(caller, n)
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
        let false_refusals = checks::false_refusals(&samples, &log);
        assert!(false_refusals.is_empty(), "{:?}", false_refusals.first());
    }

    pub(super) async fn deadlines_and_overload() {
        let d = Deployment::start(small_layout()).await;
        let traffic = Traffic::start(&d.gateways(), 60, short_deadline);
        traffic.wait_for_more(&d, 600).await;
        let samples = traffic.finish().await;
        let log = d.all_logs().await;
        let false_refusals = checks::false_refusals(&samples, &log);
        assert!(false_refusals.is_empty(), "{:?}", false_refusals.first());
        let refused = checks::refusals(&samples);
        assert!(refused.len() > 50, "too few refusals: {}", refused.len());
        for reply in refused {
            assert!(reply.number("retry-after").is_some(), "{reply:?}");
        }
        assert!(checks::wrong_replies(&samples).is_empty());
    }

    pub(super) async fn engine_refusals_and_failed_loads() {
        let d = Deployment::start(small_layout()).await;
        let faults = EngineFaults {
            refuse: 60,
            load_fail: 10,
            fail_models: vec![String::from("adapter-3@1")],
            ..EngineFaults::default()
        };
        for n in 0..2 {
            d.post(d.engine(n), "/fault", &faults).await;
        }
        let long_deadline = |caller: u64, n: u64| CompletionRequest {
            timeout: 4_000,
            ..short_deadline(caller, n)
        };
        let traffic = Traffic::start(&d.gateways(), 8, long_deadline);
        traffic.wait_for_more(&d, 200).await;
        let samples = traffic.finish().await;
        let log = d.all_logs().await;
        let false_refusals = checks::false_refusals(&samples, &log);
        assert!(false_refusals.is_empty(), "{:?}", false_refusals.first());
        let mut failing = samples.iter().filter(|s| s.request.model == "adapter-3@1");
        assert!(
            failing
                .clone()
                .all(|s| s.reply.outcome == ReplyOutcome::NotRun),
            "{:?}",
            failing.next_back()
        );
        let recent = samples
            .iter()
            .rev()
            .filter(|s| s.request.model != "adapter-3@1")
            .take(20);
        assert!(
            recent
                .clone()
                .all(|s| s.reply.outcome == ReplyOutcome::Complete),
            "{:?}",
            recent.last()
        );
    }
}
