//! Every response is complete, correct and delivered to its own caller, even when an engine misbehaves.

use carobfield_standin::{
    checks,
    client::{CompletionRequest, ReplyOutcome},
    engine::EngineFaults,
    harness::{Deployment, Role},
    layout::Layout,
    process_tests,
    run_log::LogKind,
    traffic::Traffic,
};

process_tests!(
    version_changes_under_load,
    response_from_another_model_is_an_error,
    late_duplicate_reordered_and_foreign_chunks,
    truncated_and_cut_responses_resume,
    gateway_or_dispatcher_killed_mid_stream,
);

/// Number of responses broken in each way.
const BROKEN_RESPONSES: u32 = 20;

fn one_engine() -> Layout {
    Layout {
        entries: 2,
        engines: 1,
        open_engines: 0,
        services: 0,
        ..Layout::default()
    }
}

/// Returns streaming and non-streaming requests, each with its own prompt.
fn mixed_request(caller: u64, n: u64) -> CompletionRequest {
    CompletionRequest {
        model: format!("adapter-{}@{}", (caller + n) % 3, 1 + (caller + n) % 2),
        prompt: format!("nonce {caller}/{n}"),
        tokens: 12 + (caller * 5 + n) % 20,
        stream: (caller + n).is_multiple_of(2),
        ..CompletionRequest::default()
    }
}

mod case {
    use super::{
        BROKEN_RESPONSES, CompletionRequest, Deployment, EngineFaults, Layout, LogKind,
        ReplyOutcome, Role, Traffic, checks, mixed_request, one_engine,
    };

    pub(super) async fn version_changes_under_load() {
        let d = Deployment::start(Layout {
            slots: 3,
            ..Layout::default()
        })
        .await;
        let request = |caller: u64, n: u64| CompletionRequest {
            model: match n % 3 {
                0 => String::from("adapter-1"),
                v => format!("adapter-1@{v}"),
            },
            prompt: format!("nonce {caller}/{n}"),
            stream: caller.is_multiple_of(2),
            ..CompletionRequest::default()
        };
        let traffic = Traffic::start(&d.gateways(), 9, request);
        let first = d.catalogue();
        let second = first.replace("current = 1", "current = 2");
        for revision in 1..7 {
            traffic.wait_for_more(&d, 60).await;
            let text = if revision % 2 == 1 { &second } else { &first };
            d.apply(revision, text)
                .await
                .expect("the catalogue is accepted");
        }
        let samples = traffic.finish().await;
        assert!(
            checks::wrong_replies(&samples).is_empty(),
            "{:?}",
            checks::wrong_replies(&samples).first()
        );
        assert_eq!(
            checks::count(&samples, ReplyOutcome::Complete),
            samples.len()
        );
        let count_current = |v: &str| {
            samples
                .iter()
                .filter(|s| {
                    s.request.model == "adapter-1"
                        && s.reply.header("carobfield-model") == format!("adapter-1@{v}")
                })
                .count()
        };
        assert!(
            count_current("1") > 0 && count_current("2") > 0,
            "both versions were current for a while"
        );
    }

    pub(super) async fn response_from_another_model_is_an_error() {
        let d = Deployment::start(one_engine()).await;
        d.post(
            d.engine(0),
            "/fault",
            &EngineFaults {
                wrong_model: 40,
                ..EngineFaults::default()
            },
        )
        .await;
        for n in 0..6 {
            let request = CompletionRequest {
                timeout: 4_000,
                ..mixed_request(1, n)
            };
            let reply = d.complete(0, &request).await;
            assert!(
                matches!(reply.outcome, ReplyOutcome::Unknown | ReplyOutcome::NotRun),
                "{reply:?}"
            );
            assert!(!reply.text.contains("somebody-else"), "{reply:?}");
        }
        d.post(d.engine(0), "/fault", &EngineFaults::default())
            .await;
        let reply = d.complete(0, &mixed_request(1, 9)).await;
        assert_eq!(reply.outcome, ReplyOutcome::Complete, "{reply:?}");
    }

    pub(super) async fn late_duplicate_reordered_and_foreign_chunks() {
        let d = Deployment::start(one_engine()).await;
        let faults = EngineFaults {
            duplicate: 60,
            reorder: 40,
            foreign: 60,
            late_ms: 3,
            ..EngineFaults::default()
        };
        d.post(d.engine(0), "/fault", &faults).await;
        let traffic = Traffic::start(&d.gateways(), 6, mixed_request);
        traffic.wait_for_more(&d, 120).await;
        let samples = traffic.finish().await;
        assert!(
            checks::wrong_replies(&samples).is_empty(),
            "{:?}",
            checks::wrong_replies(&samples).first()
        );
        assert_eq!(
            checks::count(&samples, ReplyOutcome::Complete),
            samples.len()
        );
    }

    pub(super) async fn truncated_and_cut_responses_resume() {
        let d = Deployment::start(one_engine()).await;
        let traffic = Traffic::start(&d.gateways(), 6, mixed_request);
        let truncate = EngineFaults {
            truncate: BROKEN_RESPONSES,
            ..EngineFaults::default()
        };
        let cut = EngineFaults {
            cut: BROKEN_RESPONSES,
            ..EngineFaults::default()
        };
        for faults in [truncate, cut] {
            traffic.wait_for_more(&d, 10).await;
            d.post(d.engine(0), "/fault", &faults).await;
            traffic.wait_for_more(&d, 60).await;
        }
        let samples = traffic.finish().await;
        assert!(
            checks::wrong_replies(&samples).is_empty(),
            "{:?}",
            checks::wrong_replies(&samples).first()
        );
        assert_eq!(
            checks::count(&samples, ReplyOutcome::Complete),
            samples.len()
        );
        let log = d.all_logs().await;
        let resumed = log.iter().filter(|e| e.kind == LogKind::Resume).count();
        assert_eq!(
            resumed as u32,
            2 * BROKEN_RESPONSES,
            "each broken response was resumed"
        );
    }

    pub(super) async fn gateway_or_dispatcher_killed_mid_stream() {
        let mut d = Deployment::start(Layout {
            step_us: 15_000,
            ..Layout::default()
        })
        .await;
        let traffic = Traffic::start(&d.gateways(), 9, mixed_request);
        for (role, n) in [
            (Role::Gateway, 1),
            (Role::Dispatcher, 2),
            (Role::Dispatcher, 0),
        ] {
            traffic.wait_for_more(&d, 40).await;
            d.kill(role, n);
            traffic.wait_for_more(&d, 10).await;
            d.start_role(role, n);
        }
        let samples = traffic.finish().await;
        assert!(
            checks::wrong_replies(&samples).is_empty(),
            "{:?}",
            checks::wrong_replies(&samples).first()
        );
        let complete = checks::count(&samples, ReplyOutcome::Complete);
        assert!(
            complete * 10 > samples.len() * 8,
            "{complete} of {}",
            samples.len()
        );
    }
}
