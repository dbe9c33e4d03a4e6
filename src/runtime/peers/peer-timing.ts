/** Timing of failure detection in the peer network. */

/** Intervals, timeouts and delays in milliseconds. */
export type PeerTiming = {
	/** Time without an acknowledgement after which an open connection is pinged; acknowledged messages replace pings. */
	readonly pingInterval: number;
	/** Interval at which connections are checked. */
	readonly checkInterval: number;
	/** Time without a frame or acknowledgement after which a connection is closed and redialled. */
	readonly silenceTimeout: number;
	/** Timeout for establishing a connection. */
	readonly connectTimeout: number;
	/** Delay before a closed connection is redialled. */
	readonly redialDelay: number;
	/** Time after its last use in which a connection that isn't monitored is kept alive. */
	readonly idleTimeout: number;
};
