//! Each answer is whole, exact, and its own caller's, also when the engine misbehaves.

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
    versions_move_under_load,
    another_model_is_an_error,
    parts_late_repeated_reordered_and_foreign,
    truncated_and_cut_answers_resume,
    gateway_or_dispatcher_killed_mid_stream,
);

/// Answers that are broken in each way.
const BROKEN: u32 = 20;

fn one_engine() -> Layout {
    Layout {
        entries: 2,
        engines: 1,
        open_engines: 0,
        services: 0,
        ..Layout::default()
    }
}

/// Streamed and whole requests with a prompt of their own.
fn mixed(caller: u64, n: u64) -> CompletionRequest {
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
        BROKEN, CompletionRequest, Deployment, EngineFaults, Layout, LogKind, ReplyOutcome, Role,
        Traffic, checks, mixed, one_engine,
    };

    pub(super) async fn versions_move_under_load() {
        let d = Deployment::start(Layout {
            slots: 3,
            ..Layout::default()
        })
        .await;
        let bare = |caller: u64, n: u64| CompletionRequest {
            model: match n % 3 {
                0 => String::from("adapter-1"),
                v => format!("adapter-1@{v}"),
            },
            prompt: format!("nonce {caller}/{n}"),
            stream: caller.is_multiple_of(2),
            ..CompletionRequest::default()
        };
        let traffic = Traffic::start(&d.gateways(), 9, bare);
        let first = d.catalogue();
        let second = first.replace("current = 1", "current = 2");
        for revision in 1..7 {
            traffic.wait_for_more(&d, 60).await;
            let text = if revision % 2 == 1 { &second } else { &first };
            d.apply(revision, text)
                .await
                .expect("the catalogue applies");
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
        let current = |v: &str| {
            samples
                .iter()
                .filter(|s| {
                    s.request.model == "adapter-1"
                        && s.reply.header("carobfield-model") == format!("adapter-1@{v}")
                })
                .count()
        };
        assert!(
            current("1") > 0 && current("2") > 0,
            "both versions were current for a while"
        );
    }

    pub(super) async fn another_model_is_an_error() {
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
            let ask = CompletionRequest {
                timeout: 4_000,
                ..mixed(1, n)
            };
            let reply = d.complete(0, &ask).await;
            assert!(
                matches!(reply.outcome, ReplyOutcome::Unknown | ReplyOutcome::NotRun),
                "{reply:?}"
            );
            assert!(!reply.text.contains("somebody-else"), "{reply:?}");
        }
        d.post(d.engine(0), "/fault", &EngineFaults::default())
            .await;
        let reply = d.complete(0, &mixed(1, 9)).await;
        assert_eq!(reply.outcome, ReplyOutcome::Complete, "{reply:?}");
    }

    pub(super) async fn parts_late_repeated_reordered_and_foreign() {
        let d = Deployment::start(one_engine()).await;
        let faults = EngineFaults {
            duplicate: 60,
            reorder: 40,
            foreign: 60,
            late_ms: 3,
            ..EngineFaults::default()
        };
        d.post(d.engine(0), "/fault", &faults).await;
        let traffic = Traffic::start(&d.gateways(), 6, mixed);
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

    pub(super) async fn truncated_and_cut_answers_resume() {
        let d = Deployment::start(one_engine()).await;
        let traffic = Traffic::start(&d.gateways(), 6, mixed);
        let truncate = EngineFaults {
            truncate: BROKEN,
            ..EngineFaults::default()
        };
        let cut = EngineFaults {
            cut: BROKEN,
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
        assert_eq!(resumed as u32, 2 * BROKEN, "each broken answer was resumed");
    }

    pub(super) async fn gateway_or_dispatcher_killed_mid_stream() {
        let mut d = Deployment::start(Layout {
            step_us: 15_000,
            ..Layout::default()
        })
        .await;
        let traffic = Traffic::start(&d.gateways(), 9, mixed);
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
        let whole = checks::count(&samples, ReplyOutcome::Complete);
        assert!(
            whole * 10 > samples.len() * 8,
            "{whole} of {}",
            samples.len()
        );
    }
}
