#include "src/http/dashboard_page.h"

namespace graniteseam::http {
namespace {

constexpr std::string_view kPage = R"html(<!doctype html>
<html lang="en">
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>graniteseam</title>
<style>
  :root { color-scheme: light dark; --line: #8884; --bar: #3b7dd8; --warn: #c9402f; }
  body { font: 14px/1.45 system-ui, sans-serif; margin: 1.2rem auto; max-width: 72rem; padding: 0 1rem; }
  h1 { font-size: 1.25rem; } h2 { font-size: 1rem; margin: 1.6rem 0 .4rem; }
  table { border-collapse: collapse; width: 100%; }
  th, td { text-align: left; padding: .2rem .6rem .2rem 0; border-bottom: 1px solid var(--line); }
  .facts { display: flex; flex-wrap: wrap; gap: .6rem; }
  .fact { border: 1px solid var(--line); border-radius: 6px; padding: .4rem .8rem; min-width: 7rem; }
  .fact b { display: block; font-size: 1.25rem; }
  .warn { color: var(--warn); } svg rect { fill: var(--bar); }
  svg polyline { fill: none; stroke: var(--bar); stroke-width: 1.5; }
  #note { min-height: 1.4em; }
</style>
<h1>graniteseam</h1>
<label>Credential <input id="credential" type="password" autocomplete="off"></label>
<p id="note" role="status"></p>
<main hidden>
  <div class="facts" id="facts"></div>
  <h2>Control</h2><table id="control"></table>
  <h2>Zones</h2><table id="zones"></table>
  <h2>Servers</h2><table id="servers"></table>
  <h2>Versions in force</h2><table id="versions"></table>
  <h2>Shard moves since this page was opened</h2><div id="moves"></div>
</main>
<script>
"use strict";
const intervalMs = 2000;
const samplesKept = 150;
const svgNamespace = "http://www.w3.org/2000/svg";
const byId = (id) => document.getElementById(id);
const credential = byId("credential");
const moveSamples = [];

// All values from the fleet go in as text, never as HTML.
function element(name, content, className) {
  const made = document.createElement(name);
  if (className) made.className = className;
  if (content instanceof Node) made.append(content);
  else made.textContent = content;
  return made;
}

function fillTable(id, headings, rows) {
  const head = document.createElement("tr");
  for (const heading of headings) head.append(element("th", heading));
  const lines = rows.map((cells) => {
    const line = document.createElement("tr");
    for (const cell of cells) line.append(element("td", cell));
    return line;
  });
  byId(id).replaceChildren(head, ...lines);
}

function svg(width, height, shape, attributes) {
  const picture = document.createElementNS(svgNamespace, "svg");
  picture.setAttribute("width", width);
  picture.setAttribute("height", height);
  const drawn = document.createElementNS(svgNamespace, shape);
  for (const [name, value] of Object.entries(attributes)) drawn.setAttribute(name, value);
  picture.append(drawn);
  return picture;
}

function bar(value, largest, label) {
  const width = 160;
  const part = largest > 0 ? Math.min(1, value / largest) : 0;
  const cell = element("span", svg(width, 10, "rect", { width: width * part, height: 10 }));
  cell.append(" " + label);
  return cell;
}

function line(samples) {
  const width = 900;
  const height = 80;
  const first = samples[0];
  const largest = Math.max(1, ...samples.map((sample) => sample - first));
  const points = samples.map((sample, index) =>
    `${(index * width) / samplesKept},${height - 2 - ((sample - first) * (height - 4)) / largest}`);
  const block = element("div", svg(width, height, "polyline", { points: points.join(" ") }));
  block.append(element("div", `${samples[samples.length - 1] - first} moves`));
  return block;
}

function fact(name, value, warn) {
  const block = element("div", name, "fact");
  block.append(element("b", value, warn ? "warn" : ""));
  return block;
}

function showFacts(fleet) {
  const leased = fleet.servers.filter((server) => server.leased).length;
  byId("facts").replaceChildren(
    fact("Bundle in force", fleet.bundle_version),
    fact("Leader", fleet.leader ? fleet.leader.id : "none", !fleet.leader),
    fact("Term", fleet.term),
    fact("Committed", fleet.commit_index),
    fact("Servers leased", `${leased} of ${fleet.servers.length}`, leased < fleet.servers.length),
    fact("Routers", fleet.routers.length, fleet.routers.length === 0),
    fact("Shard moves", fleet.shard_moves));
}

function showControl(fleet) {
  const describe = (member, role) => {
    const leads = fleet.leader && fleet.leader.id === member.id;
    return [member.id, leads ? "leader" : role, member.zone, member.address];
  };
  fillTable("control", ["Id", "Role", "Zone", "Address"], [
    ...fleet.membership.voters.map((member) => describe(member, "voter")),
    ...fleet.membership.learners.map((member) => describe(member, "learner"))]);
}

function showZones(fleet) {
  const zones = new Map();
  const zoneOf = (name) => {
    if (!zones.has(name)) zones.set(name, { control: 0, servers: 0, leased: 0, shards: 0 });
    return zones.get(name);
  };
  for (const voter of fleet.membership.voters) zoneOf(voter.zone).control += 1;
  for (const server of fleet.servers) {
    const zone = zoneOf(server.entry.zone);
    zone.servers += 1;
    zone.leased += server.leased ? 1 : 0;
    zone.shards += server.shards;
  }
  fillTable("zones", ["Zone", "Voters", "Servers leased", "Shards"],
    [...zones].sort().map(([name, zone]) =>
      [name, zone.control, `${zone.leased} of ${zone.servers}`, zone.shards]));
}

function stateOf(server) {
  if (!server.leased) return element("span", "no lease", "warn");
  if (server.draining) return element("span", "draining", "warn");
  return server.entry.accepts_new_work ? "serving" : element("span", "no new work", "warn");
}

function showServers(fleet) {
  const mostShards = Math.max(0, ...fleet.servers.map((server) => server.shards));
  fillTable("servers", ["Server", "Service", "Zone", "State", "Shards", "Load (its own word)"],
    fleet.servers.map((server) => [
      server.entry.id, server.entry.service, server.entry.zone, stateOf(server),
      bar(server.shards, mostShards, String(server.shards)),
      bar(server.entry.load_hint, 1, server.entry.load_hint.toFixed(2))]));
}

function showVersions(bundles) {
  fillTable("versions", ["Process", "Kind", "Version", "Heard of"],
    bundles.processes.map((process) => {
      const behind = process.version !== bundles.in_force;
      return [process.process, process.kind,
              element("span", process.version, behind ? "warn" : ""), `${process.age_ms} ms ago`];
    }));
}

function showMoves(fleet) {
  moveSamples.push(fleet.shard_moves);
  if (moveSamples.length > samplesKept) moveSamples.shift();
  byId("moves").replaceChildren(line(moveSamples));
}

async function read(path) {
  const answer = await fetch(path, { headers: { Authorization: "Bearer " + credential.value } });
  const body = await answer.json();
  if (answer.ok) return body;
  const leader = body.leader ? ` The leader's page is at ${location.protocol}//${body.leader}/.` : "";
  throw new Error(`${body.detail} ${body.remedy}${leader}`);
}

async function refresh() {
  if (!credential.value) {
    byId("note").textContent = "Enter an operator's credential.";
    return;
  }
  try {
    const [fleet, bundles] = await Promise.all([read("/v1/fleet"), read("/v1/bundles")]);
    showFacts(fleet);
    showControl(fleet);
    showZones(fleet);
    showServers(fleet);
    showVersions(bundles);
    showMoves(fleet);
    document.querySelector("main").hidden = false;
    byId("note").textContent = "As of " + new Date().toLocaleTimeString() + ".";
  } catch (error) {
    byId("note").textContent = error.message;
  }
}

credential.value = sessionStorage.getItem("credential") || "";
credential.addEventListener("change", () => {
  sessionStorage.setItem("credential", credential.value);
  refresh();
});
setInterval(refresh, intervalMs);
refresh();
</script>
</html>
)html";

}  // namespace

std::string_view DashboardPage() { return kPage; }

}  // namespace graniteseam::http
