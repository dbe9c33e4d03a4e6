/** The host name of a soak's queues. */
export const soakHost = 'soak.example';
