//! Tests of a whole router against stand-ins in the same process.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking, also in its helpers")]

mod bad_input;
mod drains;
mod end_to_end;
mod engine_faults;
mod harness;
mod orders;
mod repeats;
