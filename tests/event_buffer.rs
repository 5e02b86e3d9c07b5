//! Events of a relayed stream, however its bytes are split and its lines end.

use bytes::Bytes;
use carobfield::path::event_buffer::{Buffering, EventBuffer};

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

/// Checks, for every size of the received pieces, that the first `complete` bytes of `stream` are its complete events.
fn assert_split(stream: &str, complete: usize, last: Option<u64>) {
    for size in 1..=stream.len().max(1) {
        let mut kept = EventBuffer::new(Buffering::CompleteEvents, None);
        let mut passed = EventBuffer::new(Buffering::None, None);
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
    let mut buffer = EventBuffer::new(Buffering::CompleteEvents, None);
    let push = |buffer: &mut EventBuffer, text: &'static str| {
        let data = buffer.push(Bytes::from_static(text.as_bytes()));
        data.expect("the event is small").unwrap_or_default()
    };
    let first = push(&mut buffer, "id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(*first, *b"id: 1\ndata: a\n\n");
    assert_eq!(buffer.last_event_id(), Some(1));
    buffer.discard_partial();
    assert!(!buffer.is_inside_event());
    let second = push(&mut buffer, "id: 2\ndata: b\n\n");
    assert_eq!(*second, *b"id: 2\ndata: b\n\n");
    assert_eq!(buffer.last_event_id(), Some(2));
    assert!(!buffer.is_inside_event());
}
