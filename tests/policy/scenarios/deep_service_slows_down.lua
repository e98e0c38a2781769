-- The soil service becomes ten times slower while the load grows. The map row depends on it, the
-- news row does not; both enter through the portal service. If calls that wait for the soil service
-- could take every slot of the portal, requests for news would be refused along with those for
-- maps.

service{name = "portal", targets = 4, slots = 40}
service{name = "permit", targets = 4, slots = 160}
service{name = "soil", targets = 4, slots = 20}

row{service = "soil", name = "read", self_ms = 50}
row{service = "permit", name = "check", self_ms = 20, calls = {{"soil", "read"}}}
row{service = "portal", name = "map", weight = 100, self_ms = 10, deadline_ms = 2000,
    calls = {{"permit", "check"}}}
row{service = "portal", name = "news", weight = 50, self_ms = 20, deadline_ms = 1000}

load{service = "portal", row = "map", rate = 700, retries = 5, impatient_ms = 100}
load{service = "portal", row = "map", rate = 2000, from = 3000, till = 9000, retries = 5,
     impatient_ms = 100}
load{service = "portal", row = "news", rate = 1500}
slow{service = "soil", factor = 10, at = 3000}
slow{service = "soil", factor = 1, at = 9000}

run(3000)
local limit_before = sum("portal", "limit")
local permit_before = sum("permit", "limit")
run(8900)
local limit_during = sum("portal", "limit")
local permit_during = sum("permit", "limit")
run(16000)

local news = completed("news", 3000, 9000)
local slow_capacity = 4 * 20 * 1000 / 500
local maps = goodput("map", 4000, 9000) / slow_capacity
local waste = wasted(4000, 9000)
local back = recovery("map", 9000, 0.95 * goodput("map", 1000, 3000))

note("news completed / offered", news)
note("maps' goodput / capacity of the slow service", maps)
note("work wasted / used", waste)
note("portal limits before, during", limit_before .. ", " .. limit_during)
note("permit limits before, during", permit_before .. ", " .. permit_during)
note("recovery in ms", back)

expect(news >= 0.98, "rows that do not use the slow service suffer")
expect(maps >= 0.9, "the slow service is not used fully")
expect(limit_during >= limit_before and permit_during >= permit_before,
       "limits above the slow service shrink")
expect(back <= 2000, "the slow-down outlasts its cause")
