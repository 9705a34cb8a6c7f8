//! Tests of a whole router against stand-ins in the same process.

mod bad_input;
mod drains;
mod engine_faults;
mod harness;
mod repeats;
mod whole_path;
