//! A leaving upstream gets no new requests, and every planned stop is graceful.

use carobfield::vm_list::VmState;
use carobfield_standin::{
    checks,
    client::CompletionRequest,
    harness::{Deployment, Role},
    layout::Layout,
    process_tests,
    run_log::LogKind,
    traffic::{Sample, Traffic},
    vm_list::VmChange,
};
use rustix::process::Signal;
use std::time::Duration;

process_tests!(
    leaving_upstream_gets_no_new_requests,
    each_role_stops_gracefully,
    rolling_restart
);

/// Time from the VM list showing an upstream as leaving until it gets no new requests, in milliseconds.
const LEAVE_LIMIT_MS: u64 = 3_000;

/// Maximum time for a process with streams of several seconds to stop.
const STOP_LIMIT: Duration = Duration::from_secs(40);

/// Returns streaming requests that take about two seconds.
fn long_stream(caller: u64, n: u64) -> CompletionRequest {
    CompletionRequest {
        model: format!("adapter-{}@1", (caller + n) % 6),
        prompt: format!("nonce {caller}/{n}"),
        tokens: 150,
        stream: true,
        ..CompletionRequest::default()
    }
}

fn layout() -> Layout {
    Layout {
        step_us: 12_000,
        batch: 16,
        slots: 6,
        services: 0,
        ..Layout::default()
    }
}

/// Asserts that no response was cut off and that every refused request was served by a retry.
fn assert_all_served(samples: &[Sample]) {
    let bad = checks::incomplete(samples);
    assert!(
        bad.is_empty(),
        "{} of {}: {:?}",
        bad.len(),
        samples.len(),
        bad.first()
    );
}

mod case {
    use super::{
        Deployment, Duration, LEAVE_LIMIT_MS, LogKind, Role, STOP_LIMIT, Signal, Traffic, VmChange,
        VmState, assert_all_served, checks, layout, long_stream,
    };

    pub(super) async fn leaving_upstream_gets_no_new_requests() {
        let d = Deployment::start(layout()).await;
        let traffic = Traffic::start(&d.gateways(), 12, |c, n| {
            let mut request = long_stream(c, n);
            request.tokens = 60;
            request
        });
        traffic.wait_for_more(&d, 40).await;
        let mut busiest = (0, 0);
        for n in 0..d.layout.engines {
            let requests = checks::started(&d.engine_log(n).await).len();
            busiest = busiest.max((requests, n));
        }
        let (requests, engine) = busiest;
        assert!(requests > 0, "the engine has served requests");
        let leaving = format!("engine-{engine}");
        let change = VmChange {
            id: leaving.clone(),
            state: Some(VmState::Leaving),
        };
        d.post(d.vms(), "/fault", &change).await;
        d.wait_for("the list to show the engine as leaving", || async {
            let list: Option<carobfield::vm_list::VmList> =
                carobfield_standin::harness::get_json(&d.client, d.vms(), "/vms").await;
            list.is_some_and(|l| {
                l.vms
                    .iter()
                    .any(|v| v.id == leaving && v.state == VmState::Leaving)
            })
        })
        .await;
        let shown = carobfield::clock::unix_ms();
        traffic.wait_for_more(&d, 100).await;
        while carobfield::clock::unix_ms() < shown + 2 * LEAVE_LIMIT_MS {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let samples = traffic.finish().await;
        assert_all_served(&samples);
        let log = d.engine_log(engine).await;
        let late = log
            .iter()
            .filter(|e| e.kind == LogKind::Start && e.at_ms > shown + LEAVE_LIMIT_MS)
            .count();
        assert_eq!(late, 0, "requests started after the limit");
        let (starts, ends) = (LogKind::Start, LogKind::End);
        let count = |kind| log.iter().filter(|e| e.kind == kind).count();
        assert_eq!(
            count(starts),
            count(ends),
            "every request in flight finished"
        );
        assert_eq!(checks::evictions_in_flight(&d.all_logs().await), []);
    }

    /// Restarts one process under load and asserts that it stopped gracefully.
    async fn stop_and_start(d: &mut Deployment, traffic: &Traffic, role: Role, n: u8) {
        traffic.wait_for_more(d, 10).await;
        d.signal(role, n, Signal::TERM);
        let code = d.wait_exit(role, n, STOP_LIMIT).await;
        assert_eq!(code, Some(0), "{role:?} {n}");
        d.start_role(role, n);
        if role == Role::Gateway {
            d.wait_gateway(n).await;
        }
    }

    pub(super) async fn each_role_stops_gracefully() {
        let mut d = Deployment::start(layout()).await;
        let traffic = Traffic::start(&d.gateways(), 9, long_stream);
        stop_and_start(&mut d, &traffic, Role::Gateway, 1).await;
        stop_and_start(&mut d, &traffic, Role::Dispatcher, 2).await;
        let samples = traffic.finish().await;
        assert_all_served(&samples);
        let log = d.log(Role::Dispatcher, 2);
        let (claims, releases) = (
            log.matches("placement: claim up").count(),
            log.matches("placement: release").count(),
        );
        assert!(
            claims >= releases && !log.contains("left without a release"),
            "{log}"
        );
    }

    pub(super) async fn rolling_restart() {
        let mut d = Deployment::start(layout()).await;
        let traffic = Traffic::start(&d.gateways(), 9, long_stream);
        for n in 0..3 {
            stop_and_start(&mut d, &traffic, Role::Dispatcher, n).await;
            stop_and_start(&mut d, &traffic, Role::Gateway, n).await;
        }
        let samples = traffic.finish().await;
        assert_all_served(&samples);
        assert_eq!(checks::evictions_in_flight(&d.all_logs().await), []);
    }
}
