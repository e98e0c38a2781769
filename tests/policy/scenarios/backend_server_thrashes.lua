-- The table gives the archive more slots than its machines can bear: beyond twenty requests at once
-- each takes longer, more than in proportion, and less gets done the more is tried. A cooperative
-- that uploads its season would see everything slow down and time out. The limit has to find by
-- itself where the machines bear no more.

service{name = "archive", targets = 2, slots = 100, knee = 20}
row{service = "archive", name = "upload", self_ms = 50, deadline_ms = 2000}

local capacity = 2 * 20 * 1000 / 50
load{service = "archive", row = "upload", rate = 0.5 * capacity}
load{service = "archive", row = "upload", rate = 3 * capacity, from = 4000, till = 16000, retries = 3,
     impatient_ms = 100}

run(20000)
local during = goodput("upload", 8000, 16000) / capacity
note("goodput in the surge / capacity at the knee", during)
note("limits", sum("archive", "limit"))
note("recovery in ms", recovery("upload", 16000, 0.95 * goodput("upload", 1000, 4000)))
expect(during >= 0.8, "the backend servers thrash")
