-- The table gives the archive service more slots than its backend servers can handle: above 20
-- concurrent requests the run time of each grows more than in proportion, and throughput falls with
-- each further request. Without a suitable limit, all uploads would slow down and time out. The
-- concurrency limit must adapt to the number of requests that the backend servers can handle.

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
