//! Output as tables or JSON.

use std::{
    io::Write,
    str::FromStr, //
};

use anyhow::Context as _;
use comfy_table::{
    presets,
    Table, //
};
use serde::Serialize;

use super::pretty;

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// Aligned columns.
    #[default]
    Table,
    /// JSON.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err("must be table or json".to_owned()),
        }
    }
}

/// Writer of results and warnings.
pub struct Printer<'a> {
    format: Format,
    out: &'a mut dyn Write,
    err: &'a mut dyn Write,
}

impl<'a> Printer<'a> {
    /// Creates a printer that writes results to `out` and warnings to `err`.
    pub fn new(format: Format, out: &'a mut dyn Write, err: &'a mut dyn Write) -> Self {
        Self { format, out, err }
    }

    /// Prints the result of a command: `text` as table output, `value` as JSON output.
    pub fn show(&mut self, text: &str, value: &impl Serialize) -> anyhow::Result<()> {
        match self.format {
            Format::Table => self.line(text),
            Format::Json => self.line(&pretty(value)?),
        }
    }

    /// Prints one of several results: a line of text, or the value as one line of JSON.
    pub fn event(&mut self, text: &str, value: &impl Serialize) -> anyhow::Result<()> {
        match self.format {
            Format::Table => self.line(text),
            Format::Json => self.line(&serde_json::to_string(value)?),
        }
    }

    fn line(&mut self, text: &str) -> anyhow::Result<()> {
        writeln!(self.out, "{text}")
            .and_then(|()| self.out.flush())
            .context("failed to write the output")
    }

    /// Prints a warning that is not part of the result.
    pub fn warn(&mut self, text: &str) {
        // A warning that can't be written doesn't invalidate the result.
        let _ = writeln!(self.err, "gypsumctl: {text}");
    }
}

/// Formats rows under a header.
pub fn table<const N: usize>(header: [&str; N], rows: Vec<[String; N]>) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(header);
    table.add_rows(rows);
    trim(&table)
}

/// Formats rows under a header whose length is known only at run time.
pub fn rows(header: &[String], rows: &[Vec<String>]) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(header);
    table.add_rows(rows);
    trim(&table)
}

/// Formats names and values, one pair a line.
pub fn pairs(rows: &[(&str, String)]) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.add_rows(rows.iter().map(|(name, value)| [*name, value.as_str()]));
    trim(&table)
}

fn trim(table: &Table) -> String {
    let lines: Vec<_> = table
        .lines()
        .map(|line| line.trim_end().to_owned())
        .collect();
    lines.join("\n")
}

/// Formats an optional value; `-` if it is absent.
pub fn or_dash<T: ToString>(value: &Option<T>) -> String {
    value.as_ref().map_or("-".to_owned(), T::to_string)
}

/// Returns the JSON string of a value, such as the outer name of an enum variant.
pub fn json_name(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
