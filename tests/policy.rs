//! Sharing of limited resources (load permits, queue order, retries), and handling of poison requests.

use arbtest::arbtest;
use carobfield::{
    catalogue::Class,
    clock::BootInstant,
    ident::{ModelRef, RequestId, UpstreamId},
    permits::{Allowance, PendingPermit, PermitQueue},
    poison::{RefusedRequest, Suspects, Verdict},
    quarantine::Quarantine,
    queue::{QueuedRequest, RequestQueue},
    retry_budget::RetryBudget,
    wire::{PermitResponse, Strike, StrikeEvent},
};
use std::{sync::Arc, time::Duration};

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

fn lost(upstream: &str, boot: u64, at_ms: u64) -> Strike {
    let event = StrikeEvent::Lost {
        upstream: UpstreamId::from(upstream),
        boot,
    };
    Strike {
        fingerprint: 7,
        event,
        at_ms,
    }
}

#[test]
fn two_lost_upstreams_lead_to_refusal_in_any_order() {
    let mut suspects = Suspects::default();
    assert_eq!(suspects.verdict(7, 10), Verdict::Allow);
    assert!(suspects.record(&lost("a", 1, 10)));
    assert!(
        !suspects.record(&lost("a", 1, 10)),
        "a repeated strike is not new"
    );
    assert_eq!(suspects.verdict(7, 11), Verdict::Probation);
    assert!(suspects.record(&lost("b", 1, 20)));
    assert_eq!(suspects.verdict(7, 21), Verdict::Refuse);
    assert_eq!(
        suspects.verdict(7, 700_000),
        Verdict::Allow,
        "the strikes expire"
    );
}

/// A request that is in flight beside a crash once in a while is no poison request.
#[test]
fn expired_strikes_count_with_a_new_one() {
    let mut suspects = Suspects::default();
    suspects.record(&lost("a", 1, 10));
    assert!(suspects.record(&lost("b", 1, 700_000)));
    assert_eq!(suspects.verdict(7, 700_001), Verdict::Probation);
    assert!(
        !suspects.record(&lost("a", 1, 10)),
        "an old strike is ignored"
    );
    assert_eq!(suspects.verdict(7, 700_001), Verdict::Probation);
    assert!(suspects.record(&lost("c", 1, 1_200_000)));
    assert_eq!(suspects.verdict(7, 1_200_001), Verdict::Refuse);
}

#[test]
fn completing_clears_a_suspect() {
    let mut suspects = Suspects::default();
    suspects.record(&lost("a", 1, 10));
    let cleared = Strike {
        fingerprint: 7,
        event: StrikeEvent::Cleared,
        at_ms: 30,
    };
    assert!(suspects.record(&cleared));
    assert_eq!(suspects.verdict(7, 31), Verdict::Allow);
    assert!(
        !suspects.record(&lost("a", 1, 10)),
        "a strike older than the clearing is ignored"
    );
}

#[test]
fn a_refusal_says_when_the_strikes_expire() {
    let mut suspects = Suspects::default();
    suspects.record(&lost("a", 1, 10));
    assert_eq!(suspects.refused_for(7, 20), None, "one crash is no refusal");
    suspects.record(&lost("b", 1, 1_000));
    let left = suspects.refused_for(7, 31_000);
    assert_eq!(left, Some(Duration::from_secs(570)));
    assert_eq!(suspects.refused_for(7, 602_000), None);
    assert_eq!(suspects.refused_for(8, 31_000), None, "another request");
}

/// VMs' clocks differ by seconds: what a process observes counts after all that it knows already.
#[test]
fn a_slow_clock_hides_strikes_and_completions() {
    let mut suspects = Suspects::default();
    suspects.record(&lost("a", 1, 20_000));
    let cleared = Strike {
        event: StrikeEvent::Cleared,
        ..lost("a", 1, suspects.event_time(7, 15_000))
    };
    assert!(suspects.record(&cleared), "it completed after its crash");
    assert_eq!(suspects.verdict(7, 15_000), Verdict::Allow);
    for upstream in ["b", "c"] {
        let at_ms = suspects.event_time(7, 15_000);
        assert!(suspects.record(&lost(upstream, 1, at_ms)));
    }
    assert_eq!(suspects.verdict(7, 15_000), Verdict::Refuse);
    assert_eq!(suspects.event_time(7, 30_000), 30_000);
    assert_eq!(suspects.event_time(8, 15_000), 15_000, "another request");
}

/// What a record in the store has of a refused request leads to the same refusal, and there is room for it.
#[test]
fn refusals_survive_in_a_record() {
    let mut suspects = Suspects::default();
    for n in 0..10_000 {
        for upstream in ["a", "b"] {
            suspects.record(&Strike {
                fingerprint: u64::MAX - n,
                ..lost(upstream, 1, 1_000 + n)
            });
        }
    }
    suspects.record(&lost("a", 1, 20_000));
    let stored = suspects.refused(20_000);
    let json = serde_json::to_string(&stored).expect("a record");
    assert!(json.len() < 100_000, "{}", json.len());
    let read: Vec<RefusedRequest> = serde_json::from_str(&json).expect("the record");
    let mut restored = Suspects::default();
    for strike in read.iter().flat_map(RefusedRequest::strikes) {
        restored.record(&strike);
    }
    let latest = u64::MAX - 9_999;
    assert_eq!(restored.verdict(latest, 20_000), Verdict::Refuse);
    assert_eq!(
        restored.refused_for(latest, 20_000),
        suspects.refused_for(latest, 20_000)
    );
    assert_eq!(restored.verdict(7, 20_000), Verdict::Allow, "one crash");
    assert!(suspects.refused(700_000).is_empty(), "expired");
}

#[test]
fn a_feed_has_all_strikes_first_and_again_after_a_lag() {
    let quarantine = Quarantine::default();
    quarantine.record_lost(1, UpstreamId::from("a"), 1);
    let mut feed = quarantine.feed();
    assert_eq!(feed.take(&quarantine).len(), 1);
    assert!(feed.take(&quarantine).is_empty());
    assert!(
        !quarantine.record_lost(1, UpstreamId::from("a"), 1),
        "known"
    );
    assert!(feed.take(&quarantine).is_empty());
    assert!(quarantine.record_lost(1, UpstreamId::from("b"), 1));
    assert_eq!(feed.take(&quarantine).len(), 1);
    for fingerprint in 2..3_000 {
        quarantine.record_lost(fingerprint, UpstreamId::from("a"), 1);
    }
    assert_eq!(feed.take(&quarantine).len(), 3_000);
}

/// A strike that several processes pass on to each other must not circulate for ever.
#[test]
fn a_strike_is_passed_on_once() {
    let (first, second) = (Quarantine::default(), Quarantine::default());
    let (mut to_second, mut to_first) = (first.feed(), second.feed());
    first.record_lost(1, UpstreamId::from("a"), 1);
    let sent = to_second.take(&first);
    assert!(sent.iter().all(|s| second.record(s)));
    let echoed = to_first.take(&second);
    assert!(!echoed.iter().any(|s| first.record(s)));
    assert!(to_second.take(&first).is_empty());
}
