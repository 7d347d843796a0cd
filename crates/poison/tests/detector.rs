//! Which parts are blocked, and when requests with them are let through, as data-driven cases over
//! one or several VMs.

use std::collections::VecDeque;

use model::{Part, ServerId, ServiceName, Span, Time, VmName};
use poison::{Admission, Detector, Suspect};

fn service() -> ServiceName {
    "loom".try_into().unwrap()
}

fn server(n: u32) -> ServerId {
    format!("i-{n}").try_into().unwrap()
}

fn parts(names: &[&str]) -> Vec<Part> {
    names.iter().map(|name| Part::from(*name)).collect()
}

/// Returns the parts of a request with these and one of its own.
fn request(names: &[&str]) -> Vec<Part> {
    let own = [Part::from("a request of its own")];
    names.iter().map(|name| Part::from(*name)).chain(own).collect()
}

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1_000)
}

fn detectors(count: u32) -> Vec<Detector> {
    let vm = |n| VmName::try_from(format!("10.0.0.{n}").as_str()).unwrap();
    (1..=count).map(|n| Detector::new(vm(n))).collect()
}

/// What happens to a request at a VM.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The answer went on.
    Answer(&'static [&'static str]),
    /// The server with this number ended.
    End(&'static [&'static str], u32),
}

/// A name, events with their times in milliseconds, and whether the part is blocked after them.
type Case = (&'static str, Vec<(u64, Event)>, bool);

use Event::{Answer, End};

fn apply(detector: &mut Detector, ms: u64, event: Event) {
    match event {
        Answer(names) => detector.record_answer(at(ms), &service(), &parts(names)),
        End(names, n) => {
            detector.record_end(at(ms), &service(), &parts(names), (&server(n), false));
        }
    }
}

fn is_refused(detector: &mut Detector, ms: u64, names: &[&str]) -> bool {
    matches!(detector.check(at(ms), &service(), &request(names)), Admission::Refused { .. })
}

/// Sends what each VM knows to all others.
fn exchange(detectors: &mut [Detector], ms: u64) {
    let all: Vec<Vec<Suspect>> = detectors.iter_mut().map(|d| d.suspects(at(ms))).collect();
    for (to, detector) in detectors.iter_mut().enumerate() {
        for (from, suspects) in all.iter().enumerate() {
            if from != to {
                detector.merge(at(ms), suspects);
            }
        }
    }
}

/// Requests that share a first part, of which those with `bad` end servers.
const BAD: &[&str] = &["first", "shared", "bad"];
const SOUND: &[&str] = &["first", "shared"];
const OTHER: &[&str] = &["first", "other"];

#[test]
fn a_part_is_blocked_only_if_chance_does_not_explain_its_failures() {
    let ends = |n| (0..n).map(move |i| (u64::from(i) * 100, End(BAD, i)));
    let answers = |n, names| (0..n).map(move |i| (50 + i * 20, Answer(names)));
    let cases: Vec<Case> = vec![
        ("no end", answers(9, SOUND).collect(), false),
        ("two ends", ends(2).chain(answers(9, SOUND)).collect(), false),
        ("three ends", ends(3).chain(answers(9, SOUND)).collect(), true),
        (
            "three ends, one answer with the part",
            ends(3).chain([(250, Answer(BAD))]).collect(),
            false,
        ),
        ("nothing else is answered", ends(8).collect(), false),
        (
            "other servers end as often",
            ends(3)
                .chain((0..9).map(|n| (n * 50, End(OTHER, 20))))
                .chain(answers(4, OTHER))
                .collect(),
            false,
        ),
        (
            "one server, seen three times",
            (0..3).map(|n| (n * 100, End(BAD, 1))).chain(answers(9, SOUND)).collect(),
            false,
        ),
        (
            "the same server in three lifetimes",
            (0..3).map(|n| (n * 3_500, End(BAD, 1))).chain(answers(9, SOUND)).collect(),
            true,
        ),
    ];
    for (name, mut events, refused) in cases {
        events.sort_by_key(|(ms, _)| *ms);
        let mut detector = detectors(1).remove(0);
        let mut last = 0;
        for (ms, event) in events {
            apply(&mut detector, ms, event);
            last = ms;
        }
        assert_eq!(is_refused(&mut detector, (last + 400).max(1_000), BAD), refused, "{name}");
    }
}

#[test]
fn ends_of_servers_that_go_on_answering_others_do_not_count() {
    // Time after the end at which each server answers another request, and whether the part is
    // blocked.
    let cases = [(None, true), (Some(50), true), (Some(150), false), (Some(900), false)];
    let late = [(Some(1_100), true), (Some(3_000), true)];
    for (answered, refused) in cases.into_iter().chain(late) {
        let mut vms = detectors(2);
        for n in 0..4 {
            apply(&mut vms[0], 0, End(BAD, n));
        }
        (0..9).for_each(|_| apply(&mut vms[0], 10, Answer(SOUND)));
        exchange(&mut vms, 20);
        if let Some(ms) = answered {
            for n in 0..4 {
                vms[1].record_alive(at(ms), &service(), &server(n));
            }
            exchange(&mut vms, ms + 10);
        }
        exchange(&mut vms, 3_200);
        for detector in &mut vms {
            let is_free = detector.check(at(3_210), &service(), &request(BAD)) == Admission::Free;
            assert_eq!(!is_free, refused, "answered after {answered:?} ms");
        }
    }
}

#[test]
fn an_answer_that_ends_with_its_connection_counts_if_its_server_ended() {
    // What else is seen of each server: nothing, a refused connection, or another request that
    // failed just before or after.
    #[derive(Clone, Copy, Debug)]
    enum Sign {
        Nothing,
        Refused(u64),
        Before(u64),
        After(u64),
    }
    let cases = [
        (Sign::Nothing, false),
        (Sign::Refused(200), true),
        (Sign::Refused(1_500), false),
        (Sign::Before(5), true),
        (Sign::Before(900), false),
        (Sign::After(5), true),
        (Sign::After(900), false),
    ];
    for (sign, blocked) in cases {
        let mut detector = detectors(1).remove(0);
        for n in 0..3 {
            let (ms, id) = (1_000 + u64::from(n) * 100, server(n));
            if let Sign::Before(time) = sign {
                apply(&mut detector, ms - time, End(OTHER, n));
            }
            detector.record_doubtful_end(at(ms), &service(), &parts(BAD), (&id, false));
        }
        for n in 0..3 {
            let (ms, id) = (1_000 + u64::from(n) * 100, server(n));
            match sign {
                Sign::Refused(time) => detector.record_refused(at(ms + time), &service(), &id),
                Sign::After(time) => apply(&mut detector, ms + time, End(OTHER, n)),
                Sign::Nothing | Sign::Before(_) => {}
            }
        }
        (0..20).for_each(|_| apply(&mut detector, 1_400, Answer(SOUND)));
        (0..20).for_each(|_| apply(&mut detector, 1_400, Answer(OTHER)));
        assert_eq!(is_refused(&mut detector, 2_700, &["bad"]), blocked, "{sign:?}");
    }
}

#[test]
fn a_popular_part_stays_free_while_servers_of_a_zone_end_at_once() {
    let mut detector = detectors(1).remove(0);
    for n in 0..6 {
        apply(&mut detector, 0, End(SOUND, n));
    }
    for ms in [1, 10, 100, 400] {
        assert!(!is_refused(&mut detector, ms, SOUND), "after {ms} ms");
    }
    apply(&mut detector, 450, Answer(SOUND));
    for ms in [500, 1_000, 10_000] {
        assert!(!is_refused(&mut detector, ms, SOUND), "after {ms} ms");
    }
}

#[test]
fn no_part_is_blocked_when_all_servers_end() {
    let mut detector = detectors(1).remove(0);
    for n in 0..40 {
        apply(&mut detector, u64::from(n) * 50, End(if n % 2 == 0 { SOUND } else { OTHER }, n));
    }
    for ms in [2_000, 5_000, 20_000] {
        assert!(!is_refused(&mut detector, ms, SOUND), "after {ms} ms");
        assert!(!is_refused(&mut detector, ms, OTHER), "after {ms} ms");
    }
}

#[test]
fn ends_that_different_vms_see_count_together() {
    let mut vms = detectors(5);
    for (n, detector) in (0..).zip(&mut vms) {
        apply(detector, u64::from(n) * 100, End(BAD, n));
        for _ in 0..6 {
            apply(detector, 450, Answer(SOUND));
        }
    }
    exchange(&mut vms, 500);
    exchange(&mut vms, 600);
    for detector in &mut vms {
        assert!(is_refused(detector, 650, BAD));
        assert!(!is_refused(detector, 650, SOUND));
    }
    // A VM that starts later learns it, although it has seen no answers.
    let mut late = detectors(6).pop().unwrap();
    let suspects = vms[0].suspects(at(5_000));
    late.merge(at(5_000), &suspects);
    assert!(is_refused(&mut late, 5_000, BAD) || is_trial(&mut late, 5_000));
}

/// Time after the third end from which all VMs must know a request that ends servers.
const CONTACT_MS: u64 = 3_000;
/// Number of requests in flight on a server.
const IN_FLIGHT: u32 = 9;

/// Ends a server at which a request of a kind of its own, and others of the service, are in flight.
fn end_crowded(detector: &mut Detector, ms: u64, request: &'static str, server: u32) {
    detector.record_end(
        at(ms),
        &service(),
        &parts(&["shared", request]),
        (&self::server(server), false),
    );
    for n in 1..IN_FLIGHT {
        let own = format!("own-{server}-{n}");
        let end = (&self::server(server), false);
        detector.record_end(at(ms), &service(), &parts(&["shared", &own]), end);
    }
}

#[test]
fn requests_that_end_servers_at_three_vms_are_blocked_within_the_contact_time() {
    // Two requests at once, each once a second at another VM, among few that are answered.
    let mut vms = detectors(3);
    let mut sent = [0, 0];
    let mut third = [None, None];
    for ms in (0..20_000).step_by(50) {
        for (n, request) in ["bad-1", "bad-2"].into_iter().enumerate() {
            if ms % 1_000 != 500 * n as u64 {
                continue;
            }
            let vm = &mut vms[(ms / 1_000) as usize % 3];
            let content = parts(&["shared", request]);
            let admission = vm.admit(at(ms), &service(), &content);
            if matches!(admission, Admission::Refused { .. }) {
                continue;
            }
            sent[n] += 1;
            if sent[n] == 3 {
                third[n] = Some(ms);
            }
            let late = third[n].is_some_and(|third| ms > third + CONTACT_MS);
            assert!(!late || sent[n] <= 6, "{request} was sent {} times by {ms} ms", sent[n]);
            let server = u32::try_from(ms).unwrap() + 1;
            if admission == Admission::Trial {
                let end = (&self::server(server), true);
                vm.record_end(at(ms), &service(), &content, end);
            } else {
                end_crowded(vm, ms, request, server);
            }
        }
        apply(&mut vms[(ms / 50) as usize % 3], ms, Answer(SOUND));
        exchange(&mut vms, ms);
    }
    assert!(sent.iter().all(|n| *n >= 3), "each ended three servers: {sent:?}");
    assert!(!is_refused(&mut vms[0], 20_000, SOUND));
}

#[test]
fn a_request_is_blocked_if_servers_end_late_in_its_answers() {
    // Whether the third answer ends its server or is complete, and whether the request is refused.
    for (is_complete, is_refused) in [(false, true), (true, false)] {
        let mut detector = detectors(1).remove(0);
        for n in 0..3 {
            let ms = 1_000 * u64::from(n);
            apply(&mut detector, ms, Answer(SOUND));
            apply(&mut detector, ms + 100, Answer(OTHER));
            if n == 2 && is_complete {
                detector.record_sound(at(ms + 600), &service(), Part::from("own"));
            } else {
                let end = (&server(n), false);
                detector.record_late_end(at(ms + 600), &service(), Part::from("own"), end);
            }
        }
        let admission = detector.check(at(3_000), &service(), &parts(&["first", "shared", "own"]));
        assert_eq!(matches!(admission, Admission::Refused { .. }), is_refused, "{admission:?}");
        // The parts that it shares with others are not suspected.
        let admission = detector.check(at(3_000), &service(), &parts(&["first", "shared", "x"]));
        assert_eq!(admission, Admission::Free);
    }
}

#[test]
fn a_popular_request_is_soon_free_after_a_rack_ended_under_it() {
    // Time of the first answer to it on other servers, and time from which it is free.
    for (answered, free) in [(300, 310), (900, 1_000), (2_000, 2_100)] {
        let mut vms = detectors(4);
        for n in 0..8 {
            end_crowded(&mut vms[n as usize % 3], u64::from(n), "popular", n);
        }
        for ms in (50..answered).step_by(50) {
            for vm in &mut vms {
                apply(vm, ms, Answer(OTHER));
            }
            exchange(&mut vms, ms);
        }
        apply(&mut vms[3], answered, Answer(&["shared", "popular"]));
        exchange(&mut vms, answered);
        exchange(&mut vms, answered + 10);
        for ms in [free, free + 1_000, free + 10_000] {
            for vm in &mut vms {
                let admission = vm.check(at(ms), &service(), &parts(&["shared", "popular"]));
                assert_eq!(admission, Admission::Free, "answered at {answered} ms, at {ms} ms");
            }
        }
    }
}

#[test]
fn a_request_that_ends_servers_is_remembered_among_thousands_of_suspects() {
    let mut detector = detectors(1).remove(0);
    for n in 0..3 {
        let ms = 2_000 * u64::from(n);
        apply(&mut detector, ms, End(&["bad"], 100_000 + n));
        apply(&mut detector, ms + 10, Answer(SOUND));
        // Fewer than there is space for before the second end, and any number after it.
        for m in 0..if n == 0 { 400 } else { 5_000 } {
            let name = format!("{n}-{m}");
            let end = (&server(n * 10_000 + m / IN_FLIGHT), false);
            detector.record_end(at(ms + 20), &service(), &parts(&[&name]), end);
        }
        for m in 0..60_000 {
            apply(&mut detector, ms + 30 + m / 1_000, Answer(SOUND));
        }
    }
    assert!(is_refused(&mut detector, 5_000, &["bad"]));
}

fn is_trial(detector: &mut Detector, ms: u64) -> bool {
    detector.check(at(ms), &service(), &request(BAD)) == Admission::Trial
}

#[test]
fn ends_on_both_sides_of_a_cut_count_together_after_it() {
    let mut vms = detectors(4);
    let (left, right) = vms.split_at_mut(2);
    for (n, side) in [left, right].into_iter().enumerate() {
        for (m, detector) in side.iter_mut().enumerate() {
            let id = u32::try_from(2 * n + m).unwrap();
            apply(detector, 100 * u64::from(id), End(BAD, id));
            (0..6).for_each(|_| apply(detector, 600, Answer(SOUND)));
        }
        for ms in (700..2_000).step_by(500) {
            exchange(side, ms);
        }
        for detector in side {
            let admission = detector.check(at(2_000), &service(), &parts(BAD));
            assert_eq!(admission, Admission::Free, "two ends on each side");
        }
    }
    exchange(&mut vms, 2_100);
    exchange(&mut vms, 2_150);
    assert!(vms.iter_mut().all(|d| is_refused(d, 2_160, BAD)));
    // A VM that starts after all that.
    let mut late = detectors(5).pop().unwrap();
    late.merge(at(2_600), &vms[3].suspects(at(2_600)));
    assert!(late.check(at(2_600), &service(), &parts(BAD)) != Admission::Free);
}

#[test]
fn one_vm_that_sees_an_answer_clears_the_part_for_all() {
    let mut vms = detectors(3);
    for n in 0..3 {
        apply(&mut vms[0], 0, End(BAD, n));
    }
    (0..9).for_each(|_| apply(&mut vms[0], 100, Answer(SOUND)));
    exchange(&mut vms, 600);
    assert!(vms.iter_mut().all(|d| is_refused(d, 610, BAD)));
    apply(&mut vms[2], 700, Answer(BAD));
    exchange(&mut vms, 750);
    exchange(&mut vms, 800);
    assert!(vms.iter_mut().all(|d| d.check(at(810), &service(), &request(BAD)) == Admission::Free));
}

#[test]
fn vms_learn_that_a_part_is_cleared_while_there_are_many_suspects() {
    let mut vms = detectors(3);
    for n in 0..3 {
        apply(&mut vms[0], 0, End(BAD, n));
    }
    (0..9).for_each(|_| apply(&mut vms[0], 100, Answer(SOUND)));
    exchange(&mut vms, 600);
    // One message does not hold all of these.
    for n in 0..60_u32 {
        for id in 0..2 {
            let name = format!("{:x}", 0x1000 + n);
            vms[0].record_end(at(650), &service(), &parts(&[&name]), (&server(id), false));
        }
    }
    apply(&mut vms[0], 700, Answer(BAD));
    exchange(&mut vms, 710);
    exchange(&mut vms, 760);
    for detector in &mut vms {
        assert_eq!(detector.check(at(800), &service(), &parts(BAD)), Admission::Free);
    }
    // A VM that was cut off meanwhile still blocks the part.
    let mut cut_off = detectors(4).pop().unwrap();
    for n in 0..3 {
        apply(&mut cut_off, 0, End(BAD, n));
    }
    (0..9).for_each(|_| apply(&mut cut_off, 100, Answer(SOUND)));
    assert!(is_refused(&mut cut_off, 600, BAD));
    vms.push(cut_off);
    for ms in (20_000..20_600).step_by(50) {
        exchange(&mut vms, ms);
    }
    for detector in &mut vms {
        assert_eq!(detector.check(at(20_600), &service(), &parts(BAD)), Admission::Free);
    }
}

#[test]
fn a_vm_that_starts_continues_with_what_is_known() {
    let [mut before, mut after] = <[Detector; 2]>::try_from(detectors(2)).unwrap();
    for n in 0..4 {
        let names: &[&str] = if n < 2 { &["f0", "bad"] } else { &["bad"] };
        apply(&mut before, u64::from(n) * 300, Event::End(names, n));
        (0..3).for_each(|_| apply(&mut before, u64::from(n) * 300, Event::Answer(&["x"])));
    }
    apply(&mut before, 1_000, Event::End(&["once"], 9));
    before.suspects(at(2_000));
    let trial = before.admit(at(2_400), &service(), &parts(&["bad"]));
    assert_eq!(trial, Admission::Trial);
    before.record_end(at(2_500), &service(), &parts(&["bad"]), (&server(5), true));
    let known = before.known(at(3_000));
    let names: Vec<_> = known.iter().map(|suspect| suspect.part).collect();
    assert_eq!(names, parts(&["bad", "f0"]), "one end alone tells little");
    let told: Vec<Suspect> = known.iter().map(|s| s.after(Span::from_millis(500))).collect();
    after.merge(at(3_500), &told);
    assert!(!is_refused(&mut after, 4_400, &["f0"]));
    // The trials go on as if the VM had not started anew.
    let next = (3_500..9_000).step_by(10).find(|ms| !is_refused(&mut after, *ms, &["bad"]));
    assert!(next.is_some_and(|ms| ms >= 5_400), "tried at {next:?}");
    assert!(before.known(at(2_000_000)).is_empty(), "all is forgotten in time");
}

#[test]
fn messages_among_vms_end_when_nothing_changes() {
    let mut vms = detectors(4);
    for n in 0..4 {
        apply(&mut vms[0], 0, End(BAD, n));
        apply(&mut vms[1], 10, Answer(SOUND));
    }
    // Each message takes 5 ms.
    for round in 1..200 {
        let ms = round * 10;
        let all: Vec<_> = vms.iter_mut().map(|d| d.suspects(at(ms))).collect();
        for (to, detector) in vms.iter_mut().enumerate() {
            for (_, suspects) in all.iter().enumerate().filter(|(from, _)| *from != to) {
                detector.merge(at(ms + 5), suspects);
            }
        }
    }
    assert!(vms.iter().all(|d| !d.has_changes()));
}

#[test]
fn a_blocked_part_is_tried_less_and_less_often() {
    let mut detector = detectors(1).remove(0);
    for n in 0..3 {
        apply(&mut detector, u64::from(n) * 100, End(&["bad"], n));
        (0..4).for_each(|_| apply(&mut detector, 250, Answer(SOUND)));
    }
    let mut trials = Vec::new();
    for ms in (700..400_000).step_by(50) {
        if detector.admit(at(ms), &service(), &parts(&["bad"])) == Admission::Trial {
            trials.push(ms);
            let failed = (&server(10 + u32::try_from(trials.len()).unwrap()), true);
            detector.record_end(at(ms + 20), &service(), &parts(&["bad"]), failed);
        }
    }
    let gaps: Vec<u64> = trials.windows(2).map(|t| (t[1] - t[0]) / 1_000).collect();
    assert!(trials[0] < 1_000, "{trials:?}");
    assert!(gaps.len() == 3 && gaps[0] >= 3 && gaps[1] >= 20 && gaps[2] >= 200, "{gaps:?}");
}

#[test]
fn only_one_request_at_a_time_tries_a_part() {
    let mut vms = detectors(3);
    for n in 0..3 {
        apply(&mut vms[0], 0, End(&["bad"], n));
        (0..4).for_each(|_| apply(&mut vms[0], 100, Answer(SOUND)));
    }
    exchange(&mut vms, 600);
    let mut trials = 0;
    for ms in (610..3_600).step_by(10) {
        for detector in &mut vms {
            let admission = detector.admit(at(ms), &service(), &parts(&["bad"]));
            trials += u32::from(admission == Admission::Trial);
        }
        exchange(&mut vms, ms + 5);
    }
    assert_eq!(trials, 1);
}

#[test]
fn trials_without_result_are_repeated_less_and_less_often() {
    let mut vms = detectors(2);
    for n in 0..3 {
        apply(&mut vms[0], u64::from(n) * 100, End(&["bad"], n));
        (0..4).for_each(|_| apply(&mut vms[0], 250, Answer(SOUND)));
    }
    let mut trials = Vec::new();
    for ms in (700..100_000).step_by(50) {
        exchange(&mut vms, ms);
        // The server of a trial was cut off, so that nobody knows how it ended.
        let detector = &mut vms[(ms / 50) as usize % 2];
        if detector.admit(at(ms), &service(), &parts(&["bad"])) == Admission::Trial {
            trials.push(ms);
        }
    }
    let gaps: Vec<u64> = trials.windows(2).map(|t| (t[1] - t[0]) / 1_000).collect();
    assert!(gaps.len() == 2 && gaps[0] >= 3 && gaps[1] >= 20, "{trials:?}");
}

#[test]
fn waiting_requests_at_many_vms_try_a_part_one_at_a_time() {
    // Each VM learns of the others' trials 60 ms later.
    const DELAY_MS: usize = 60;
    let mut collisions = 0;
    for round in 0..20 {
        let name = format!("bad-{round}");
        let mut vms = detectors(7);
        for n in 0..3 {
            let end = (&server(n), false);
            vms[0].record_end(at(0), &service(), &parts(&[&name]), end);
            (0..4).for_each(|_| apply(&mut vms[0], 100, Answer(SOUND)));
        }
        exchange(&mut vms, 600);
        vms[0].admit(at(900), &service(), &parts(&[&name]));
        vms[0].record_end(at(950), &service(), &parts(&[&name]), (&server(9), true));
        exchange(&mut vms, 1_000);
        let mut tried = Vec::new();
        let mut sent = VecDeque::<Vec<Vec<Suspect>>>::new();
        for ms in 1_000..6_000 {
            for detector in &mut vms {
                if detector.admit(at(ms), &service(), &parts(&[&name])) == Admission::Trial {
                    tried.push(ms);
                }
            }
            sent.push_back(vms.iter_mut().map(|d| d.suspects(at(ms))).collect());
            if sent.len() > DELAY_MS {
                for suspects in sent.pop_front().unwrap() {
                    for detector in &mut vms {
                        detector.merge(at(ms), &suspects);
                    }
                }
            }
        }
        assert!(!tried.is_empty(), "the part is tried again within 5 s");
        collisions += tried.len() - 1;
    }
    assert!(collisions <= 10, "{collisions} trials too many in 20 rounds");
}

#[test]
fn a_part_that_only_came_with_a_bad_one_is_soon_free() {
    // All requests with `rare` had `bad` too, until one without it comes.
    let mut detector = detectors(1).remove(0);
    for n in 0..8 {
        apply(&mut detector, u64::from(n) * 50, End(&["first", "rare", "bad"], n));
        (0..4).for_each(|_| apply(&mut detector, u64::from(n) * 50, Answer(OTHER)));
    }
    let both = request(&["first", "rare", "bad"]);
    let rare = request(&["first", "rare"]);
    assert!(matches!(detector.admit(at(600), &service(), &both), Admission::Refused { .. }));
    assert_eq!(detector.admit(at(1_000), &service(), &rare), Admission::Trial);
    detector.record_answer(at(1_400), &service(), &rare);
    assert_eq!(detector.admit(at(1_410), &service(), &rare), Admission::Free);
    detector.admit(at(1_420), &service(), &parts(&["bad"]));
    assert!(is_refused(&mut detector, 1_430, &["bad"]), "the bad part stays blocked");
}

#[test]
fn a_part_that_turns_bad_is_blocked() {
    let mut detector = detectors(1).remove(0);
    for ms in (0..2_000).step_by(20) {
        apply(&mut detector, ms, Answer(SOUND));
        apply(&mut detector, ms, Answer(OTHER));
    }
    for ms in (2_000..4_000).step_by(20) {
        let n = u32::try_from(ms / 200).unwrap();
        apply(&mut detector, ms, End(SOUND, n));
        apply(&mut detector, ms, Answer(OTHER));
    }
    assert!(is_refused(&mut detector, 4_000, SOUND));
}

#[test]
fn services_are_told_apart() {
    let mut detector = detectors(1).remove(0);
    for n in 0..3 {
        apply(&mut detector, 0, End(BAD, n));
        (0..4).for_each(|_| apply(&mut detector, 100, Answer(SOUND)));
    }
    let other = ServiceName::try_from("desk").unwrap();
    assert_eq!(detector.check(at(700), &other, &parts(BAD)), Admission::Free);
    assert!(is_refused(&mut detector, 700, BAD));
}

#[test]
fn memory_and_messages_are_bounded() {
    let mut detector = detectors(1).remove(0);
    for n in 0..20_000_u32 {
        let name = format!("{n:x}");
        let end = (&server(n), false);
        // Five thousand parts a second.
        detector.record_end(at(u64::from(n) / 5), &service(), &parts(&[&name]), end);
    }
    assert!(detector.suspects(at(20_000)).len() <= 12);
    let text = format!("{detector:?}");
    assert!(text.matches("answers_before").count() <= 512, "number of records");
    // Nothing is left after the time for which suspects are kept.
    assert!(detector.suspects(at(60_000)).is_empty());
}
