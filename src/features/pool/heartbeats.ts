/** How often entries of a pool hear of each other. */
import type {HeartbeatRhythm} from './heartbeat-rhythm.js';

/**
 * Between entries that run something for each other, and in small fleets. Clients submit again 1300 ms after a loss: by then a
 * lost entry's tasks on other entries' targets must have been stopped, so it's taken as lost after four heartbeats. One whose
 * heartbeat is late by two fifths of a period may be gone; nothing new is sent there until it's heard again.
 */
const close: HeartbeatRhythm = {periodMilliseconds: 200, freshMilliseconds: 280, silenceMilliseconds: 800};
/**
 * To the few of its zone that watch over an entry and tell the zone when they miss it: a zone takes over its entries' targets.
 * With 16 entries in a zone that's a fifth of the heartbeats that all of them would send as close ones.
 */
const near: HeartbeatRhythm = {periodMilliseconds: 400, freshMilliseconds: 560, silenceMilliseconds: 900};
/** Between all others: nobody waits for anything from there, and one that something is sent to is close from then on. */
const distant: HeartbeatRhythm = {periodMilliseconds: 1000, freshMilliseconds: 1200, silenceMilliseconds: 3500};

export const heartbeats = {close, near, distant} as const;
