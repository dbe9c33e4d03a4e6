/** Host name in the routes and requests of a soak. */
export const soakHost = 'soak.example';
