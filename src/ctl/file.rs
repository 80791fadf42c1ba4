//! Contract files.

use std::{
    fs,
    path::Path, //
};

use crate::{
    config::{
        self,
        location,
        Faults, //
    },
    contract::{
        Contract,
        Fault,
        Raw, //
    },
    name::{
        Class,
        MAX_BYTES, //
    },
};

use super::failure::Failure;

/// Reads a contract file and validates it with the rules that instances apply.
pub fn read(path: &Path) -> Result<Raw, Failure> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path)
        .map_err(|error| Failure::Usage(format!("{file} can't be read: {error}")))?;
    parse(&file, &text).map_err(|faults| Failure::Usage(faults.to_string()))
}

/// Parses and validates a contract; `file` names it in faults.
pub fn parse(file: &str, text: &str) -> Result<Raw, Faults> {
    let faults = |fault| Faults {
        file: file.to_owned(),
        list: vec![fault],
    };
    let raw: Raw =
        serde_saphyr::from_str(text).map_err(|error| faults(location::fault(text, &error)))?;
    match Contract::try_from(raw.clone()) {
        Ok(_) => Ok(raw),
        Err(fault) => {
            let mut list = [to_config_fault(&raw, &fault)];
            location::locate(text, &mut list);
            let [fault] = list;
            Err(faults(fault))
        }
    }
}

/// Converts a fault of a contract to one with the path of the field.
fn to_config_fault(raw: &Raw, fault: &Fault) -> config::Fault {
    let (path, message) = match fault {
        Fault::Customer(invalid) => (
            "customer".to_owned(),
            format!("{invalid}; at most {MAX_BYTES} bytes are allowed"),
        ),
        Fault::Share(_) => ("share".to_owned(), message(fault)),
        Fault::Zero("classes.deadline_ms") => {
            let at = raw.classes.iter().position(|entry| entry.deadline_ms == 0);
            let path = format!("classes[{}].deadline_ms", at.unwrap_or(0));
            (path, message(fault))
        }
        Fault::Zero(field) => ((*field).to_owned(), message(fault)),
        Fault::DuplicateClass(class) => {
            let path = format!("classes[{}].class", second_index(raw, class));
            (path, format!("{class} is listed twice; remove one entry"))
        }
        Fault::Digest => ("key_sha256".to_owned(), message(fault)),
    };
    config::Fault {
        path,
        line: 0,
        message,
    }
}

/// Returns the message without the leading name of the field.
fn message(fault: &Fault) -> String {
    let text = fault.to_string();
    let message = text.split_once(": ").map(|(_, message)| message.to_owned());
    message.unwrap_or(text)
}

fn second_index(raw: &Raw, class: &Class) -> usize {
    let found = raw.classes.iter().enumerate();
    let mut found = found.filter(|(_, entry)| entry.class == *class);
    found.nth(1).map_or(0, |(at, _)| at)
}
