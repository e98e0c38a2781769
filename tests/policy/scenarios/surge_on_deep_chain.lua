-- Ten times the usual number of farmers look at the map and file permits. Both rows use a chain of
-- three services, the last of which has the smallest capacity. Refused callers retry at once,
-- several times. Without admission control the last service would work for callers that have given
-- up, and would continue to do so after the surge.

local surge = dofile(folder .. "/shared/chain_surge.lua")
local found = surge({10, 20, 50}, {2000, 1000})
expect(found.waste <= 0.03, "work is done for requests that fail")
