-- Sends a ten-fold surge into a chain of three services, the last of which has the smallest
-- capacity. Refused callers retry at once, several times. Returns the results of the run.
--   times: {portal, permit, soil}, self time at each service in milliseconds
--   deadlines: {file, map}, deadlines of the two rows in milliseconds

return function(times, deadlines)
  service{name = "portal", targets = 4, slots = 160}
  service{name = "permit", targets = 4, slots = 160}
  service{name = "soil", targets = 4, slots = 20}

  row{service = "soil", name = "read", self_ms = times[3]}
  row{service = "permit", name = "check", self_ms = times[2], calls = {{"soil", "read"}}}
  row{service = "portal", name = "file", weight = 1000, self_ms = times[1], deadline_ms = deadlines[1],
      calls = {{"permit", "check"}}}
  row{service = "portal", name = "map", weight = 100, self_ms = times[1], deadline_ms = deadlines[2],
      calls = {{"permit", "check"}}}

  local capacity = 4 * 20 * 1000 / times[3]
  local from, till = 3000, 9000
  local function callers(name, rate, first, last)
    load{service = "portal", row = name, rate = rate, from = first, till = last, retries = 5,
         impatient_ms = 100}
  end
  callers("file", 0.05 * capacity, 0, 1e9)
  callers("map", 0.45 * capacity, 0, 1e9)
  callers("file", 0.3 * capacity, from, till)
  callers("map", 4.2 * capacity, from, till)
  run(16000)

  local found = {
    goodput = (goodput("file", from + 500, till) + goodput("map", from + 500, till)) / capacity,
    permits = completed("file", from, till),
    waste = wasted(from, till),
    inverted = inversions(from + 300, till),
    recovery = recovery("map", till, 0.95 * goodput("map", 1000, from)),
  }
  note("goodput in the surge / capacity", found.goodput)
  note("permits completed / offered", found.permits)
  note("work wasted / used", found.waste)
  note("refusals out of order", found.inverted)
  note("recovery in ms", found.recovery)
  expect(found.goodput >= 0.95, "goodput falls below the bottleneck's capacity")
  expect(found.permits >= 0.995, "permits are lost")
  expect(found.inverted == 0, "a permit is refused while maps enter")
  expect(found.recovery <= 2000, "the surge lasts on")
  return found
end
