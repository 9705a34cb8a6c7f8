//! The body of an answer that is passed on in pieces. Guards against a truncated answer that looks complete.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use bramleywind_http::{AnswerBody, TruncatedAnswer};
use bytes::Bytes;
use http_body_util::BodyExt;
use test_case::test_case;

/// What is read of a body whose sender sends these pieces, and then finishes it or not.
fn read(pieces: Vec<&'static [u8]>, is_finished: bool) -> (usize, Result<(), TruncatedAnswer>) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (sender, mut body) = AnswerBody::in_pieces(8);
        for piece in pieces {
            sender.send(Bytes::from_static(piece)).await.unwrap();
        }
        if is_finished {
            sender.finish();
        } else {
            drop(sender);
        }
        let mut length = 0;
        loop {
            match body.frame().await {
                None => return (length, Ok(())),
                Some(Err(error)) => return (length, Err(error)),
                Some(Ok(frame)) => length += frame.into_data().unwrap().len(),
            }
        }
    })
}

#[test]
fn body_with_its_end_is_whole() {
    assert_eq!(read(vec![b"whole"], true), (5, Ok(())));
}

/// A relay that gave up, because its caller did not read until the deadline, left a body that ended as if it were whole.
#[test_case(0; "at once")]
#[test_case(1; "after a piece")]
#[test_case(3; "after some pieces")]
fn body_whose_relay_stops_is_truncated(count: usize) {
    assert_eq!(read(vec![b"part"; count], false), (4 * count, Err(TruncatedAnswer)));
}
