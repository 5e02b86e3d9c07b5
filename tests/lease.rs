//! Leases over random schedules: no upstream is taken over while its holder may still use it.

use arbtest::{arbitrary::Unstructured, arbtest};
use carobfield::{
    clock::BootInstant,
    ident::DispatcherId,
    lease::{HolderLease, LeaseObserver, Renewal},
};
use std::time::Duration;

/// Number of random schedules. The high half of each seed is the schedule number, the low half the size that arbtest
/// reads from it.
const SEEDS: u64 = 2_000;
const SCHEDULE_BYTES: u64 = 4_096;

/// A renewal in progress: when it was sent, and whether it was written.
#[derive(Clone, Copy)]
struct RenewalInProgress {
    sent: BootInstant,
    written: bool,
}

/// Model of a holder, an observer, and the lease record that they share.
struct Simulation {
    now: BootInstant,
    id: DispatcherId,
    /// Leases with the counter of the renewal that granted them.
    leases: Vec<(u64, HolderLease)>,
    /// Last counter read by the observer.
    seen: u64,
    record: Renewal,
    renewal: Option<RenewalInProgress>,
    observer: LeaseObserver,
    reading: Option<(BootInstant, Option<Renewal>)>,
    expirations: usize,
}

impl Simulation {
    fn new() -> Self {
        Self {
            now: BootInstant(1_000_000_000),
            id: DispatcherId::from("d"),
            leases: Vec::new(),
            seen: 0,
            record: Renewal {
                incarnation: 1,
                counter: 0,
            },
            renewal: None,
            observer: LeaseObserver::default(),
            reading: None,
            expirations: 0,
        }
    }

    fn renew(&mut self, acknowledged: bool) {
        match self.renewal {
            None => {
                self.renewal = Some(RenewalInProgress {
                    sent: self.now,
                    written: false,
                });
            }
            Some(pending) if !pending.written => {
                self.record.counter += 1;
                self.renewal = Some(RenewalInProgress {
                    written: true,
                    ..pending
                });
            }
            Some(pending) => {
                if acknowledged {
                    let mut lease = HolderLease::default();
                    lease.renewed(pending.sent);
                    self.leases.push((self.record.counter, lease));
                }
                self.renewal = None;
            }
        }
    }

    fn read(&mut self, succeeds: bool) {
        match self.reading {
            None => self.reading = Some((self.now, None)),
            Some((sent, None)) => self.reading = Some((sent, Some(self.record))),
            Some((sent, Some(record))) => {
                if succeeds {
                    let records = [(&self.id, record)];
                    self.observer.observe(sent, self.now, records.into_iter());
                    self.seen = record.counter;
                }
                self.reading = None;
            }
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
        let ms = if u.ratio(1, 12)? { 9_000 } else { 700 };
        self.now = self.now + Duration::from_millis(u.int_in_range(0..=ms)?);
        match u.int_in_range(0..=4)? {
            0 => self.renew(u.ratio(3, 4)?),
            _ => self.read(u.ratio(7, 8)?),
        }
        let expired = self.observer.is_expired("d", 1);
        self.expirations += usize::from(expired);
        // A renewal after the last read is covered by the rules for forced takeovers.
        let fresh = self
            .leases
            .iter()
            .any(|(counter, lease)| *counter <= self.seen && lease.is_fresh(self.now));
        assert!(
            !(expired && fresh),
            "lease considered expired while the holder may act"
        );
        Ok(())
    }
}

#[test]
fn a_fresh_lease_is_never_considered_expired() {
    let mut expirations = 0;
    for seed in 0..SEEDS {
        arbtest(|u| {
            let mut simulation = Simulation::new();
            while !u.is_empty() {
                simulation.step(u)?;
            }
            expirations += simulation.expirations;
            Ok(())
        })
        .seed(seed << 32 | SCHEDULE_BYTES);
    }
    assert!(
        expirations > 1_000,
        "too few schedules reach a takeover: {expirations}"
    );
}

/// An outage of the object API does not cause a takeover.
#[test]
fn failed_reads_restart_the_observation() {
    let mut observer = LeaseObserver::default();
    let id = DispatcherId::from("d");
    let renewal = Renewal {
        incarnation: 1,
        counter: 7,
    };
    let at = |s: u64| BootInstant(s * 1_000_000_000);
    observer.observe(at(10), at(10), [(&id, renewal)].into_iter());
    observer.observe(at(70), at(70), [(&id, renewal)].into_iter());
    assert!(
        !observer.is_expired("d", 1),
        "one read after a gap of 60 s proves nothing"
    );
    for s in 71..=76 {
        observer.observe(at(s), at(s), [(&id, renewal)].into_iter());
    }
    assert!(observer.is_expired("d", 1));
}

/// A later process of the same name proves the end of the earlier one only after the lease of that one has expired.
#[test]
fn a_later_incarnation_ends_the_earlier_in_time() {
    let mut observer = LeaseObserver::default();
    let id = DispatcherId::from("d");
    let at = |s: u64| BootInstant(s * 1_000_000_000);
    for s in 10..=15 {
        let renewal = Renewal {
            incarnation: 2,
            counter: s,
        };
        observer.observe(at(s), at(s), [(&id, renewal)].into_iter());
        assert!(!observer.is_expired("d", 1), "after {s} s");
    }
    observer.observe(
        at(16),
        at(16),
        [(
            &id,
            Renewal {
                incarnation: 2,
                counter: 16,
            },
        )]
        .into_iter(),
    );
    assert!(observer.is_expired("d", 1));
    assert!(!observer.is_expired("d", 2));
}
