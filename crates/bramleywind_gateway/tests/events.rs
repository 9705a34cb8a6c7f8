//! Tests the splitting of event streams. Guards against a resumed stream in which the pieces of two runs are joined
//! within an event.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use bramleywind_gateway::{forward::EventScanner, platform_api::EventId};
use proptest::prelude::*;
use test_case::test_case;

#[test_case(b"id: 1\ndata: a\n\n", 1, Some(1), b""; "one complete event")]
#[test_case(b"id: 1\ndata: a\n\nid: 2\ndata", 1, Some(1), b"id: 2\ndata"; "one complete event and part of another")]
#[test_case(b"id: 1\r\ndata: a\r\n\r\n", 1, Some(1), b""; "carriage returns")]
#[test_case(b"data: a\n\n", 1, None, b""; "no id")]
#[test_case(b"id: x\n\n", 1, None, b""; "an id that is not a number")]
#[test_case(b"id: 1\ndata: a\n", 0, None, b"id: 1\ndata: a\n"; "no blank line yet")]
#[test_case(b"\n", 1, None, b""; "an empty event")]
fn complete_events_of_a_piece(piece: &[u8], count: u64, last_id: Option<u64>, rest: &[u8]) {
    let mut scanner = EventScanner::default();
    let events = scanner.push(piece);
    assert_eq!((events.count, events.last_id), (count, last_id.map(EventId)));
    assert_eq!(&scanner.take_pending()[..], rest);
}

proptest! {
    /// The same events are returned however the bytes are split in transit, and no bytes are lost or repeated.
    #[test]
    fn splits_do_not_change_the_events(
        bytes in proptest::collection::vec(prop_oneof![Just(b'\n'), Just(b'\r'), Just(b'i'), any::<u8>()], 0..400),
        split_lengths in proptest::collection::vec(1_usize..20, 1..40),
    ) {
        let mut reference = EventScanner::default();
        let expected = reference.push(&bytes);
        let mut scanner = EventScanner::default();
        let (mut forwarded, mut count, mut start) = (Vec::new(), 0, 0);
        for length in split_lengths.iter().cycle() {
            if start == bytes.len() {
                break;
            }
            let end = (start + length).min(bytes.len());
            let events = scanner.push(&bytes[start..end]);
            forwarded.extend_from_slice(&events.bytes);
            count += events.count;
            start = end;
        }
        prop_assert_eq!(&forwarded[..], &expected.bytes[..]);
        prop_assert_eq!(count, expected.count);
        forwarded.extend_from_slice(&scanner.take_pending());
        prop_assert_eq!(forwarded, bytes);
    }
}

/// An event that is forwarded in pieces must be counted and charged once.
#[test]
fn large_event_ends_once() {
    let mut scanner = EventScanner::default();
    let begin = [&b"id: 7\ndata: "[..], &[b'x'; 70_000]].concat();
    let first = scanner.push(&begin);
    assert_eq!((first.bytes.len(), first.count), (begin.len(), 0));
    let last = scanner.push(b"\n\nid: 8\n");
    assert_eq!((&last.bytes[..], last.count, last.last_id), (&b"\n\n"[..], 1, Some(EventId(7))));
}

/// The time within which a large event has to be searched, far below the target for a first event.
const MAX_SEARCH_TIME: Duration = Duration::from_millis(500);

/// An incomplete event must not be searched from its begin for each byte that arrives.
#[test]
fn event_in_many_pieces_is_searched_once() {
    let mut scanner = EventScanner::default();
    let begin = Instant::now();
    for _ in 0..60_000 {
        assert_eq!(scanner.push(b"x").count, 0);
    }
    assert!(begin.elapsed() < MAX_SEARCH_TIME, "{:?}", begin.elapsed());
}
