/** In the place of a number that an installation doesn't state: no life begins before 1970. */
export const unstated = -1;
