#include "process/StatusPage.h"

namespace tarragontray {

namespace {

constexpr std::string_view kPage = R"html(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>tarragontray</title>
<style>
body{font:14px/1.4 sans-serif;margin:1.5em;color:#222}
h1{margin:0}h2{font-size:1.15em;margin:1.2em 0 .3em}
table{border-collapse:collapse}
th,td{border:1px solid #ccc;padding:.25em .6em;text-align:left}
th{background:#f2f2f2}td.number{text-align:right}
.bad{color:#a00}.good{color:#070}.note{color:#666}
.bar{display:inline-block;width:8em;background:#eee;margin-right:.4em}
.bar span{display:block;background:#48a;height:.8em}
</style></head><body>
<h1>tarragontray</h1><p id="self"></p><p id="trouble" class="bad"></p>
<h2>Configurations</h2><table id="configurations"></table>
<h2>Moves</h2><table id="moves"></table>
<h2>Data centres</h2><table id="centres"></table>
<h2>Nodes</h2><table id="members"></table>
<h2>This node's upstream</h2><table id="guard"></table>
<p class="note">Calls of a move are first attempts at the new version that this
node made. Refused calls were not run.</p>
<script>
const good = ["alive", "live", "done"];
const bad = ["dead", "absent", "taken-back", "rejected", "below-floor"];
function cell(value) {
  const box = document.createElement("td");
  box.append(value instanceof Node ? value : String(value ?? ""));
  if (typeof value === "string" && value.length < 30) {
    box.style.whiteSpace = "nowrap";
  }
  if (typeof value === "number") box.className = "number";
  if (good.includes(value)) box.className = "good";
  if (bad.includes(value)) box.className = "bad";
  return box;
}
function fill(id, heads, lines) {
  const table = document.getElementById(id);
  table.replaceChildren();
  const head = table.insertRow();
  for (const text of heads) {
    const box = document.createElement("th");
    box.append(text);
    head.append(box);
  }
  for (const line of lines) table.insertRow().append(...line.map(cell));
  if (lines.length === 0) {
    const none = table.insertRow().insertCell();
    none.colSpan = heads.length;
    none.className = "note";
    none.append("none");
  }
}
function drawShares(all) {
  const box = document.createElement("div");
  for (const [name, share] of Object.entries(all)) {
    const inner = document.createElement("span");
    inner.style.width = 100 * share + "%";
    const bar = document.createElement("span");
    bar.className = "bar";
    bar.append(inner);
    const line = document.createElement("div");
    line.style.whiteSpace = "nowrap";
    line.append(bar, name + " " + (100 * share).toFixed(1) + " %");
    box.append(line);
  }
  return box;
}
function countByCentre(members) {
  const found = new Map();
  for (const member of members) {
    const count = found.get(member.data_centre) ?? [0, 0, 0, 0];
    const alive = member.state === "alive";
    count[alive ? 0 : member.state === "suspect" ? 1 : 2]++;
    if (alive && member.upstream_state === "live") count[3]++;
    found.set(member.data_centre, count);
  }
  return [...found].map(([name, count]) => [name, ...count]);
}
function serviceOf(owner, name) {
  return name ? owner + "/" + name : "";
}
function draw(status) {
  document.getElementById("self").textContent =
    `VM ${status.vm} in ${status.data_centre}, version ` +
    `${status.program_version}, highest revision ` +
    `${status.highest_revision}` + (status.relay ? ", relay" : "") +
    (status.draining ? ", draining" : "") +
    (status.below_floor ? ", below its floor" : "");
  fill("configurations", ["account", "in force", "pending", "why", "detail"],
    status.configurations.map(account => [account.account,
      account.version ?? "none", account.pending?.version,
      account.pending?.reason, account.pending?.detail]));
  fill("moves", ["service", "plan", "from", "to", "state",
    "share of the new version", "deadline", "ended", "route", "reason",
    "calls"],
    status.moves.map(move => [serviceOf(move.account, move.service),
      move.plan, move.from, move.to, move.state, drawShares(move.shares),
      move.deadline, move.time, move.route, move.reason, move.calls]));
  fill("centres", ["data centre", "nodes alive", "suspect", "dead",
    "live upstreams"], countByCentre(status.members));
  fill("members", ["VM", "data centre", "node", "service", "version",
    "upstream", "slots"],
    status.members.map(member => [member.vm, member.data_centre, member.state,
      serviceOf(member.account, member.service), member.version,
      member.upstream_state, member.slots]));
  fill("guard", ["running", "waiting", "slots", "refused since the start",
    "ran since the start"],
    [[status.guard.running, status.guard.queued, status.guard.slots,
      status.guard.refused, status.guard.ran]]);
}
async function refresh() {
  let trouble = "";
  try {
    draw(await (await fetch("/status")).json());
  } catch (error) {
    trouble = "The node does not respond; the data below is out of date.";
  }
  document.getElementById("trouble").textContent = trouble;
}
refresh();
setInterval(refresh, 2000);
</script></body></html>
)html";

} // namespace

std::string_view
StatusPage()
{
  return kPage;
}

} // namespace tarragontray
