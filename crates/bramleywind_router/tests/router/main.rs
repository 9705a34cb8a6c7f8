//! Tests of a whole router against stand-ins in the same process.

mod harness;
mod whole_path;
