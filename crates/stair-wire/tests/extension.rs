//! Extensions of messages from other releases.

use std::{
    future::Future,
    pin::pin,
    task::{
        Context,
        Poll,
        Waker, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};
use stair_wire::frame;

#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct Before {
    first: bool,
}

#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct Now {
    first: bool,
    added: bool,
    list: Vec<u64>,
}

/// Polls a future that never waits.
fn ready<F>(f: F) -> F::Output
where
    F: Future,
{
    match pin!(f).poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(result) => result,
        Poll::Pending => panic!("it waits"),
    }
}

/// A process of the release before sends a shorter extension; an error would end its link again and again.
#[test]
fn of_the_release_before() {
    let mut bytes = Vec::new();
    ready(frame::write_extended(
        &mut bytes,
        &7_u64,
        &Before { first: true },
    ))
    .expect("written");
    let (msg, ext): (u64, Now) = ready(frame::read_extended(&mut &bytes[..])).expect("read");
    let expected = Now {
        first: true,
        ..Now::default()
    };
    assert_eq!((msg, ext), (7, expected));
}

#[test]
fn to_the_release_before() {
    let mut bytes = Vec::new();
    let ext = Now {
        first: true,
        added: true,
        list: vec![1, 2],
    };
    ready(frame::write_extended(&mut bytes, &7_u64, &ext)).expect("written");
    let (msg, ext): (u64, Before) = ready(frame::read_extended(&mut &bytes[..])).expect("read");
    assert_eq!((msg, ext), (7, Before { first: true }));
    let (msg, ext): (u64, ()) = ready(frame::read_extended(&mut &bytes[..])).expect("read");
    assert_eq!((msg, ext), (7, ()));
}
