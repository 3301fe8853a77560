//! Stand-ins and sequences of events for the scripts of the review.
//!
//! Usage: `standins CASE FOLDER TEMPORARY_FOLDER`, in the root of the repository. Exits with 1 if the
//! rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the environment
//! the disruption is left out.

#[path = "../3/sequence.rs"]
mod deadly_answer;
mod deployment;
#[path = "../5/sequence.rs"]
mod forgotten_deregistration;
mod http;
#[path = "../4/sequence.rs"]
mod many_roots;
mod record;
#[path = "../2/sequence.rs"]
mod slow_reader;
#[path = "../1/sequence.rs"]
mod stop_cuts_stream;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Whether a rule was broken; an error says why a case could not run.
pub type Verdict = Result<bool, String>;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, temporary] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER TEMPORARY_FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (folder, temporary) = (Path::new(folder), Path::new(temporary));
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        eprintln!("the case could not run: it takes too long");
        deployment::end_all();
        std::process::exit(2);
    });
    let verdict = match case.as_str() {
        "1" => stop_cuts_stream::run(folder, temporary, has_trouble),
        "2" => slow_reader::run(folder, temporary, has_trouble),
        "3" => deadly_answer::run(folder, temporary, has_trouble),
        "4" => many_roots::run(folder, temporary, has_trouble),
        "5" => forgotten_deregistration::run(folder, temporary, has_trouble),
        _ => Err(format!("no case {case:?}")),
    };
    deployment::end_all();
    match verdict {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("the case could not run: {problem}");
            ExitCode::from(2)
        }
    }
}
