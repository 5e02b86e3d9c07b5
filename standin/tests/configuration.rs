//! An accepted configuration takes effect in every process within seconds and never reverts.

use bytes::Bytes;
use carobfield::{
    catalogue_store::{ApplyError, CatalogueStore},
    clock,
};
use carobfield_standin::{
    client::{self, CompletionRequest, ReplyOutcome},
    harness::{Deployment, Role, get_json},
    layout::Layout,
    object_api::ObjectFaults,
    process_tests,
};
use futures_util::future::join_all;
use http::Method;
use serde_json::Value;
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use todc_utils::{Action, History, WGLChecker, specifications::Specification};
use tokio_util::sync::CancellationToken;

process_tests!(
    concurrent_operators,
    root_history_is_linearizable,
    takes_effect_everywhere_and_never_reverts,
    one_caller_never_sees_an_older_revision,
    started_during_outage,
    target_adapter_count_fits,
);

/// Maximum time for a change to take effect in every process, in milliseconds.
const PROPAGATION_LIMIT_MS: u64 = 14_000;

fn small_layout() -> Layout {
    Layout {
        engines: 1,
        open_engines: 0,
        services: 0,
        ..Layout::default()
    }
}

/// Returns the declarations in `text` with another class for one adapter.
fn with_class(text: &str, adapter: u32, class: &str) -> String {
    let header = format!("[adapter adapter-{adapter}]\n");
    let start = text.find(&header).expect("the adapter is declared");
    let (before, rest) = text.split_at(start);
    format!(
        "{before}{}",
        rest.replacen("class = standard", &format!("class = {class}"), 1)
    )
}

/// An operation on the catalogue root.
#[derive(Clone, Copy, Debug)]
enum RootOp {
    /// A change that produced this revision.
    Apply(u64),
    /// A read that returned this revision.
    Read(u64),
}

/// Sequential specification of the root: a counter of accepted changes.
struct RootSpec;

impl Specification for RootSpec {
    type Operation = RootOp;
    type State = u64;

    fn init() -> u64 {
        1
    }

    fn apply(op: &RootOp, state: &u64) -> (bool, u64) {
        match op {
            RootOp::Apply(revision) => (*revision == state + 1, *revision),
            RootOp::Read(revision) => (revision == state, *state),
        }
    }
}

/// A call or response of one process in the recorded history.
type HistoryEvent = (usize, Action<RootOp>);

async fn revision_at(d: &Deployment, role: Role, n: u8) -> Option<u64> {
    let address = match role {
        Role::Gateway => d.gateway_operators(n),
        _ => d.dispatcher_operators(n),
    };
    let status: Option<Value> = get_json(&d.client, address, "/status").await;
    status.and_then(|s| s["revision"].as_u64())
}

mod case {
    use super::{
        Action, ApplyError, Arc, Bytes, CancellationToken, CatalogueStore, CompletionRequest,
        Deployment, Duration, History, HistoryEvent, Layout, Method, Mutex, ObjectFaults,
        PROPAGATION_LIMIT_MS, ReplyOutcome, Role, RootOp, RootSpec, Value, WGLChecker, client,
        clock, get_json, join_all, revision_at, small_layout, with_class,
    };

    pub(super) async fn concurrent_operators() {
        let d = Deployment::platform_only(small_layout()).await;
        let first = d.catalogue();
        let disjoint: Vec<String> = (0..4).map(|n| with_class(&first, n, "batch")).collect();
        let applied = join_all(disjoint.iter().map(|text| d.apply(1, text))).await;
        let mut revisions: Vec<u64> = applied
            .into_iter()
            .map(|r| r.expect("disjoint changes are accepted").revision)
            .collect();
        revisions.sort_unstable();
        assert_eq!(revisions, [2, 3, 4, 5]);
        let all = (0..4).fold(first, |text, n| with_class(&text, n, "batch"));
        let conflicting: Vec<String> = (0..4)
            .map(|n| {
                all.replacen("in-flight", "", 1).replacen(
                    "[adapter adapter-9]\n",
                    &format!("[adapter adapter-9]\nin-flight = {}\n", n + 1),
                    1,
                )
            })
            .collect();
        let results = join_all(conflicting.iter().map(|text| d.apply(5, text))).await;
        let accepted = results.iter().filter(|r| r.is_ok()).count();
        assert_eq!(accepted, 1, "{results:?}");
        for error in results.into_iter().filter_map(Result::err) {
            let ApplyError::Conflict {
                base,
                current,
                keys,
            } = error
            else {
                panic!("{error}");
            };
            assert_eq!((base, current), (5, 6));
            assert_eq!(keys, ["adapter adapter-9"]);
        }
    }

    pub(super) async fn root_history_is_linearizable() {
        let d = Arc::new(Deployment::platform_only(small_layout()).await);
        let faults = ObjectFaults {
            lose_writes: 8,
            lose_prefix: String::from("catalogue/root"),
            ..ObjectFaults::default()
        };
        d.post(d.objects(), "/fault", &faults).await;
        let history: Arc<Mutex<Vec<HistoryEvent>>> = Arc::default();
        let record = |history: &Mutex<Vec<HistoryEvent>>, process, action| {
            history
                .lock()
                .expect("the lock is not poisoned")
                .push((process, action));
        };
        let mut tasks = tokio::task::JoinSet::new();
        for operator in 0..4_usize {
            let (d, history) = (Arc::clone(&d), Arc::clone(&history));
            tasks.spawn(async move {
                for round in 0..5_u32 {
                    let adapter = operator as u32 * 3 + round % 3;
                    let class = if round % 2 == 0 {
                        "batch"
                    } else {
                        "interactive"
                    };
                    let mut store = CatalogueStore::new(d.object_api());
                    let (_, root) = store.root().await.expect("the root is read");
                    let base = root.revision();
                    let declarations = store
                        .declarations(&root, base)
                        .await
                        .expect("the declarations are read");
                    let mut desired = declarations.clone();
                    let key = format!("adapter adapter-{adapter}");
                    let declaration = carobfield::catalogue::Declaration::Adapter(
                        carobfield::catalogue::Adapter {
                            base: String::from("base"),
                            class: class.parse().expect("a class"),
                            current: round + 1,
                            owner: Arc::from("owner"),
                            versions: vec![round + 1],
                            ..carobfield::catalogue::Adapter::default()
                        },
                    );
                    desired.insert(key, declaration);
                    record(&history, operator, Action::Call(RootOp::Apply(0)));
                    let applied = store
                        .apply(base, &desired)
                        .await
                        .expect("the change is accepted");
                    record(
                        &history,
                        operator,
                        Action::Response(RootOp::Apply(applied.revision)),
                    );
                }
            });
        }
        for reader in 4..6_usize {
            let (d, history) = (Arc::clone(&d), Arc::clone(&history));
            tasks.spawn(async move {
                let store = CatalogueStore::new(d.object_api());
                for _ in 0..15 {
                    record(&history, reader, Action::Call(RootOp::Read(0)));
                    let (_, root) = store.root().await.expect("the root is read");
                    let seen = RootOp::Read(root.revision());
                    record(&history, reader, Action::Response(seen));
                    tokio::time::sleep(Duration::from_millis(7)).await;
                }
            });
        }
        while let Some(ended) = tasks.join_next().await {
            ended.expect("no operator or reader fails");
        }
        let actions = history.lock().expect("the lock is not poisoned").clone();
        let last = CatalogueStore::new(d.object_api())
            .root()
            .await
            .expect("the root")
            .1;
        assert_eq!(
            last.revision(),
            21,
            "20 changes after the first, each exactly once"
        );
        let mut stale = actions.clone();
        stale.push((6, Action::Call(RootOp::Read(0))));
        stale.push((6, Action::Response(RootOp::Read(20))));
        assert!(WGLChecker::<RootSpec>::is_linearizable(
            History::from_actions(actions)
        ));
        let linearizable = WGLChecker::<RootSpec>::is_linearizable(History::from_actions(stale));
        assert!(!linearizable, "the checker rejects a stale read");
    }

    pub(super) async fn takes_effect_everywhere_and_never_reverts() {
        let mut d = Deployment::start(Layout {
            adapters: 60,
            ..small_layout()
        })
        .await;
        let stop = CancellationToken::new();
        let watcher = tokio::spawn(watch_revisions(
            d.client.clone(),
            (0..3)
                .flat_map(|n| [d.gateway_operators(n), d.dispatcher_operators(n)])
                .collect(),
            stop.clone(),
        ));
        let first = d.catalogue();
        for revision in 1..7_u64 {
            let class = if revision % 2 == 1 {
                "batch"
            } else {
                "interactive"
            };
            let text = with_class(&first, revision as u32, class);
            let applied = d
                .apply(revision, &text)
                .await
                .expect("the change is accepted");
            let accepted = clock::unix_ms();
            if revision == 3 {
                d.kill(Role::Dispatcher, 1);
                d.kill(Role::Gateway, 2);
                d.start_role(Role::Dispatcher, 1);
                d.start_role(Role::Gateway, 2);
            }
            for n in 0..3 {
                for role in [Role::Gateway, Role::Dispatcher] {
                    d.wait_for("the change in every process", || async {
                        revision_at(&d, role, n).await == Some(applied.revision)
                    })
                    .await;
                }
            }
            let elapsed = clock::unix_ms() - accepted;
            assert!(
                elapsed <= PROPAGATION_LIMIT_MS,
                "in effect in every process after {elapsed} ms"
            );
        }
        stop.cancel();
        let decreases = watcher.await.expect("the watcher ends");
        assert!(decreases.is_empty(), "{decreases:?}");
    }

    /// Polls every process until `stop` and returns each decrease of a revision. Processes that are not ready, such as
    /// those that have just started at revision 0, are skipped.
    async fn watch_revisions(
        client: carobfield::http_client::HttpClient,
        addresses: Vec<std::net::SocketAddr>,
        stop: CancellationToken,
    ) -> Vec<(std::net::SocketAddr, u64, u64)> {
        let mut highest = std::collections::HashMap::new();
        let mut decreases = Vec::new();
        while !stop.is_cancelled() {
            for address in &addresses {
                let ready = carobfield_standin::harness::get(&client, *address, "/readyz").await;
                let Some(status) = get_json::<Value>(&client, *address, "/status").await else {
                    continue;
                };
                let revision = status["revision"].as_u64().unwrap_or(0);
                if ready.is_none_or(|r| r.status != 200) {
                    continue;
                }
                let before = highest.entry(*address).or_insert(revision);
                if revision < *before {
                    decreases.push((*address, *before, revision));
                }
                *before = revision.max(*before);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        decreases
    }

    pub(super) async fn one_caller_never_sees_an_older_revision() {
        let d = Deployment::start(small_layout()).await;
        let mut seen = 0;
        let first = d.catalogue();
        for round in 0..12_u64 {
            let class = if round % 2 == 0 { "batch" } else { "standard" };
            d.apply(round + 1, &with_class(&first, 2, class))
                .await
                .expect("the change is accepted");
            for n in [0, 1, 2, 1, 0] {
                let min_revision = seen.to_string();
                let headers = [("carobfield-min-revision", min_revision.as_str())];
                let at = d.gateway(n);
                let models = client::send(
                    &d.client,
                    at,
                    &Method::GET,
                    "/v1/models",
                    &headers,
                    Bytes::new(),
                )
                .await;
                let body = Bytes::from_static(br#"{"model":"adapter-2","prompt":"x"}"#);
                let completion = client::send(
                    &d.client,
                    at,
                    &Method::POST,
                    "/v1/completions",
                    &headers,
                    body,
                )
                .await;
                for response in [models, completion] {
                    assert_eq!(response.outcome, ReplyOutcome::Complete, "{response:?}");
                    let now = response
                        .number("carobfield-revision")
                        .expect("responses carry the revision");
                    assert!(now >= seen, "{now} after {seen} at gateway {n}");
                    seen = now;
                }
            }
        }
        assert!(seen > 6, "the caller saw changes: {seen}");
    }

    pub(super) async fn started_during_outage() {
        let mut d = Deployment::start(small_layout()).await;
        let text = with_class(&d.catalogue(), 3, "interactive");
        let latest = d
            .apply(1, &text)
            .await
            .expect("the change is accepted")
            .revision;
        for n in 0..3 {
            d.wait_for("the change", || async {
                revision_at(&d, Role::Gateway, n).await == Some(latest)
                    && revision_at(&d, Role::Dispatcher, n).await == Some(latest)
            })
            .await;
        }
        let down = ObjectFaults {
            outage: true,
            ..ObjectFaults::default()
        };
        d.post(d.objects(), "/fault", &down).await;
        let holder = d.holder("engine-0").await.expect("the engine has a holder");
        for n in 0..3 {
            d.kill(Role::Gateway, n);
            d.start_role(Role::Gateway, n);
            if n != holder {
                d.kill(Role::Dispatcher, n);
                d.start_role(Role::Dispatcher, n);
            }
            d.wait_for("the latest revision from a peer", || async {
                revision_at(&d, Role::Gateway, n).await == Some(latest)
                    && revision_at(&d, Role::Dispatcher, n).await == Some(latest)
            })
            .await;
            let reply = d.complete(n, &CompletionRequest::default()).await;
            assert_eq!(reply.outcome, ReplyOutcome::Complete, "{reply:?}");
        }
    }

    pub(super) async fn target_adapter_count_fits() {
        let d = Deployment::platform_only(Layout {
            adapters: 24_000,
            ..small_layout()
        })
        .await;
        let text = d.catalogue();
        let applied = d.apply(1, &with_class(&text, 23_999, "batch")).await;
        assert_eq!(applied.expect("the change is accepted").changed, 1);
    }
}
