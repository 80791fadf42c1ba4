//! Command that explains why a request was refused.

use serde_json::json;

use crate::{
    api::problem::Problem,
    executor::request::Reason, //
};

use super::{
    advice,
    check_segment,
    client::Client,
    failure::Failure,
    print::{
        self,
        Printer, //
    }, //
};

/// Gets the refusal of a request from every known instance and explains it.
pub(super) async fn run(
    request: &str,
    client: &Client,
    printer: &mut Printer<'_>,
) -> Result<(), Failure> {
    check_segment("request", request)?;
    let path = format!("/v1/refusals/{request}");
    let mut refusals = Vec::new();
    let mut checked = Vec::new();
    let mut failures = Vec::new();
    for (server, response) in client.get_all::<Problem>(&path).await {
        match response {
            // An instance may be reachable at two addresses.
            Ok(response) if refusals.iter().any(|(_, known)| *known == response.content) => {}
            Ok(response) => refusals.push((server, response.content)),
            // The instance responded and retains no refusal of this request.
            Err(Failure::Refused { problem, .. }) if problem.reason == Reason::NotFound => {
                checked.push(server);
            }
            Err(failure) => failures.push(failure),
        }
    }
    if refusals.is_empty() {
        return Err(not_found(request, &checked, failures));
    }
    let texts: Vec<_> = refusals.iter().map(|(server, p)| text(server, p)).collect();
    let values: Vec<_> = refusals
        .iter()
        .map(|(server, p)| value(server, p))
        .collect();
    if refusals.len() > 1 {
        printer.warn("several instances refused a request with this ID");
    }
    Ok(printer.show(&texts.join("\n\n"), &values)?)
}

fn text(server: &str, problem: &Problem) -> String {
    let advice = advice::for_reason(problem.reason);
    print::pairs(&[
        ("request", problem.request.clone()),
        ("refused by", server.to_owned()),
        ("reason", print::json_name(&problem.reason)),
        ("status", format!("{} {}", problem.status, problem.title)),
        ("detail", problem.detail.clone()),
        ("ran", advice::describe_ran(problem.ran).to_owned()),
        ("retry", advice::describe_retry(problem.retry_after_ms)),
        ("meaning", advice.meaning.to_owned()),
        ("what to do", advice.action.to_owned()),
    ])
}

fn value(server: &str, problem: &Problem) -> serde_json::Value {
    let advice = advice::for_reason(problem.reason);
    json!({
        "server": server,
        "problem": problem,
        "meaning": advice.meaning,
        "action": advice.action,
    })
}

fn not_found(request: &str, checked: &[String], failures: Vec<Failure>) -> Failure {
    let failures: Vec<_> = failures.iter().map(Failure::to_string).collect();
    if checked.is_empty() {
        return Failure::Unreachable(failures.join("\n"));
    }
    let mut message = format!(
        "no refusal of {request} found on {}; an instance retains only its latest 10000 refusals, and only until it stops",
        checked.join(", ")
    );
    if failures.is_empty() {
        return Failure::Failed(message);
    }
    message = format!(
        "{message}\nnot checked: {}",
        failures.join("\nnot checked: ")
    );
    Failure::Unreachable(message)
}
