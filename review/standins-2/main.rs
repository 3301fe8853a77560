//! The review's scripts as one program: `standin CASE FOLDER`. It starts the relays of a small deployment
//! with the command of the deploy file and plays their surroundings. It exits with 1 if the case's rule was
//! broken, with 0 if it held and with 2 if the case could not run. With `TROUBLE=0` it leaves out the
//! disruption.

mod forgotten_leave;
mod kit;
mod long_run;
mod popular;
mod quota_restarts;
mod reply_size;

use std::path::Path;
use std::process::exit;

pub enum Verdict {
    Held,
    Broken,
    NotRun(&'static str),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let recorder = kit::Recorder::create(Path::new(folder));
    recorder.say(&format!("case {case}, trouble {has_trouble}"));
    let verdict = match case.as_str() {
        "forgotten-leave" => forgotten_leave::play(&recorder, has_trouble),
        "long-run" => long_run::play(&recorder, has_trouble),
        "popular" => popular::play(&recorder, has_trouble),
        "quota-restarts" => quota_restarts::play(&recorder, has_trouble),
        "reply-size" => reply_size::play(&recorder, has_trouble),
        _ => Verdict::NotRun("no such case"),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("THE RULE WAS BROKEN", 1),
        Verdict::NotRun(why) => (why, 2),
    };
    recorder.say(text);
    recorder.flush();
    exit(code);
}
