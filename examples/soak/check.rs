//! Content of streams, and checks of the events that a client receives.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Software versions of engines; each has content of its own.
pub const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

/// Fewest events of a stream.
const MIN_EVENTS: u64 = 4;

/// Number of lengths that streams have.
const LENGTHS: u64 = 24;

/// How the lines of an event are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Form {
    /// One line for each field.
    Plain,
    /// Lines end with a carriage return too.
    Crlf,
    /// Comments come before and in the event.
    Comments,
    /// The data has several lines.
    Lines,
}

/// Returns where the first event of some bytes ends, with its empty line.
pub fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(length) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let line = &bytes[start..start + length];
        start += length + 1;
        if line.is_empty() || line == b"\r" {
            return Some(start);
        }
    }
    None
}

/// What a stream consists of: it depends on the request, the service and the software version only.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Content {
    hash: u64,
    /// Number of events.
    pub total: u64,
    /// Characters that each event holds besides.
    padding: usize,
}

impl Content {
    /// Returns the content of the answer of a service to a body.
    ///
    /// A body may state the padding, as in `padding=2000`.
    pub fn new(service: &str, version: &str, body: &str) -> Self {
        let text = format!("{service} {version} {body}");
        let hash = xxh3_64_with_seed(text.as_bytes(), 0);
        let field = |name: &str| {
            let value = body.split(' ').find_map(|word| word.strip_prefix(name));
            value.and_then(|value| value.parse().ok()).unwrap_or(0)
        };
        Self {
            hash,
            total: MIN_EVENTS + hash % LENGTHS,
            padding: field("padding="),
        }
    }

    /// Returns an event, with the identifier of the run that makes it.
    pub fn event(&self, number: u64, run: &str) -> String {
        let data = self.data(number);
        format!("id: {number}\ndata: {data} run={run}\n\n")
    }

    /// As `event`; the identifier of the run has to end with the form's name.
    pub fn event_in(&self, form: Form, number: u64, run: &str) -> String {
        let event = self.event(number, run);
        match form {
            Form::Plain => event,
            Form::Crlf => event.replace('\n', "\r\n"),
            Form::Comments => {
                let event = event.replace("\ndata: ", "\n: id\ndata: ");
                format!(": comment\n\n: comment é\n{event}")
            }
            // The first spaces are those of the fields.
            Form::Lines => event
                .replacen(" of ", "\ndata: of ", 1)
                .replace(" run=", "\ndata: run="),
        }
    }

    /// Returns the part of an event that does not depend on its run.
    fn data(&self, number: u64) -> String {
        let Self {
            hash,
            total,
            padding,
        } = *self;
        let filling: String = "xé漢".chars().cycle().take(padding).collect();
        format!("{hash:016x} {number} of {total} {filling}")
    }
}

/// Kind of a finding.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// An event is missing.
    Missing,
    /// An event comes again, or its number is lower than that of the one before it.
    Repeated,
    /// The stream ends as complete before its last event.
    EarlyEnd,
    /// An event, or the head, belongs to another request.
    Foreign,
    /// An event is from another software version than the events before it.
    Version,
    /// As `Version`, after a resumption that does not name the request that it resumes.
    UnnamedVersion,
    /// Events of a stream that can't be resumed are from several runs, or a run comes again after
    /// another one.
    Runs,
    /// A success without the signature of an engine.
    Unsigned,
    /// An engine ran a request that no client sent.
    Unasked,
    /// A request that may run once only ran more often.
    Twice,
    /// A request whose answer promises that it does not run has run.
    Refused,
    /// Requests run on more engines than they may, or with more time than is left.
    Budget,
    /// A request reached an engine long after the report that it drains.
    Drain,
    /// An answer came long after the deadline.
    Late,
    /// There was neither an answer nor the end of the connection.
    Unanswered,
    /// Connections ended without an answer.
    Lost,
    /// An instance ended although it was not asked to.
    Ended,
    /// An instance ended with a failure after SIGTERM.
    Status,
    /// An instance did not end within the grace period.
    Overdue,
    /// An instance is not ready long after its start.
    NotReady,
    /// A thread or a task of an instance panicked.
    Panic,
    /// An instance has more memory than its machine.
    Memory,
}

/// Checks the head of a success: it names its request, and the engine signed it.
pub fn head(request: &str, named: Option<&str>, signed: bool) -> Result<(), Kind> {
    match (named == Some(request), signed) {
        (true, true) => Ok(()),
        (false, _) => Err(Kind::Foreign),
        (true, false) => Err(Kind::Unsigned),
    }
}

/// Checks the events of one stream, over all requests that the client sends for it.
#[derive(Clone, Debug)]
pub struct Checker {
    contents: Vec<Content>,
    resumable: bool,
    /// Whether the current request resumes the stream without a name of the one before.
    unnamed: bool,
    /// Content of the version that the events are from.
    content: Option<Content>,
    last: u64,
    /// Runs that made events, in order of their first event.
    runs: Vec<String>,
}

impl Checker {
    /// Returns a checker for the answer of a service to a body.
    pub fn new(service: &str, body: &str, resumable: bool) -> Self {
        let contents = VERSIONS.iter();
        Self {
            contents: contents
                .map(|version| Content::new(service, version, body))
                .collect(),
            resumable,
            unnamed: false,
            content: None,
            last: 0,
            runs: Vec::new(),
        }
    }

    /// Returns the number of the last event received; 0 if there was none.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Returns whether all events were received.
    pub fn complete(&self) -> bool {
        self.content
            .is_some_and(|content| content.total == self.last)
    }

    /// Returns the runs that made events.
    pub fn runs(&self) -> &[String] {
        &self.runs
    }

    /// Notes that the next events answer a request that resumes the stream.
    pub fn resume(&mut self, named: bool) {
        self.unnamed = !named;
    }

    /// Checks an event with its empty line.
    pub fn event(&mut self, text: &str) -> Result<(), Kind> {
        let fields = Fields::parse(text).ok_or(Kind::Foreign)?;
        if fields == Fields::default() {
            // It has comments only.
            return Ok(());
        }
        let (number, data, run) = fields.event().ok_or(Kind::Foreign)?;
        // Events are passed on as they are.
        if text.contains('\r') != run.ends_with("Crlf") {
            return Err(Kind::Foreign);
        }
        let is_from = |content: &&Content| content.data(number) == data;
        let Some(content) = self.contents.iter().find(is_from).copied() else {
            let known = self
                .content
                .filter(|content| data.starts_with(&content.start()));
            // The number is not that of the content.
            return Err(known.map_or(Kind::Foreign, |_| Kind::Repeated));
        };
        let result = self.sequence(content, number, run);
        self.content = self.content.or(Some(content));
        self.last = number;
        if self.runs.last().is_none_or(|last| last != run) {
            self.runs.push(run.to_owned());
        }
        result
    }

    fn sequence(&self, content: Content, number: u64, run: &str) -> Result<(), Kind> {
        if self.content.is_some_and(|known| known != content) {
            return Err(match self.unnamed {
                true => Kind::UnnamedVersion,
                false => Kind::Version,
            });
        }
        if number <= self.last {
            return Err(Kind::Repeated);
        }
        if number > self.last + 1 {
            return Err(Kind::Missing);
        }
        let other = self.runs.last().is_some_and(|last| last != run);
        if other && (!self.resumable || self.runs.iter().any(|before| before == run)) {
            return Err(Kind::Runs);
        }
        Ok(())
    }

    /// Checks an answer that ended as complete; `rest` is what follows the last whole event.
    pub fn end(&self, rest: &[u8]) -> Result<(), Kind> {
        match self.complete() && rest.is_empty() {
            true => Ok(()),
            false => Err(Kind::EarlyEnd),
        }
    }
}

impl Content {
    /// Returns the beginning of the data of each event.
    fn start(&self) -> String {
        format!("{:016x} ", self.hash)
    }
}

/// Fields of an event.
#[derive(Debug, Default, Eq, PartialEq)]
struct Fields {
    id: Option<u64>,
    /// Lines of the data, separated by spaces.
    data: Option<String>,
}

impl Fields {
    /// Returns the fields of an event with its empty line; `None` if it isn't well formed.
    fn parse(text: &str) -> Option<Self> {
        let lines = text.strip_suffix("\n\n");
        let lines = lines.or_else(|| text.strip_suffix("\r\n\r\n"))?;
        let mut fields = Self::default();
        for line in lines.lines().filter(|line| !line.starts_with(':')) {
            match line.split_once(": ")? {
                ("id", id) if fields.id.is_none() => fields.id = Some(id.parse().ok()?),
                ("data", line) => match &mut fields.data {
                    Some(data) => {
                        data.push(' ');
                        data.push_str(line);
                    }
                    None => fields.data = Some(line.to_owned()),
                },
                _ => return None,
            }
        }
        Some(fields)
    }

    /// Returns the number, the data and the run.
    fn event(&self) -> Option<(u64, &str, &str)> {
        let (data, run) = self.data.as_ref()?.rsplit_once(" run=")?;
        Some((self.id?, data, run))
    }
}
