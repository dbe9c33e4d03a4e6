/** How an entry of a fleet is connected. */

/**
 * `full`: neither the entry nor any peer of it has more than `fullMeshLimit` peers, so that it sends active heartbeats to all of them.
 * `extended`: the entry has more peers. `bordering`: one of its peers has.
 */
export type Mesh = 'full' | 'extended' | 'bordering';
