//! Tests of complete routers with stand-ins for the platform, all in one process.

#![allow(clippy::unwrap_used, reason = "helpers fail a test by panicking")]

mod bad_input;
mod drains;
mod end_to_end;
mod engine_faults;
mod harness;
mod orders;
mod repeats;
