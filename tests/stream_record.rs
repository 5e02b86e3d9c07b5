//! Records of begun streams in the store.

use carobfield::{
    decide::stream_record::{CAPACITY, RECORDS, StreamRecord},
    edge::registration::{Build, BuildVersion},
    ident::StreamId,
};
use serde_json::json;
use std::{collections::HashMap, sync::Arc};

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        $(#[test] fn $name() { case::$name(); })*
    };
}

cases! {
    a_record_is_read_as_it_was_written,
    a_later_record_takes_the_place_of_the_oldest,
    a_full_record_drops_streams_and_stays_under_a_megabyte,
    a_restarted_writer_keeps_what_its_earlier_process_stored,
    a_record_that_is_cut_off_names_no_stream,
}

/// Largest value that the store takes, in bytes.
const VALUE_BYTES: usize = 1 << 20;

fn build(version: &str) -> Build {
    Build {
        service: Arc::from("drafts"),
        version: BuildVersion::Named(Arc::from(version)),
    }
}

fn known(record: &StreamRecord) -> HashMap<StreamId, Build> {
    record.streams().map(|(s, b)| (s, b.clone())).collect()
}

mod case {
    use super::{
        BuildVersion, CAPACITY, RECORDS, StreamId, StreamRecord, VALUE_BYTES, build, json, known,
    };
    use arbtest::arbtest;

    pub(super) fn a_record_is_read_as_it_was_written() {
        arbtest(|u| {
            let mut record = StreamRecord::at(u.arbitrary()?);
            for _ in 0..u.int_in_range(0..=40)? {
                let version = if u.arbitrary()? { "v1" } else { "v2" };
                assert!(record.add(&build(version), StreamId(u.arbitrary()?)));
            }
            let mut unnamed = build("");
            unnamed.version = BuildVersion::OnlyAt("engine-0".into());
            record.add(&unnamed, StreamId(u.arbitrary()?));
            let read = StreamRecord::decode(&record.encode());
            assert_eq!(read, Ok(record));
            Ok(())
        });
    }

    pub(super) fn a_later_record_takes_the_place_of_the_oldest() {
        let first = StreamRecord::at(8_000);
        assert!(first.covers(11_999) && !first.covers(12_000));
        let name = first.name("entry-0");
        let same = (1..100).map(|n| StreamRecord::at(8_000 + n * 4_000));
        let same = same.filter(|r| r.name("entry-0") == name);
        let periods: Vec<u64> = same.map(|r| r.period - first.period).collect();
        assert_eq!(periods[0], RECORDS);
    }

    pub(super) fn a_full_record_drops_streams_and_stays_under_a_megabyte() {
        let mut record = StreamRecord::at(0);
        for n in 0..CAPACITY as u64 {
            assert!(record.add(&build("v1"), StreamId(u64::MAX - n)));
        }
        assert!(!record.add(&build("v2"), StreamId(1)));
        assert!(record.encode().to_string().len() < VALUE_BYTES);
    }

    /// All VMs lost power within a period: the restarted writer must not replace what it stored before.
    pub(super) fn a_restarted_writer_keeps_what_its_earlier_process_stored() {
        let mut stored = StreamRecord::at(8_000);
        stored.add(&build("v1"), StreamId(1));
        let mut record = StreamRecord::at(9_000);
        record.add(&build("v2"), StreamId(2));
        record.merge(&stored);
        record.merge(&stored);
        assert_eq!(known(&record).len(), 2);
        let mut later = StreamRecord::at(8_000 + RECORDS * 4_000);
        later.merge(&stored);
        assert_eq!(known(&later).len(), 0);
    }

    pub(super) fn a_record_that_is_cut_off_names_no_stream() {
        let mut record = StreamRecord::at(0);
        record.add(&build("v1"), StreamId(7));
        for streams in [
            "00",
            "000000000000000x",
            "0000000000000007000",
            "é0000000000000",
        ] {
            let mut content = record.encode();
            content["batches"][0]["streams"] = json!(streams);
            assert!(StreamRecord::decode(&content).is_err(), "{streams}");
        }
        for content in [
            json!(null),
            json!([]),
            json!({ "period": -1, "batches": [] }),
        ] {
            assert!(StreamRecord::decode(&content).is_err(), "{content}");
        }
    }
}
