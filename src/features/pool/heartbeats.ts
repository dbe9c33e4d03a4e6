/** Heartbeat timings between the entries of a pool. */
import type {HeartbeatTiming} from './heartbeat-timing.js';

/**
 * Between entries that run tasks for each other, and in small fleets. Callers resubmit 1300 ms after a loss. The timeout is shorter,
 * so that the tasks of a lost entry have been stopped on its peers' targets by then: a peer is lost after four heartbeats. One whose
 * heartbeat is late by two fifths of a period may be gone, so that nothing new is sent there until it is heard again.
 */
const active: HeartbeatTiming = {periodMilliseconds: 200, staleAfterMilliseconds: 280, timeoutMilliseconds: 800};
/**
 * From an entry to its monitors, the few peers of its zone that report its loss to the zone. With 16 entries in a zone, these are a
 * fifth of the heartbeats that all of them would send as active ones.
 */
const monitored: HeartbeatTiming = {periodMilliseconds: 400, staleAfterMilliseconds: 560, timeoutMilliseconds: 900};
/** Between all other entries. Sending a task to a peer makes it active. */
const idle: HeartbeatTiming = {periodMilliseconds: 1000, staleAfterMilliseconds: 1200, timeoutMilliseconds: 3500};

/** The timings, by how two entries depend on each other. */
export const heartbeats = {active, monitored, idle} as const;
