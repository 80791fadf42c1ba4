//! Command that explains why a request was refused.

use serde_json::json;

use crate::{
    api::problem::Problem,
    executor::request::Reason, //
};

use super::{
    advice,
    client::Client,
    failure::Failure,
    print::{
        self,
        Printer, //
    },
    segment,
};

/// Gets the refusal of a request from every known instance and explains it.
pub(super) async fn run(
    request: &str,
    client: &Client,
    printer: &mut Printer<'_>,
) -> Result<(), Failure> {
    segment("request", request)?;
    let path = format!("/v1/refusals/{request}");
    let mut found = Vec::new();
    let mut asked = Vec::new();
    let mut missed = Vec::new();
    for (server, answer) in client.get_all::<Problem>(&path).await {
        match answer {
            // An instance may be reachable at two addresses.
            Ok(answer) if found.iter().any(|(_, known)| *known == answer.content) => {}
            Ok(answer) => found.push((server, answer.content)),
            // The instance responded and retains no refusal of this request.
            Err(Failure::Refused { problem, .. }) if problem.reason == Reason::NotFound => {
                asked.push(server);
            }
            Err(failure) => missed.push(failure),
        }
    }
    if found.is_empty() {
        return Err(absent(request, &asked, missed));
    }
    let texts: Vec<_> = found.iter().map(|(server, p)| text(server, p)).collect();
    let values: Vec<_> = found.iter().map(|(server, p)| value(server, p)).collect();
    if found.len() > 1 {
        printer.note("several instances refused a request with this ID");
    }
    Ok(printer.show(&texts.join("\n\n"), &values)?)
}

fn text(server: &str, problem: &Problem) -> String {
    let advice = advice::of(problem.reason);
    print::pairs(&[
        ("request", problem.request.clone()),
        ("refused by", server.to_owned()),
        ("reason", print::word(&problem.reason)),
        ("status", format!("{} {}", problem.status, problem.title)),
        ("detail", problem.detail.clone()),
        ("ran", advice::ran(problem.ran).to_owned()),
        ("come back", advice::again(problem.retry_after_ms)),
        ("meaning", advice.meaning.to_owned()),
        ("what to do", advice.action.to_owned()),
    ])
}

fn value(server: &str, problem: &Problem) -> serde_json::Value {
    let advice = advice::of(problem.reason);
    json!({
        "server": server,
        "problem": problem,
        "meaning": advice.meaning,
        "action": advice.action,
    })
}

fn absent(request: &str, asked: &[String], missed: Vec<Failure>) -> Failure {
    let missed: Vec<_> = missed.iter().map(Failure::to_string).collect();
    if asked.is_empty() {
        return Failure::Unreachable(missed.join("\n"));
    }
    let mut message = format!(
        "no refusal of {request} found on {}; an instance retains its latest 10000 refusals until it stops",
        asked.join(", ")
    );
    if missed.is_empty() {
        return Failure::Failed(message);
    }
    message = format!("{message}\nnot checked: {}", missed.join("\nnot checked: "));
    Failure::Unreachable(message)
}
