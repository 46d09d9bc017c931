//! Ports, configuration files and agents of a run, before anything is started.

use super::client::Question;
use super::fleet::Fleet;
use super::options::{Form, Options};
use super::process::{Kind, One};
use super::registry::List;
use super::STOP;
use crate::peers::agent;
use crate::process::Process;
use crate::scenario::{self, group_of, node_configuration};
use nanorand::{Rng, WyRand};
use rainstand_config::schema;
use rainstand_config::schema::GroupMember;
use rainstand_config::source::Memory;
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use std::{fs, io};
use tokio::sync::Notify;

/// A port that stays ours while whoever listens there is restarted: bound here without listening, which hinders
/// nobody who binds it to be used again, and everybody who looks for a free one.
fn hold() -> io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
    let addr = socket.local_addr()?.as_socket();
    addr.map(|addr| (socket, addr))
        .ok_or_else(|| io::Error::other("no address"))
}

impl<'o> Fleet<'o> {
    pub(super) async fn set_up(options: &'o Options, folder: &Path) -> io::Result<Self> {
        let folder = folder.to_owned();
        let mut held = Vec::new();
        let mut port = || {
            let (socket, addr) = hold()?;
            held.push(socket);
            Ok::<_, io::Error>(addr)
        };
        let announce = port()?;
        let fronts = (0..options.nodes)
            .map(|_| port())
            .collect::<io::Result<Vec<_>>>()?;
        let size = options.size();
        let members: Vec<GroupMember> = (0..options.group)
            .map(|n| {
                let disk = folder.join(format!("disk-n{n}"));
                fs::create_dir_all(&disk)?;
                Ok(GroupMember {
                    name: format!("n{n}"),
                    site: String::new(),
                    address: port()?.to_string(),
                    folder: disk.display().to_string(),
                })
            })
            .collect::<io::Result<_>>()?;
        let group = folder.join("group.txtpb");
        fs::write(
            &group,
            schema::to_text(&group_of(16, 3, Duration::from_secs(2), members)),
        )?;
        let mut chance = WyRand::new_seed(options.seed);
        let mut draw = |of: usize| chance.generate_range(0..of);
        let (mut all, mut agents) = (Vec::new(), Vec::new());
        for (n, front) in fronts.iter().enumerate() {
            let (agent, at) = start_agent(n, options, &folder).await?;
            agents.push(agent);
            let (name, file) = (format!("n{n}"), folder.join(format!("n{n}.json")));
            let mut node = node_configuration(
                &name,
                *front,
                at,
                options.seed ^ n as u64,
                Duration::from_secs(4),
            );
            node["stop_ms"] = (STOP.as_millis() as u64).into();
            node["announce"] = announce.to_string().into();
            node["settings"]["groupSize"] = options.nodes.into();
            node["settings"]["parties"] = parties(options.tenants);
            fs::write(&file, node.to_string())?;
            let in_group = n < options.group;
            let (kind, traffic) = if in_group {
                (Kind::Member, "register")
            } else {
                (Kind::Node, "check")
            };
            all.push(Rc::new(One {
                kind,
                name,
                front: *front,
                question: Question {
                    traffic,
                    customer: format!("t{}", draw(options.tenants)),
                    entity: String::new(),
                },
                file,
                number: n,
                group: in_group.then(|| group.clone()),
                process: RefCell::default(),
            }));
        }
        let file = folder.join(match options.form {
            Form::Rain => "fleet.rain",
            Form::Text => "fleet.txtpb",
            Form::Binary => "fleet.pb",
        });
        // A pool's members are at different nodes: they come in steps of the number of pools.
        let node = |member: usize| (member % size.pools * 7 + member / size.pools) % options.nodes;
        fs::write(
            &file,
            written(
                &size.rain_to(|member| fronts[node(member)].to_string()),
                options.form,
            )?,
        )?;
        for f in 0..options.forwarders {
            // No route that names tenants.
            let mut route = draw(options.routes);
            route += usize::from(route % 8 == 0 && options.routes > 1);
            let question = Question {
                traffic: "check",
                customer: format!("t{}", draw(options.tenants)),
                entity: size.entity(route % options.routes),
            };
            all.push(Rc::new(One {
                kind: Kind::Forwarder,
                name: format!("f{f}"),
                front: port()?,
                question,
                file: file.clone(),
                number: f,
                group: None,
                process: RefCell::default(),
            }));
        }
        let list = List {
            mode: Cell::new(options.discovery),
            fronts: (0..).map(|n| format!("n{n}")).zip(fronts).collect(),
            heard: RefCell::default(),
            listed: RefCell::default(),
            told_before_listening: Cell::new(0),
            last: Cell::new(None),
            open: Cell::new(0),
            changed: Notify::new(),
        };
        let list = Rc::new(list);
        let results = RefCell::default();
        Ok(Self {
            options,
            folder,
            all,
            list,
            announce,
            _held: held,
            _agents: agents,
            results,
        })
    }
}

fn parties(tenants: usize) -> Value {
    let portion = 1.0 / tenants as f64;
    let one = |k| json!({"name": format!("t{k}"), "portion": portion, "quotaRps": 100_000.0});
    (0..tenants).map(one).collect()
}

/// A configuration in the form in which forwarders read it.
pub(super) fn written(text: &str, form: Form) -> io::Result<Vec<u8>> {
    if form == Form::Rain {
        return Ok(text.into());
    }
    let outcome = rainstand_config::load(&Memory::new([("fleet.rain", text)]), "fleet.rain");
    let configuration = outcome
        .configuration
        .ok_or_else(|| io::Error::other("the configuration is refused"))?;
    Ok(match form {
        Form::Binary => schema::to_binary(&configuration),
        _ => schema::to_text(&configuration).into(),
    })
}

async fn start_agent(
    n: usize,
    options: &Options,
    folder: &Path,
) -> io::Result<(Process, SocketAddr)> {
    let name = format!("agent-n{n}");
    let options_of_agent = agent::Options {
        seed: options.seed ^ (n as u64 + 1) << 32,
        run_least_ns: 1_000_000,
        run_most_ns: 2_000_000,
        history: folder.join(format!("{name}.part")),
        name,
    };
    let log = folder.join(format!("{}.log", options_of_agent.name));
    scenario::start_agent(&options_of_agent, options.programs.as_deref(), &log).await
}
