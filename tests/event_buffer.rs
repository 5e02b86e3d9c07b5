//! Events of a relayed stream, however its bytes are split and its lines end.

use bytes::Bytes;
use carobfield::{
    byte_budget::{ByteAccount, ByteBudget},
    path::event_buffer::{Buffering, EventBuffer},
};

macro_rules! cases {
    ($($name:ident: $stream:literal, $complete:literal, $last:expr;)*) => {
        $(#[test]
        fn $name() { assert_split($stream, $complete, $last); })*
    };
}

cases! {
    no_event: "", 0, None;
    one_event: "id: 1\ndata: a\n\n", 15, Some(1);
    part_of_an_event: "id: 1\ndata: a\n\nid: 2\nda", 15, Some(1);
    an_event_without_its_blank_line: "id: 1\ndata: a\n\nid: 2\ndata: b\n", 15, Some(1);
    returns_and_line_feeds: "id: 1\r\ndata: a\r\n\r\nid: 2\r\n", 18, Some(1);
    returns: "id: 3\rdata: a\r\rid: 4\r", 15, Some(3);
    blank_lines_between_events: "\n\nid: 1\ndata: a\n\n\n", 18, Some(1);
}

macro_rules! resumed_cases {
    ($($name:ident: $last:expr, $stream:literal, $passed:literal;)*) => {
        $(#[test]
        fn $name() { assert_resumed($last, $stream, $passed); })*
    };
}

resumed_cases! {
    the_next_events: Some(5), "id: 6\ndata: a\n\nid: 7\ndata: b\n\n", 30;
    the_first_events: None, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 30;
    the_first_events_from_zero: None, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n", 30;
    comments_and_other_fields: Some(5), ": c\n\nversion: 3\nid: 6\ndata: a\n\n", 31;
    events_from_the_beginning: Some(5), "id: 1\ndata: a\n\n", 0;
    the_first_event_is_left_out: None, "id: 2\ndata: a\n\n", 0;
    an_event_is_left_out: Some(5), "id: 7\ndata: a\n\n", 0;
    a_later_event_is_left_out: Some(5), "id: 6\ndata: a\n\nid: 8\ndata: b\n\n", 15;
    the_last_event_again: Some(5), "id: 5\ndata: a\n\nid: 6\ndata: b\n\n", 0;
    an_event_twice: Some(5), "id: 6\ndata: a\n\nid: 6\ndata: a\n\n", 15;
    events_go_backwards: Some(5), "id: 6\ndata: a\n\nid: 5\ndata: b\n\n", 15;
    ids_that_are_no_numbers: Some(5), "id: x6\ndata: a\n\n", 0;
    no_id: Some(5), "data: a\n\nid: 6\ndata: b\n\n", 0;
    no_id_in_a_later_event: Some(5), "id: 6\ndata: a\n\ndata: b\n\n", 15;
    a_failed_response: Some(5), "HTTP/1.1 500 Failed\r\n\r\nfailed\n\n", 0;
    a_failed_response_after_an_event: Some(5), "id: 6\ndata: a\n\nHTTP/1.1 500 Failed\r\n\r\n", 15;
    no_event_follows_the_largest_id: Some(u64::MAX), "id: 0\ndata: a\n\n", 0;
}

/// Checks, for every size of the received pieces, that the first `passed` bytes of `stream` are passed on to a caller who has
/// got the events up to `last`, and no others.
fn assert_resumed(last: Option<u64>, stream: &str, passed: usize) {
    for size in 1..=stream.len() {
        let mut buffer = EventBuffer::new(Buffering::CompleteEvents, last, account());
        buffer.resume();
        let mut events = Vec::new();
        for piece in stream.as_bytes().chunks(size) {
            let Ok(some) = buffer.push(Bytes::copy_from_slice(piece)) else {
                break;
            };
            events.extend(some.unwrap_or_default());
        }
        assert_eq!(events, &stream.as_bytes()[..passed], "size {size}");
        let is_whole = passed == stream.len();
        assert_eq!(buffer.is_inside_event(), !is_whole, "size {size}");
        assert_eq!(buffer.check().is_ok(), is_whole, "size {size}");
    }
}

#[test]
fn a_stream_is_resumed_after_events_without_increasing_ids() {
    for stream in [
        "data: a\n\n",
        "id: 1\ndata: a\n\ndata: b\n\n",
        "id: 1\ndata: a\n\nid: x\ndata: b\n\n",
        "id: 2\ndata: a\n\nid: 2\ndata: b\n\n",
        "id: 1\ndata: a\n\ndata: b\n\nid: 3\ndata: c\n\n",
    ] {
        for size in 1..=stream.len() {
            let mut buffer = EventBuffer::new(Buffering::CompleteEvents, None, account());
            let mut events = Vec::new();
            for piece in stream.as_bytes().chunks(size) {
                let some = buffer.push(Bytes::copy_from_slice(piece));
                events.extend(some.expect("nothing is joined").unwrap_or_default());
            }
            assert_eq!(events, stream.as_bytes(), "size {size}");
            assert_eq!(buffer.last_event_id(), None, "{stream:?}");
            assert!(!buffer.can_resume(), "{stream:?}");
        }
    }
}

/// Checks, for every size of the received pieces, that the first `complete` bytes of `stream` are its complete events.
fn account() -> ByteAccount {
    ByteBudget::default().account()
}

fn assert_split(stream: &str, complete: usize, last: Option<u64>) {
    for size in 1..=stream.len().max(1) {
        let mut kept = EventBuffer::new(Buffering::CompleteEvents, None, account());
        let mut passed = EventBuffer::new(Buffering::None, None, account());
        let (mut events, mut bytes) = (Vec::new(), Vec::new());
        for piece in stream.as_bytes().chunks(size) {
            let piece = Bytes::copy_from_slice(piece);
            let some = kept.push(piece.clone()).expect("the event is small");
            events.extend(some.unwrap_or_default());
            let all = passed.push(piece).expect("the event is small");
            bytes.extend(all.unwrap_or_default());
        }
        assert_eq!(events, &stream.as_bytes()[..complete], "size {size}");
        assert_eq!(bytes, stream.as_bytes(), "size {size}");
        let is_inside = complete < stream.len();
        assert_eq!(kept.is_inside_event(), is_inside, "size {size}");
        assert_eq!(passed.is_inside_event(), is_inside, "size {size}");
        assert_eq!(kept.last_event_id(), last, "size {size}");
    }
}

#[test]
fn a_broken_stream_resumes_after_its_last_complete_event() {
    let mut buffer = EventBuffer::new(Buffering::CompleteEvents, None, account());
    let push = |buffer: &mut EventBuffer, text: &'static str| {
        let data = buffer.push(Bytes::from_static(text.as_bytes()));
        data.expect("the event is small").unwrap_or_default()
    };
    let first = push(&mut buffer, "id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(*first, *b"id: 1\ndata: a\n\n");
    assert_eq!(buffer.last_event_id(), Some(1));
    buffer.resume();
    assert!(!buffer.is_inside_event());
    let second = push(&mut buffer, "id: 2\ndata: b\n\n");
    assert_eq!(*second, *b"id: 2\ndata: b\n\n");
    assert_eq!(buffer.last_event_id(), Some(2));
    assert!(!buffer.is_inside_event());
}
