/** Payload of a task that crashes the worker's stand-in. */
export const crashingPayload = 'crashes its worker';
