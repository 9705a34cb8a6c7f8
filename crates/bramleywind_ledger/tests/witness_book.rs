//! The witness side: a copy is a prefix of the holder's log, and a seal is for good.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use bramleywind_ledger::{
    AppendOutcome, JournalBatch, JournalEntry, JournalSnapshot, SealOutcome, SealReport, WitnessId,
    WitnessStore,
};
use bramleywind_types::{BudgetId, IncarnationId, JournalSequence, TokenCount};
use test_case::test_case;

fn own(run: u64) -> WitnessId {
    WitnessId { instance: "akl-b-1".parse().unwrap(), run: IncarnationId::from_number(run) }
}

fn budget() -> BudgetId {
    "ferries".parse().unwrap()
}

fn batch(first: u64, tokens: &[u64]) -> JournalBatch {
    let reserve = |tokens: &u64| JournalEntry::Reserve {
        budget: budget(),
        tokens: TokenCount(*tokens),
        key: None,
    };
    JournalBatch {
        incarnation: IncarnationId::from_number(1),
        first: JournalSequence(first),
        entries: tokens.iter().map(reserve).collect(),
    }
}

/// Guards against a copy with a hole, which a reclaimer would take for the whole journal, and against
/// entries that a repeated message counts twice.
#[test_case(2, &[1], AppendOutcome::Accepted, 31 ; "next entry")]
#[test_case(0, &[10, 20], AppendOutcome::Accepted, 30 ; "repeated")]
#[test_case(1, &[20, 5], AppendOutcome::Accepted, 35 ; "overlapping")]
#[test_case(3, &[5], AppendOutcome::Gap { expected: JournalSequence(2) }, 30 ; "after a gap")]
fn append_keeps_a_prefix(first: u64, tokens: &[u64], expected: AppendOutcome, open: u64) {
    let mut book = WitnessStore::new(own(7));
    assert_eq!(book.append(&own(7), &batch(0, &[10, 20])), AppendOutcome::Accepted);
    assert_eq!(book.append(&own(7), &batch(first, tokens)), expected);
    let SealOutcome::Sealed(journal) = book.seal(&own(7), IncarnationId::from_number(1)) else {
        panic!("the seal was refused");
    };
    let total: TokenCount = journal.budgets[&budget()].open.values().map(|open| open.tokens).sum();
    assert_eq!(total, TokenCount(open));
}

/// Guards against an entry that is acknowledged after the reclaimer took the journal.
#[test]
fn a_seal_refuses_everything_later() {
    let mut book = WitnessStore::new(own(7));
    let incarnation = IncarnationId::from_number(1);
    let sealed = book.seal(&own(7), incarnation);
    assert_eq!(sealed, SealOutcome::Sealed(JournalSnapshot::empty(incarnation)));
    assert_eq!(book.append(&own(7), &batch(0, &[10])), AppendOutcome::Sealed);
    let mut snapshot = JournalSnapshot::empty(incarnation);
    snapshot.next = JournalSequence(4);
    assert_eq!(book.snapshot(&own(7), &snapshot), AppendOutcome::Sealed);
    assert_eq!(book.seal(&own(7), incarnation), sealed);
}

/// Guards against a restarted process that passes for the witness whose journals it has lost.
#[test]
fn another_run_is_not_the_witness() {
    let mut book = WitnessStore::new(own(8));
    let incarnation = IncarnationId::from_number(1);
    let snapshot = JournalSnapshot::empty(incarnation);
    assert_eq!(book.append(&own(7), &batch(0, &[10])), AppendOutcome::WrongRun);
    assert_eq!(book.snapshot(&own(7), &snapshot), AppendOutcome::WrongRun);
    assert_eq!(book.seal(&own(7), incarnation), SealOutcome::WrongRun);
    assert!(book.is_empty());
}

/// Guards against a late snapshot that takes acknowledged entries away.
#[test]
fn an_older_snapshot_changes_nothing() {
    let mut book = WitnessStore::new(own(7));
    let incarnation = IncarnationId::from_number(1);
    book.append(&own(7), &batch(0, &[10, 20]));
    let snapshot = JournalSnapshot::empty(incarnation);
    assert_eq!(book.snapshot(&own(7), &snapshot), AppendOutcome::Accepted);
    let SealOutcome::Sealed(journal) = book.seal(&own(7), incarnation) else {
        panic!("the seal was refused");
    };
    assert_eq!(journal.next, JournalSequence(2));
}

/// Guards against a report that misses entries which only one witness has.
#[test]
fn a_report_takes_the_longest_copy() {
    let incarnation = IncarnationId::from_number(1);
    let mut long = JournalSnapshot::empty(incarnation);
    batch(0, &[10, 20]).entries.iter().for_each(|entry| assert!(long.apply(entry)));
    let short = JournalSnapshot::empty(incarnation);
    let report = SealReport::from_journals([short, long.clone()]).unwrap();
    assert_eq!(report.journalled(&budget()), long.budgets[&budget()]);
    assert_eq!(SealReport::from_journals([]), None);
}
