/** In the place of a number that isn't there: all that are told are zero or more. */
export const absentNumber = -1;
