//! Malformed, oversized and unauthenticated input at each listener causes no panic, and memory stays bounded.

use arbtest::arbtest;
use carobfield::{
    link::{Link, LinkError},
    wire::{CatalogueRequest, SyncHello},
};
use carobfield_standin::{
    client::{CompletionRequest, ReplyOutcome},
    harness::{Deployment, Role, get},
    layout::Layout,
    process_tests,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{io::AsyncWriteExt, net::TcpStream};

process_tests!(garbage_at_every_listener, stream_requires_the_key);

/// Number of connections with garbage to each listener; the number of each is its seed.
const SEEDS: u64 = 60;
const GARBAGE_BYTES: u64 = 4_096;

/// Maximum memory of a process after all garbage, in kilobytes: the control budget of a VM.
const MEMORY_LIMIT_KB: u64 = 64 << 10;

/// Returns random bytes, some of them after the start of a valid request.
fn garbage(seed: u64) -> Vec<u8> {
    let mut out = Vec::new();
    arbtest(|u| {
        let start: &[u8] = match u.int_in_range(0..=4)? {
            0 => b"",
            1 => b"POST /v1/completions HTTP/1.1\r\ncontent-length: 99999999999\r\n",
            2 => b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
            3 => b"GET /v1/entries HTTP/1.1\r\nx: ",
            _ => b"POST /v1/completions HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nffffffffffff\r\n",
        };
        out = start.to_vec();
        out.extend_from_slice(u.bytes(u.len())?);
        Ok(())
    })
    .seed(seed << 32 | GARBAGE_BYTES);
    out
}

async fn send_raw(at: SocketAddr, data: &[u8]) {
    let Ok(mut stream) = TcpStream::connect(at).await else {
        return;
    };
    let _refused = stream.write_all(data).await;
    tokio::time::sleep(Duration::from_millis(5)).await;
}

mod case {
    use super::{
        Arc, CatalogueRequest, CompletionRequest, Deployment, Layout, Link, LinkError,
        MEMORY_LIMIT_KB, ReplyOutcome, Role, SEEDS, SyncHello, garbage, get, send_raw,
    };

    fn single_entry() -> Layout {
        Layout {
            entries: 1,
            engines: 1,
            open_engines: 0,
            services: 0,
            ..Layout::default()
        }
    }

    pub(super) async fn garbage_at_every_listener() {
        let mut d = Deployment::start(single_entry()).await;
        let listeners = [
            d.gateway(0),
            d.gateway_operators(0),
            d.dispatcher_link(0),
            d.dispatcher_operators(0),
        ];
        let oversized = vec![b'a'; 1 << 20];
        for at in listeners {
            for seed in 0..SEEDS {
                send_raw(at, &garbage(seed)).await;
            }
            send_raw(at, &oversized).await;
        }
        let reply = d.complete(0, &CompletionRequest::default()).await;
        assert_eq!(reply.outcome, ReplyOutcome::Complete, "{reply:?}");
        for at in [d.gateway_operators(0), d.dispatcher_operators(0)] {
            let health = get(&d.client, at, "/healthz").await;
            assert!(health.is_some_and(|h| h.status == 200));
        }
        for role in [Role::Gateway, Role::Dispatcher] {
            let (kb, _) = d.usage(role, 0).expect("the process runs");
            assert!(kb < MEMORY_LIMIT_KB, "{role:?} uses {kb} KB");
            assert!(!d.log(role, 0).contains("panicked"), "{role:?}");
        }
    }

    pub(super) async fn stream_requires_the_key() {
        let d = Deployment::start(single_entry()).await;
        let at = d.dispatcher_link(0);
        for key in ["", "harness-kez", "harness-key-and-more"] {
            let link = Link::new(at, at.ip(), Arc::from(key));
            let stream = link.open("/catalogue", &CatalogueRequest { have: 0 }).await;
            assert!(
                matches!(stream, Err(LinkError::NotSent | LinkError::Broken)),
                "{key}"
            );
            let hello = SyncHello {
                node: String::from("intruder"),
                gateway: None,
                leaving: false,
            };
            assert!(link.open("/sync", &hello).await.is_err(), "{key}");
        }
        let link = Link::new(at, at.ip(), Arc::from("harness-key"));
        let mut stream = link
            .open("/catalogue", &CatalogueRequest { have: 0 })
            .await
            .expect("the key is accepted");
        let response = stream
            .next::<carobfield::wire::CatalogueResponse>()
            .await
            .expect("a response");
        assert_eq!(response.map(|r| r.revision), Some(1));
    }
}
