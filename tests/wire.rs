//! Wire format between processes: malformed, truncated and oversized messages are errors, never panics.

use arbtest::arbtest;
use bytes::BytesMut;
use carobfield::{
    ident::{ModelRef, RequestId},
    sse::EventParser,
    wire::{
        DispatchRequest, DispatchResponse, LENGTH_BYTES, MAX_MESSAGE_BYTES, Refusal, SyncHello,
        SyncUpdate, Work, decode, encode,
    },
};
use std::sync::Arc;

const SEEDS: u64 = 3_000;
const MESSAGE_BYTES: u64 = 512;

fn dispatch() -> DispatchRequest {
    DispatchRequest {
        id: RequestId(7),
        attempt: 2,
        upstream: Arc::from("engine-1"),
        owner: Arc::from("dyers"),
        class: carobfield::catalogue::Class::Batch,
        deadline_ms: 1_234,
        suspect: false,
        revision: 9,
        fingerprint: 99,
        work: Work::Generate {
            model: ModelRef::new("a", 1),
            body: Arc::from("{}"),
            chat: false,
        },
    }
}

#[test]
fn a_message_split_anywhere_is_decoded() {
    let encoded = encode(&dispatch()).expect("encodable message");
    for at in 0..encoded.len() {
        let mut buffer = BytesMut::from(&encoded[..at]);
        assert!(
            decode::<DispatchRequest>(&mut buffer)
                .expect("no error")
                .is_none(),
            "at {at}"
        );
        buffer.extend_from_slice(&encoded[at..]);
        assert_eq!(
            decode::<DispatchRequest>(&mut buffer).expect("no error"),
            Some(dispatch())
        );
        assert!(buffer.is_empty());
    }
}

#[test]
fn any_bytes_are_an_error_or_a_message() {
    for seed in 0..SEEDS {
        arbtest(|u| {
            let bytes = u.bytes(u.len())?.to_vec();
            let mut framed = (bytes.len() as u32).to_be_bytes().to_vec();
            framed.extend_from_slice(&bytes);
            for data in [&bytes, &framed] {
                drop(decode::<DispatchRequest>(&mut BytesMut::from(&**data)));
                drop(decode::<DispatchResponse>(&mut BytesMut::from(&**data)));
                drop(decode::<SyncUpdate>(&mut BytesMut::from(&**data)));
                drop(decode::<SyncHello>(&mut BytesMut::from(&**data)));
            }
            let mut events = EventParser::default();
            events.push(&bytes).expect("event within the size limit");
            while events.next_event().is_some() {}
            Ok(())
        })
        .seed(seed << 32 | MESSAGE_BYTES);
    }
}

#[test]
fn a_flipped_bit_never_causes_a_panic() {
    let encoded = encode(&dispatch()).expect("encodable message");
    for at in LENGTH_BYTES..encoded.len() {
        for bit in 0..8 {
            let mut bytes = encoded.clone();
            bytes[at] ^= 1 << bit;
            drop(decode::<DispatchRequest>(&mut BytesMut::from(&*bytes)));
        }
    }
}

#[test]
fn a_length_above_the_limit_is_refused_before_buffering() {
    let length = (MAX_MESSAGE_BYTES as u32 + 1).to_be_bytes();
    decode::<DispatchResponse>(&mut BytesMut::from(&length[..])).unwrap_err();
    let reply = DispatchResponse::Refused {
        reason: Refusal::Poison,
        retry_ms: 1,
        stall_ms: 0,
    };
    let mut long = encode(&reply).expect("encodable message");
    long[LENGTH_BYTES - 1] += 1;
    long.push(0);
    assert!(
        decode::<DispatchResponse>(&mut BytesMut::from(&*long)).is_err(),
        "trailing bytes are an error"
    );
}

#[test]
fn an_unterminated_event_is_bounded() {
    let mut events = EventParser::default();
    let chunk = vec![b'x'; 64 << 10];
    let accepted = (0..64).take_while(|_| events.push(&chunk).is_ok()).count();
    assert!(accepted <= 16, "{accepted} chunks of 64 KiB were buffered");
}
