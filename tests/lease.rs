//! Leases over random schedules: nobody takes over what its holder may still use.

use arbtest::{arbitrary::Unstructured, arbtest};
use carobfield::{
    clock::BootInstant,
    ident::DispatcherId,
    lease::{HolderLease, LeaseObserver, Renewal},
};
use std::time::Duration;

/// Schedules tried; the seed of each is its number, above the size that arbtest keeps in the low half.
const SEEDS: u64 = 2_000;
const SCHEDULE_BYTES: u64 = 4_096;

/// A renewal on its way: when it was sent, and whether it took effect.
#[derive(Clone, Copy)]
struct OnTheWay {
    sent: BootInstant,
    written: bool,
}

/// A holder, an observer, and the record between them.
struct World {
    now: BootInstant,
    id: DispatcherId,
    /// Leases by the counter of the renewal that gave them.
    leases: Vec<(u64, HolderLease)>,
    /// Counter that the observer read last.
    seen: u64,
    record: Renewal,
    renewal: Option<OnTheWay>,
    observer: LeaseObserver,
    reading: Option<(BootInstant, Option<Renewal>)>,
    lapses: usize,
}

impl World {
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
            lapses: 0,
        }
    }

    fn renew(&mut self, answered: bool) {
        match self.renewal {
            None => {
                self.renewal = Some(OnTheWay {
                    sent: self.now,
                    written: false,
                });
            }
            Some(way) if !way.written => {
                self.record.counter += 1;
                self.renewal = Some(OnTheWay {
                    written: true,
                    ..way
                });
            }
            Some(way) => {
                if answered {
                    let mut lease = HolderLease::default();
                    lease.renewed(way.sent);
                    self.leases.push((self.record.counter, lease));
                }
                self.renewal = None;
            }
        }
    }

    fn read(&mut self, works: bool) {
        match self.reading {
            None => self.reading = Some((self.now, None)),
            Some((sent, None)) => self.reading = Some((sent, Some(self.record))),
            Some((sent, Some(record))) => {
                if works {
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
        let lapsed = self.observer.is_expired("d", 1);
        self.lapses += usize::from(lapsed);
        // A holder that renews after the last read is met by the rules for forced take-overs.
        let fresh = self
            .leases
            .iter()
            .any(|(counter, lease)| *counter <= self.seen && lease.is_fresh(self.now));
        assert!(!(lapsed && fresh), "taken over while the holder may act");
        Ok(())
    }
}

#[test]
fn nobody_takes_over_a_fresh_lease() {
    let mut lapses = 0;
    for seed in 0..SEEDS {
        arbtest(|u| {
            let mut world = World::new();
            while !u.is_empty() {
                world.step(u)?;
            }
            lapses += world.lapses;
            Ok(())
        })
        .seed(seed << 32 | SCHEDULE_BYTES);
    }
    assert!(lapses > 1_000, "the schedules reach take-overs: {lapses}");
}

/// An outage of the object API is no reason to take over.
#[test]
fn reads_that_fail_start_the_count_afresh() {
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
        "one read after a gap of 60 s tells nothing"
    );
    for s in 71..=76 {
        observer.observe(at(s), at(s), [(&id, renewal)].into_iter());
    }
    assert!(observer.is_expired("d", 1));
}

/// A later process of the same name says that the earlier one ended only after its lease has.
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
