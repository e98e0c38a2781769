-- One node of four is paused for five seconds in the middle of a surge, for example because its
-- machine runs out of memory. When it resumes, it holds calls whose callers have gone and
-- thresholds that were computed for a past load. It must answer those calls at once and must not
-- refuse requests because of the old thresholds.

service{name = "map", targets = 4, slots = 40}
row{service = "map", name = "read", self_ms = 50, deadline_ms = 1000}

local capacity = 4 * 40 * 1000 / 50
load{service = "map", row = "read", rate = 0.5 * capacity}
load{service = "map", row = "read", rate = 3 * capacity, from = 2000, till = 4000}
pause{service = "map", from = 3000, till = 8000}

run(12000)

local after = completed("read", 8100, 11000)
note("completed / offered after the pause", after)
note("completed / offered during the pause, after the surge", completed("read", 5000, 8000))
expect(after >= 0.99, "a node that woke up refuses on old thresholds")
