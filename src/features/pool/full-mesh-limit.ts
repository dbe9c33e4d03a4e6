/** What counts as a small fleet. */

/**
 * In a fleet of no more others than this everybody is connected to everybody, and close. In a larger one connections and
 * heartbeats, and what each entry does for them, would grow with the square of its size.
 */
export const fullMeshLimit = 12;
