//! Start and end of a process: signals, waits of the start, supervised tasks, and why it ends.

pub mod end;
pub mod file;
pub mod listen;
pub mod output;
pub mod signals;
pub mod tally;
pub mod task;

pub use end::End;
pub use signals::{
    Request,
    Signals, //
};
