//! An adapter that is serving a request is never evicted from its engine.

use carobfield_standin::{
    checks,
    client::{CompletionRequest, ReplyOutcome},
    engine::EngineFaults,
    harness::{Deployment, Role},
    layout::Layout,
    object_api::ObjectFaults,
    process_tests,
    traffic::Traffic,
};
use rustix::process::Signal;
use std::time::Duration;

process_tests!(
    churn_with_few_slots,
    frozen_holder_of_engine_with_fencing,
    frozen_holder_of_engine_without_fencing,
    holder_partitioned_from_object_api,
    engine_restarts_empty_under_load,
    two_dispatchers_with_one_name,
);

/// Returns requests for more adapters than there are slots, with streams long enough to overlap evictions.
fn churn_request(caller: u64, n: u64) -> CompletionRequest {
    CompletionRequest {
        model: format!("adapter-{}@1", (caller * 7 + n * 5) % 12),
        prompt: format!("caller {caller} request {n}"),
        tokens: 20 + (caller * 13 + n * 3) % 40,
        stream: n.is_multiple_of(2),
        ..CompletionRequest::default()
    }
}

mod case {
    use super::{
        Deployment, Duration, EngineFaults, Layout, ObjectFaults, ReplyOutcome, Role, Signal,
        Traffic, checks, churn_request,
    };

    pub(super) async fn churn_with_few_slots() {
        let layout = Layout {
            engines: 2,
            open_engines: 1,
            slots: 2,
            ..Layout::default()
        };
        let d = Deployment::start(layout).await;
        let traffic = Traffic::start(&d.gateways(), 12, churn_request);
        traffic.wait_for_more(&d, 300).await;
        let samples = traffic.finish().await;
        let log = d.all_logs().await;
        assert!(
            checks::evictions(&log) > 30,
            "too few evictions: {}",
            checks::evictions(&log)
        );
        assert_eq!(checks::evictions_in_flight(&log), []);
        assert!(checks::wrong_replies(&samples).is_empty());
        assert_eq!(checks::count(&samples, ReplyOutcome::Broken), 0);
    }

    /// Freezes the holder of the only engine while an eviction order is pending, lets another dispatcher take
    /// over, and resumes the frozen one.
    async fn freeze_holder(open_engines: u8) {
        let layout = Layout {
            engines: 1,
            open_engines,
            services: 0,
            slots: 2,
            ..Layout::default()
        };
        let mut d = Deployment::start(layout).await;
        let traffic = Traffic::start(&d.gateways(), 8, churn_request);
        traffic.wait_for_more(&d, 60).await;
        let holder = d.holder("engine-0").await.expect("the engine has a holder");
        let slow_orders = EngineFaults {
            order_ms: 300,
            ..EngineFaults::default()
        };
        d.post(d.engine(0), "/fault", &slow_orders).await;
        let log_start = d.log(Role::Dispatcher, holder).len();
        d.wait_log(
            Role::Dispatcher,
            holder,
            log_start,
            &["placement: load", "victim=adapter"],
        )
        .await;
        d.signal(Role::Dispatcher, holder, Signal::STOP);
        d.post(d.engine(0), "/fault", &EngineFaults::default())
            .await;
        let others: Vec<u8> = (0..3).filter(|n| *n != holder).collect();
        d.wait_for("another holder", || async {
            let mut found = false;
            for n in &others {
                found |= d.held(*n).await.iter().any(|u| u == "engine-0");
            }
            found
        })
        .await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        d.signal(Role::Dispatcher, holder, Signal::CONT);
        traffic.wait_for_more(&d, 100).await;
        let samples = traffic.finish().await;
        let log = d.all_logs().await;
        assert_eq!(checks::evictions_in_flight(&log), []);
        assert!(checks::wrong_replies(&samples).is_empty());
    }

    pub(super) async fn frozen_holder_of_engine_with_fencing() {
        freeze_holder(0).await;
    }

    pub(super) async fn frozen_holder_of_engine_without_fencing() {
        freeze_holder(1).await;
    }

    pub(super) async fn holder_partitioned_from_object_api() {
        let layout = Layout {
            engines: 2,
            open_engines: 1,
            slots: 2,
            services: 0,
            ..Layout::default()
        };
        let d = Deployment::start(layout).await;
        let traffic = Traffic::start(&d.gateways(), 8, churn_request);
        traffic.wait_for_more(&d, 60).await;
        let holder = d.holder("engine-1").await.expect("the engine has a holder");
        let cut = vec![d.dispatcher_link(holder).ip()];
        let faults = ObjectFaults {
            cut,
            ..ObjectFaults::default()
        };
        d.post(d.objects(), "/fault", &faults).await;
        d.wait_for("another holder", || async {
            let now = d.holder("engine-1").await;
            now.is_some_and(|n| n != holder)
        })
        .await;
        traffic.wait_for_more(&d, 60).await;
        d.post(d.objects(), "/fault", &ObjectFaults::default())
            .await;
        traffic.wait_for_more(&d, 60).await;
        let samples = traffic.finish().await;
        let log = d.all_logs().await;
        assert_eq!(checks::evictions_in_flight(&log), []);
        assert!(checks::wrong_replies(&samples).is_empty());
    }

    pub(super) async fn engine_restarts_empty_under_load() {
        let layout = Layout {
            engines: 2,
            open_engines: 1,
            slots: 2,
            services: 0,
            ..Layout::default()
        };
        let d = Deployment::start(layout).await;
        let traffic = Traffic::start(&d.gateways(), 8, churn_request);
        for n in 0..2 {
            traffic.wait_for_more(&d, 60).await;
            d.post(d.engine(n), "/restart", &()).await;
        }
        traffic.wait_for_more(&d, 100).await;
        let samples = traffic.finish().await;
        let log = d.all_logs().await;
        assert_eq!(checks::evictions_in_flight(&log), []);
        assert!(checks::wrong_replies(&samples).is_empty());
        let mut recent = samples.iter().rev().take(40);
        assert!(
            recent
                .clone()
                .all(|s| s.reply.outcome == ReplyOutcome::Complete),
            "{:?}",
            recent.next_back()
        );
    }

    pub(super) async fn two_dispatchers_with_one_name() {
        let layout = Layout {
            engines: 2,
            open_engines: 1,
            slots: 2,
            services: 0,
            ..Layout::default()
        };
        let mut d = Deployment::start(layout).await;
        let traffic = Traffic::start(&d.gateways(), 6, churn_request);
        traffic.wait_for_more(&d, 40).await;
        // Restart the third dispatcher under the name of the first.
        d.kill(Role::Dispatcher, 2);
        d.rename_dispatcher(2, 0);
        d.start_role(Role::Dispatcher, 2);
        let code = d
            .wait_exit(Role::Dispatcher, 0, Duration::from_secs(20))
            .await;
        assert_eq!(code, Some(1), "the earlier process exits with an error");
        d.wait_log(Role::Dispatcher, 0, 0, &["another process"])
            .await;
        d.wait_for("both engines to be held", || async {
            d.holder("engine-0").await.is_some() && d.holder("engine-1").await.is_some()
        })
        .await;
        traffic.wait_for_more(&d, 60).await;
        let samples = traffic.finish().await;
        let log = d.all_logs().await;
        assert_eq!(checks::evictions_in_flight(&log), []);
        assert!(checks::wrong_replies(&samples).is_empty());
    }
}
