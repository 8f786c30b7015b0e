#include "process/StatusPage.h"

namespace tarragontray {

namespace {

constexpr std::string_view kPage = R"html(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>tarragontray</title>
<style>
body{font:14px/1.4 sans-serif;margin:1.5em;color:#222}
table{border-collapse:collapse;margin:.4em 0 1.4em}
th,td{border:1px solid #ccc;padding:.25em .6em;text-align:left}
th{background:#f2f2f2}
.bad{color:#a00}.good{color:#070}
.bar{display:inline-block;width:8em;background:#eee}
.bar span{display:block;background:#48a;height:.8em}
</style></head><body>
<h1>tarragontray</h1><p id="self"></p>
<h2>Configurations</h2><table id="configurations"></table>
<h2>Moves</h2><table id="moves"></table>
<h2>Data centres</h2><table id="centres"></table>
<h2>Nodes</h2><table id="members"></table>
<h2>Guard</h2><table id="guard"></table>
<script>
const text = (value) => document.createTextNode(value ?? "");
function row(table, tag, cells) {
  const line = table.insertRow();
  for (const cell of cells) {
    const box = document.createElement(tag);
    box.append(cell instanceof Node ? cell : text(String(cell ?? "")));
    line.append(box);
  }
}
function fill(id, heads, lines) {
  const table = document.getElementById(id);
  table.replaceChildren();
  row(table, "th", heads);
  for (const line of lines) row(table, "td", line);
}
function shares(all) {
  const box = document.createElement("div");
  for (const [name, share] of Object.entries(all)) {
    const bar = document.createElement("div");
    const inner = document.createElement("span");
    inner.style.width = 100 * share + "%";
    const outer = document.createElement("span");
    outer.className = "bar";
    outer.append(inner);
    bar.append(outer, text(" " + name + " " + (100 * share).toFixed(1) + "%"));
    box.append(bar);
  }
  return box;
}
function centres(members) {
  const found = new Map();
  for (const one of members) {
    const entry = found.get(one.data_centre) ?? { alive: 0, other: 0, live: 0 };
    one.state === "alive" ? entry.alive++ : entry.other++;
    if (one.state === "alive" && one.upstream_state === "live") entry.live++;
    found.set(one.data_centre, entry);
  }
  return [...found].map(([name, e]) => [name, e.alive, e.other, e.live]);
}
async function refresh() {
  const s = await (await fetch("/status")).json();
  document.getElementById("self").textContent =
    `VM ${s.vm} in ${s.data_centre}` + (s.relay ? ", relay" : "") +
    (s.draining ? ", draining" : "") + `, revision ${s.highest_revision}`;
  fill("configurations", ["account", "in force", "pending", "why"],
    s.configurations.map(c => [c.account, c.version ?? "none",
      c.pending?.version, c.pending &&
      c.pending.reason + ": " + c.pending.detail]));
  fill("moves", ["service", "from", "to", "state", "share", "deadline",
    "route", "reason", "calls"],
    s.moves.map(m => [m.account + "/" + m.service, m.from, m.to, m.state,
      shares(m.shares), m.deadline, m.route, m.reason, m.calls]));
  fill("centres", ["data centre", "nodes alive", "others", "live upstreams"],
    centres(s.members));
  fill("members", ["VM", "data centre", "state", "service", "version",
    "upstream", "slots"],
    s.members.map(m => [m.vm, m.data_centre, m.state, m.service, m.version,
      m.upstream_state, m.slots]));
  fill("guard", ["running", "queued", "slots", "refused", "ran"],
    [[s.guard.running, s.guard.queued, s.guard.slots, s.guard.refused,
      s.guard.ran]]);
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
