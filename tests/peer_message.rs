//! Encoding of messages between peers, and the handshake that proves the peer key.

use bytes::Bytes;
use figloft::connection::peer_handshake::{self, LinkSide, PeerHello, PeerKey};
use figloft::connection::peer_message::{
    self, EntriesBody, MAX_MESSAGE_BYTES, PeerMessage, PingBody, PongBody,
};
use figloft::error::ErrorKind;
use figloft::model::id::Revision;
use figloft::policy::session_view::ViewAnswer;
use proptest::prelude::*;
use std::time::Duration;

/// Guards against links that break because a daemon of a later version sends new messages.
#[test]
fn unknown_kinds_and_versions_are_skipped() {
    let later = peer_message::encode("levitate", &7).expect("encode");
    assert_eq!(PeerMessage::decode(&later), Ok(None));
    let ping = PeerMessage::Ping(PingBody { number: 1 });
    let bytes = ping.encode().expect("encode");
    assert_eq!(PeerMessage::decode(&bytes), Ok(Some(ping)));
    let mut value: ciborium::Value = ciborium::from_reader(bytes.as_ref()).expect("CBOR");
    let version = value
        .as_map_mut()
        .expect("map")
        .iter_mut()
        .find(|(key, _)| key.as_text() == Some("v"));
    version.expect("version").1 = 2.into();
    let mut changed = Vec::new();
    ciborium::into_writer(&value, &mut changed).expect("CBOR");
    assert_eq!(PeerMessage::decode(&changed), Ok(None));
}

/// Guards against messages so large that they exhaust a peer's memory.
#[test]
fn oversized_messages_are_refused_on_both_sides() {
    let entries = vec![Bytes::from(vec![0; MAX_MESSAGE_BYTES + 1])];
    let error = PeerMessage::Entries(EntriesBody { entries })
        .encode()
        .expect_err("too large");
    assert_eq!(error.kind(), ErrorKind::TooLarge);
    let error = PeerMessage::decode(&vec![0; MAX_MESSAGE_BYTES + 1]).expect_err("too large");
    assert_eq!(error.kind(), ErrorKind::BadMessage);
}

/// Guards against rounding that makes a view look younger, or a contact with the store older, than it is.
#[test]
fn ages_are_rounded_to_the_safe_side() {
    let age = Duration::from_micros(1500);
    let answer = ViewAnswer {
        revision: Revision::new(4),
        view_age: Some(age),
        store_contact_age: Some(age),
    };
    let bytes = PeerMessage::Pong(PongBody { number: 1, answer })
        .encode()
        .expect("encode");
    let Ok(Some(PeerMessage::Pong(pong))) = PeerMessage::decode(&bytes) else {
        panic!("a pong is expected");
    };
    assert_eq!(pong.answer.revision, Revision::new(4));
    assert!(pong.answer.view_age >= Some(age));
    assert!(pong.answer.store_contact_age.is_some_and(|sent| sent <= age));
}

/// Guards against a proof that is replayed on another link, in the other direction or for another session.
#[test]
fn a_proof_is_valid_for_one_link_and_side() {
    let key = PeerKey::new(b"a shared peer key").expect("key");
    let hello = |name: &str| PeerHello::new(name.parse().expect("name"), "z".parse().expect("name"));
    let (dialling, accepting) = (hello("a"), hello("b"));
    let proof = peer_handshake::make_proof(&key, LinkSide::Dialling, &dialling, &accepting).expect("proof");
    let check = |side, first: &PeerHello, second: &PeerHello| {
        peer_handshake::check_proof(&key, side, first, second, &proof)
    };
    check(LinkSide::Dialling, &dialling, &accepting).expect("the proof is right");
    assert!(check(LinkSide::Accepting, &dialling, &accepting).is_err());
    assert!(check(LinkSide::Dialling, &dialling, &hello("b")).is_err());
    assert!(check(LinkSide::Dialling, &hello("c"), &accepting).is_err());
    let error = PeerKey::new(b"short").expect_err("too short");
    assert_eq!(error.kind(), ErrorKind::BadRecord);
}

proptest! {
    /// Guards against a panic on malformed bytes from a faulty or hostile peer.
    #[test]
    fn arbitrary_bytes_are_rejected_or_skipped(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let message = PeerMessage::decode(&bytes);
        prop_assert!(!matches!(message, Ok(Some(PeerMessage::Request(_)))));
    }
}
