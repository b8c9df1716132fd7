//! Whatever a peer sends, decoding it ends with a value or an error.

use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use stair_types::{
    FencingToken,
    RequestId, //
};
use stair_wire::{
    control::{
        AgentControl,
        EntryControl,
        LoadSlotReply,
        Opening,
        PeerRequest, //
    },
    frame::{
        self,
        Error,
        Frame,
        MAX_BODY_BYTES,
        MAX_MESSAGE_BYTES, //
    },
    request::{
        FromAgent,
        ToAgent, //
    },
};

/// Decodes the bytes as every kind of message, and as a body.
async fn decode_as_all(bytes: &[u8]) {
    let _ = frame::read::<_, ToAgent>(&mut &bytes[..]).await;
    let _ = frame::read::<_, FromAgent>(&mut &bytes[..]).await;
    let _ = frame::read::<_, Opening>(&mut &bytes[..]).await;
    let _ = frame::read::<_, AgentControl>(&mut &bytes[..]).await;
    let _ = frame::read::<_, EntryControl>(&mut &bytes[..]).await;
    let _ = frame::read::<_, PeerRequest>(&mut &bytes[..]).await;
    let _ = frame::read::<_, LoadSlotReply>(&mut &bytes[..]).await;
    let _ = frame::read_body(&mut &bytes[..]).await;
}

fn block_on<F>(f: F) -> F::Output
where
    F: Future,
{
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.expect("a runtime starts").block_on(f)
}

fn framed(payload: &[u8], tag: u8) -> Vec<u8> {
    let len = u32::try_from(payload.len()).expect("it is short");
    let mut bytes = len.to_be_bytes().to_vec();
    bytes.push(tag);
    bytes.extend_from_slice(payload);
    bytes
}

fn resume() -> Vec<u8> {
    let mut bytes = Vec::new();
    let msg = ToAgent::Resume {
        id: RequestId(7),
        offset: 9,
        incarnation: FencingToken(3),
    };
    block_on(frame::write_message(&mut bytes, &msg)).expect("it is short");
    bytes
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        block_on(decode_as_all(&bytes));
    }

    // The frame is right and its content is not.
    #[test]
    fn any_content(content in prop::collection::vec(any::<u8>(), 0..400), tag in 0..3_u8) {
        block_on(decode_as_all(&framed(&content, tag)));
    }

    // Lengths inside a message are the first thing that a hostile peer lies about. If they decided
    // how much memory is set aside, one frame would end the process.
    #[test]
    fn huge_inner_lengths(start in 0..8_u8, rest in prop::collection::vec(128..=255_u8, 1..12)) {
        let mut content = vec![start];
        content.extend(rest);
        content.push(0x7f);
        block_on(decode_as_all(&framed(&content, 0)));
    }

    #[test]
    fn changed_message(at in 0..16_usize, byte in any::<u8>(), cut in 0..16_usize) {
        let mut bytes = resume();
        let at = at % bytes.len();
        bytes[at] = byte;
        bytes.truncate(bytes.len() - cut % bytes.len());
        block_on(decode_as_all(&bytes));
    }

    // A frame that announces more than allowed is refused by its header alone.
    #[test]
    fn long_announced(len in any::<u32>(), tag in 0..2_u8) {
        let limit = match tag {
            0 => MAX_MESSAGE_BYTES,
            _ => MAX_BODY_BYTES,
        };
        let mut bytes = len.to_be_bytes().to_vec();
        bytes.push(tag);
        let result = block_on(frame::read::<_, ToAgent>(&mut &bytes[..]));
        match result {
            Err(Error::TooLong { found, .. }) => prop_assert!(found > limit),
            Err(Error::Io(_)) => prop_assert!(len > 0 && len as usize <= limit),
            Err(Error::Decode(_)) | Ok(Frame::Body(_)) => prop_assert_eq!(len, 0),
            other => prop_assert!(false, "{other:?}"),
        }
    }
}
