-- The service where requests enter the fleet is itself the bottleneck. All instructors read the
-- weather board at once while parents refresh the list of slots. The service must refuse the
-- parents' requests at once, and must never refuse an instructor's request while a parent's is
-- admitted.

service{name = "conditions", targets = 4, slots = 35}
row{service = "conditions", name = "board", weight = 900, self_ms = 120, deadline_ms = 1000}
row{service = "conditions", name = "slots", weight = 100, self_ms = 120, deadline_ms = 1000}
row{service = "conditions", name = "photos", weight = 10, self_ms = 240, deadline_ms = 2000}

local capacity = 4 * 35 * 1000 / 120
load{service = "conditions", row = "board", rate = 0.2 * capacity, retries = 5, impatient_ms = 50}
load{service = "conditions", row = "slots", rate = 0.3 * capacity, retries = 5, impatient_ms = 50}
load{service = "conditions", row = "photos", rate = 0.1 * capacity, retries = 5, impatient_ms = 50}
load{service = "conditions", row = "board", rate = 0.4 * capacity, from = 3000, till = 8000,
     retries = 5, impatient_ms = 50}
load{service = "conditions", row = "slots", rate = 5 * capacity, from = 3000, till = 8000,
     retries = 5, impatient_ms = 50}

run(14000)

local goods = (goodput("board", 3500, 8000) + goodput("slots", 3500, 8000) +
               2 * goodput("photos", 3500, 8000)) / capacity
local board = completed("board", 3000, 8000)
local inverted = inversions(3300, 8000)
local back = recovery("slots", 8000, 0.95 * goodput("slots", 1000, 3000))

note("goodput in the surge / capacity", goods)
note("boards completed / offered", board)
note("work wasted / used", wasted(3000, 8000))
note("refusals out of order", inverted)
note("recovery in ms", back)

expect(goods >= 0.95, "goodput falls below capacity")
expect(board >= 0.995, "instructors are turned away")
expect(wasted(3000, 8000) <= 0.03, "work is done for requests that fail")
expect(inverted == 0, "an instructor is refused while parents enter")
expect(back <= 2000, "the surge lasts on")
