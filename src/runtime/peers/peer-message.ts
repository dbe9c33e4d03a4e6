/** What entries send to each other. */

/** A message for the feature that listens on the channel, which checks the body's shape itself. */
export type PeerMessage = {
	readonly channel: string;
	readonly body: unknown;
};
