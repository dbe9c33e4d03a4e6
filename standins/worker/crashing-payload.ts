/** What tells a worker's stand-in that a task takes it down. */
export const crashingPayload = 'crashes its worker';
