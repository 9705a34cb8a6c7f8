//! Streamed response bodies. Guards against a truncated response that looks complete.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use bramleywind_http::{ResponseBody, TruncatedBody};
use bytes::Bytes;
use http_body_util::BodyExt;
use test_case::test_case;

/// Sends the chunks, finishes the body or drops its sender, and returns how many bytes were read and how the body
/// ended.
fn read_body(chunks: Vec<&'static [u8]>, is_finished: bool) -> (usize, Result<(), TruncatedBody>) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (sender, mut body) = ResponseBody::streamed(8);
        for chunk in chunks {
            sender.send(Bytes::from_static(chunk)).await.unwrap();
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
fn finished_body_is_complete() {
    assert_eq!(read_body(vec![b"whole"], true), (5, Ok(())));
}

/// Guards against a body that ends as if it were complete, after its relay gave up on a caller that did not read until
/// the deadline.
#[test_case(0; "at once")]
#[test_case(1; "after a chunk")]
#[test_case(3; "after some chunks")]
fn body_whose_sender_is_dropped_is_truncated(count: usize) {
    assert_eq!(read_body(vec![b"part"; count], false), (4 * count, Err(TruncatedBody)));
}
