-- The backend servers of the map service report that they are full although they are idle, because
-- of a monitoring fault. If the nodes relied on the reports alone, an idle service would refuse all
-- requests.

service{name = "map", targets = 4, slots = 40}
row{service = "map", name = "read", self_ms = 50, deadline_ms = 1000}
report{service = "map", says = "full"}

local capacity = 4 * 40 * 1000 / 50
load{service = "map", row = "read", rate = 0.8 * capacity}
load{service = "map", row = "read", rate = 2 * capacity, from = 4000, till = 8000}

run(12000)

local normal = completed("read", 1000, 4000)
local surge = goodput("read", 4500, 8000) / capacity
note("completed / offered at moderate load", normal)
note("goodput in the surge / capacity", surge)
expect(normal >= 0.95, "an idle service turns requests away")
expect(surge >= 0.95, "lying reports cost goodput")
