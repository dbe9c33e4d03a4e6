/** How often entries of a pool hear of each other. */

/** The time between two heartbeats of entries that are close. */
const closeMilliseconds = 200;
/**
 * Of entries that are not. Between 38 entries of three zones it takes 250 of the 370 heartbeats that each sends and receives a
 * second away, and as much of those between zones as aren't near.
 */
const distantMilliseconds = 1000;
/**
 * An entry that was silent for so long is taken as lost, four heartbeats. Clients submit again 1300 ms after a loss: by then its
 * tasks on other entries' targets must have been stopped.
 */
const closeSilenceMilliseconds = 800;
/** Nobody waits for anything from there. */
const distantSilenceMilliseconds = 3500;
/** An entry whose heartbeat is late by two fifths of a period may be gone; nothing new is sent there until it's heard again. */
const closeFreshMilliseconds = 1.4 * closeMilliseconds;
/** One that was sent to something is close from then on, and its loss is known in time. */
const distantFreshMilliseconds = 1.2 * distantMilliseconds;

export const heartbeats = {
	closeMilliseconds,
	distantMilliseconds,
	closeSilenceMilliseconds,
	distantSilenceMilliseconds,
	closeFreshMilliseconds,
	distantFreshMilliseconds,
} as const;
