/** How often entries of a pool hear of each other. */
import type {HeartbeatTiming} from './heartbeat-timing.js';

/**
 * Between entries that run something for each other, and in small fleets. Clients submit again 1300 ms after a loss: by then a
 * lost entry's tasks on other entries' targets must have been stopped, so it's taken as lost after four heartbeats. One whose
 * heartbeat is late by two fifths of a period may be gone; nothing new is sent there until it's heard again.
 */
const active: HeartbeatTiming = {periodMilliseconds: 200, staleAfterMilliseconds: 280, timeoutMilliseconds: 800};
/**
 * To the few of its zone that watch over an entry and tell the zone when they miss it: a zone takes over its entries' targets.
 * With 16 entries in a zone that's a fifth of the heartbeats that all of them would send as close ones.
 */
const monitored: HeartbeatTiming = {periodMilliseconds: 400, staleAfterMilliseconds: 560, timeoutMilliseconds: 900};
/** Between all others: nobody waits for anything from there, and one that something is sent to is close from then on. */
const idle: HeartbeatTiming = {periodMilliseconds: 1000, staleAfterMilliseconds: 1200, timeoutMilliseconds: 3500};

export const heartbeats = {active, monitored, idle} as const;
