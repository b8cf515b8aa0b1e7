//! `plan`, `confirm`, `status` and `assignments`.

use super::{AssignmentsArguments, ConfirmArguments, Outcome, PlanArguments, StatusArguments};
use crate::client::send_operator_request;
use beamtray_control::{OperatorAnswer, OperatorRequest, PlanReport, StatusReport};
use beamtray_settings::Declaration;
use beamtray_types::{OperationId, Revision, ServiceName};
use eyre::{Result, WrapErr};

pub(super) fn plan(arguments: &PlanArguments) -> Result<Outcome> {
    let declaration = match Declaration::load(&arguments.file) {
        Ok(declaration) => declaration,
        Err(error) => {
            eprintln!("{error}");
            return Ok(Outcome::Invalid);
        }
    };
    let answer =
        send_operator_request(arguments.operators, &OperatorRequest::Plan { declaration })?;
    let OperatorAnswer::Plan(report) = &answer else {
        return Ok(print_answer(&answer, arguments.json));
    };
    let text = serde_json::to_string_pretty(report)?;
    std::fs::write(&arguments.out, &text).wrap_err_with(|| format!("write {}", arguments.out))?;
    if arguments.json {
        println!("{text}");
    } else {
        print_plan(report);
        println!(
            "plan written to {}; apply it with `beamtray confirm {}`",
            arguments.out, arguments.out
        );
    }
    Ok(Outcome::Done)
}

fn print_plan(report: &PlanReport) {
    println!("plan on revision {}", report.base);
    if report.changes.is_empty() {
        println!("  no change");
    }
    for change in &report.changes {
        println!("  {change}");
    }
    for service in &report.services {
        println!(
            "  {}: {} of {} slices move, {:.2}% of keys; load max/mean {:.2} -> {:.2}, keys max/mean {:.2} -> {:.2}",
            service.service,
            service.slices_moved,
            service.slices,
            service.keys_moved * 100.0,
            service.load_imbalance_before,
            service.load_imbalance_after,
            service.key_imbalance_before,
            service.key_imbalance_after,
        );
    }
}

pub(super) fn confirm(arguments: &ConfirmArguments) -> Result<Outcome> {
    let text = std::fs::read_to_string(&arguments.plan)
        .wrap_err_with(|| format!("read {}", arguments.plan))?;
    let report: PlanReport = match serde_json::from_str(&text) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("{}: not a plan: {error}", arguments.plan);
            return Ok(Outcome::Invalid);
        }
    };
    let operation = arguments.operation.unwrap_or_else(rand::random);
    println!("operation {operation}");
    let request = OperatorRequest::Confirm {
        operation: OperationId(operation),
        base: Revision(report.base),
        declaration: report.declaration,
    };
    let answer = match send_operator_request(arguments.operators, &request) {
        Ok(answer) => answer,
        Err(error) => {
            eprintln!("{error}");
            OperatorAnswer::Unknown {
                operation: OperationId(operation),
            }
        }
    };
    Ok(print_answer(&answer, arguments.json))
}

pub(super) fn status(arguments: &StatusArguments) -> Result<Outcome> {
    let request = match arguments.operation {
        Some(operation) => OperatorRequest::Operation {
            operation: OperationId(operation),
        },
        None => OperatorRequest::Status,
    };
    let answer = send_operator_request(arguments.operators, &request)?;
    match &answer {
        OperatorAnswer::Status(report) if !arguments.json => {
            print_status(report);
            Ok(Outcome::Done)
        }
        _ => Ok(print_answer(&answer, arguments.json)),
    }
}

fn print_status(report: &StatusReport) {
    println!(
        "generation {} term {} leader {} revision {} applied {} checkpointed {}",
        report.generation,
        report.term,
        report.leader,
        report.revision,
        report.applied,
        report.checkpointed
    );
    for voter in &report.voters {
        println!("voter {} live {}", voter.node, voter.live);
    }
    for node in &report.nodes {
        println!("node {} zone {}", node.node, node.zone);
    }
    for service in &report.services {
        println!(
            "service {} servers {}/{} slices {} unowned {} load max/mean {:.2} keys max/mean {:.2}",
            service.service,
            service.answering,
            service.declared,
            service.slices,
            service.unowned,
            service.load_imbalance,
            service.key_imbalance
        );
    }
}

pub(super) fn assignments(arguments: AssignmentsArguments) -> Result<Outcome> {
    let request = OperatorRequest::Assignments {
        service: ServiceName(arguments.service),
        key: arguments.key,
    };
    let answer = send_operator_request(arguments.operators, &request)?;
    match &answer {
        OperatorAnswer::Assignments(rows) if !arguments.json => {
            for row in rows {
                let server = row.server.as_deref().unwrap_or("-");
                let fence = row.fence.as_deref().unwrap_or("-");
                println!("{} {} {server} {fence}", row.slice, row.state);
            }
            Ok(Outcome::Done)
        }
        _ => Ok(print_answer(&answer, arguments.json)),
    }
}

/// Prints an answer and returns the matching outcome.
fn print_answer(answer: &OperatorAnswer, json: bool) -> Outcome {
    if json {
        println!("{}", serde_json::to_string(answer).unwrap_or_default());
    }
    let (outcome, text) = match answer {
        OperatorAnswer::InForce { revision } => {
            (Outcome::Done, format!("in force as revision {revision}"))
        }
        OperatorAnswer::Conflict { revision, changed } => {
            let changed = changed.join("; ");
            let text = format!("conflict: revision {revision} is in force; {changed}");
            (Outcome::Conflict, text)
        }
        OperatorAnswer::Unknown { operation } => {
            let text =
                format!("unknown: query the result with `beamtray status --operation {operation}`");
            (Outcome::Unknown, text)
        }
        OperatorAnswer::NoSuchOperation => (
            Outcome::Unknown,
            "the group has applied no such write".to_owned(),
        ),
        OperatorAnswer::Unavailable { reason } => (Outcome::Unavailable, reason.clone()),
        OperatorAnswer::Invalid { reason } => (Outcome::Invalid, reason.clone()),
        _ => (Outcome::Done, String::new()),
    };
    if !json && !text.is_empty() {
        println!("{text}");
    }
    outcome
}
