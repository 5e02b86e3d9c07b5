//! Sharing of limited resources: load permits, queue order, retries.

use arbtest::arbtest;
use carobfield::{
    catalogue::Class,
    clock::BootInstant,
    ident::{ModelRef, RequestId},
    permits::{Allowance, PendingPermit, PermitQueue},
    queue::{QueuedRequest, RequestQueue},
    retry_budget::RetryBudget,
    wire::PermitResponse,
};
use std::sync::Arc;

const ALLOWANCE: Allowance = Allowance {
    rate: 6.0,
    streams: 2,
};
const SEEDS: u64 = 500;
const SCHEDULE_BYTES: u64 = 2_048;

fn at_ms(ms: u64) -> BootInstant {
    BootInstant(1_000_000_000 + ms * 1_000_000)
}

fn permit_request(id: u128, weight: u32, until_ms: u64) -> PendingPermit {
    PendingPermit {
        id: RequestId(id),
        weight,
        deadline: at_ms(until_ms),
    }
}

/// Over any window, grants never exceed the rate plus one burst of the parallel streams.
#[test]
fn permits_never_exceed_the_rate() {
    for seed in 0..SEEDS {
        arbtest(|u| {
            let mut permits = PermitQueue::new(ALLOWANCE, at_ms(0));
            let (mut now, mut next, mut granted) = (0, 0, Vec::new());
            while !u.is_empty() {
                now += u.int_in_range(0..=200)?;
                next += 1;
                permits.enqueue(permit_request(next, u.int_in_range(1..=9)?, now + 60_000));
                for (id, response) in permits.grant_and_deny(at_ms(now)) {
                    if response == PermitResponse::Granted {
                        granted.push(now);
                        permits.release(id);
                    }
                }
            }
            for (i, from) in granted.iter().enumerate() {
                for (j, to) in granted.iter().enumerate().skip(i) {
                    let seconds = (to - from) as f64 / 1_000.0;
                    let most = ALLOWANCE.rate * seconds + f64::from(ALLOWANCE.streams);
                    assert!((j - i + 1) as f64 <= most + 1e-6, "{granted:?}");
                }
            }
            Ok(())
        })
        .seed(seed << 32 | SCHEDULE_BYTES);
    }
}

#[test]
fn the_heaviest_permit_request_is_granted_first() {
    let mut permits = PermitQueue::new(ALLOWANCE, at_ms(0));
    for (id, weight) in [(1, 1), (2, 8), (3, 4), (4, 2)] {
        permits.enqueue(permit_request(id, weight, 60_000));
    }
    permits.enqueue(permit_request(1, 9, 60_000));
    let granted: Vec<u128> = permits
        .grant_and_deny(at_ms(0))
        .into_iter()
        .map(|(id, _)| id.0)
        .collect();
    assert_eq!(granted, [1, 2], "the latest weight of a request counts");
}

#[test]
fn a_load_that_would_come_too_late_is_denied_at_once() {
    let mut permits = PermitQueue::new(ALLOWANCE, at_ms(0));
    for id in 1..=20 {
        permits.enqueue(permit_request(id, 5, 60_000));
    }
    permits.enqueue(permit_request(99, 1, 1_000));
    let denied: Vec<_> = permits
        .grant_and_deny(at_ms(0))
        .into_iter()
        .filter(|(_, response)| *response != PermitResponse::Granted)
        .collect();
    assert_eq!(
        denied,
        [(RequestId(99), PermitResponse::Denied { retry_ms: 3_000 })]
    );
}

fn queued_request(id: u128, owner: &str, class: Class, deadline_ms: u64) -> QueuedRequest {
    QueuedRequest {
        id: RequestId(id),
        attempt: 1,
        model: Some(ModelRef::new("a", 1)),
        owner: Arc::from(owner),
        class,
        deadline: at_ms(deadline_ms),
        queued: at_ms(0),
        probation: false,
    }
}

fn drain(queue: &mut RequestQueue, now_ms: u64) -> Vec<u128> {
    std::iter::from_fn(|| queue.pop(at_ms(now_ms), |_| true))
        .map(|r| r.id.0)
        .collect()
}

#[test]
fn owners_share_fairly_within_a_class() {
    let mut queue = RequestQueue::default();
    for id in 1..=6 {
        queue.push(queued_request(id, "busy", Class::Standard, 60_000));
    }
    queue.push(queued_request(7, "quiet", Class::Standard, 60_000));
    let order = drain(&mut queue, 0);
    assert!(order.iter().position(|id| *id == 7) <= Some(1), "{order:?}");
}

#[test]
fn classes_and_urgent_deadlines_go_first() {
    let mut queue = RequestQueue::default();
    queue.push(queued_request(1, "a", Class::Batch, 60_000));
    queue.push(queued_request(2, "a", Class::Standard, 60_000));
    queue.push(queued_request(3, "a", Class::Standard, 1_500));
    queue.push(queued_request(4, "b", Class::Interactive, 60_000));
    assert_eq!(drain(&mut queue, 0), [4, 3, 2, 1]);
}

#[test]
fn retries_are_a_tenth_of_the_requests() {
    let budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        retries += u32::from(budget.try_withdraw());
    }
    assert!((1_000..=1_010).contains(&retries), "{retries}");
}
