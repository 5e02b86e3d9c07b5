//! Strikes that processes exchange.

use carobfield::{clock::Moment, ident::UpstreamId, quarantine::Quarantine, wire};

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    a_feed_has_all_strikes_first_and_again_after_a_lag,
    a_strike_is_passed_on_once,
    a_crash_costs_many_bytes_between_entries,
}

mod case {
    use super::{Moment, Quarantine, UpstreamId, wire};

    pub(super) fn a_feed_has_all_strikes_first_and_again_after_a_lag() {
        let quarantine = Quarantine::default();
        let (a, b) = (UpstreamId::from("a"), UpstreamId::from("b"));
        quarantine.record_lost(1, &[], &a, 1);
        let mut feed = quarantine.feed();
        assert_eq!(feed.take(&quarantine).len(), 1);
        assert!(feed.take(&quarantine).is_empty());
        assert!(!quarantine.record_lost(1, &[], &a, 1), "known");
        assert!(feed.take(&quarantine).is_empty());
        assert!(quarantine.record_lost(1, &[], &b, 1));
        assert_eq!(feed.take(&quarantine).len(), 1);
        for fingerprint in 2..3_000 {
            quarantine.record_lost(fingerprint, &[], &a, 1);
        }
        assert_eq!(feed.take(&quarantine).len(), 3_000);
    }

    /// A strike that several processes pass on to each other must not circulate for ever.
    pub(super) fn a_strike_is_passed_on_once() {
        let (first, second) = (Quarantine::default(), Quarantine::default());
        let (mut to_second, mut to_first) = (first.feed(), second.feed());
        first.record_lost(1, &[2, 3], &UpstreamId::from("a"), 1);
        let sent = to_second.take(&first);
        assert_eq!(sent.len(), 3);
        assert!(sent.iter().all(|s| second.record(s)));
        let echoed = to_first.take(&second);
        assert!(!echoed.iter().any(|s| first.record(s)));
        assert!(to_second.take(&first).is_empty());
    }

    /// A crash beside ten requests that had no response, each with ten parts of its own.
    pub(super) fn a_crash_costs_many_bytes_between_entries() {
        let quarantine = Quarantine::default();
        let mut feed = quarantine.feed();
        feed.take(&quarantine);
        let upstream = UpstreamId::from("i-7f3a91c2b4");
        for request in 0..10_u64 {
            let parts: Vec<u64> = (0..10).map(|n| (request * 10 + n) << 48 | 0xffff).collect();
            quarantine.record_lost(request << 48, &parts, &upstream, Moment::now().unix_ms);
        }
        let strikes = feed.take(&quarantine);
        assert_eq!(strikes.len(), 110);
        let bytes = wire::encode(&strikes).expect("a message").len();
        println!("{bytes} bytes");
        assert!(bytes < 8 << 10, "{bytes} bytes");
    }
}
