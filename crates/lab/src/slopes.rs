//! Growth of memory, messages and processing time with size.
//!
//! Memory and heartbeats are measured at three or more sizes, and a line is fitted to them; the
//! other times are those of single operations.

use std::{sync::Arc, time::Instant};

use control::{Clock, Heartbeat, Input, Machine, Message, Output, PeerSetup, Setup};
use limits::Limiter;
use model::{
    AccountName, Edit, EditId, Entry, Limits, RawEntry, RequestId, Span, Time, VmName, ZoneName,
};
use raft::Member;
use state::{ClaimKey, Command, State};

use crate::{
    decide::{announcement, decision_ns},
    idle::{cpu_s, rss_bytes},
    table::{self, Fit, median},
};

/// Simulated time of each row of the heartbeat table, in seconds.
const SIMULATED_S: u64 = 20;
/// Interval of heartbeats in milliseconds.
const HEARTBEAT_MS: u64 = 250;
/// Interval of ticks in milliseconds.
const TICK_MS: u64 = 10;

pub(crate) fn run() {
    measure_heartbeats();
    measure_memory("claims kept", &[20_000, 60_000, 120_000], 73.0 * 600.0, |n| {
        let mut state = State::default();
        for i in 0..n {
            state.apply(1_000, claim(i));
        }
        Box::new(state)
    });
    measure_memory("catalogue entries", &[11_000, 33_000, 66_000], 11_000.0, |n| {
        let mut state = State::default();
        let put = (0..n).map(|i| entry(&format!("account-{i}"))).collect();
        let id = EditId::try_from("all").expect("a valid name");
        state.apply(1, Command::Edit(Edit { id, base: 0, put, remove: Vec::new() }));
        Box::new(state)
    });
    measure_memory(
        "accounts with limits in use",
        &[11_000, 33_000, 66_000],
        11_000.0 / 65.0,
        |n| {
            let mut limiter = Limiter::default();
            let vm = VmName::try_from("vm-1").expect("a valid name");
            let limits = Limits { rate: 10, concurrent: 10, tokens: 1_000 };
            for i in 0..n {
                let account = AccountName::try_from(format!("account-{i}")).expect("a valid name");
                let request = RequestId::from(u128::from(i));
                let _ = limiter.admit(Time::from_micros(1), &account, limits, request, &vm, 1);
            }
            Box::new(limiter)
        },
    );
    measure_operations();
}

fn claim(n: u32) -> Command {
    let account = AccountName::try_from(format!("account-{}", n % 1_000)).expect("a valid name");
    let key = ClaimKey { issued: 1_000, account, text: Arc::from(format!("1765-order-{n}")) };
    let owner = VmName::try_from("vm-1").expect("a valid name");
    Command::Claim { key, request: RequestId::from(u128::from(n)), owner }
}

fn entry(account: &str) -> Entry {
    let raw = RawEntry {
        account: account.into(),
        tier: 1,
        services: vec!["loom-model".into(), "order-desk".into()],
        rate: 10,
        concurrent: 10,
        tokens: 1_000,
        credential: model::digest(account.as_bytes()),
    };
    raw.try_into().expect("a valid entry")
}

/// Measures the processor time and the sent bytes of a control machine against the number of VMs
/// with which it exchanges heartbeats.
fn measure_heartbeats() {
    let mut points = (Vec::new(), Vec::new());
    let mut rows = Vec::new();
    for n in [3_u16, 28, 100, 389] {
        let (cpu, bytes) = heartbeat_cost(n);
        points.0.push((f64::from(n), cpu * 100.0));
        points.1.push((f64::from(n), bytes / 1e3));
        rows.push(vec![
            n.to_string(),
            format!("{:.3}", cpu * 100.0),
            format!("{:.1}", bytes / 1e3),
        ]);
    }
    let (cpu, bytes) = (Fit::new(&points.0), Fit::new(&points.1));
    table::print(
        "Membership and tick of one control machine, by heartbeat partners",
        &["other VMs", "% of a core", "KB/s of heartbeat payload sent"],
        &rows,
    );
    println!(
        "\nfit: {:.4}% + {:.5}% per VM (residual {:.0}%); {:.2} + {:.4} KB/s per VM (residual {:.0}%)",
        cpu.intercept,
        cpu.slope,
        cpu.residual * 100.0,
        bytes.intercept,
        bytes.slope,
        bytes.residual * 100.0
    );
    println!(
        "at 27 partners (a zone of 28 of 390): {:.3}% and {:.1} KB/s; at 389: {:.2}% and {:.1} KB/s",
        cpu.at(27.0),
        bytes.at(27.0),
        cpu.at(389.0),
        bytes.at(389.0)
    );
}

fn vm(n: u16) -> VmName {
    VmName::try_from(format!("vm-{n}")).expect("a valid name")
}

/// Returns the processor seconds and the sent heartbeat bytes, per simulated second, of a control
/// machine that exchanges heartbeats with `n` other VMs.
#[expect(clippy::cast_precision_loss, reason = "byte counts are far below 2^52")]
fn heartbeat_cost(n: u16) -> (f64, f64) {
    let zone = ZoneName::try_from("zone-a").expect("a valid name");
    let mut setup = Setup::single(vm(0), zone.clone());
    setup.peers = (1..=n).map(|p| PeerSetup { vm: vm(p), zone: zone.clone() }).collect();
    setup.founders = vec![vm(0)];
    let mut machine = Machine::new(&setup);
    let (mut out, mut bytes) = (Vec::new(), 0_usize);
    let heartbeats: Vec<Message> = (1..=n)
        .map(|p| {
            Message::Heartbeat(Heartbeat {
                incarnation: 1,
                zone: zone.clone(),
                ready: true,
                draining: false,
                marks: 0,
                member: Member { vm: vm(p), disk: 1 },
                cluster: None,
                revision: 0,
            })
        })
        .collect();
    let start = cpu_s();
    for ms in (TICK_MS..SIMULATED_S * 1_000).step_by(usize::try_from(TICK_MS).unwrap_or(1)) {
        let clock = Clock::at_millis(ms);
        if ms % HEARTBEAT_MS == 0 {
            for (from, message) in (1..=n).zip(&heartbeats) {
                let input = Input::Message { from: vm(from), message: message.clone() };
                machine.step(clock, input, &mut out);
            }
        }
        machine.step(clock, Input::Tick, &mut out);
        for output in out.drain(..) {
            if let Output::Send { message: message @ Message::Heartbeat(_), .. } = output {
                bytes += rmp_serde::to_vec_named(&message).map_or(0, |b| b.len());
            }
        }
    }
    let length = SIMULATED_S as f64;
    ((cpu_s() - start) / length, bytes as f64 / length)
}

/// Measures the resident memory of what `build` returns at several sizes, and extrapolates it to
/// the size that the design assumes.
#[expect(clippy::cast_precision_loss, reason = "byte counts are far below 2^52")]
fn measure_memory(
    label: &str,
    sizes: &[u32],
    design: f64,
    build: impl Fn(u32) -> Box<dyn std::any::Any>,
) {
    let (mut rows, mut points) = (Vec::new(), Vec::new());
    for size in sizes {
        // Measured values are never freed, so that the next size cannot reuse their memory.
        let before = rss_bytes();
        let start = Instant::now();
        let value = build(*size);
        let us = start.elapsed().as_secs_f64() * 1e6 / f64::from(*size);
        let mb = rss_bytes().saturating_sub(before) as f64 / 1e6;
        std::mem::forget(value);
        points.push((f64::from(*size), mb));
        rows.push(vec![size.to_string(), format!("{mb:.1}"), format!("{us:.2}")]);
    }
    let fit = Fit::new(&points);
    table::print(&format!("Memory: {label}"), &["count", "MB", "us each to add"], &rows);
    println!(
        "\nfit: {:.2} MB + {:.0} bytes each (residual {:.0}%); at the design's {design:.0}: {:.1} MB",
        fit.intercept,
        fit.slope * 1e6,
        fit.residual * 100.0,
        fit.at(design)
    );
}

/// Measures the time of single operations.
fn measure_operations() {
    let mut rows = Vec::new();
    let decision = median((0..5).map(|_| decision_ns(100)).collect());
    rows.push(vec![
        "broker: one end, grant and new ticket, 100 waiting".into(),
        format!("{:.2}", decision / 1e3),
    ]);
    let zone = ZoneName::try_from("zone-a").expect("a valid name");
    let mut machine = Machine::new(&Setup::single(vm(0), zone));
    let mut out = Vec::new();
    let count: u16 = 20_000;
    let start = Instant::now();
    for n in 0..count {
        let announcement = announcement(n % 18, 8);
        let input = Input::Announce { announcement, zone: None };
        machine.step(Clock::at_millis(2_000 + u64::from(n)), input, &mut out);
        out.clear();
    }
    let us = start.elapsed().as_secs_f64() * 1e6 / f64::from(count);
    rows.push(vec!["broker: one announcement of 18 servers".into(), format!("{us:.2}")]);
    let start = Instant::now();
    for n in 0..u32::from(count) {
        let mut ticket = crate::decide::ticket(n);
        ticket.budget = Span::from_secs(1);
        let request = ticket.request;
        let clock = Clock::at_millis(30_000 + u64::from(n));
        machine.step(clock, Input::Submit { ticket }, &mut out);
        machine.step(clock, Input::Abandon { request }, &mut out);
        out.clear();
    }
    let us = start.elapsed().as_secs_f64() * 1e6 / f64::from(count);
    rows.push(vec![
        "entry VM: one request refused for an unknown account".into(),
        format!("{us:.2}"),
    ]);
    table::print("Times", &["operation", "us"], &rows);
}
