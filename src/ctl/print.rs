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
    /// Columns for people.
    #[default]
    Table,
    /// JSON for programs.
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

/// Where output and notes go.
pub struct Printer<'a> {
    format: Format,
    out: &'a mut dyn Write,
    notes: &'a mut dyn Write,
}

impl<'a> Printer<'a> {
    /// Returns a printer; `notes` receives what is not part of the result.
    pub fn new(format: Format, out: &'a mut dyn Write, notes: &'a mut dyn Write) -> Self {
        Self { format, out, notes }
    }

    /// Prints text for people, or a value for programs.
    pub fn show(&mut self, text: &str, value: &impl Serialize) -> anyhow::Result<()> {
        match self.format {
            Format::Table => self.line(text),
            Format::Json => self.line(&pretty(value)?),
        }
    }

    /// Prints one event of many: text for people, or a line of JSON for programs.
    pub fn event(&mut self, text: &str, value: &impl Serialize) -> anyhow::Result<()> {
        match self.format {
            Format::Table => self.line(text),
            Format::Json => self.line(&serde_json::to_string(value)?),
        }
    }

    fn line(&mut self, text: &str) -> anyhow::Result<()> {
        writeln!(self.out, "{text}")
            .and_then(|()| self.out.flush())
            .context("the output can't be written")
    }

    /// Tells people something that is not part of the result.
    pub fn note(&mut self, text: &str) {
        // A note that can't be written doesn't make the result wrong.
        let _ = writeln!(self.notes, "gypsumctl: {text}");
    }
}

/// Formats rows under a header.
pub fn table<const N: usize>(header: [&str; N], rows: Vec<[String; N]>) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(header);
    table.add_rows(rows);
    trim(&table)
}

/// Formats names and values, one a line.
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

/// Formats a value that may be absent.
pub fn or_dash<T: ToString>(value: &Option<T>) -> String {
    value.as_ref().map_or("-".to_owned(), T::to_string)
}

/// Returns the name that a value has in JSON.
pub fn word(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
