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
    frozen_holder_of_a_checking_engine,
    frozen_holder_of_an_open_engine,
    holder_cut_from_the_object_api,
    engine_restarts_empty_under_load,
    two_dispatchers_of_one_name,
);

/// More adapters than slots, and streams long enough to be caught by an eviction.
fn churn(caller: u64, n: u64) -> CompletionRequest {
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
        Traffic, checks, churn,
    };

    pub(super) async fn churn_with_few_slots() {
        let layout = Layout {
            engines: 2,
            open_engines: 1,
            slots: 2,
            ..Layout::default()
        };
        let d = Deployment::start(layout).await;
        let traffic = Traffic::start(&d.gateways(), 12, churn);
        traffic.wait_for_more(&d, 300).await;
        let samples = traffic.finish().await;
        let log = d.all_logs().await;
        assert!(
            checks::evictions(&log) > 30,
            "the run must evict: {}",
            checks::evictions(&log)
        );
        assert_eq!(checks::evictions_in_flight(&log), []);
        assert!(checks::wrong_replies(&samples).is_empty());
        assert_eq!(checks::count(&samples, ReplyOutcome::Broken), 0);
    }

    /// Freezes the holder of the only engine with an eviction on its way, lets another take over, and
    /// thaws it.
    async fn freeze_holder(open: u8) {
        let layout = Layout {
            engines: 1,
            open_engines: open,
            services: 0,
            slots: 2,
            ..Layout::default()
        };
        let mut d = Deployment::start(layout).await;
        let traffic = Traffic::start(&d.gateways(), 8, churn);
        traffic.wait_for_more(&d, 60).await;
        let holder = d.holder("engine-0").await.expect("the engine is held");
        let held = EngineFaults {
            order_ms: 300,
            ..EngineFaults::default()
        };
        d.post(d.engine(0), "/fault", &held).await;
        let from = d.log(Role::Dispatcher, holder).len();
        d.wait_log(
            Role::Dispatcher,
            holder,
            from,
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

    pub(super) async fn frozen_holder_of_a_checking_engine() {
        freeze_holder(0).await;
    }

    pub(super) async fn frozen_holder_of_an_open_engine() {
        freeze_holder(1).await;
    }

    pub(super) async fn holder_cut_from_the_object_api() {
        let layout = Layout {
            engines: 2,
            open_engines: 1,
            slots: 2,
            services: 0,
            ..Layout::default()
        };
        let d = Deployment::start(layout).await;
        let traffic = Traffic::start(&d.gateways(), 8, churn);
        traffic.wait_for_more(&d, 60).await;
        let holder = d.holder("engine-1").await.expect("the engine is held");
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
        let traffic = Traffic::start(&d.gateways(), 8, churn);
        for n in 0..2 {
            traffic.wait_for_more(&d, 60).await;
            d.post(d.engine(n), "/restart", &()).await;
        }
        traffic.wait_for_more(&d, 100).await;
        let samples = traffic.finish().await;
        let log = d.all_logs().await;
        assert_eq!(checks::evictions_in_flight(&log), []);
        assert!(checks::wrong_replies(&samples).is_empty());
        let mut last = samples.iter().rev().take(40);
        assert!(
            last.clone()
                .all(|s| s.reply.outcome == ReplyOutcome::Complete),
            "{:?}",
            last.next_back()
        );
    }

    pub(super) async fn two_dispatchers_of_one_name() {
        let layout = Layout {
            engines: 2,
            open_engines: 1,
            slots: 2,
            services: 0,
            ..Layout::default()
        };
        let mut d = Deployment::start(layout).await;
        let traffic = Traffic::start(&d.gateways(), 6, churn);
        traffic.wait_for_more(&d, 40).await;
        // The last entry VM's dispatcher is started again under the first one's name.
        d.kill(Role::Dispatcher, 2);
        d.rename_dispatcher(2, 0);
        d.start_role(Role::Dispatcher, 2);
        let code = d
            .wait_exit(Role::Dispatcher, 0, Duration::from_secs(20))
            .await;
        assert_eq!(code, Some(1), "the earlier process stops with an error");
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
