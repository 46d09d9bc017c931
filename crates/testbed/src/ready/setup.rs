//! Ports, configuration files and agents of a run, prepared before nodes and forwarders are started.

use super::client::RequestTemplate;
use super::fleet::Fleet;
use super::options::{ConfigFormat, Options};
use super::process::{FleetProcess, Kind};
use super::registry::Registry;
use super::DRAIN_TIMEOUT;
use crate::peers::agent;
use crate::process::Process;
use crate::scenario::{self, group_of, node_configuration};
use nanorand::{Rng, WyRand};
use rainstand_config::schema::{self, GroupMember};
use rainstand_config::source::Memory;
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::cell::RefCell;
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Shards of the group, and replicas of each.
const SHARDS: u64 = 16;
const REPLICAS_PER_SHARD: u64 = 3;
/// Request deadlines of the group and of a node.
const GROUP_DEADLINE: Duration = Duration::from_secs(2);
const NODE_DEADLINE: Duration = Duration::from_secs(4);
/// One in this many routes names tenants.
const ROUTES_PER_TENANT_ROUTE: usize = 8;

/// Reserves a port while the process that listens on it is restarted. The port is bound here without listening: a
/// process that binds it with address reuse can listen on it, but the system does not hand it out as a free port.
fn reserve_port() -> io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
    let address = socket.local_addr()?.as_socket();
    let address =
        address.ok_or_else(|| io::Error::other("the reserved socket has no IP address"))?;
    Ok((socket, address))
}

/// A run whose files are being prepared.
struct Setup<'o> {
    options: &'o Options,
    folder: PathBuf,
    random: WyRand,
    reserved_ports: Vec<Socket>,
    agents: Vec<Process>,
    processes: Vec<Rc<FleetProcess>>,
}

impl<'o> Fleet<'o> {
    pub(super) async fn set_up(options: &'o Options, folder: &Path) -> io::Result<Self> {
        let mut setup = Setup {
            options,
            folder: folder.to_owned(),
            random: WyRand::new_seed(options.seed),
            reserved_ports: Vec::new(),
            agents: Vec::new(),
            processes: Vec::new(),
        };
        let announce = setup.reserve_port()?;
        let addresses = (0..options.nodes)
            .map(|_| setup.reserve_port())
            .collect::<io::Result<Vec<_>>>()?;
        let group = setup.write_group()?;
        for (n, address) in addresses.iter().enumerate() {
            setup.add_node(n, *address, announce, &group).await?;
        }
        setup.add_forwarders(&addresses)?;
        let names = (0..).map(|n| format!("n{n}"));
        let registry = Registry::new(options.discovery, names.zip(addresses).collect());
        Ok(Self {
            options,
            folder: setup.folder,
            processes: setup.processes,
            registry: Rc::new(registry),
            announce,
            _reserved_ports: setup.reserved_ports,
            _agents: setup.agents,
            results: RefCell::default(),
        })
    }
}

impl Setup<'_> {
    fn reserve_port(&mut self) -> io::Result<SocketAddr> {
        let (socket, address) = reserve_port()?;
        self.reserved_ports.push(socket);
        Ok(address)
    }

    fn draw(&mut self, bound: usize) -> usize {
        self.random.generate_range(0..bound)
    }

    /// Writes the configuration of the group, whose members are the first nodes.
    fn write_group(&mut self) -> io::Result<PathBuf> {
        let mut members = Vec::new();
        for n in 0..self.options.group {
            let disk = self.folder.join(format!("disk-n{n}"));
            fs::create_dir_all(&disk)?;
            members.push(GroupMember {
                name: format!("n{n}"),
                site: String::new(),
                address: self.reserve_port()?.to_string(),
                folder: disk.display().to_string(),
            });
        }
        let configuration = group_of(SHARDS, REPLICAS_PER_SHARD, GROUP_DEADLINE, members);
        let path = self.folder.join("group.txtpb");
        fs::write(&path, schema::to_text(&configuration))?;
        Ok(path)
    }

    /// Starts a node's agent and writes its settings.
    async fn add_node(
        &mut self,
        n: usize,
        address: SocketAddr,
        announce: SocketAddr,
        group: &Path,
    ) -> io::Result<()> {
        let options = self.options;
        let (agent, agent_address) = start_agent(n, options, &self.folder).await?;
        self.agents.push(agent);
        let name = format!("n{n}");
        let seed = options.seed ^ n as u64;
        let mut node = node_configuration(&name, address, agent_address, seed, NODE_DEADLINE);
        node["stop_ms"] = (DRAIN_TIMEOUT.as_millis() as u64).into();
        node["announce"] = announce.to_string().into();
        node["settings"]["groupSize"] = options.nodes.into();
        node["settings"]["parties"] = tenants_of(options.tenants);
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, node.to_string())?;
        let is_member = n < options.group;
        let (kind, class) = if is_member {
            (Kind::Member, "register")
        } else {
            (Kind::Node, "check")
        };
        let request = RequestTemplate {
            class,
            tenant: format!("t{}", self.draw(options.tenants)),
            entity: String::new(),
        };
        self.processes.push(Rc::new(FleetProcess {
            kind,
            name,
            address,
            request,
            file,
            number: n,
            group: is_member.then(|| group.to_owned()),
            process: RefCell::default(),
        }));
        Ok(())
    }

    /// Adds the forwarders and writes their shared configuration, with the nodes as members of its pools.
    fn add_forwarders(&mut self, nodes: &[SocketAddr]) -> io::Result<()> {
        let options = self.options;
        let size = options.size();
        let file = self.folder.join(match options.form {
            ConfigFormat::Rain => "fleet.rain",
            ConfigFormat::Text => "fleet.txtpb",
            ConfigFormat::Binary => "fleet.pb",
        });
        // The members of a pool, whose numbers differ by the number of pools, are on different nodes.
        let node_of =
            |member: usize| (member % size.pools * 7 + member / size.pools) % options.nodes;
        let text = size.rain_to(|member| nodes[node_of(member)].to_string());
        fs::write(&file, encode_configuration(&text, options.form)?)?;
        for number in 0..options.forwarders {
            let route = self.draw_route();
            let request = RequestTemplate {
                class: "check",
                tenant: format!("t{}", self.draw(options.tenants)),
                entity: size.entity(route),
            };
            let address = self.reserve_port()?;
            self.processes.push(Rc::new(FleetProcess {
                kind: Kind::Forwarder,
                name: format!("f{number}"),
                address,
                request,
                file: file.clone(),
                number,
                group: None,
                process: RefCell::default(),
            }));
        }
        Ok(())
    }

    /// Draws a route that names no tenants, if there is one.
    fn draw_route(&mut self) -> usize {
        let routes = self.options.routes;
        let route = self.draw(routes);
        let names_tenants = route.is_multiple_of(ROUTES_PER_TENANT_ROUTE) && routes > 1;
        (route + usize::from(names_tenants)) % routes
    }
}

fn tenants_of(count: usize) -> Value {
    let portion = 1.0 / count as f64;
    let tenant = |k| json!({"name": format!("t{k}"), "portion": portion, "quotaRps": 100_000.0});
    (0..count).map(tenant).collect()
}

/// Encodes a configuration in the format that forwarders read.
fn encode_configuration(text: &str, format: ConfigFormat) -> io::Result<Vec<u8>> {
    if format == ConfigFormat::Rain {
        return Ok(text.into());
    }
    let outcome = rainstand_config::load(&Memory::new([("fleet.rain", text)]), "fleet.rain");
    let configuration = outcome
        .configuration
        .ok_or_else(|| io::Error::other("the generated configuration is invalid"))?;
    Ok(match format {
        ConfigFormat::Binary => schema::to_binary(&configuration),
        _ => schema::to_text(&configuration).into(),
    })
}

async fn start_agent(
    n: usize,
    options: &Options,
    folder: &Path,
) -> io::Result<(Process, SocketAddr)> {
    let name = format!("agent-n{n}");
    let log = folder.join(format!("{name}.log"));
    let agent = agent::Options {
        seed: options.seed ^ (n as u64 + 1) << 32,
        run_least_ns: 1_000_000,
        run_most_ns: 2_000_000,
        history: folder.join(format!("{name}.part")),
        name,
    };
    scenario::start_agent(&agent, options.programs.as_deref(), &log).await
}
