/** A message between entries. */

/** A message on a feature's channel; the receiving feature validates the body. */
export type PeerMessage = {
	readonly channel: string;
	readonly body: unknown;
};
