/** Type codes of takeover messages on the wire. */

/** The first element of each encoded message. Codes are stable; retired ones must not be reused. */
export const takeoverCode = {
	request: 0, notice: 1, answer: 2, ended: 3,
} as const;
