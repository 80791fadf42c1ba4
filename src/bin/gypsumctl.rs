//! Command-line tool for operators.

use std::{
    io,
    process::ExitCode, //
};

use gypsumlever::ctl;

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    let variable = std::env::var(ctl::SERVER_VARIABLE).ok();
    let (mut out, mut err) = (io::stdout(), io::stderr());
    let run = ctl::run(arguments, variable, &mut out, &mut err);
    ExitCode::from(actix_web::rt::System::new().block_on(run))
}
