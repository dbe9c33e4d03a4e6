/** Encoding of optional numbers in pool messages. */

/** Stands for an absent number on the wire; all numbers that are sent are zero or more. */
export const absentNumber = -1;
