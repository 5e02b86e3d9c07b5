//! Requests that wait for a read of the store.

use carobfield::entry::read_requests::ReadRequests;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

const READ_TIME: Duration = Duration::from_millis(100);
const LIMIT: Duration = Duration::from_secs(2);

#[tokio::test]
async fn a_read_that_began_earlier_serves_a_later_request() {
    let requests = Arc::new(ReadRequests::default());
    let begun = Arc::new(AtomicU32::new(0));
    let (served, count) = (Arc::clone(&requests), Arc::clone(&begun));
    let reader = tokio::spawn(async move {
        let mut wanted = served.subscribe();
        while let Some(number) = wanted.next().await {
            count.fetch_add(1, Ordering::SeqCst);
            tokio::time::sleep(READ_TIME).await;
            served.finish(number);
        }
    });
    tokio::time::sleep(READ_TIME / 4).await;
    let first = tokio::spawn({
        let requests = Arc::clone(&requests);
        async move { requests.wait(LIMIT).await }
    });
    tokio::time::sleep(READ_TIME / 2).await;
    // Both come in the middle of the first read, and share the second one.
    let (a, b) = tokio::join!(requests.wait(LIMIT), requests.wait(LIMIT));
    assert_eq!((a, b, begun.load(Ordering::SeqCst)), (true, true, 2));
    assert!(first.await.expect("a result"));
    reader.abort();
}

#[tokio::test]
async fn a_request_waits_without_bound_for_a_read() {
    let requests = ReadRequests::default();
    assert!(!requests.wait(READ_TIME).await);
}
