-- The first dry morning: ten times the usual number of farmers look at the map and file permits.
-- Both go through three services, and the last one is the smallest. Callers that are turned away
-- come back at once, several times. Without control the deep service works for callers that have
-- long given up, and goes on so after the rush.

local surge = dofile(folder .. "/shared/chain_surge.lua")
local found = surge({10, 20, 50}, {2000, 1000})
expect(found.waste <= 0.03, "work is done for requests that fail")
