-- The first dry morning: ten times the usual number of farmers look at the map and file permits.
-- Both go through three services, and the last one is the smallest. Callers that are turned away
-- come back at once, several times. Without control the deep service works for callers that have
-- long given up, and goes on so after the rush.

service{name = "portal", targets = 4, slots = 160}
service{name = "permit", targets = 4, slots = 160}
service{name = "soil", targets = 4, slots = 20}

row{service = "soil", name = "read", self_ms = 50}
row{service = "permit", name = "check", self_ms = 20, calls = {{"soil", "read"}}}
row{service = "portal", name = "file", weight = 1000, self_ms = 10, deadline_ms = 2000,
    calls = {{"permit", "check"}}}
row{service = "portal", name = "map", weight = 100, self_ms = 10, deadline_ms = 1000,
    calls = {{"permit", "check"}}}

local capacity = 4 * 20 * 1000 / 50
local usual = 0.5 * capacity
local surge_from, surge_till = 3000, 9000

load{service = "portal", row = "file", rate = 0.05 * capacity, retries = 5, impatient_ms = 100}
load{service = "portal", row = "map", rate = 0.45 * capacity, retries = 5, impatient_ms = 100}
load{service = "portal", row = "file", rate = 0.3 * capacity, from = surge_from,
     till = surge_till, retries = 5, impatient_ms = 100}
load{service = "portal", row = "map", rate = 9 * usual - 0.3 * capacity, from = surge_from,
     till = surge_till, retries = 5, impatient_ms = 100}

run(16000)

local before = goodput("map", 1000, 3000)
local during = (goodput("file", surge_from + 500, surge_till) +
                goodput("map", surge_from + 500, surge_till)) / capacity
local files = completed("file", surge_from, surge_till)
local waste = wasted(surge_from, surge_till)
local inverted = inversions(surge_from + 300, surge_till)
local back = recovery("map", surge_till, 0.95 * before)

note("goodput in the surge / capacity", during)
note("permits completed / offered", files)
note("work wasted / used", waste)
note("refusals out of order", inverted)
note("recovery in ms", back)

expect(during >= 0.95, "goodput falls below the bottleneck's capacity")
expect(files >= 0.995, "permits are lost")
expect(waste <= 0.03, "work is done for requests that fail")
expect(inverted == 0, "a permit is refused while maps enter")
expect(back <= 2000, "the surge lasts on")
