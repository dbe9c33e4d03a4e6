/** What two entries expect of each other. */

/** How often heartbeats come, how long the last one lets new tasks be sent, and after what silence an entry is lost. */
export type HeartbeatRhythm = {
	readonly periodMilliseconds: number;
	readonly freshMilliseconds: number;
	readonly silenceMilliseconds: number;
};
