//! The body of an answer that is passed on in pieces. Guards against a truncated answer that looks complete.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use bramleywind_gateway::forward::{AnswerBody, AnswerPiece, TruncatedAnswer};
use bytes::Bytes;
use http_body_util::BodyExt;
use test_case::test_case;

/// What is read of a body whose relay task sends these pieces and then stops.
fn read(pieces: Vec<AnswerPiece>) -> (usize, Result<(), TruncatedAnswer>) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (sender, receiver) = async_channel::bounded(8);
        let relay = compio::runtime::spawn(async move {
            for piece in pieces {
                sender.send(piece).await.unwrap();
            }
        });
        let mut body = AnswerBody::Relayed { pieces: Box::pin(receiver), relay };
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
    let pieces = vec![AnswerPiece::Data(Bytes::from_static(b"whole")), AnswerPiece::End];
    assert_eq!(read(pieces), (5, Ok(())));
}

/// A relay that gave up, because its caller did not read until the deadline, left a body that ended as if it were whole.
#[test_case(0; "at once")]
#[test_case(1; "after a piece")]
#[test_case(3; "after some pieces")]
fn body_whose_relay_stops_is_truncated(count: usize) {
    let pieces = vec![AnswerPiece::Data(Bytes::from_static(b"part")); count];
    assert_eq!(read(pieces), (4 * count, Err(TruncatedAnswer)));
}
