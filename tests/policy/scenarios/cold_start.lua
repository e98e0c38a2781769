-- All instances have just started when the first callers arrive. The limits start low and must
-- increase to the slots within a few rounds of calls; otherwise requests are refused during the
-- first busy second.

service{name = "catalogue", targets = 4, slots = 120}
row{service = "catalogue", name = "list", self_ms = 100, deadline_ms = 1000}

local capacity = 4 * 120 * 1000 / 100
load{service = "catalogue", row = "list", rate = 0.9 * capacity, retries = 3}

run(5000)
note("completed / offered in the first second", completed("list", 0, 1000))
note("completed / offered afterwards", completed("list", 1000, 4000))
note("limits", sum("catalogue", "limit"))
expect(completed("list", 1000, 4000) >= 0.99, "limits stay low")
