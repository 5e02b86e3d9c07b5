//! How upstreams are reached: directly, through another entry, or not at all.

use arbtest::arbtest;
use carobfield::{
    clock::BootInstant,
    decide::paths::{Path, Paths},
    ident::UpstreamId,
};
use std::{collections::HashSet, sync::Arc, time::Duration};

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    a_cut_upstream_is_reached_by_detour_until_a_probe_succeeds,
    an_upstream_that_nobody_reaches_is_down_until_the_next_probe,
    probes_of_one_upstream_are_spread,
    a_peer_that_is_cut_off_too_is_asked_last,
    most_entries_that_are_cut_off_leave_a_way,
    rounds_of_probes_are_a_second_apart,
    an_entry_is_cut_off_only_if_others_reach_what_it_does_not,
}

const START: BootInstant = BootInstant(1_000_000_000_000);

fn at(ms: u64) -> BootInstant {
    START + Duration::from_millis(ms)
}

fn peers(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|n| Arc::from(format!("entry-{n}")))
        .collect()
}

fn rank<'a>(
    paths: &Paths,
    request: &str,
    all: &'a [Arc<str>],
    now: BootInstant,
) -> Vec<&'a Arc<str>> {
    paths.rank_peers(request, all.iter().collect(), |name| name, now)
}

mod case {
    use super::{
        Arc, BootInstant, HashSet, Path, Paths, START, UpstreamId, arbtest, at, peers, rank,
    };

    pub(super) fn a_cut_upstream_is_reached_by_detour_until_a_probe_succeeds() {
        let (mut paths, upstream) = (Paths::default(), UpstreamId::from("u"));
        assert_eq!(paths.path("u", START), Path::Direct);
        assert!(!paths.record_reached("u", START));
        assert!(paths.record_unreached(&upstream, START));
        assert!(!paths.record_unreached(&upstream, START), "known");
        assert_eq!(paths.path("u", at(60_000)), Path::Detour);
        assert_eq!(paths.path("v", START), Path::Direct, "each by itself");
        assert!(paths.record_reached("u", START));
        assert_eq!(paths.path("u", START), Path::Direct);
    }

    pub(super) fn an_upstream_that_nobody_reaches_is_down_until_the_next_probe() {
        let (mut paths, upstream) = (Paths::default(), UpstreamId::from("u"));
        paths.record_down("u");
        assert_eq!(paths.path("u", START), Path::Direct, "reached so far");
        paths.record_unreached(&upstream, START);
        paths.record_down("u");
        assert_eq!(paths.path("u", at(100)), Path::Down);
        assert_eq!(
            paths.path("u", at(500)),
            Path::Detour,
            "another entry may reach it"
        );
        assert_eq!(paths.due_probes(at(499), 0.5).len(), 0);
        assert_eq!(paths.due_probes(at(500), 0.5), [upstream]);
    }

    pub(super) fn probes_of_one_upstream_are_spread() {
        arbtest(|u| {
            let (mut paths, upstream) = (Paths::default(), UpstreamId::from("u"));
            paths.record_unreached(&upstream, START);
            let jitter = f64::from(u.int_in_range(0..=999)?) / 1_000.0;
            let (mut probes, mut last) = (Vec::<BootInstant>::new(), 0);
            for ms in (0..5_000).step_by(10) {
                if !paths.due_probes(at(ms), jitter).is_empty() {
                    assert!(last == 0 || ms - last >= 250, "{last} and {ms}");
                    last = ms;
                    probes.push(at(ms));
                }
            }
            assert!((6..=20).contains(&probes.len()), "{probes:?}");
            Ok(())
        });
    }

    pub(super) fn a_peer_that_is_cut_off_too_is_asked_last() {
        let (mut paths, all) = (Paths::default(), peers(8));
        for request in 0..50 {
            let request = request.to_string();
            let first = Arc::clone(rank(&paths, &request, &all, START)[0]);
            paths.record_refusal(&first, START);
            let ranked = rank(&paths, &request, &all, at(900));
            assert!(!ranked.contains(&&first), "{ranked:?}");
            assert_eq!(*rank(&paths, &request, &all, at(1_000))[0], first);
            paths = Paths::default();
        }
    }

    pub(super) fn most_entries_that_are_cut_off_leave_a_way() {
        let (all, now) = (peers(8), START);
        let cut: HashSet<&Arc<str>> = all[..5].iter().collect();
        let mut paths = Paths::default();
        let mut unserved = 0;
        for request in 0..1_000 {
            let ranked = rank(&paths, &request.to_string(), &all, now);
            let refusing = ranked.iter().take_while(|p| cut.contains(*p));
            let refusing: Vec<Arc<str>> = refusing.map(|p| Arc::clone(p)).collect();
            unserved += usize::from(refusing.len() == ranked.len());
            for peer in &refusing {
                paths.record_refusal(peer, now);
            }
        }
        assert!(unserved <= 1, "{unserved} of 1000 requests found no way");
    }

    pub(super) fn rounds_of_probes_are_a_second_apart() {
        let mut paths = Paths::default();
        let rounds = (0..3_500)
            .step_by(100)
            .filter(|ms| paths.begin_round(at(*ms)));
        assert_eq!(rounds.collect::<Vec<u64>>(), [0, 1_000, 2_000, 3_000]);
    }

    pub(super) fn an_entry_is_cut_off_only_if_others_reach_what_it_does_not() {
        let mut paths = Paths::default();
        paths.record_reached("u", START);
        for name in ["u", "v"] {
            paths.record_unreached(&UpstreamId::from(name), START);
        }
        assert!(!paths.is_cut_off(at(5_000)), "they may be down for all");
        paths.record_detour("u");
        assert!(!paths.is_cut_off(at(5_000)), "one upstream");
        paths.record_detour("v");
        assert!(!paths.is_cut_off(at(900)), "reached a moment ago");
        assert!(paths.is_cut_off(at(5_000)));
        paths.record_reached("w", at(5_000));
        assert!(!paths.is_cut_off(at(5_500)), "another one is reached");
        paths.record_reached("u", at(8_000));
        assert!(!paths.is_cut_off(at(20_000)));
    }
}
