/** How quickly the peer network notices what is wrong. */

/** All in milliseconds. */
export type PeerTiming = {
	/**
	 * A peer that answered nothing for so long is asked for a sign of life while its connection is watched or used. Traffic
	 * takes the place of pings.
	 */
	readonly pingInterval: number;
	/** How often connections are looked at. */
	readonly checkInterval: number;
	/**
	 * A connection without a sign of life for so long is given up and dialled anew: a network that lost track of it lets a
	 * new one through. Whoever waits for an answer sends again on the new one.
	 */
	readonly silenceTimeout: number;
	readonly connectTimeout: number;
	readonly redialDelay: number;
	/** A connection that nobody watches is pinged for so long after its last use. */
	readonly idleTimeout: number;
};
