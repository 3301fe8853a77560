//! Which daemons read the log service, whom the others follow, and what a directory sends to them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use burdockhall::decide::relay::{Directory, Member, MemberState, Readers};
use burdockhall::model::{Distance, Place, ServiceName, TimeMs};

fn address(number: usize) -> SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 80))
}

fn place(zone: usize, zones_per_region: usize) -> Place {
    Place {
        region: format!("region-{}", zone / zones_per_region)
            .as_str()
            .into(),
        zone: format!("zone-{zone}").as_str().into(),
    }
}

fn member(number: usize, place: Place, revision: u64, state: MemberState) -> Member {
    Member {
        address: address(number),
        revision,
        place,
        service: ServiceName::from("a"),
        instance: format!("i-{number}"),
        born_unix_ms: 1,
        slots: 4,
        suspects: Vec::new(),
        reviews: Vec::new(),
        state,
    }
}

const ZONES_PER_REGION: usize = 3;

/// The directory of daemon `own` in a fleet of `count` daemons, spread evenly over the zones.
fn fleet(own: usize, count: usize, zones: usize) -> Directory {
    let own_place = place(own % zones, ZONES_PER_REGION);
    let mut directory = Directory::new(address(own), own_place);
    for number in 0..count {
        let place = place(number % zones, ZONES_PER_REGION);
        directory.merge(TimeMs(0), member(number, place, 1, MemberState::Ready));
    }
    directory
}

#[test]
fn a_few_daemons_of_each_zone_read_the_log_and_the_others_follow_them() {
    struct Case {
        name: &'static str,
        daemons: usize,
        zones: usize,
        /// Readers in each zone.
        readers: usize,
    }
    let cases = [
        Case {
            name: "a lone daemon",
            daemons: 1,
            zones: 1,
            readers: 1,
        },
        Case {
            name: "two in a zone",
            daemons: 2,
            zones: 1,
            readers: 2,
        },
        Case {
            name: "large deployment",
            daemons: 99,
            zones: 9,
            readers: 2,
        },
        Case {
            name: "6,071 daemons",
            daemons: 6_071,
            zones: 13,
            readers: 5,
        },
    ];
    for case in cases {
        let now = TimeMs(10_000);
        let mut readers_by_zone: BTreeMap<usize, BTreeSet<SocketAddr>> = BTreeMap::new();
        let mut followers: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        // One zone tells as much as all.
        for own in (0..case.daemons).step_by(case.zones) {
            let directory = fleet(own, case.daemons, case.zones);
            let mut readers = Readers::default();
            let silent = readers.plan(now, &directory);
            assert!(silent.reads_log, "{}: nobody has been heard", case.name);
            if let Some(reader) = silent.follows {
                readers.answered(now, reader, true);
            }
            let plan = readers.plan(now, &directory);
            if plan.reads_log {
                let zone = readers_by_zone.entry(own % case.zones).or_default();
                zone.insert(address(own));
            } else {
                let reader = plan.follows.expect("a follower has a reader");
                *followers.entry(reader).or_default() += 1;
            }
            assert_ne!(plan.follows, Some(address(own)), "{}", case.name);
        }
        for (zone, readers) in &readers_by_zone {
            assert_eq!(readers.len(), case.readers, "{} zone {zone}", case.name);
        }
        let readers: BTreeSet<_> = readers_by_zone.values().flatten().copied().collect();
        assert!(
            followers.keys().all(|reader| readers.contains(reader)),
            "{}: everyone follows a reader",
            case.name
        );
        let most = followers.values().max().copied().unwrap_or(0);
        assert!(
            most <= 200,
            "{}: one reader has {most} followers",
            case.name
        );
    }
}

#[test]
fn a_follower_without_word_of_the_log_reads_by_itself_in_time() {
    enum Answer {
        Silent,
        WithoutLog,
    }
    struct Case {
        name: &'static str,
        answer: Answer,
        poll_ms: u64,
    }
    let cases = [
        Case {
            name: "readers are silent",
            answer: Answer::Silent,
            poll_ms: 1_300,
        },
        Case {
            name: "readers do not reach the log",
            answer: Answer::WithoutLog,
            poll_ms: 20,
        },
    ];
    /// Least time in which a configuration must be in force, in milliseconds.
    const CONFIG_MS: u64 = 2_000;
    for case in cases {
        let directory = fleet(0, 99, 9);
        let mut readers = Readers::default();
        let mut now = TimeMs(10_000);
        let reader = readers.plan(now, &directory).follows.expect("a reader");
        readers.answered(now, reader, true);
        let plan = readers.plan(now, &directory);
        if plan.reads_log {
            panic!("daemon 0 is a reader; the test needs a follower");
        }
        let lost_at = now;
        while !readers.plan(now, &directory).reads_log {
            let before = readers.plan(now, &directory).follows;
            now = now.plus_ms(case.poll_ms);
            if let Some(reader) = before {
                match case.answer {
                    Answer::Silent => readers.failed(now, reader),
                    Answer::WithoutLog => readers.answered(now, reader, false),
                }
            }
            let waited_ms = now.since_ms(lost_at);
            assert!(waited_ms < CONFIG_MS, "{}: {waited_ms} ms", case.name);
        }
        // A reader that answers again takes the daemon back.
        now = now.plus_ms(3_000);
        let reader = readers.plan(now, &directory).follows.expect("a reader");
        readers.answered(now, reader, true);
        assert!(!readers.plan(now, &directory).reads_log, "{}", case.name);
    }
}

#[test]
fn no_daemon_follows_in_a_circle_whatever_the_others_believe() {
    let daemons = 40;
    let now = TimeMs(10_000);
    for seed in 0..200_usize {
        // Each daemon passes over some others, another set for each.
        let follows: BTreeMap<SocketAddr, Option<SocketAddr>> = (0..daemons)
            .map(|own| {
                let directory = fleet(own, daemons, 1);
                let mut readers = Readers::default();
                for other in 0..daemons {
                    let is_failed = (other * 31 + own * 17 + seed * 7) % 5 < 2;
                    if is_failed && other != own {
                        readers.failed(now, address(other));
                    }
                }
                if let Some(reader) = readers.plan(now, &directory).follows {
                    readers.answered(now, reader, true);
                }
                let plan = readers.plan(now, &directory);
                (address(own), plan.follows.filter(|_| !plan.reads_log))
            })
            .collect();
        for own in follows.keys() {
            let mut at = *own;
            let mut hops = 0;
            while let Some(next) = follows[&at] {
                at = next;
                hops += 1;
                assert!(hops <= daemons, "seed {seed}: {own} follows in a circle");
            }
        }
    }
}

#[test]
fn reads_start_about_once_a_second_over_the_whole_deployment() {
    struct Case {
        daemons: usize,
        zones: usize,
        least_ms: u64,
        most_ms: u64,
    }
    let cases = [
        Case {
            daemons: 1,
            zones: 1,
            least_ms: 250,
            most_ms: 1_000,
        },
        Case {
            daemons: 2,
            zones: 1,
            least_ms: 1_000,
            most_ms: 2_000,
        },
        Case {
            daemons: 99,
            zones: 9,
            least_ms: 10_000,
            most_ms: 20_000,
        },
    ];
    for case in cases {
        let wait_ms = Readers::wait_ms(&fleet(0, case.daemons, case.zones));
        let daemons = case.daemons;
        assert!(
            (case.least_ms..=case.most_ms).contains(&wait_ms),
            "{daemons} daemons: {wait_ms} ms"
        );
    }
}

#[test]
fn reads_that_new_records_have_ended_together_do_not_end_together_again() {
    struct Case {
        daemons: usize,
        zones: usize,
        /// Longest time without a new read, in milliseconds.
        gap_ms: u64,
    }
    let cases = [
        Case {
            daemons: 2,
            zones: 1,
            gap_ms: 1_000,
        },
        Case {
            daemons: 24,
            zones: 6,
            gap_ms: 1_000,
        },
        Case {
            daemons: 99,
            zones: 9,
            gap_ms: 1_000,
        },
    ];
    for case in cases {
        let directories = (0..case.daemons).map(|own| fleet(own, case.daemons, case.zones));
        let readers: Vec<_> = directories.filter(Readers::is_appointed).collect();
        let turns: BTreeSet<u64> = readers.iter().map(Readers::first_wait_ms).collect();
        let daemons = case.daemons;
        assert_eq!(turns.len(), readers.len(), "{daemons} daemons: {turns:?}");
        let before = [0].into_iter().chain(turns.iter().copied());
        for (from, to) in before.zip(&turns) {
            assert!(to - from <= case.gap_ms, "{daemons} daemons: {turns:?}");
        }
        let last = turns.last().copied();
        assert_eq!(last, Some(Readers::wait_ms(&readers[0])), "{daemons}");
    }
}

#[test]
fn changes_go_to_readers_of_every_zone_and_once_to_each_zone_of_another_region() {
    let directory = fleet(0, 99, 9);
    let readers = Readers::default();
    let now = TimeMs(10_000);
    let targets = readers.spread_targets(now, &directory);
    let zones: BTreeSet<_> = targets
        .iter()
        .map(|(_, daemon)| {
            directory
                .get(*daemon)
                .expect("a member")
                .member
                .place
                .clone()
        })
        .collect();
    assert_eq!(zones.len(), 9, "{targets:?}");
    assert!(targets.iter().all(|(_, daemon)| *daemon != address(0)));
    let far = |distance: &Distance| *distance == Distance::OtherRegion;
    let far_targets = targets.iter().filter(|(distance, _)| far(distance)).count();
    assert_eq!(far_targets, 6, "one for each zone of another region");
}

#[test]
fn only_appointed_readers_ask_across_regions_and_the_others_try_the_log_rarely() {
    let now = TimeMs(10_000);
    let mut appointed = 0;
    for own in (0..99).step_by(9) {
        let directory = fleet(own, 99, 9);
        let is_appointed = Readers::is_appointed(&directory);
        appointed += usize::from(is_appointed);
        let longest_ms = Readers::backoff_ms(&directory, 20);
        let bound_ms = if is_appointed {
            500..=1_000
        } else {
            2_000..=3_000
        };
        assert!(bound_ms.contains(&longest_ms), "{own}: {longest_ms}");
        let mut readers = Readers::default();
        let mut far_polls = 0;
        for _ in 0..100 {
            let peer = readers.next_peer(now, &directory).expect("a peer");
            assert_ne!(peer, address(own));
            let distance = directory.get(peer).expect("a member").distance;
            far_polls += usize::from(distance == Distance::OtherRegion);
        }
        let expected = if is_appointed { 25 } else { 0 };
        assert_eq!(far_polls, expected, "{own}");
    }
    assert_eq!(appointed, 2, "the readers of a zone");
    // A daemon that is alone in its region has to ask elsewhere.
    let mut directory = Directory::new(address(0), place(0, ZONES_PER_REGION));
    directory.merge(
        now,
        member(1, place(4, ZONES_PER_REGION), 1, MemberState::Ready),
    );
    let peer = Readers::default().next_peer(now, &directory);
    assert_eq!(peer, Some(address(1)));
}

#[test]
fn a_version_read_in_one_zone_reaches_the_readers_of_every_other_without_traffic() {
    struct Case {
        name: &'static str,
        daemons: usize,
        zones: usize,
        /// Zones whose daemons do not answer.
        silent_zones: &'static [usize],
    }
    let cases = [
        Case {
            name: "two zones",
            daemons: 8,
            zones: 2,
            silent_zones: &[],
        },
        Case {
            name: "one daemon in each zone",
            daemons: 6,
            zones: 6,
            silent_zones: &[],
        },
        Case {
            name: "neighbouring zones are silent",
            daemons: 99,
            zones: 9,
            silent_zones: &[3, 4, 5],
        },
    ];
    for case in cases {
        let now = TimeMs(10_000);
        let zone_of = |daemon: SocketAddr| {
            let number = (0..case.daemons).find(|number| address(*number) == daemon);
            number.expect("a daemon") % case.zones
        };
        // From which zones the readers of each zone hear.
        let mut heard: BTreeMap<usize, BTreeSet<usize>> = BTreeMap::new();
        for own in 0..case.daemons {
            let zone = own % case.zones;
            let directory = fleet(own, case.daemons, case.zones);
            if !Readers::is_appointed(&directory) || case.silent_zones.contains(&zone) {
                continue;
            }
            let mut readers = Readers::default();
            let silent = (0..case.daemons).filter(|other| {
                let zone = other % case.zones;
                case.silent_zones.contains(&zone)
            });
            silent.for_each(|other| readers.failed(now, address(other)));
            let watched = readers.watches(now, &directory).expect("a daemon to watch");
            let watched_zone = zone_of(watched);
            assert_ne!(watched_zone, zone, "{}", case.name);
            assert!(!case.silent_zones.contains(&watched_zone), "{}", case.name);
            heard.entry(zone).or_default().insert(watched_zone);
        }
        for from in heard.keys() {
            let mut reached = BTreeSet::from([*from]);
            for _ in 0..case.zones {
                let next = heard.iter().filter(|(_, of)| !of.is_disjoint(&reached));
                let next: Vec<usize> = next.map(|(zone, _)| *zone).collect();
                reached.extend(next);
            }
            let everyone: BTreeSet<usize> = heard.keys().copied().collect();
            assert_eq!(reached, everyone, "{}: from zone {from}", case.name);
        }
    }
    assert_eq!(Readers::default().watches(TimeMs(0), &fleet(0, 4, 1)), None);
}

#[test]
fn a_directory_tells_what_changed_and_stays_consistent() {
    let mut directory = fleet(0, 30, 3);
    let mut copy = Directory::new(address(0), place(0, ZONES_PER_REGION));
    let mut heard = 0;
    for step in 0..500_usize {
        let number = (step * 7) % 30;
        let state = [
            MemberState::Ready,
            MemberState::Draining,
            MemberState::Gone,
            MemberState::Stopped,
        ][(step / 3) % 4];
        let place = place(number % 3, ZONES_PER_REGION);
        let revision = 2 + step as u64 / 2;
        directory.merge(TimeMs(0), member(number, place, revision, state));
        if step % 5 == 0 {
            let changes: Vec<Member> = directory.changes_since(heard).cloned().collect();
            assert!(changes.len() <= 30, "a member counts once");
            for member in changes {
                copy.merge(TimeMs(0), member);
            }
            heard = directory.last_change();
            assert_eq!(copy.digest(), directory.digest(), "step {step}");
        }
        let active = directory.all().filter(|known| known.member.is_active());
        assert_eq!(directory.active_count(), active.count(), "step {step}");
        let zones: usize = directory.active_zones().map(|(_, zone)| zone.len()).sum();
        assert_eq!(zones, directory.active_count(), "step {step}");
        let service = ServiceName::from("a");
        let ready: Vec<_> = directory
            .ready(&service)
            .map(|known| known.member.address)
            .collect();
        let expected: BTreeSet<_> = directory
            .all()
            .filter(|known| known.member.state == MemberState::Ready)
            .map(|known| known.member.address)
            .collect();
        assert_eq!(
            ready,
            expected.into_iter().collect::<Vec<_>>(),
            "step {step}"
        );
        assert_eq!(ready.len(), directory.ready_count(&service));
    }
    assert!(copy.changes_since(heard).count() <= 30);
    let last_change = directory.last_change();
    assert!(directory.changes_since(last_change).next().is_none());
    assert!(directory.remove(address(7)));
    assert!(!directory.remove(address(7)));
    assert_ne!(copy.digest(), directory.digest());
}
