//! Runs one stand-in as a process.

fn main() -> anyhow::Result<()> {
    standin::command::main()
}
