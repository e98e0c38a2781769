#include "policy/scenario_script.h"

#include <algorithm>
#include <filesystem>
#include <lua.hpp>
#include <memory>

#include "policy/scenario_world.h"

namespace cuminferry::testing {
namespace {

/** State of a running script that its functions work on. */
struct script_state {
  std::unique_ptr<scenario_world> world;
  scenario_result result;
};

script_state& ScriptStateOf(lua_State* lua) {
  return **static_cast<script_state**>(lua_getextraspace(lua));
}
scenario_world& WorldOf(lua_State* lua) { return *ScriptStateOf(lua).world; }

constexpr std::int64_t kStartMicros = 1'000'000;

instant InstantAt(double millis) {
  return FromMicros(kStartMicros + static_cast<std::int64_t>(millis * 1000));
}

double NumberField(lua_State* lua, const char* key, double fallback) {
  lua_getfield(lua, 1, key);
  const double value = luaL_optnumber(lua, -1, fallback);
  lua_pop(lua, 1);
  return value;
}

std::string TextField(lua_State* lua, const char* key, const char* fallback = "") {
  lua_getfield(lua, 1, key);
  std::string value = luaL_optstring(lua, -1, fallback);
  lua_pop(lua, 1);
  return value;
}

/** service{name=, targets=, slots=, knee=}: adds a service. */
int Service(lua_State* lua) {
  WorldOf(lua).AddService(TextField(lua, "name"),
                          static_cast<std::uint32_t>(NumberField(lua, "targets", 4)),
                          static_cast<std::uint32_t>(NumberField(lua, "slots", 20)),
                          static_cast<std::uint32_t>(NumberField(lua, "knee", 0)));
  return 0;
}

void ReadCalls(lua_State* lua, fake_row& row) {
  lua_getfield(lua, 1, "calls");
  for (lua_Integer place = 1; lua_istable(lua, -1) && lua_geti(lua, -1, place) == LUA_TTABLE;
       ++place) {
    fake_callee callee;
    lua_geti(lua, -1, 1);
    lua_geti(lua, -2, 2);
    lua_geti(lua, -3, 3);
    callee.service = luaL_checkstring(lua, -3);
    callee.row = luaL_checkstring(lua, -2);
    callee.probability = luaL_optnumber(lua, -1, 1.0);
    lua_pop(lua, 4);
    row.calls.push_back(callee);
  }
}

/** row{service=, name=, weight=, self_ms=, deadline_ms=, target_limit=, calls={{service, row,
    probability}, ...}}: adds a row. */
int Row(lua_State* lua) {
  fake_row row;
  row.row.name = TextField(lua, "name");
  row.row.service = TextField(lua, "service");
  row.row.weight = static_cast<std::uint16_t>(NumberField(lua, "weight", 100));
  row.row.deadline =
      std::chrono::milliseconds(static_cast<std::int64_t>(NumberField(lua, "deadline_ms", 1000)));
  row.row.target_limit = static_cast<std::uint32_t>(NumberField(lua, "target_limit", 0));
  row.self_ms = NumberField(lua, "self_ms", 50);
  ReadCalls(lua, row);
  WorldOf(lua).AddRow(row.row.service, row);
  return 0;
}

/** load{service=, row=, rate=, from=, till=, retries=, impatient_ms=}: adds callers of a row. */
int Load(lua_State* lua) {
  fake_load load;
  load.service = TextField(lua, "service");
  load.row = TextField(lua, "row");
  load.per_second = NumberField(lua, "rate", 1);
  load.from = InstantAt(NumberField(lua, "from", 0));
  load.until = InstantAt(NumberField(lua, "till", 1e9));
  load.retries = static_cast<std::uint32_t>(NumberField(lua, "retries", 0));
  load.impatient_ms = NumberField(lua, "impatient_ms", 0);
  WorldOf(lua).AddLoad(load);
  return 0;
}

/** slow{service=, factor=, at=}: from `at` on, the backend servers take `factor` times as long. */
int Slow(lua_State* lua) {
  scenario_world& world = WorldOf(lua);
  const std::string service = TextField(lua, "service");
  const double factor = NumberField(lua, "factor", 10);
  world.Schedule(InstantAt(NumberField(lua, "at", 0)), [&world, service, factor] {
    for (fake_node* node : world.NodesOf(service)) {
      node->slow_factor = factor;
    }
  });
  return 0;
}

/** report{service=, says="full"|"idle"}: sets the load that the backend servers report. */
int Report(lua_State* lua) {
  for (fake_node* node : WorldOf(lua).NodesOf(TextField(lua, "service"))) {
    node->report = TextField(lua, "says");
  }
  return 0;
}

/** pause{service=, from=, till=}: pauses the first node of the service. */
int Pause(lua_State* lua) {
  fake_node* node = WorldOf(lua).NodesOf(TextField(lua, "service")).front();
  const instant until = InstantAt(NumberField(lua, "till", 0));
  WorldOf(lua).Schedule(InstantAt(NumberField(lua, "from", 0)),
                        [node, until] { node->paused_until = until; });
  return 0;
}

/** run(ms): advances the virtual time to this many milliseconds after the start. */
int Run(lua_State* lua) {
  WorldOf(lua).RunUntil(InstantAt(luaL_checknumber(lua, 1)));
  return 0;
}

/** goodput(row, from, till): whole requests completed per second. */
int Goodput(lua_State* lua) {
  const double from = luaL_checknumber(lua, 2);
  const double till = luaL_checknumber(lua, 3);
  const double sum = scenario_world::SumBetween(WorldOf(lua).completed[luaL_checkstring(lua, 1)],
                                                InstantAt(from), InstantAt(till));
  lua_pushnumber(lua, sum * 1000 / (till - from));
  return 1;
}

/** completed(row, from, till): the fraction of the offered requests that completed eventually. */
int Completed(lua_State* lua) {
  const std::string row = luaL_checkstring(lua, 1);
  const instant from = InstantAt(luaL_checknumber(lua, 2));
  const instant till = InstantAt(luaL_checknumber(lua, 3));
  const double offered = scenario_world::SumBetween(WorldOf(lua).offered[row], from, till);
  const double good =
      scenario_world::SumBetween(WorldOf(lua).completed_of_offered[row], from, till);
  lua_pushnumber(lua, offered > 0 ? good / offered : 1);
  return 1;
}

/** wasted(from, till): the fraction of the backend servers' work done for failed attempts. */
int Wasted(lua_State* lua) {
  const instant from = InstantAt(luaL_checknumber(lua, 1));
  const instant till = InstantAt(luaL_checknumber(lua, 2));
  const double work_seconds = scenario_world::SumBetween(WorldOf(lua).work_seconds, from, till);
  lua_pushnumber(lua, work_seconds > 0 ? scenario_world::SumBetween(
                                             WorldOf(lua).wasted_work_seconds, from, till) /
                                             work_seconds
                                       : 0);
  return 1;
}

/** recovery(row, since, level): milliseconds until the row's goodput over the following second has
    returned to the level; at most 60,000. */
int Recovery(lua_State* lua) {
  const auto& done = WorldOf(lua).completed[luaL_checkstring(lua, 1)];
  const double since = luaL_checknumber(lua, 2);
  const double level = luaL_checknumber(lua, 3);
  double after = 0;
  while (after < 60'000 && scenario_world::SumBetween(done, InstantAt(since + after),
                                                      InstantAt(since + after + 1000)) < level) {
    after += 50;
  }
  lua_pushnumber(lua, after);
  return 1;
}

/** inversions(from, till): the number of calls of a weight that were refused because of load while
    requests of a lower weight were admitted, in the same bucket of 50 ms and in all buckets of the
    300 ms before it. */
int Inversions(lua_State* lua) {
  constexpr int kReactionBuckets = 6;
  scenario_world& world = WorldOf(lua);
  const std::int64_t from = ToMicros(InstantAt(luaL_checknumber(lua, 1)));
  const std::int64_t till = ToMicros(InstantAt(luaL_checknumber(lua, 2)));
  double sum = 0;
  for (const auto& [weight, buckets] : world.refused) {
    const auto weights_below = world.admitted.lower_bound(weight);
    for (const auto& refusals : buckets) {
      const std::int64_t bucket = refusals.first;
      const std::int64_t at = bucket * scenario_world::kBucketMicros;
      bool all = at >= from && at < till;
      for (int back = 0; back <= kReactionBuckets && all; ++back) {
        all = std::any_of(world.admitted.begin(), weights_below,
                          [&](const auto& lower) { return lower.second.contains(bucket - back); });
      }
      sum += all ? refusals.second : 0;
    }
  }
  lua_pushnumber(lua, sum);
  return 1;
}

/** sum(service, "limit"|"running"|"queued"|"threshold"): the current sum over its nodes. */
int SumOver(lua_State* lua) {
  const std::string what = luaL_checkstring(lua, 2);
  double sum = 0;
  for (const fake_node* node : WorldOf(lua).NodesOf(luaL_checkstring(lua, 1))) {
    const admission_controller& admission = *node->admission;
    if (what == "limit") {
      sum += admission.limit();
    } else if (what == "threshold") {
      sum += admission.ThresholdOf(0, WorldOf(lua).now()).packed();
    } else {
      sum += what == "running" ? admission.running() : admission.queued();
    }
  }
  lua_pushnumber(lua, sum);
  return 1;
}

/** expect(holds, what): adds `what` to the failures unless `holds` is true. */
int Expect(lua_State* lua) {
  if (lua_toboolean(lua, 1) == 0) {
    ScriptStateOf(lua).result.failures.emplace_back(luaL_checkstring(lua, 2));
  }
  return 0;
}

/** note(what, value): adds a value to the notes of the result. */
int Note(lua_State* lua) {
  ScriptStateOf(lua).result.notes.push_back(std::string(luaL_checkstring(lua, 1)) + ": " +
                                            luaL_tolstring(lua, 2, nullptr));
  return 0;
}

}  // namespace

scenario_result RunScenario(const std::string& file, const std::string& control,
                            std::uint64_t seed) {
  script_state running;
  running.world = std::make_unique<scenario_world>(seed);
  running.world->control = control.empty() ? "full" : control;
  const std::unique_ptr<lua_State, decltype(&lua_close)> lua(luaL_newstate(), lua_close);
  luaL_openlibs(lua.get());
  *static_cast<script_state**>(lua_getextraspace(lua.get())) = &running;
  const luaL_Reg functions[] = {
      {"service", Service}, {"row", Row},           {"load", Load},
      {"slow", Slow},       {"report", Report},     {"pause", Pause},
      {"run", Run},         {"goodput", Goodput},   {"completed", Completed},
      {"wasted", Wasted},   {"recovery", Recovery}, {"inversions", Inversions},
      {"sum", SumOver},     {"expect", Expect},     {"note", Note}};
  for (const luaL_Reg& function : functions) {
    lua_register(lua.get(), function.name, function.func);
  }
  lua_pushstring(lua.get(), running.world->control.c_str());
  lua_setglobal(lua.get(), "control");
  lua_pushstring(lua.get(), std::filesystem::path(file).parent_path().c_str());
  lua_setglobal(lua.get(), "folder");
  if (luaL_dofile(lua.get(), file.c_str()) != LUA_OK) {
    running.result.failures.emplace_back(lua_tostring(lua.get(), -1));
  }
  return running.result;
}

}  // namespace cuminferry::testing
