/** The size up to which a fleet is fully connected. */

/**
 * With at most this many peers, every entry is connected to every other one and exchanges active heartbeats with it. Larger fleets
 * use a partial mesh, since connections and heartbeats would grow with the square of the fleet's size.
 */
export const fullMeshLimit = 12;
